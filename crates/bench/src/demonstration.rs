//! The whole system embedded in one process, for a first look.

use crate::checker::{ReadPromise, Report, check};
use crate::history::History;
use crate::launch::error::LaunchError;
use crate::launch::operator::{OPERATOR_TOKEN, Operator};
use crate::launch::resources;
use crate::load::run::{all_rows, final_state, prepare};
use crate::load::{Access, LoadResult, LoadSettings, Mix, run};
use std::net::SocketAddr;
use std::time::Duration;
use stilequay_coordination::identity::{NodeId, RegionName, ZoneName};
use stilequay_daemon::domain::names::{GroupName, MemberName};
use stilequay_daemon::domain::resource::{
    Consistency, DatabaseGroupSpec, Durability, GroupMemberSpec, Secret, SessionPolicySpec,
};
use stilequay_daemon::run::{self as daemon, RunningDaemon};
use stilequay_daemon::settings::{ApiRole, ApiToken, Settings};
use stilequay_standin::group::{self, GroupHandle, GroupSettings};
use stilequay_standin::platform::handle::{self as platform, PlatformHandle, PlatformSettings};
use stilequay_standin::platform::machines::Machine;
use tokio_util::sync::CancellationToken;

/// The database groups.
const GROUPS: [&str; 2] = ["orders", "stock"];
/// The zones, one daemon in each.
const ZONES: [&str; 3] = ["north", "centre", "south"];
/// The region of all zones.
const REGION: &str = "demo";
/// Connections that all daemons together may hold to one server.
const CONNECTIONS_PER_MEMBER: u32 = 30;
/// Interval between probes of a member, milliseconds.
const PROBE_INTERVAL_MILLIS: u64 = 100;
/// Interval between reads of the platform's list, milliseconds: the list is made
/// after the daemons, which are to find each other at once.
const LIST_INTERVAL_MILLIS: u64 = 200;
/// Sessions of the check.
const CHECK_SESSIONS: usize = 12;

/// The running system.
pub struct Demonstration {
    platform: PlatformHandle,
    groups: Vec<(GroupName, GroupHandle)>,
    daemons: Vec<RunningDaemon>,
}

/// What the check did and found.
#[derive(Debug)]
pub struct CheckResult {
    /// The load's figures.
    pub load: LoadResult,
    /// The checker's verdict.
    pub report: Report,
}

impl Demonstration {
    /// Starts the platform, the groups and the daemons, and waits until they serve.
    pub async fn start() -> Result<Self, LaunchError> {
        let failed = |error: std::io::Error| LaunchError::Start("platform".to_owned(), error);
        let platform = platform::start(PlatformSettings::default())
            .await
            .map_err(failed)?;
        let mut groups = Vec::new();
        for name in GROUPS {
            groups.push((GroupName::from(name), start_group(name).await?));
        }
        let mut daemons = Vec::new();
        for zone in ZONES {
            daemons.push(start_daemon(zone, &platform).await?);
        }
        platform.set_machines(daemons.iter().zip(ZONES).map(machine).collect());
        let demonstration = Self {
            platform,
            groups,
            daemons,
        };
        demonstration.declare().await?;
        Ok(demonstration)
    }

    async fn declare(&self) -> Result<(), LaunchError> {
        for daemon in &self.daemons {
            daemon.ready().await;
        }
        let policy = SessionPolicySpec {
            consistency: Consistency::Session,
            ..SessionPolicySpec::default()
        };
        let groups = self.groups.iter();
        let specs: Result<Vec<_>, LaunchError> = groups
            .map(|(name, handle)| Ok((name.clone(), group_spec(handle)?)))
            .collect();
        let operator = Operator::new(self.daemons[0].addresses.api);
        let resources = resources::resources(policy, specs?);
        resources::declare(&operator, &resources, self.daemons.len()).await
    }

    /// Where callers connect.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let daemons = self.daemons.iter();
        daemons.map(|daemon| daemon.addresses.callers).collect()
    }

    /// What a newcomer needs to know.
    pub fn describe(&self) -> String {
        let access = resources::access(&self.groups[0].0);
        let Access {
            user,
            password,
            database,
        } = &access;
        let callers = self.daemons[0].addresses.callers;
        let (host, port) = (callers.ip(), callers.port());
        let mut lines = vec![format!(
            "platform (table service): {}",
            self.platform.table_url()
        )];
        for (name, handle) in &self.groups {
            lines.push(format!("database group {name}: {}", member_list(handle)));
        }
        for daemon in &self.daemons {
            let addresses = daemon.addresses;
            lines.push(format!(
                "daemon {}: callers {}",
                daemon.node, addresses.callers
            ));
        }
        lines.push(format!(
            "operator API: http://{}/v1/databasegroups (bearer token {OPERATOR_TOKEN})",
            self.daemons[0].addresses.api
        ));
        lines.push(format!(
            "try: psql 'host={host} port={port} user={user} password={password} dbname={database} \
             options=-cstilequay.session=me'"
        ));
        lines.join("\n")
    }

    /// Runs roaming sessions for `duration` and checks what they were told.
    pub async fn check(&self, duration: Duration) -> Result<CheckResult, LaunchError> {
        let names = self.groups.iter().map(|(name, _)| name);
        let databases: Vec<_> = names.map(resources::access).collect();
        let endpoints = self.caller_addresses();
        for access in &databases {
            prepare(access, endpoints[0]).await?;
        }
        let settings = LoadSettings {
            endpoints,
            databases,
            sessions: CHECK_SESSIONS,
            named: true,
            mix: Mix::default(),
            think_time: Duration::ZERO,
            operations: None,
            seed: 1,
        };
        let stop = CancellationToken::new();
        let timer = stop.clone();
        tokio::spawn(async move {
            tokio::time::sleep(duration).await;
            timer.cancel();
        });
        let mut load = run(&settings, stop).await;
        let mut history = History {
            sessions: std::mem::take(&mut load.sessions),
            ..History::default()
        };
        for (name, handle) in &self.groups {
            let rows = rows_at_primary(handle).await?;
            let state = final_state(rows, Vec::new());
            history.groups.insert(name.clone(), state);
        }
        let report = check(&history, ReadPromise::Session);
        Ok(CheckResult { load, report })
    }

    /// Planned stop of all daemons, then of the groups.
    pub async fn stop(self) {
        for daemon in self.daemons {
            daemon.stop().await;
        }
        for (_, handle) in self.groups {
            handle.stop().await;
        }
    }
}

async fn start_group(name: &str) -> Result<GroupHandle, LaunchError> {
    let settings = GroupSettings {
        name: name.to_owned(),
        ..GroupSettings::default()
    };
    let started = group::start(settings).await;
    started.map_err(|error| LaunchError::Database(error.to_string()))
}

async fn start_daemon(zone: &str, platform: &PlatformHandle) -> Result<RunningDaemon, LaunchError> {
    let node = format!("{zone}-0");
    let mut settings = Settings::default();
    settings.node.id = NodeId::new(node.clone());
    settings.node.zone = ZoneName::from(zone);
    settings.node.region = RegionName::from(REGION);
    settings.platform.table = platform.table_url();
    settings.platform.objects = platform.objects_url();
    settings.platform.machines = platform.machines_url();
    settings.control.list_interval_millis = LIST_INTERVAL_MILLIS;
    settings.api.tokens = vec![ApiToken {
        name: "demo".to_owned(),
        token: Secret::new(OPERATOR_TOKEN),
        role: ApiRole::Write,
    }];
    let started = daemon::start(settings).await;
    started.map_err(|error| LaunchError::NotReady(node, error.to_string()))
}

fn machine((daemon, zone): (&RunningDaemon, &str)) -> Machine {
    Machine {
        node: daemon.node.to_string(),
        zone: zone.to_owned(),
        region: REGION.to_owned(),
        peer_address: daemon.addresses.peer.to_string(),
        control_address: daemon.addresses.control.to_string(),
        leaving: false,
    }
}

fn group_spec(handle: &GroupHandle) -> Result<DatabaseGroupSpec, LaunchError> {
    let settings = GroupSettings::default();
    let members = handle.reports().into_iter().zip(ZONES);
    let members = members.map(|(report, zone)| GroupMemberSpec {
        name: MemberName::new(report.name),
        address: report.address.to_string(),
        zone: ZoneName::from(zone),
        leaving: false,
    });
    Ok(DatabaseGroupSpec {
        members: members.collect(),
        database: resources::GROUP_DATABASE.to_owned(),
        user: settings.user,
        password: Secret::new(settings.password),
        connections_per_member: CONNECTIONS_PER_MEMBER,
        durability: Durability::Majority,
        probe_interval_millis: PROBE_INTERVAL_MILLIS,
    })
}

fn member_list(handle: &GroupHandle) -> String {
    let reports = handle.reports().into_iter();
    let members: Vec<_> = reports
        .map(|report| format!("{} {}", report.name, report.address))
        .collect();
    members.join(", ")
}

async fn rows_at_primary(handle: &GroupHandle) -> Result<Vec<crate::history::Row>, LaunchError> {
    let no_primary = || LaunchError::Database("there is no primary".to_owned());
    let primary = handle.primary().ok_or_else(no_primary)?;
    let address = handle.address(&primary);
    let address = address.map_err(|error| LaunchError::Database(error.to_string()))?;
    all_rows(&resources::direct_access(), address).await
}
