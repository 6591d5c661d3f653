//! The binary: ready lines, wrong command lines, and the end by a signal.

use rstest::rstest;
use serde_json::Value;
use std::process::{ExitStatus, Stdio};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::time::timeout;

const PATIENCE: Duration = Duration::from_secs(60);

fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_stilequay-standin"));
    command.args(arguments).kill_on_drop(true);
    command.stdout(Stdio::piped()).stderr(Stdio::null());
    command
}

async fn ready_line(child: &mut Child) -> Value {
    let output = child.stdout.take().expect("piped");
    let mut lines = BufReader::new(output).lines();
    let line = timeout(PATIENCE, lines.next_line()).await.expect("in time");
    let line = line.expect("readable").expect("a line");
    serde_json::from_str(&line).expect("JSON")
}

async fn exit(child: &mut Child) -> ExitStatus {
    let status = timeout(PATIENCE, child.wait()).await.expect("in time");
    status.expect("waited for")
}

#[rstest]
#[case::platform("platform", "/services")]
#[case::faults("faults", "/links")]
#[case::group("group", "/members")]
#[tokio::test]
async fn a_subcommand_serves_until_told_to_stop(#[case] subcommand: &str, #[case] path: &str) {
    let mut child = command(&[subcommand]).spawn().expect("started");
    let ready = ready_line(&mut child).await;
    assert_eq!(ready["event"], "ready");
    let control = ready["control"].as_str().expect("an address");
    let answer = reqwest::get(format!("http://{control}{path}")).await;
    assert_eq!(answer.expect("answered").status(), 200);

    let process = child.id().expect("running").to_string();
    let killed = Command::new("kill")
        .args(["-TERM", &process])
        .status()
        .await;
    assert!(killed.expect("ran").success());
    assert!(exit(&mut child).await.success());
}

#[rstest]
#[case::no_subcommand(&[])]
#[case::unknown_subcommand(&["platfrom"])]
#[case::unknown_option(&["platform", "--tabel", "127.0.0.1:0"])]
#[case::no_address(&["faults", "--control", "here"])]
#[case::extra_argument(&["platform", "more"])]
#[case::no_member_address(&["group", "--member", "one=here"])]
#[case::no_settings_file(&["group", "--config", "/nowhere"])]
#[tokio::test]
async fn wrong_command_lines_are_refused(#[case] arguments: &[&str]) {
    let mut child = command(arguments).spawn().expect("started");
    assert_eq!(exit(&mut child).await.code(), Some(2));
}
