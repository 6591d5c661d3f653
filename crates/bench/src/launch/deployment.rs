//! The description of a deployment: zones, groups, delays and load, from a file.

use super::daemon::NetworkDelays;
use super::error::LaunchError;
use crate::load::Mix;
use serde::Deserialize;
use std::path::{Path, PathBuf};
use std::time::Duration;
use stilequay_coordination::identity::{RegionName, ZoneName};
use stilequay_daemon::domain::names::GroupName;
use stilequay_daemon::domain::resource::{Durability, SessionPolicySpec};

/// The name of the description within a deployment's directory.
pub const DEPLOYMENT_FILE: &str = "deployment.toml";

/// A deployment.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Its region.
    pub region: RegionName,
    /// Its zones.
    pub zones: Vec<ZoneName>,
    /// Daemons in each zone.
    pub daemons_per_zone: usize,
    /// Settings file of the daemons, beside the description; none for defaults.
    #[serde(default)]
    pub daemon_file: Option<PathBuf>,
    /// Further settings of the daemons, as `section.key=value`.
    #[serde(default)]
    pub daemon_settings: Vec<String>,
    /// Delays of the network.
    #[serde(default)]
    pub delays: NetworkDelays,
    /// Database groups.
    pub groups: Vec<GroupDeployment>,
    /// The policy of all sessions.
    #[serde(default)]
    pub policy: SessionPolicySpec,
    /// The load.
    #[serde(default)]
    pub load: LoadDeployment,
}

/// A database group of a deployment.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupDeployment {
    /// Its name.
    pub name: GroupName,
    /// Settings file of the stand-in, beside the description.
    #[serde(default)]
    pub file: Option<PathBuf>,
    /// Connections that all daemons together may hold to one server.
    pub connections_per_member: u32,
    /// What a write must have reached before it is acknowledged.
    #[serde(default)]
    pub durability: Durability,
    /// Interval between probes of a member.
    #[serde(default = "default_probe_interval_millis")]
    pub probe_interval_millis: u64,
}

fn default_probe_interval_millis() -> u64 {
    100
}

/// The load of a deployment.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoadDeployment {
    /// Number of sessions.
    pub sessions: usize,
    /// Pause of a session between operations.
    pub think_time_millis: u64,
    /// What the sessions do.
    pub mix: Mix,
}

impl Default for LoadDeployment {
    fn default() -> Self {
        Self {
            sessions: 12,
            think_time_millis: 5,
            mix: Mix::default(),
        }
    }
}

impl LoadDeployment {
    /// Pause of a session between operations.
    pub fn think_time(&self) -> Duration {
        Duration::from_millis(self.think_time_millis)
    }
}

impl Deployment {
    /// Reads the description in `directory`; paths in it are relative to there.
    pub fn load(directory: &Path) -> Result<Self, LaunchError> {
        let path = directory.join(DEPLOYMENT_FILE);
        let failed = |reason: String| {
            let reason = format!("{}: {reason}", path.display());
            LaunchError::Settings(reason)
        };
        let text = std::fs::read_to_string(&path).map_err(|error| failed(error.to_string()))?;
        let mut deployment: Self =
            toml::from_str(&text).map_err(|error| failed(error.to_string()))?;
        let files = deployment.groups.iter_mut().map(|group| &mut group.file);
        for file in files.chain([&mut deployment.daemon_file]).flatten() {
            *file = directory.join(&*file);
        }
        Ok(deployment)
    }

    /// A small one for tests: one group, `daemons` daemons in three zones, no delays.
    pub fn small(daemons: usize) -> Self {
        let zones = ["a", "b", "c"].map(ZoneName::from);
        Self {
            region: RegionName::new("test"),
            zones: zones.into_iter().take(daemons).collect(),
            daemons_per_zone: daemons.div_ceil(3),
            daemon_file: None,
            daemon_settings: Vec::new(),
            delays: NetworkDelays::default(),
            groups: vec![GroupDeployment {
                name: GroupName::from("orders"),
                file: None,
                connections_per_member: 30,
                durability: Durability::Majority,
                probe_interval_millis: default_probe_interval_millis(),
            }],
            policy: SessionPolicySpec::default(),
            load: LoadDeployment::default(),
        }
    }
}
