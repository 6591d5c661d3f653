//! A whole deployment as separate processes.

use super::daemon::{Daemon, DaemonLinks, DaemonSettings, machine};
use super::deployment::Deployment;
use super::error::LaunchError;
use super::group::Group;
use super::links::FaultProxy;
use super::operator::Operator;
use super::platform::Platform;
use super::resources::{self, GROUP_DATABASE, GROUP_PASSWORD, GROUP_USER, NamedResource};
use super::wait::until;
use crate::load::Access;
use std::net::SocketAddr;
use stilequay_coordination::identity::NodeId;
use stilequay_daemon::domain::names::MemberName;
use stilequay_daemon::domain::resource::{DatabaseGroupSpec, GroupMemberSpec, Secret};

/// The running processes; all end when this is dropped.
#[derive(Debug)]
pub struct Topology {
    /// What was asked for.
    pub deployment: Deployment,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    /// The database groups.
    pub groups: Vec<Group>,
    /// The platform.
    pub platform: Platform,
    /// The proxy that all links belong to.
    pub proxy: FaultProxy,
}

impl Topology {
    /// Starts everything, declares the resources and waits until every daemon
    /// serves every group.
    pub async fn start(deployment: Deployment) -> Result<Self, LaunchError> {
        let proxy = FaultProxy::start().await?;
        let platform = Platform::start().await?;
        let mut groups = Vec::new();
        for group in &deployment.groups {
            let delay = deployment.delays.member_micros;
            groups.push(Group::start(group.clone(), &proxy, delay).await?);
        }
        let daemons = start_daemons(&deployment, &proxy, &platform).await?;
        let topology = Self {
            deployment,
            daemons,
            groups,
            platform,
            proxy,
        };
        let resources = topology.resources();
        resources::declare(&topology.operator(), &resources, topology.daemons.len()).await?;
        topology.serves().await?;
        Ok(topology)
    }

    /// Where callers connect, over the links.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(Daemon::caller_address).collect()
    }

    /// How callers ask for each of the groups.
    pub fn accesses(&self) -> Vec<Access> {
        let names = self.groups.iter().map(|group| &group.deployment.name);
        names.map(resources::access).collect()
    }

    /// An operator at the first daemon.
    pub fn operator(&self) -> Operator {
        self.daemons[0].operator()
    }

    /// All resources, those first that others refer to.
    pub fn resources(&self) -> Vec<NamedResource> {
        let groups = self.groups.iter();
        let specs = groups.map(|group| (group.deployment.name.clone(), self.group_spec(group)));
        resources::resources(self.deployment.policy.clone(), specs.collect())
    }

    /// A group as its resource declares it.
    pub fn group_spec(&self, group: &Group) -> DatabaseGroupSpec {
        let zones = self.deployment.zones.iter().cycle();
        let members = group
            .members
            .iter()
            .zip(zones)
            .map(|(member, zone)| GroupMemberSpec {
                name: MemberName::new(member.name.clone()),
                address: member.link.address().to_string(),
                zone: zone.clone(),
                leaving: false,
            });
        DatabaseGroupSpec {
            members: members.collect(),
            database: GROUP_DATABASE.to_owned(),
            user: GROUP_USER.to_owned(),
            password: Secret::new(GROUP_PASSWORD),
            connections_per_member: group.deployment.connections_per_member,
            durability: group.deployment.durability,
            probe_interval_millis: group.deployment.probe_interval_millis,
        }
    }

    /// Waits until every daemon serves every group.
    pub async fn serves(&self) -> Result<(), LaunchError> {
        for daemon in &self.daemons {
            for access in self.accesses() {
                until("a daemon answers for a group", || async {
                    let address = daemon.direct_caller_address();
                    let connection = access.connect(address, None).await.ok()?;
                    connection.client.simple_query("SELECT 1").await.ok()
                })
                .await?;
            }
        }
        Ok(())
    }

    /// Ends all faults of links, groups and the platform. Daemons are not touched.
    pub async fn heal(&self) -> Result<(), LaunchError> {
        self.platform.heal().await?;
        for daemon in &self.daemons {
            daemon.links.callers.heal().await?;
            daemon.links.peer.heal().await?;
            daemon.links.control.heal().await?;
        }
        for group in &self.groups {
            group.heal().await?;
        }
        Ok(())
    }
}

/// The links come first, since daemons advertise them; the platform's list is
/// complete before the first daemon reads it.
async fn start_daemons(
    deployment: &Deployment,
    proxy: &FaultProxy,
    platform: &Platform,
) -> Result<Vec<Daemon>, LaunchError> {
    let mut planned = Vec::new();
    for zone in &deployment.zones {
        for number in 0..deployment.daemons_per_zone {
            let mut overrides = platform.daemon_settings().to_vec();
            overrides.extend(deployment.daemon_settings.iter().cloned());
            let settings = DaemonSettings {
                node: NodeId::new(format!("{zone}-{number}")),
                zone: zone.clone(),
                region: deployment.region.clone(),
                file: deployment.daemon_file.clone(),
                overrides,
            };
            let links = DaemonLinks::add(proxy, deployment.delays).await?;
            planned.push((settings, links));
        }
    }
    let machines: Vec<_> = planned
        .iter()
        .map(|(settings, links)| machine(settings, links))
        .collect();
    platform.set_machines(&machines).await?;
    let starting = planned
        .into_iter()
        .map(|(settings, links)| Daemon::start(settings, links));
    futures::future::try_join_all(starting).await
}
