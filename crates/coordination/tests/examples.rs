//! The examples run. `cargo test` builds them; with `--test examples` alone, build
//! them first by `cargo build --examples`.

use serde_json::Value;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};

const TIMEOUT: Duration = Duration::from_secs(60);

fn example(name: &str) -> Command {
    let test = std::env::current_exe().expect("the path of this test");
    let profile = test.ancestors().nth(2).expect("a target directory");
    let path: PathBuf = profile.join("examples").join(name);
    assert!(
        path.exists(),
        "build the examples first: {path:?} is missing"
    );
    let mut command = Command::new(path);
    command.kill_on_drop(true);
    command
}

/// The JSON lines that an example prints until it ends.
async fn output_of(name: &str, arguments: &[&str]) -> Vec<Value> {
    let output = example(name).args(arguments).output().await.unwrap();
    assert!(output.status.success(), "{output:?}");
    let text = String::from_utf8(output.stdout).unwrap();
    text.lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect()
}

#[tokio::test]
async fn fair_limits_rejects_nothing_of_the_small_tenant() {
    let reports = output_of("fair_limits", &[]).await;
    let [small, greedy] = &reports[..] else {
        panic!("{reports:?}");
    };
    assert_eq!(small["rejected"], 0, "{small}");
    assert!(small["served"].as_u64() > Some(0), "{small}");
    assert!(greedy["rejected"].as_u64() > Some(0), "{greedy}");
}

#[tokio::test]
async fn floor_memory_keeps_as_many_sessions_as_told() {
    let reports = output_of("floor_memory", &["1000"]).await;
    assert_eq!(reports[0]["sessions"], 1000);
}

/// One of the three processes.
struct Process {
    child: Child,
    commands: ChildStdin,
    events: Lines<BufReader<ChildStdout>>,
    address: String,
}

impl Process {
    async fn start(node: &str) -> Self {
        let mut child = example("three_nodes")
            .args(["--node", node, "--listen", "127.0.0.1:0"])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut process = Self {
            commands: child.stdin.take().unwrap(),
            events: BufReader::new(child.stdout.take().unwrap()).lines(),
            child,
            address: String::new(),
        };
        let listening = process.next_event().await;
        process.address = format!("{node}={}", listening["address"].as_str().unwrap());
        process
    }

    async fn next_event(&mut self) -> Value {
        let line = tokio::time::timeout(TIMEOUT, self.events.next_line()).await;
        let line = line.expect("an event in time").unwrap();
        serde_json::from_str(&line.expect("the process runs")).unwrap()
    }

    async fn send(&mut self, command: &str) {
        let line = format!("{command}\n");
        self.commands.write_all(line.as_bytes()).await.unwrap();
    }

    /// The floor that the answer to `command` tells.
    async fn floor_after(&mut self, command: &str) -> String {
        self.send(command).await;
        let event = self.next_event().await;
        event["floor"]
            .as_str()
            .unwrap_or_else(|| panic!("{event}"))
            .to_owned()
    }
}

async fn connect(processes: &mut [&mut Process]) {
    let addresses: Vec<_> = processes
        .iter()
        .map(|process| process.address.clone())
        .collect();
    let command = format!("peers {}", addresses.join(","));
    for process in processes {
        process.send(&command).await;
    }
}

#[tokio::test]
async fn three_nodes_keep_floors_while_one_is_killed_and_comes_back_without_memory() {
    let mut a = Process::start("a").await;
    let mut b = Process::start("b").await;
    let mut c = Process::start("c").await;
    connect(&mut [&mut a, &mut b, &mut c]).await;
    for process in [&mut a, &mut b, &mut c] {
        assert_eq!(process.next_event().await["event"], "ready");
    }

    assert_eq!(b.floor_after("write till").await, "1:1");
    assert_eq!(c.floor_after("read till").await, "1:1");
    assert_eq!(a.floor_after("read other").await, "1:0");

    c.child.kill().await.unwrap();
    assert_eq!(b.floor_after("write rider").await, "1:2");
    assert_eq!(a.floor_after("read rider").await, "1:2");

    let mut c = Process::start("c").await;
    connect(&mut [&mut a, &mut b, &mut c]).await;
    assert_eq!(c.next_event().await["event"], "ready");
    // It knows no session, and answers no lower than all that was committed before.
    assert_eq!(c.floor_after("read rider").await, "1:2");
    assert_eq!(c.floor_after("read till").await, "1:2");
}
