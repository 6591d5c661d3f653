//! Resources that operators declare: database groups, services, session policies.

use super::document::ResourceKind;
use super::names::{GroupName, MemberName, PolicyName};
use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;
use stilequay_coordination::identity::ZoneName;

/// A secret that never shows in logs.
#[derive(Clone, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Secret(String);

impl<'de> Deserialize<'de> for Secret {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        // Any value: asked for text alone, some formats would make the error themselves.
        deserializer.deserialize_any(SecretVisitor)
    }
}

/// Takes text. The errors of other values, which may be secrets that lack their
/// quotes, don't show them.
struct SecretVisitor;

impl Visitor<'_> for SecretVisitor {
    type Value = Secret;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("text")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Secret, E> {
        Ok(Secret::new(text))
    }

    fn visit_i64<E: Error>(self, _: i64) -> Result<Secret, E> {
        Err(E::custom("must be text"))
    }

    fn visit_u64<E: Error>(self, _: u64) -> Result<Secret, E> {
        Err(E::custom("must be text"))
    }

    fn visit_f64<E: Error>(self, _: f64) -> Result<Secret, E> {
        Err(E::custom("must be text"))
    }

    fn visit_bool<E: Error>(self, _: bool) -> Result<Secret, E> {
        Err(E::custom("must be text"))
    }
}

impl Secret {
    /// Wraps a secret.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// The secret itself; never to be logged.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("(secret)")
    }
}

/// A database group and how the proxy reaches it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct DatabaseGroupSpec {
    /// The servers of the group.
    pub members: Vec<GroupMemberSpec>,
    /// Database name at the back ends.
    pub database: String,
    /// User at the back ends.
    pub user: String,
    /// Password at the back ends.
    pub password: Secret,
    /// Connections that all homes together may hold to one server.
    pub connections_per_member: u32,
    /// What a write must have reached before it is acknowledged.
    #[serde(default)]
    pub durability: Durability,
    /// Interval between probes of a member, milliseconds.
    #[serde(default = "default_probe_interval_millis")]
    pub probe_interval_millis: u64,
}

fn default_probe_interval_millis() -> u64 {
    100
}

/// A server of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct GroupMemberSpec {
    /// Its name, unique in the group.
    pub name: MemberName,
    /// `ip:port`.
    pub address: String,
    /// The zone it runs in.
    pub zone: ZoneName,
    /// Whether it is leaving: gets no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// What a write must have reached before it is acknowledged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Durability {
    /// A majority of the members has received it.
    #[default]
    Majority,
    /// The primary has committed it; it may be lost with the primary.
    Primary,
}

/// A service: callers that share one credential.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ServiceSpec {
    /// The SCRAM-SHA-256 verifier in PostgreSQL's own form,
    /// `SCRAM-SHA-256$<iterations>:<salt>$<stored key>:<server key>`.
    pub verifier: Secret,
    /// Groups the service may use.
    pub groups: Vec<GroupName>,
    /// How its sessions are treated.
    #[serde(default)]
    pub policy: Option<PolicyName>,
    /// Greatest number of caller connections at one daemon.
    #[serde(default = "default_max_connections")]
    pub max_connections: u32,
    /// Greatest number of statements in flight at one home.
    #[serde(default = "default_max_in_flight")]
    pub max_in_flight: u32,
}

fn default_max_connections() -> u32 {
    1_000
}

fn default_max_in_flight() -> u32 {
    64
}

/// How sessions are treated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub struct SessionPolicySpec {
    /// How fresh reads must be.
    pub consistency: Consistency,
    /// With bounded staleness: greatest age, milliseconds.
    pub max_staleness_millis: u64,
    /// With bounded staleness: greatest distance, bytes of log.
    pub max_staleness_bytes: u64,
    /// With bounded staleness: answer although no member is within the bounds.
    pub answer_beyond_bounds: bool,
    /// Time a request may take, milliseconds.
    pub request_timeout_millis: u64,
    /// Whether a write without a mark may be repeated after `MayHaveRun`.
    pub unmarked_writes_repeatable: bool,
}

impl Default for SessionPolicySpec {
    fn default() -> Self {
        Self {
            consistency: Consistency::Strong,
            max_staleness_millis: 5_000,
            max_staleness_bytes: 16 << 20,
            answer_beyond_bounds: true,
            request_timeout_millis: 10_000,
            unmarked_writes_repeatable: false,
        }
    }
}

impl SessionPolicySpec {
    /// Time a request may take.
    pub fn request_timeout(&self) -> Duration {
        Duration::from_millis(self.request_timeout_millis)
    }
}

/// How fresh a session's reads must be.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Consistency {
    /// Every read sees every write acknowledged before it arrived (barrier).
    #[default]
    Strong,
    /// A read sees the session's own writes (token or floor register, else barrier).
    Session,
    /// A read may be stale within bounds.
    BoundedStaleness,
}

/// The specification of a resource of any kind.
///
/// Shared, since the catalogue and the configuration in force both hold it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "spec")]
pub enum ResourceSpec {
    /// A database group.
    DatabaseGroup(Arc<DatabaseGroupSpec>),
    /// A service.
    Service(Arc<ServiceSpec>),
    /// A session policy.
    SessionPolicy(Arc<SessionPolicySpec>),
}

impl ResourceSpec {
    /// The kind of the resource.
    pub fn kind(&self) -> ResourceKind {
        match self {
            Self::DatabaseGroup(_) => ResourceKind::DatabaseGroup,
            Self::Service(_) => ResourceKind::Service,
            Self::SessionPolicy(_) => ResourceKind::SessionPolicy,
        }
    }
}
