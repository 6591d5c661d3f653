//! The configuration that operators declare.

use crate::names::{DatabaseName, GroupName, TenantName};
use crate::residency::Residency;
use crate::tenant::{Credential, Tenant};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::hash::Hash;
use std::sync::Arc;
use std::time::Duration;

/// The consistency of a session's reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Consistency {
    /// Reads see every commit of any session that was acknowledged before them.
    Leader,
    /// Reads see every commit that was acknowledged longer ago than the route's maximum staleness.
    BoundedStaleness,
    /// Like bounded staleness; in addition, reads see every earlier commit of the same session.
    ReadYourWrites,
}

impl Consistency {
    /// The name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Consistency::Leader => "leader",
            Consistency::BoundedStaleness => "bounded_staleness",
            Consistency::ReadYourWrites => "read_your_writes",
        }
    }
}

/// The settings of the sessions of one database.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The group that runs the statements.
    pub group: GroupName,
    /// The consistency of reads.
    pub consistency: Consistency,
    /// Maximum staleness of reads; zero for [`Consistency::Leader`].
    pub max_staleness: Duration,
    /// Timeout of one statement.
    pub timeout: Duration,
    /// Latency objective of one statement.
    pub objective: Duration,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Whether callers may connect without a credential.
    #[serde(default)]
    pub is_public: bool,
    /// The regions in which its statements may run.
    #[serde(default)]
    pub residency: Residency,
}

/// Load limits for a member that has just started.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct SlowStart {
    /// How long slow start lasts after the member's start.
    pub duration: Duration,
    /// Statements per second that it accepts meanwhile from all processes together.
    pub per_second: f64,
}

/// The settings of one group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupSettings {
    /// Total number of connections that one member accepts.
    pub member_connections: usize,
    /// Number of replicas that must have received a commit before it is acknowledged.
    pub sync_replicas: usize,
    /// Limits for members that have just started; `None` for no slow start.
    #[serde(default)]
    pub slow_start: Option<SlowStart>,
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Configuration {
    /// Its version, which increases with each change.
    pub version: u64,
    /// Routes by database.
    pub routes: HashMap<DatabaseName, Arc<Route>>,
    /// Groups.
    pub groups: HashMap<GroupName, GroupSettings>,
    /// Tenants.
    pub tenants: HashMap<TenantName, Arc<Tenant>>,
    /// The tenant of each credential.
    pub credentials: HashMap<Credential, TenantName>,
    /// Idle timeout inside a transaction.
    pub transaction_idle: Option<Duration>,
}

/// The difference between two versions of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationChanges {
    /// The version to which the changes apply.
    pub from: u64,
    /// The resulting version.
    pub version: u64,
    /// Added or changed routes.
    pub routes: HashMap<DatabaseName, Arc<Route>>,
    /// Removed routes.
    pub removed_routes: Vec<DatabaseName>,
    /// Added or changed groups.
    pub groups: HashMap<GroupName, GroupSettings>,
    /// Removed groups.
    pub removed_groups: Vec<GroupName>,
    /// Added or changed tenants.
    pub tenants: HashMap<TenantName, Arc<Tenant>>,
    /// Removed tenants.
    pub removed_tenants: Vec<TenantName>,
    /// Added credentials, and credentials that now belong to another tenant.
    pub credentials: HashMap<Credential, TenantName>,
    /// Revoked credentials.
    pub removed_credentials: Vec<Credential>,
    /// Idle timeout inside a transaction.
    pub transaction_idle: Option<Duration>,
}

impl Configuration {
    /// Computes the changes since `earlier`.
    ///
    /// ```
    /// use stilequay_engine::configuration::Configuration;
    /// let earlier = Configuration { version: 1, ..Default::default() };
    /// let later = Configuration { version: 4, ..Default::default() };
    /// let changes = later.changes_since(&earlier);
    /// assert_eq!(earlier.apply(changes), Some(later));
    /// ```
    pub fn changes_since(&self, earlier: &Self) -> ConfigurationChanges {
        ConfigurationChanges {
            from: earlier.version,
            version: self.version,
            routes: changed_entries(&self.routes, &earlier.routes),
            removed_routes: removed_keys(&self.routes, &earlier.routes),
            groups: changed_entries(&self.groups, &earlier.groups),
            removed_groups: removed_keys(&self.groups, &earlier.groups),
            tenants: changed_entries(&self.tenants, &earlier.tenants),
            removed_tenants: removed_keys(&self.tenants, &earlier.tenants),
            credentials: changed_entries(&self.credentials, &earlier.credentials),
            removed_credentials: removed_keys(&self.credentials, &earlier.credentials),
            transaction_idle: self.transaction_idle,
        }
    }

    /// Applies `changes` to this configuration; returns `None` if they are based on another
    /// version.
    pub fn apply(&self, changes: ConfigurationChanges) -> Option<Self> {
        if changes.from != self.version {
            return None;
        }
        let mut next = self.clone();
        next.version = changes.version;
        next.transaction_idle = changes.transaction_idle;
        apply_changes(&mut next.routes, changes.routes, &changes.removed_routes);
        apply_changes(&mut next.groups, changes.groups, &changes.removed_groups);
        apply_changes(&mut next.tenants, changes.tenants, &changes.removed_tenants);
        apply_changes(
            &mut next.credentials,
            changes.credentials,
            &changes.removed_credentials,
        );
        Some(next)
    }

    /// The regions in which statements for `database` on behalf of `tenant` may run. A database or
    /// tenant that isn't in this configuration adds no restriction.
    pub fn residency(&self, database: &str, tenant: Option<&TenantName>) -> Residency {
        let route = self.routes.get(database).map(|route| &route.residency);
        let tenant = tenant.and_then(|name| self.tenants.get(name));
        let tenant = tenant.map(|tenant| &tenant.residency);
        let anywhere = &Residency::ANYWHERE;
        route
            .unwrap_or(anywhere)
            .intersection(tenant.unwrap_or(anywhere))
    }

    /// The tenant that `credential` belongs to.
    pub fn tenant_of(&self, credential: &Credential) -> Option<&Arc<Tenant>> {
        self.tenants.get(self.credentials.get(credential)?)
    }
}

/// Applies added, changed and removed entries to `entries`.
fn apply_changes<K: Eq + Hash, V>(
    entries: &mut HashMap<K, V>,
    changed: HashMap<K, V>,
    removed: &[K],
) {
    for key in removed {
        entries.remove(key);
    }
    entries.extend(changed);
}

/// The entries of `later` that are missing or different in `earlier`.
fn changed_entries<K: Clone + Eq + Hash, V: Clone + PartialEq>(
    later: &HashMap<K, V>,
    earlier: &HashMap<K, V>,
) -> HashMap<K, V> {
    let entries = later.iter();
    let differing = entries.filter(|(key, value)| earlier.get(*key) != Some(*value));
    differing
        .map(|(key, value)| (key.clone(), value.clone()))
        .collect()
}

/// The keys of `earlier` that are missing in `later`.
fn removed_keys<K: Clone + Eq + Hash, V>(later: &HashMap<K, V>, earlier: &HashMap<K, V>) -> Vec<K> {
    let keys = earlier.keys();
    keys.filter(|key| !later.contains_key(*key))
        .cloned()
        .collect()
}
