//! The program as a process: its ready line, its log, its planned stop.

mod support;

use serde_json::Value;
use std::process::Stdio;
use stilequay_standin::platform::PlatformHandle;
use support::fleet::start_platform;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, BufReader};
use tokio::process::{Child, Command};

fn start(platform: &PlatformHandle, extra: &[&str]) -> Child {
    let settings = [
        "node.id=d1".to_owned(),
        "node.zone=z1".to_owned(),
        format!("platform.table={}", platform.table_url()),
        format!("platform.objects={}", platform.objects_url()),
        format!("platform.machines={}", platform.machines_url()),
        "control.leave_notice_millis=0".to_owned(),
    ];
    let mut command = Command::new(env!("CARGO_BIN_EXE_stilequayd"));
    for setting in settings
        .iter()
        .map(String::as_str)
        .chain(extra.iter().copied())
    {
        command.args(["--set", setting]);
    }
    command
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .expect("the program starts")
}

async fn send(signal: &str, child: &Child) {
    let id = child.id().expect("it runs").to_string();
    let sent = Command::new("kill").args([signal, &id]).status().await;
    assert!(sent.expect("kill runs").success());
}

#[rstest::rstest]
#[case::terminate("-TERM")]
#[case::interrupt("-INT")]
#[tokio::test]
async fn one_ready_line_json_logs_and_a_planned_stop(#[case] signal: &str) {
    let platform = start_platform().await;
    let mut child = start(&platform, &[]);
    let mut output = BufReader::new(child.stdout.take().expect("an output"));
    let mut line = String::new();
    output.read_line(&mut line).await.expect("a line");
    let ready: Value = serde_json::from_str(&line).expect("JSON");
    assert_eq!(ready["event"], "ready");
    assert_eq!(ready["node"], "d1");
    for listener in ["callers", "peer", "control", "api"] {
        let address = ready[listener].as_str().expect("an address");
        let connected = tokio::net::TcpStream::connect(address).await;
        assert!(connected.is_ok(), "{listener} at {address}");
    }
    send(signal, &child).await;
    let status = child.wait().await.expect("it ends");
    assert_eq!(status.code(), Some(0));
    let mut rest = String::new();
    output.read_to_string(&mut rest).await.expect("text");
    assert_eq!(rest, "", "one line only");
    let mut logs = String::new();
    let mut errors = child.stderr.take().expect("logs");
    errors.read_to_string(&mut logs).await.expect("text");
    for line in logs.lines() {
        let line: Value = serde_json::from_str(line).unwrap_or_else(|_| panic!("no JSON: {line}"));
        assert!(line["timestamp"].is_string() && line["level"].is_string());
    }
    assert!(logs.contains("planned stop has ended"), "{logs}");
}

#[tokio::test]
async fn a_stop_before_it_serves_is_a_planned_stop_too() {
    let platform = start_platform().await;
    let nowhere = "platform.table=http://127.0.0.1:1";
    let mut child = start(&platform, &[nowhere]);
    let mut errors = BufReader::new(child.stderr.take().expect("logs"));
    let mut line = String::new();
    while !line.contains("listening") {
        line.clear();
        let read = errors.read_line(&mut line).await.expect("a line");
        assert!(read > 0, "it ended");
    }
    send("-TERM", &child).await;
    let status = child.wait().await.expect("it ends");
    assert_eq!(status.code(), Some(0));
}
