//! The commands against a daemon.

#[path = "../../daemon/tests/support/mod.rs"]
mod support;

use rstest::rstest;
use serde_json::{Value, json};
use std::path::PathBuf;
use std::process::Output;
use std::sync::atomic::{AtomicU32, Ordering};
use support::documents::{VERIFIER, service};
use support::eventually;
use support::fleet::{Fleet, READER_TOKEN, WRITER_TOKEN};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::Command;

/// Files of one test, removed at its end.
struct Files {
    directory: PathBuf,
}

static NEXT_DIRECTORY: AtomicU32 = AtomicU32::new(0);

impl Files {
    fn new() -> Self {
        let number = NEXT_DIRECTORY.fetch_add(1, Ordering::Relaxed);
        let name = format!("stilequayctl-{}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).expect("a directory");
        Self { directory }
    }

    fn write(&self, name: &str, content: &str) -> String {
        let path = self.directory.join(name);
        std::fs::write(&path, content).expect("a file");
        path.to_string_lossy().into_owned()
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        // What stays behind does no harm.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// A daemon and an operator's command line for it.
struct Desk {
    fleet: Fleet,
    files: Files,
    settings: String,
}

impl Desk {
    async fn new() -> Self {
        Self::with_token(WRITER_TOKEN).await
    }

    async fn with_token(token: &str) -> Self {
        let fleet = Fleet::start(1, &[]).await;
        let files = Files::new();
        let token_file = files.write("token", &format!("{token}\n"));
        let server = fleet.daemons[0].addresses.api;
        let text = format!("server = \"{server}\"\ntoken_file = \"{token_file}\"\n");
        let settings = files.write("ctl.toml", &text);
        Self {
            fleet,
            files,
            settings,
        }
    }

    fn command(&self, arguments: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_stilequayctl"));
        command.args(["--config", &self.settings]).args(arguments);
        command.kill_on_drop(true);
        command
    }

    async fn run(&self, arguments: &[&str]) -> Output {
        let output = self.command(arguments).output().await;
        output.expect("the program runs")
    }

    /// Runs a command that must succeed, and returns what it prints.
    async fn print(&self, arguments: &[&str]) -> String {
        let output = self.run(arguments).await;
        assert_eq!(output.status.code(), Some(0), "{output:?}");
        String::from_utf8(output.stdout).expect("text")
    }

    /// Waits until the daemon shows a resource at a version.
    async fn wait_for(&self, version: u64) {
        let path = format!("/v1/services?resourceVersion={version}");
        let answer = self.fleet.writer(0).get(&path).await;
        assert!(answer.status.is_success(), "{answer:?}");
    }
}

fn yaml() -> String {
    format!(
        "apiVersion: stilequay/v1\nkind: Service\nmetadata:\n  name: shop\nspec:\n  \
         verifier: {VERIFIER}\n  groups: [orders]\n---\napiVersion: stilequay/v1\n\
         kind: SessionPolicy\nmetadata:\n  name: fast\nspec:\n  consistency: session\n"
    )
}

fn toml() -> String {
    format!(
        "apiVersion = \"stilequay/v1\"\nkind = \"Service\"\n[metadata]\nname = \"shop\"\n\
         [spec]\nverifier = \"{VERIFIER}\"\ngroups = [\"orders\"]\n"
    )
}

#[rstest]
#[case::yaml(
    "a.yaml",
    yaml(),
    "Service/shop created at version 1\nSessionPolicy/fast created at version 2\n"
)]
#[case::toml("a.toml", toml(), "Service/shop created at version 1\n")]
#[case::json("a.json", service("shop").to_string(), "Service/shop created at version 1\n")]
#[case::list("a.json", json!({ "items": [service("a"), service("b")] }).to_string(),
    "Service/a created at version 1\nService/b created at version 2\n")]
#[tokio::test]
async fn files_of_each_format_are_applied(
    #[case] name: &str,
    #[case] content: String,
    #[case] expected: &str,
) {
    let desk = Desk::new().await;
    let file = desk.files.write(name, &content);
    assert_eq!(desk.print(&["apply", "-f", &file]).await, expected);
    let again = desk.print(&["apply", "-f", &file]).await;
    assert_eq!(again, expected.replace("created", "unchanged"));
    desk.fleet.stop().await;
}

#[tokio::test]
async fn differences_are_shown_applied_and_then_gone() {
    let desk = Desk::new().await;
    let mut document = service("shop");
    let file = desk.files.write("a.json", &document.to_string());
    let new = desk.run(&["diff", "-f", &file]).await;
    assert_eq!(new.status.code(), Some(5), "{new:?}");
    assert!(!String::from_utf8_lossy(&new.stdout).contains(VERIFIER));
    desk.print(&["apply", "-f", &file]).await;
    desk.wait_for(1).await;
    assert_eq!(desk.print(&["diff", "-f", &file]).await, "");

    document["spec"]["maxInFlight"] = json!(7);
    let file = desk.files.write("a.json", &document.to_string());
    let changed = desk.run(&["diff", "-f", &file]).await;
    assert_eq!(changed.status.code(), Some(5), "{changed:?}");
    insta::assert_snapshot!(String::from_utf8_lossy(&changed.stdout));
    let applied = desk.print(&["apply", "-f", &file]).await;
    assert_eq!(applied, "Service/shop configured at version 2\n");
    desk.fleet.stop().await;
}

#[tokio::test]
async fn resources_are_shown_in_each_format_and_deleted() {
    let desk = Desk::new().await;
    let file = desk.files.write("a.yaml", &yaml());
    desk.print(&["apply", "-f", &file]).await;
    desk.wait_for(2).await;
    let table = eventually("the service is in force", || async {
        let table = desk.print(&["get", "services"]).await;
        table.contains("yes").then_some(table)
    })
    .await;
    insta::assert_snapshot!(table);
    let shown = desk.print(&["get", "services", "shop", "-o", "json"]).await;
    let shown: Value = serde_json::from_str(&shown).expect("JSON");
    assert_eq!(shown["spec"]["groups"], json!(["orders"]));
    let shown = desk.print(&["get", "services", "-o", "yaml"]).await;
    let again = desk.files.write("again.yaml", &shown);
    let applied = desk.print(&["apply", "-f", &again]).await;
    assert_eq!(applied, "Service/shop unchanged at version 1\n");
    let deleted = desk.print(&["delete", "services", "shop"]).await;
    assert_eq!(deleted, "Service/shop deleted at version 3\n");
    let missing = desk.run(&["delete", "services", "shop"]).await;
    assert_eq!(missing.status.code(), Some(1), "{missing:?}");
    desk.fleet.stop().await;
}

#[tokio::test]
async fn a_watch_prints_changes_as_they_come() {
    let desk = Desk::new().await;
    let arguments = ["watch", "services", "--from", "0", "-o", "json"];
    let mut watch = desk
        .command(&arguments)
        .stdout(std::process::Stdio::piped())
        .spawn()
        .expect("the program starts");
    let output = watch.stdout.take().expect("an output");
    let mut lines = BufReader::new(output).lines();
    let file = desk.files.write("a.json", &service("shop").to_string());
    desk.print(&["apply", "-f", &file]).await;
    loop {
        let line = lines.next_line().await.expect("a line").expect("a line");
        let event: Value = serde_json::from_str(&line).expect("JSON");
        if event["type"] == "ADDED" {
            assert_eq!(event["object"]["metadata"]["name"], "shop");
            break;
        }
        assert_eq!(event["type"], "BOOKMARK");
    }
    desk.fleet.stop().await;
}

#[tokio::test]
async fn the_fleet_is_shown() {
    let desk = Desk::new().await;
    let text = eventually("the fleet reports", || async {
        let text = desk.print(&["status"]).await;
        text.contains("1 of 1 daemons report").then_some(text)
    })
    .await;
    assert!(text.contains("daemon-0"), "{text}");
    assert!(text.contains("zone-0"), "{text}");
    desk.fleet.stop().await;
}

#[tokio::test]
async fn a_refusal_ends_with_1_and_names_the_request() {
    let desk = Desk::with_token(READER_TOKEN).await;
    let file = desk.files.write("a.json", &service("shop").to_string());
    let refused = desk.run(&["apply", "-f", &file]).await;
    let text = String::from_utf8_lossy(&refused.stderr);
    assert_eq!(refused.status.code(), Some(1), "{text}");
    assert!(text.contains("Forbidden"), "{text}");
    assert!(text.contains("request "), "{text}");
    desk.fleet.stop().await;
}
