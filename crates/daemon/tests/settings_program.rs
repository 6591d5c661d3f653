//! The program's flags: help, default settings, checks, exit codes.

use rstest::rstest;
use std::process::{Command, Output};

fn stilequayd(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_stilequayd"))
        .args(arguments)
        .output()
        .expect("the program starts")
}

const COMPLETE: [&str; 10] = [
    "--set",
    "node.id=d1",
    "--set",
    "node.zone=z1",
    "--set",
    "platform.table=http://127.0.0.1:1",
    "--set",
    "platform.objects=http://127.0.0.1:2",
    "--set",
    "platform.machines=http://127.0.0.1:3",
];

#[test]
fn help_tells_flags_and_exit_codes() {
    let output = stilequayd(&["--help"]);
    assert_eq!(output.status.code(), Some(0));
    insta::assert_snapshot!(String::from_utf8_lossy(&output.stdout));
}

#[test]
fn default_settings_are_printed_and_need_only_names_and_the_platform() {
    let output = stilequayd(&["--print-default-config"]);
    assert_eq!(output.status.code(), Some(0));
    insta::assert_snapshot!(String::from_utf8_lossy(&output.stdout));
}

#[test]
fn the_printed_default_settings_are_accepted_once_filled_in() {
    let printed = stilequayd(&["--print-default-config"]);
    let path = std::env::temp_dir().join(format!("stilequay-default-{}.toml", std::process::id()));
    std::fs::write(&path, &printed.stdout).expect("a file");
    let file = path.to_string_lossy().into_owned();
    let mut arguments = vec!["--check-config", "--config", file.as_str()];
    arguments.extend(COMPLETE);
    let output = stilequayd(&arguments);
    std::fs::remove_file(&path).expect("the file goes");
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}

#[rstest]
#[case::unknown_flag(&["--colour"], "Unrecognized option")]
#[case::argument(&["serve"], "unexpected argument: serve")]
#[case::flag_without_value(&["--config"], "missing")]
#[case::malformed_setting(&["--set", "x"], "expected section.key=value")]
#[case::no_settings(&[], "node.id: is required")]
#[case::no_file(&["--config", "/nonexistent/stilequay.toml"], "/nonexistent/stilequay.toml")]
fn wrong_flags_and_settings_end_with_2(#[case] arguments: &[&str], #[case] reason: &str) {
    let output = stilequayd(arguments);
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.contains(reason), "{text}");
    assert!(output.stdout.is_empty());
}

#[test]
fn an_address_in_use_ends_with_3() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = taken.local_addr().expect("an address");
    let setting = format!("listen.callers={address}");
    let mut arguments = vec!["--set", setting.as_str()];
    arguments.extend(COMPLETE);
    let output = stilequayd(&arguments);
    assert_eq!(output.status.code(), Some(3), "{output:?}");
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("can't listen for callers"), "{text}");
}

#[test]
fn the_version_is_printed() {
    let output = stilequayd(&["--version"]);
    assert_eq!(output.status.code(), Some(0));
    let expected = format!("stilequayd {}\n", env!("CARGO_PKG_VERSION"));
    assert_eq!(String::from_utf8_lossy(&output.stdout), expected);
}
