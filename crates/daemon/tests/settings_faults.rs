//! Settings: every fault of a file is told, with its key and reason, at once.

use rstest::rstest;
use stilequay_daemon::settings::{Override, Settings, SettingsError, load};

/// The least that a daemon needs.
const COMPLETE: [&str; 5] = [
    "node.id=d1",
    "node.zone=z1",
    "platform.table=http://127.0.0.1:1",
    "platform.objects=http://127.0.0.1:2",
    "platform.machines=http://127.0.0.1:3",
];

fn with(extra: &[&str]) -> Result<Settings, SettingsError> {
    let texts = COMPLETE.iter().chain(extra);
    let overrides: Result<Vec<Override>, _> = texts.map(|text| text.parse()).collect();
    load(None, &overrides?)
}

fn faults(result: Result<Settings, SettingsError>) -> Vec<String> {
    match result {
        Ok(_) => Vec::new(),
        Err(SettingsError::Faults(faults)) => faults.iter().map(ToString::to_string).collect(),
        Err(other) => vec![other.to_string()],
    }
}

#[test]
fn the_least_settings_are_valid() {
    assert_eq!(faults(with(&[])), Vec::<String>::new());
}

#[test]
fn all_faults_of_a_file_are_told_at_once() {
    let file = r#"
        unknown = 1
        [node]
        id = 7
        colour = "red"
        [listen]
        callers = "nowhere"
        [platform]
        table = "ftp://127.0.0.1"
        call_timeout_millis = 0
        [api]
        max_body_bytes = "large"
        [[api.tokens]]
        name = "one"
        token = "short"
        role = "write"
        [[api.tokens]]
        name = "two"
        role = "king"
        [log]
        level = "loud"
        [front]
        max_attempts = 0
    "#;
    let directory = std::env::temp_dir();
    let path = directory.join(format!("stilequay-faults-{}.toml", std::process::id()));
    std::fs::write(&path, file).expect("a file");
    let result = load(Some(&path), &[]);
    std::fs::remove_file(&path).expect("the file goes");
    let mut found = faults(result);
    found.sort();
    insta::assert_snapshot!(found.join("\n"));
}

#[rstest]
#[case::unknown_section("colour.red=1", "colour: unknown field")]
#[case::unknown_key("node.colour=red", "node.colour: unknown field")]
#[case::wrong_type("control.fan_out=many", "control.fan_out: invalid type")]
#[case::negative("control.fan_out=-1", "control.fan_out: invalid value")]
#[case::zero(
    "control.poll_interval_millis=0",
    "control.poll_interval_millis: must be at least 1"
)]
#[case::no_address("listen.api=here", "listen.api: invalid socket address")]
#[case::no_name("node.id=a b", "node.id: must have 1 to 63")]
#[case::no_url("platform.objects=here", "platform.objects: is no URL")]
#[case::all_addresses("listen.peer=0.0.0.0:0", "advertise.peer: is required")]
#[case::short_token(
    "api.tokens=[{name='a',token='b',role='read'}]",
    "api.tokens[0].token: must have at least 16 bytes"
)]
#[case::mutant(
    "home.mutants.skip_barrier=true",
    "home.mutants: switches guarantees off"
)]
#[case::front("front.max_attempts=0", "front.max_attempts: 0 is not between")]
#[case::no_path("node=1", "--set node=1: expected section.key=value")]
#[case::no_value("node.id", "--set node.id: expected section.key=value")]
fn a_fault_is_told_with_its_key(#[case] setting: &str, #[case] expected: &str) {
    let found = faults(with(&[setting]));
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].starts_with(expected), "{found:?}");
}

#[test]
fn a_secret_is_not_shown_in_a_fault() {
    let found = faults(with(&[
        "api.tokens=[{name='a',token=31415926,role='read'}]",
    ]));
    assert!(!found.is_empty());
    assert!(!found.join("\n").contains("31415926"), "{found:?}");
}

#[test]
fn a_flag_is_stronger_than_the_file_and_keeps_the_rest() {
    let path = std::env::temp_dir().join(format!("stilequay-flag-{}.toml", std::process::id()));
    let file = "[node]\nid = 'from-file'\nzone = 'z1'\n[platform]\ntable = 'http://127.0.0.1:1'\n\
                objects = 'http://127.0.0.1:2'\nmachines = 'http://127.0.0.1:3'\n";
    std::fs::write(&path, file).expect("a file");
    let setting = "node.id=from-flag".parse().expect("well-formed");
    let settings = load(Some(&path), &[setting]);
    std::fs::remove_file(&path).expect("the file goes");
    let settings = settings.expect("valid");
    assert_eq!(settings.node.id.as_str(), "from-flag");
    assert_eq!(settings.node.zone.as_str(), "z1");
}
