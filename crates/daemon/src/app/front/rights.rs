//! What the configuration in force lets a service do.

use super::reply::ErrorReply;
use crate::domain::configuration::Configuration;
use crate::domain::names::{GroupName, ServiceName};
use crate::domain::resource::{ServiceSpec, SessionPolicySpec};
use crate::ports::configuration::ConfigurationReceiver;
use std::sync::Arc;

/// SQLSTATE `cannot_connect_now`.
const CANNOT_CONNECT_NOW: &str = "57P03";
/// SQLSTATE `invalid_catalog_name`.
const UNKNOWN_DATABASE: &str = "3D000";
/// SQLSTATE `insufficient_privilege`.
const NOT_PERMITTED: &str = "42501";
/// SQLSTATE `invalid_authorization_specification`.
const INVALID_AUTHORIZATION: &str = "28000";

/// The configuration in force, or why nobody can be served yet.
pub(super) fn configuration(
    receiver: &ConfigurationReceiver,
) -> Result<Arc<Configuration>, ErrorReply> {
    receiver.borrow().clone().ok_or_else(|| {
        ErrorReply::fatal(
            CANNOT_CONNECT_NOW,
            "the proxy has not caught up with its configuration yet",
        )
    })
}

/// The session policy of a service that may use the group, or why it may not.
pub(super) fn policy_for(
    configuration: &Configuration,
    service_name: &ServiceName,
    group: &GroupName,
) -> Result<Arc<SessionPolicySpec>, ErrorReply> {
    let service = configuration.services.get(service_name).ok_or_else(|| {
        ErrorReply::fatal(
            INVALID_AUTHORIZATION,
            format!("the service \"{service_name}\" does not exist any more"),
        )
    })?;
    check_group(configuration, service_name, service, group)?;
    Ok(configuration.policy_of(service))
}

fn check_group(
    configuration: &Configuration,
    service_name: &ServiceName,
    service: &ServiceSpec,
    group: &GroupName,
) -> Result<(), ErrorReply> {
    if !configuration.groups.contains_key(group) {
        return Err(ErrorReply::fatal(
            UNKNOWN_DATABASE,
            format!("database \"{group}\" does not exist"),
        ));
    }
    if !service.groups.contains(group) {
        return Err(ErrorReply::fatal(
            NOT_PERMITTED,
            format!("the service \"{service_name}\" may not use the database \"{group}\""),
        ));
    }
    Ok(())
}
