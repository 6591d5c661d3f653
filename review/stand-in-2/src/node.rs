//! Processes of the project, started with the command of the deploy file, each on a loopback
//! address of its own.

use crate::Setup;
use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// What a process is started with.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    pub number: u8,
    pub zone: &'static str,
    pub store: SocketAddr,
    pub cloud: SocketAddr,
}

/// A running process; it is killed when dropped.
#[derive(Debug)]
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    child: Child,
}

/// The program and the arguments of `run` in the deploy file.
fn command(root: &Path) -> Vec<String> {
    let deploy = std::fs::read_to_string(root.join("deploy/system.toml")).expect("a deploy file");
    let line = deploy.lines().find(|line| line.trim().starts_with("run"));
    let line = line.expect("a run command");
    let text = line.split('"').nth(1).expect("a quoted command");
    text.split(' ').map(str::to_owned).collect()
}

fn free_port(ip: IpAddr) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address").port()
}

impl Node {
    /// Starts a process.
    pub fn start(setup: &Setup, settings: &NodeSettings) -> Self {
        let (root, folder) = (&setup.root, &setup.folder);
        let own = (std::process::id() % 200) as u8 + 20;
        let ip = IpAddr::V4(Ipv4Addr::new(127, own, 2, settings.number + 1));
        let name = format!("front-{}-{}", settings.zone, settings.number);
        let (front, ready, peers, metrics) =
            (free_port(ip), free_port(ip), free_port(ip), free_port(ip));
        let (low, high) = (peers.min(metrics), peers.max(metrics));
        let text = format!(
            "node: \"{name}\"\nrole: \"proxy\"\nclass: \"front\"\nserves:\n  - \"front\"\n\
             ip: \"{ip}\"\nzone: \"{}\"\nregion: \"kathmandu\"\nzones:\n  thamel-hall: \"kathmandu\"\n  \
             lalitpur-depot: \"kathmandu\"\n  bhaktapur-annex: \"kathmandu\"\nlisten:\n  \
             front: \"{ip}:{front}\"\n  ready: \"{ip}:{ready}\"\nport_range:\n  - {low}\n  - {high}\n\
             bootstrap: true\nlimits:\n  cpu_share: 0.25\n  cores: 1\n  memory_mb: 260\n  \
             max_fds: 4300\ndata_dir: null\ndiscovery: \"platform\"\nheartbeat_ms: 1200\ncontracts:\n  \
             - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"recover\"\n  - \"sql\"\n  \
             - \"platform\"\nbounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  contact_ms: 4000\n  \
             ack_ms: 5000\n  catch_up_s: 4\n  drain_ms: 7000\n  grace_s: 6\n  loss_slack_ms: 200\n  \
             config_ms: 3000\n  downgrade_ms: 250\n  outer_ms: 12000\n  recovery_s: 12\n  \
             require_fence: false\n  thaw_ms: 300\nplatform:\n  addr: \"{}\"\n  form: \"table\"\n  \
             writes_per_s: 600\n  reads_per_s: 2000\n  history_s: 20\ncloud:\n  addr: \"{}\"\n  \
             rate_per_s: 50.0\n  duties:\n    - \"promotion\"\n  duty_per_s: 50.0\n",
            settings.zone, settings.store, settings.cloud
        );
        let file = folder.join(format!("{name}.yaml"));
        std::fs::write(&file, text).expect("written settings");
        let log = folder.join(format!("{name}.log"));
        let output = File::options().create(true).append(true).open(&log);
        let output = output.expect("a log file");
        let words = command(root);
        let child = Command::new(root.join(&words[0]))
            .args(&words[1..])
            .current_dir(root)
            .env("STILEQUAY_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stderr(output.try_clone().expect("a file"))
            .stdout(output)
            .spawn()
            .expect("a started process");
        // run-case-2.sh ends the processes that are recorded here.
        setup
            .record
            .say(&format!("started process {} {name}", child.id()));
        Self {
            name,
            front: SocketAddr::new(ip, front),
            child,
        }
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until `is_done`; returns whether that came in time.
pub fn wait_until(time: Duration, mut is_done: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + time;
    while Instant::now() < until {
        if is_done() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    false
}
