//! A platform and daemons, all in the process of the test.

use super::operator::Operator;
use serde_json::json;
use stilequay_daemon::run::{self, RunningDaemon};
use stilequay_daemon::settings::{Override, Settings, load};
use stilequay_standin::platform::{self, Machine, PlatformHandle, PlatformSettings};

/// Token of the operator who may write.
pub const WRITER_TOKEN: &str = "writer-token-of-the-tests";
/// Token of the operator who may only read.
pub const READER_TOKEN: &str = "reader-token-of-the-tests";

/// A platform with the daemons that use it.
pub struct Fleet {
    /// The platform.
    pub platform: PlatformHandle,
    /// The daemons.
    pub daemons: Vec<RunningDaemon>,
}

impl Fleet {
    /// Starts a platform and `count` daemons in two zones, and waits until they serve.
    pub async fn start(count: usize, extra_settings: &[&str]) -> Self {
        let mut fleet = Self {
            platform: start_platform().await,
            daemons: Vec::new(),
        };
        for _ in 0..count {
            fleet.start_daemon(extra_settings).await;
        }
        fleet.list_machines();
        for daemon in &fleet.daemons {
            daemon.ready().await;
        }
        fleet
    }

    /// Starts one daemon more, and waits until it serves.
    pub async fn add_daemon(&mut self, extra_settings: &[&str]) {
        self.start_daemon(extra_settings).await;
        self.list_machines();
        if let Some(daemon) = self.daemons.last() {
            daemon.ready().await;
        }
    }

    /// Starts one daemon more; it may not serve yet.
    pub async fn start_daemon(&mut self, extra_settings: &[&str]) {
        let settings = settings(&self.platform, self.daemons.len(), extra_settings);
        let daemon = run::start(settings).await.expect("the daemon starts");
        self.daemons.push(daemon);
    }

    /// Puts all daemons on the platform's list.
    pub fn list_machines(&self) {
        let machines = self.daemons.iter().enumerate();
        let machines = machines.map(|(index, daemon)| Machine {
            node: daemon.node.to_string(),
            zone: zone(index),
            region: "local".to_owned(),
            peer_address: daemon.addresses.peer.to_string(),
            control_address: daemon.addresses.control.to_string(),
            leaving: false,
        });
        self.platform.set_machines(machines.collect());
    }

    /// The operator who may write, at one daemon.
    pub fn writer(&self, daemon: usize) -> Operator {
        Operator::new(self.daemons[daemon].addresses.api, Some(WRITER_TOKEN))
    }

    /// Ends all daemons by a planned stop.
    pub async fn stop(self) {
        for daemon in self.daemons {
            daemon.stop().await;
        }
    }
}

/// Starts a platform without faults.
pub async fn start_platform() -> PlatformHandle {
    platform::start(PlatformSettings::default())
        .await
        .expect("the platform starts")
}

fn zone(index: usize) -> String {
    format!("zone-{}", index % 2)
}

/// Settings of one daemon, with short intervals.
pub fn settings(platform: &PlatformHandle, index: usize, extra: &[&str]) -> Settings {
    let tokens = json!([
        { "name": "writer", "token": WRITER_TOKEN, "role": "write" },
        { "name": "reader", "token": READER_TOKEN, "role": "read" },
    ]);
    let tokens = tokens.to_string().replace("\":", "\" =");
    let mut texts = vec![
        format!("node.id=daemon-{index}"),
        format!("node.zone={}", zone(index)),
        format!("platform.table={}", platform.table_url()),
        format!("platform.objects={}", platform.objects_url()),
        format!("platform.machines={}", platform.machines_url()),
        format!("api.tokens={tokens}"),
        "control.list_interval_millis=50".to_owned(),
        "control.poll_interval_millis=50".to_owned(),
        "control.standby_poll_interval_millis=100".to_owned(),
        "control.sync_interval_millis=500".to_owned(),
        "control.leave_notice_millis=0".to_owned(),
        "api.bookmark_interval_millis=100".to_owned(),
    ];
    texts.extend(extra.iter().map(|text| (*text).to_owned()));
    let overrides: Vec<Override> = texts
        .iter()
        .map(|text| text.parse().expect("a well-formed setting"))
        .collect();
    load(None, &overrides).expect("valid settings")
}
