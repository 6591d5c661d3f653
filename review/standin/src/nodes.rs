//! The project's own processes on loopback, each on an address of its own.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::Duration;

pub const ZONES: [&str; 3] = ["thamel-hall", "lalitpur-depot", "bhaktapur-annex"];

pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    metrics: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

/// An address of this run: `group` and `number` tell its use.
pub fn loopback(group: u8, number: u8) -> IpAddr {
    let run = (std::process::id() % 120) as u8 + 100;
    IpAddr::V4(Ipv4Addr::new(127, run, group, number))
}

pub fn free_port(ip: IpAddr) -> std::io::Result<u16> {
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.port())
}

impl Node {
    pub fn prepare(
        program: &Path,
        directory: &Path,
        number: usize,
        store: SocketAddr,
        promotion: SocketAddr,
        extra: &str,
    ) -> std::io::Result<Self> {
        let ip = loopback(1, number as u8 + 1);
        let (front, ready) = (free_port(ip)?, free_port(ip)?);
        let (peers, metrics) = (free_port(ip)?, free_port(ip)?);
        let zone = ZONES[number % ZONES.len()];
        let name = format!("front-{zone}-{}", number / ZONES.len() + 1);
        let zones: String = ZONES
            .map(|zone| format!("  {zone}: \"kathmandu\"\n"))
            .concat();
        let text = format!(
            "node: \"{name}\"\nrole: \"proxy\"\nclass: \"front\"\nserves:\n  - \"front\"\n\
             ip: \"{ip}\"\nzone: \"{zone}\"\nregion: \"kathmandu\"\nzones:\n{zones}\
             listen:\n  front: \"{ip}:{front}\"\n  ready: \"{ip}:{ready}\"\n\
             port_range:\n  - {peers}\n  - {metrics}\nseeds: []\nbootstrap: true\n\
             in_tolerance: false\nlimits:\n  cpu_share: 0.25\n  cores: 1\n  memory_mb: 260\n  \
             max_fds: 4300\n  link_mbps: 1000.0\n  disk_mb: 0\ndata_dir: null\n\
             discovery: \"platform\"\nentry: \"vip\"\nheartbeat_ms: 1200\n\
             contracts: [\"base\", \"drain\", \"config\", \"cost\", \"recover\", \"sql\", \"platform\"]\n\
             fault_tolerance:\n  machines: 1\n  zones: 0\n  regions: 0\n\
             bounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  contact_ms: 4000\n  ack_ms: 5000\n  \
             catch_up_s: 4\n  drain_ms: 7000\n  grace_s: 6\n  loss_slack_ms: 200\n  \
             config_ms: 3000\n  downgrade_ms: 250\n  outer_ms: 12000\n  recovery_s: 12\n  \
             require_fence: false\n  thaw_ms: 300\n\
             platform:\n  addr: \"{store}\"\n  form: \"table\"\n  writes_per_s: 600\n  \
             reads_per_s: 2000\n  tx_ms: 3.0\n  part_writes_per_s: 300\n  row_bytes: 65536\n  \
             across: true\n  history_s: 20\n\
             cloud:\n  addr: \"{promotion}\"\n  rate_per_s: 50.0\n  duties:\n    - \"promotion\"\n  \
             duty_per_s: 50.0\n{extra}"
        );
        let settings = directory.join(format!("{name}.yaml"));
        std::fs::write(&settings, text)?;
        Ok(Self {
            log: directory.join(format!("{name}.log")),
            name,
            front: SocketAddr::new(ip, front),
            metrics: SocketAddr::new(ip, metrics),
            program: program.to_owned(),
            settings,
            child: Mutex::default(),
        })
    }

    /// Starts the process and returns its id.
    pub fn start(&self) -> std::io::Result<u32> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .env("STILEQUAY_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        let id = child.id();
        *self.child.lock().unwrap() = Some(child);
        Ok(id)
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// One of the figures that the process shows at the place that the deploy file names.
    pub fn figure(&self, name: &str) -> Option<f64> {
        let mut stream = TcpStream::connect(self.metrics).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        let request = "GET /metrics HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        let mut values = text.lines().filter_map(|line| line.strip_prefix(name));
        values.find_map(|value| value.trim().parse().ok())
    }

    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
