//! What the configuration in force lets a service do.

use crate::domain::configuration::Configuration;
use crate::domain::names::{GroupName, ServiceName};
use crate::domain::resource::{ServiceSpec, SessionPolicySpec};
use crate::ports::configuration::ConfigurationReceiver;
use quick_error::quick_error;
use std::sync::Arc;

quick_error! {
    /// Why a service may not use a database.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum AccessError {
        /// Nobody can be served yet.
        NotCaughtUp {
            display("the proxy has not caught up with its configuration yet")
        }
        /// The service is not declared any more.
        UnknownService(service: ServiceName) {
            display("the service \"{service}\" does not exist any more")
        }
        /// The database group is not declared.
        UnknownGroup(group: GroupName) {
            display("database \"{group}\" does not exist")
        }
        /// The service is not declared to use the group.
        NotPermitted(service: ServiceName, group: GroupName) {
            display("the service \"{service}\" may not use the database \"{group}\"")
        }
    }
}

/// The configuration in force, or why nobody can be served yet.
///
/// # Errors
///
/// [`AccessError::NotCaughtUp`] before the first configuration.
pub fn configuration(receiver: &ConfigurationReceiver) -> Result<Arc<Configuration>, AccessError> {
    let configuration = receiver.borrow().clone();
    configuration.ok_or(AccessError::NotCaughtUp)
}

/// The session policy of a service that may use the group.
///
/// # Errors
///
/// [`AccessError`] where it may not.
pub fn policy_for(
    configuration: &Configuration,
    service_name: &ServiceName,
    group: &GroupName,
) -> Result<Arc<SessionPolicySpec>, AccessError> {
    let service = configuration.services.get(service_name);
    let unknown = || AccessError::UnknownService(service_name.clone());
    let service = service.ok_or_else(unknown)?;
    check_group(configuration, service_name, service, group)?;
    Ok(configuration.policy_of(service))
}

fn check_group(
    configuration: &Configuration,
    service_name: &ServiceName,
    service: &ServiceSpec,
    group: &GroupName,
) -> Result<(), AccessError> {
    if !configuration.groups.contains_key(group) {
        return Err(AccessError::UnknownGroup(group.clone()));
    }
    if !service.groups.contains(group) {
        return Err(AccessError::NotPermitted(
            service_name.clone(),
            group.clone(),
        ));
    }
    Ok(())
}
