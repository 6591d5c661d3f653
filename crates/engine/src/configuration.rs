//! The configuration that an operator has declared, as a whole.

use crate::names::{DatabaseName, GroupName, TenantName};
use crate::residency::Residency;
use crate::tenant::{Credential, Tenant};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::hash::Hash;
use std::sync::Arc;
use std::time::Duration;

/// How fresh a session's reads are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Consistency {
    /// Reads see every commit that was acknowledged before them, of any session.
    Leader,
    /// Reads see every commit acknowledged longer ago than the route's staleness.
    BoundedStaleness,
    /// As bounded staleness, and every commit of the same session.
    ReadYourWrites,
}

impl Consistency {
    /// Its name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Consistency::Leader => "leader",
            Consistency::BoundedStaleness => "bounded_staleness",
            Consistency::ReadYourWrites => "read_your_writes",
        }
    }
}

/// How the sessions of one database are treated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The group that runs the statements.
    pub group: GroupName,
    /// How fresh reads are.
    pub consistency: Consistency,
    /// Age that reads may have; zero for [`Consistency::Leader`].
    pub max_staleness: Duration,
    /// Longest time for one statement.
    pub timeout: Duration,
    /// Latency that callers hope for.
    pub objective: Duration,
    /// Rank; 0 is highest.
    pub priority: u32,
    /// Whether callers need no credential.
    #[serde(default)]
    pub is_public: bool,
    /// Where its statements may run.
    #[serde(default)]
    pub residency: Residency,
}

/// How much a member takes that has just come up.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct SlowStart {
    /// How long it counts as cold from its start.
    pub duration: Duration,
    /// Statements a second that it takes meanwhile from all processes together.
    pub per_second: f64,
}

/// What holds for one group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupSettings {
    /// Connections that one member accepts from all callers together.
    pub member_connections: usize,
    /// Replicas that must have received a commit before it is acknowledged.
    pub sync_replicas: usize,
    /// What cold members take; `None` where they take as much as any.
    #[serde(default)]
    pub slow_start: Option<SlowStart>,
}

/// A configuration as of one version.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Configuration {
    /// Rises with each change.
    pub version: u64,
    /// Routes by database.
    pub routes: HashMap<DatabaseName, Arc<Route>>,
    /// Groups.
    pub groups: HashMap<GroupName, GroupSettings>,
    /// Tenants.
    pub tenants: HashMap<TenantName, Arc<Tenant>>,
    /// Whose each credential is.
    pub credentials: HashMap<Credential, TenantName>,
    /// Longest rest inside a transaction.
    pub transaction_idle: Option<Duration>,
}

/// What sets one version of the configuration apart from an earlier one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationChanges {
    /// The version that the changes are to be applied to.
    pub from: u64,
    /// The version that comes of it.
    pub version: u64,
    /// Routes that are new or different.
    pub routes: HashMap<DatabaseName, Arc<Route>>,
    /// Routes that are no longer there.
    pub removed_routes: Vec<DatabaseName>,
    /// Groups that are new or different.
    pub groups: HashMap<GroupName, GroupSettings>,
    /// Groups that are no longer there.
    pub removed_groups: Vec<GroupName>,
    /// Tenants that are new or different.
    pub tenants: HashMap<TenantName, Arc<Tenant>>,
    /// Tenants that are no longer there.
    pub removed_tenants: Vec<TenantName>,
    /// Credentials that are new, or of another tenant.
    pub credentials: HashMap<Credential, TenantName>,
    /// Credentials that are no longer good.
    pub removed_credentials: Vec<Credential>,
    /// Longest rest inside a transaction.
    pub transaction_idle: Option<Duration>,
}

impl Configuration {
    /// What has changed since `earlier`.
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

    /// This configuration with `changes`; `None` where they are of another version.
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

    /// The regions in which statements for `database` on behalf of `tenant` may run. What is
    /// not in this configuration binds nothing.
    pub fn residency(&self, database: &str, tenant: Option<&TenantName>) -> Residency {
        let route = self.routes.get(database).map(|route| &route.residency);
        let tenant = tenant.and_then(|name| self.tenants.get(name));
        let tenant = tenant.map(|tenant| &tenant.residency);
        let anywhere = &Residency::ANYWHERE;
        route
            .unwrap_or(anywhere)
            .intersection(tenant.unwrap_or(anywhere))
    }

    /// The tenant whose credential this is.
    pub fn tenant_of(&self, credential: &Credential) -> Option<&Arc<Tenant>> {
        self.tenants.get(self.credentials.get(credential)?)
    }
}

/// Takes what is new or different into `entries`, and drops what was removed.
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

/// The entries of `later` that `earlier` has not, or has otherwise.
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

/// The keys in `earlier` that `later` has not.
fn removed_keys<K: Clone + Eq + Hash, V>(later: &HashMap<K, V>, earlier: &HashMap<K, V>) -> Vec<K> {
    let keys = earlier.keys();
    keys.filter(|key| !later.contains_key(*key))
        .cloned()
        .collect()
}
