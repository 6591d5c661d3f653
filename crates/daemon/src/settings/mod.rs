//! Settings of a daemon: what it must know before it can ask anybody.
//!
//! Everything has a default except the daemon's own name and zone and the
//! platform's addresses. Unknown keys are refused.

mod check;
mod control;
mod load;

pub use control::ControlSettings;
pub use load::{Override, SettingsError, default_file, load};

use crate::adapters::platform::guard::GuardSettings;
use crate::app::front::FrontSettings;
use crate::app::home::HomeSettings;
use crate::domain::resource::Secret;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use stilequay_coordination::identity::{NodeId, RegionName, ZoneName};

/// All settings of a daemon, one section for each concern.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Who and where the daemon is.
    pub node: NodeSettings,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// Addresses to tell other daemons.
    pub advertise: AdvertiseSettings,
    /// Where the platform is.
    pub platform: PlatformSettings,
    /// Callers' side of the data path.
    pub front: FrontSettings,
    /// Back ends' side of the data path.
    pub home: HomeSettings,
    /// Following the configuration, and stopping.
    pub control: ControlSettings,
    /// The operators' API.
    pub api: ApiSettings,
    /// Log lines.
    pub log: LogSettings,
}

/// Who and where the daemon is.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NodeSettings {
    /// Name, unique in the fleet.
    pub id: NodeId,
    /// Zone it runs in.
    pub zone: ZoneName,
    /// Region of the zone.
    pub region: RegionName,
    /// Whether settings that switch guarantees off are accepted; for tests of the
    /// checks only.
    pub allow_mutants: bool,
}

impl Default for NodeSettings {
    fn default() -> Self {
        Self {
            id: NodeId::new(""),
            zone: ZoneName::new(""),
            region: RegionName::new("local"),
            allow_mutants: false,
        }
    }
}

/// Addresses to listen on, `ip:port`; port 0 lets the system choose.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListenSettings {
    /// Callers, PostgreSQL protocol.
    pub callers: SocketAddr,
    /// Other daemons, data path.
    pub peer: SocketAddr,
    /// Other daemons, control.
    pub control: SocketAddr,
    /// Operators, HTTP.
    pub api: SocketAddr,
}

impl Default for ListenSettings {
    fn default() -> Self {
        let any_local_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            callers: any_local_port,
            peer: any_local_port,
            control: any_local_port,
            api: any_local_port,
        }
    }
}

/// Addresses to tell other daemons, where they differ from those listened on.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdvertiseSettings {
    /// Data path; the bound address where absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub peer: Option<SocketAddr>,
    /// Control; the bound address where absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub control: Option<SocketAddr>,
}

/// Where the platform is, and how hard it may be asked.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformSettings {
    /// URL of the table service.
    pub table: String,
    /// URL of the object store.
    pub objects: String,
    /// URL of the list of machines, without its path.
    pub machines: String,
    /// Time a call may take, milliseconds.
    pub call_timeout_millis: u64,
    /// How hard each of its services may be asked.
    pub guard: GuardSettings,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            table: String::new(),
            objects: String::new(),
            machines: String::new(),
            call_timeout_millis: 1_000,
            guard: GuardSettings::default(),
        }
    }
}

impl PlatformSettings {
    /// Time a call may take.
    pub fn call_timeout(&self) -> Duration {
        Duration::from_millis(self.call_timeout_millis)
    }
}

/// The operators' API.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ApiSettings {
    /// Who may use it; nobody where empty.
    pub tokens: Vec<ApiToken>,
    /// Largest request body, bytes.
    pub max_body_bytes: usize,
    /// Changes kept in memory for watches.
    pub watch_history: usize,
    /// Interval between bookmarks of a watch, milliseconds.
    pub bookmark_interval_millis: u64,
    /// Time a request may wait for the platform or for a revision, milliseconds.
    pub request_timeout_millis: u64,
}

impl Default for ApiSettings {
    fn default() -> Self {
        Self {
            tokens: Vec::new(),
            max_body_bytes: 1 << 20,
            watch_history: 10_000,
            bookmark_interval_millis: 5_000,
            request_timeout_millis: 10_000,
        }
    }
}

impl ApiSettings {
    /// Interval between bookmarks of a watch.
    pub fn bookmark_interval(&self) -> Duration {
        Duration::from_millis(self.bookmark_interval_millis)
    }

    /// Time a request may wait for the platform or for a revision.
    pub fn request_timeout(&self) -> Duration {
        Duration::from_millis(self.request_timeout_millis)
    }
}

/// An operator's bearer token.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApiToken {
    /// Whose it is; written into the audit lines.
    pub name: String,
    /// The token.
    pub token: Secret,
    /// What it allows.
    pub role: ApiRole,
}

/// What an operator may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ApiRole {
    /// Get, list and watch.
    Read,
    /// Also create, replace, patch and delete.
    Write,
}

/// Log lines.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Least severe level that is written.
    pub level: LogLevel,
    /// Levels of single targets (module paths), which override `level`.
    pub targets: BTreeMap<String, LogLevel>,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LogLevel::Info,
            targets: BTreeMap::new(),
        }
    }
}

/// A level of severity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Nothing.
    Off,
    /// Something failed that the daemon can't mend.
    Error,
    /// Something failed that the daemon works around.
    Warn,
    /// Normal, rare events.
    Info,
    /// Details of requests.
    Debug,
    /// Everything.
    Trace,
}
