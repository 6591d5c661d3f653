//! The command line: help, wrong use, files that can't be used.

use rstest::rstest;
use std::io::Write;
use std::process::{Command, Output, Stdio};

fn stilequayctl(arguments: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_stilequayctl"))
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut stdin = child.stdin.take().expect("an input");
    // A program that ends at once doesn't read its input.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("the program ends")
}

#[test]
fn help_tells_commands_examples_and_exit_codes() {
    let output = stilequayctl(&["--help"], "");
    assert_eq!(output.status.code(), Some(0));
    insta::assert_snapshot!(String::from_utf8_lossy(&output.stdout));
}

#[rstest]
#[case::no_command(&[], "no command is given")]
#[case::unknown_command(&["sell"], "unknown command: sell")]
#[case::unknown_flag(&["--colour", "status"], "Unrecognized option")]
#[case::unknown_kind(&["get", "horses"], "unknown kind: horses")]
#[case::unknown_format(&["get", "services", "-o", "xml"], "unknown output format: xml")]
#[case::no_file(&["apply"], "no file is given")]
#[case::too_many(&["status", "now"], "wrong arguments of status")]
#[case::no_version(&["watch", "services", "--from", "x"], "no version: x")]
#[case::no_daemon(&["status"], "no daemon is given")]
#[case::no_settings(&["--config", "/nonexistent/ctl.toml", "status"], "/nonexistent/ctl.toml")]
#[case::no_document(
    &["--server", "127.0.0.1:1", "apply", "-f", "/nonexistent/a.yaml"],
    "/nonexistent/a.yaml"
)]
#[case::no_token(&["--server", "127.0.0.1:1", "--token-file", "/nonexistent/t", "status"], "/nonexistent/t")]
fn wrong_use_ends_with_2_and_says_why(#[case] arguments: &[&str], #[case] reason: &str) {
    let output = stilequayctl(arguments, "");
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.contains(reason), "{text}");
    assert!(output.stdout.is_empty());
}

#[test]
fn all_faults_of_a_document_are_told_before_a_daemon_is_asked() {
    let document = "apiVersion: stilequay/v1\nkind: Service\nmetadata: {name: Shop}\n\
                    spec: {verifier: secret-without-form, groups: orders, colour: red}\n";
    let output = stilequayctl(&["--server", "127.0.0.1:1", "apply", "-f", "-"], document);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!text.contains("secret-without-form"), "{text}");
    insta::assert_snapshot!(text);
}

#[test]
fn a_daemon_that_cannot_be_reached_ends_with_3() {
    let output = stilequayctl(&["--server", "127.0.0.1:1", "status"], "");
    assert_eq!(output.status.code(), Some(3), "{output:?}");
}

#[test]
fn a_verifier_is_computed_from_a_password() {
    let output = stilequayctl(&["verifier"], "the password\n");
    let text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert!(text.starts_with("SCRAM-SHA-256$4096:"), "{text}");
    assert!(!text.contains("the password"));
    let again = stilequayctl(&["verifier"], "the password\n");
    assert_ne!(output.stdout, again.stdout, "each has its own salt");
    assert_eq!(stilequayctl(&["verifier"], "").status.code(), Some(2));
}
