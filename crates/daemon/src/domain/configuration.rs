//! The configuration in force at a daemon: an immutable picture of one revision.

use super::document::{ResourceKey, ResourceKind};
use super::names::{GroupName, PolicyName, Revision, ServiceName};
use super::resource::{DatabaseGroupSpec, ResourceSpec, ServiceSpec, SessionPolicySpec};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Everything operators have declared, as of one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Configuration {
    /// The last change contained.
    pub revision: Revision,
    /// Database groups.
    pub groups: BTreeMap<GroupName, Arc<DatabaseGroupSpec>>,
    /// Services.
    pub services: BTreeMap<ServiceName, Arc<ServiceSpec>>,
    /// Session policies.
    pub policies: BTreeMap<PolicyName, Arc<SessionPolicySpec>>,
}

impl Configuration {
    /// The policy of a service: its own, or the default where it names none.
    pub fn policy_of(&self, service: &ServiceSpec) -> Arc<SessionPolicySpec> {
        service
            .policy
            .as_ref()
            .and_then(|name| self.policies.get(name).cloned())
            .unwrap_or_default()
    }

    /// Adds a resource, or replaces it.
    pub fn insert(&mut self, name: &str, spec: &ResourceSpec) {
        match spec {
            ResourceSpec::DatabaseGroup(spec) => {
                self.groups.insert(GroupName::new(name), spec.clone());
            }
            ResourceSpec::Service(spec) => {
                self.services.insert(ServiceName::new(name), spec.clone());
            }
            ResourceSpec::SessionPolicy(spec) => {
                self.policies.insert(PolicyName::new(name), spec.clone());
            }
        }
    }

    /// Removes a resource, if it is there.
    pub fn remove(&mut self, key: &ResourceKey) {
        match key.kind {
            ResourceKind::DatabaseGroup => {
                self.groups.remove(&GroupName::new(&key.name));
            }
            ResourceKind::Service => {
                self.services.remove(&ServiceName::new(&key.name));
            }
            ResourceKind::SessionPolicy => {
                self.policies.remove(&PolicyName::new(&key.name));
            }
        }
    }
}
