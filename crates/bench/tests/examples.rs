//! The files of the example deployments are valid.

use rstest::rstest;
use std::path::PathBuf;
use stilequay_bench::launch::Deployment;
use stilequay_daemon::settings::{self, Override};
use stilequay_standin::group::GroupSettings;

fn directory(name: &str) -> PathBuf {
    let manifest = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    manifest.join("../../examples").join(name)
}

#[rstest]
#[case::bagmati("bagmati", 3)]
#[case::member_outlet("member-outlet", 4)]
fn a_deployment_can_be_read(#[case] name: &str, #[case] zones: usize) {
    let deployment = Deployment::load(&directory(name)).expect("the deployment is valid");
    assert_eq!(deployment.zones.len(), zones);
    assert_eq!(deployment.groups.len(), 3);
    for group in &deployment.groups {
        let file = group.file.as_ref().expect("a settings file");
        let text = std::fs::read_to_string(file).expect("the file is there");
        let settings: GroupSettings = toml::from_str(&text).expect("the file is valid");
        assert_eq!(settings.members.len(), 3);
    }
}

#[rstest]
fn the_settings_of_its_daemons_are_valid(#[values("bagmati", "member-outlet")] name: &str) {
    let deployment = Deployment::load(&directory(name)).expect("the deployment is valid");
    let given_by_flags = [
        "node.id=a-0",
        "node.zone=a",
        "platform.table=http://127.0.0.1:1",
        "platform.objects=http://127.0.0.1:1",
        "platform.machines=http://127.0.0.1:1",
    ];
    let overrides: Vec<Override> = given_by_flags
        .iter()
        .map(|text| text.parse().expect("a valid override"))
        .collect();
    let loaded = settings::load(deployment.daemon_file.as_deref(), &overrides);
    loaded.expect("the settings are valid");
}
