//! The resources that a run declares.

use super::error::LaunchError;
use super::operator::Operator;
use super::wait::until;
use crate::load::Access;
use postgres_protocol::password::scram_sha_256;
use stilequay_daemon::domain::names::{GroupName, PolicyName};
use stilequay_daemon::domain::resource::{
    DatabaseGroupSpec, ResourceSpec, Secret, ServiceSpec, SessionPolicySpec,
};

/// The service that the load runs as.
pub const SERVICE: &str = "bench";
/// Its password.
pub const SERVICE_PASSWORD: &str = "bench-password";
/// The policy of its sessions.
pub const POLICY: &str = "bench";
/// Caller connections of the service at one daemon.
const SERVICE_CONNECTIONS: u32 = 10_000;
/// Statements of the service in flight at one home.
const SERVICE_IN_FLIGHT: u32 = 64;

/// User of the stand-in's servers.
pub const GROUP_USER: &str = "stilequay";
/// Password of that user.
pub const GROUP_PASSWORD: &str = "stilequay";
/// Database at the servers.
pub const GROUP_DATABASE: &str = "stilequay";

/// A resource and its name.
#[derive(Debug, Clone, PartialEq)]
pub struct NamedResource {
    /// The name.
    pub name: String,
    /// Kind and specification.
    pub spec: ResourceSpec,
}

impl NamedResource {
    /// A resource called `name`.
    pub fn new(name: &str, spec: ResourceSpec) -> Self {
        let name = name.to_owned();
        Self { name, spec }
    }
}

/// Policy, groups and service, those first that others refer to.
pub fn resources(
    policy: SessionPolicySpec,
    groups: Vec<(GroupName, DatabaseGroupSpec)>,
) -> Vec<NamedResource> {
    let service = ServiceSpec {
        verifier: Secret::new(scram_sha_256(SERVICE_PASSWORD.as_bytes())),
        groups: groups.iter().map(|(name, _)| name.clone()).collect(),
        policy: Some(PolicyName::from(POLICY)),
        max_connections: SERVICE_CONNECTIONS,
        max_in_flight: SERVICE_IN_FLIGHT,
    };
    let policy = ResourceSpec::SessionPolicy(policy.into());
    let mut resources = vec![NamedResource::new(POLICY, policy)];
    for (name, spec) in groups {
        let spec = ResourceSpec::DatabaseGroup(spec.into());
        resources.push(NamedResource::new(name.as_str(), spec));
    }
    let service = ResourceSpec::Service(service.into());
    resources.push(NamedResource::new(SERVICE, service));
    resources
}

/// How the service asks for `group`.
pub fn access(group: &GroupName) -> Access {
    Access {
        user: SERVICE.to_owned(),
        password: SERVICE_PASSWORD.to_owned(),
        database: group.as_str().to_owned(),
    }
}

/// How a stand-in's server is asked directly.
pub fn direct_access() -> Access {
    Access {
        user: GROUP_USER.to_owned(),
        password: GROUP_PASSWORD.to_owned(),
        database: GROUP_DATABASE.to_owned(),
    }
}

/// Creates `resources` and waits until they are in force on `daemons` daemons.
pub async fn declare(
    operator: &Operator,
    resources: &[NamedResource],
    daemons: usize,
) -> Result<(), LaunchError> {
    let mut versions = Vec::new();
    for resource in resources {
        versions.push(operator.create(&resource.name, &resource.spec).await?);
    }
    for (resource, version) in resources.iter().zip(versions) {
        in_force(operator, resource, version, daemons).await?;
    }
    Ok(())
}

/// Waits until `version` of a resource is in force on `daemons` daemons.
pub async fn in_force(
    operator: &Operator,
    resource: &NamedResource,
    version: u64,
    daemons: usize,
) -> Result<(), LaunchError> {
    let condition = format!("{} is in force on {daemons} daemons", resource.name);
    until(&condition, || async {
        let (name, spec) = (&resource.name, &resource.spec);
        let in_force = operator.is_in_force(name, spec, version, daemons).await;
        in_force.then_some(())
    })
    .await
}
