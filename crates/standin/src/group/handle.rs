//! Starting and steering the group.

use super::authentication::Authentication;
use super::cluster::{Cluster, Election};
use super::election;
use super::error::GroupError;
use super::listener;
use super::log::position_text;
use super::member::{Condition, Member, Tunables, lock};
use super::replication;
use super::settings::{Delays, GroupSettings, Limits, MemberSettings, ReplicationLag};
use super::state::Role;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// The term of the first primary.
const FIRST_TERM: u32 = 1;

/// What a member reports of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct MemberReport {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The role it believes to have.
    pub role: Role,
    /// The highest term it has voted for or learnt.
    pub term: u32,
    /// The end of its log, as PostgreSQL prints positions.
    pub received: String,
    /// The position up to which its database is.
    pub replayed: String,
    /// The connections open now.
    pub open_connections: usize,
    /// The statements executed so far.
    pub executed_statements: u64,
    /// The write transactions it has committed as a primary.
    pub committed_writes: u64,
    /// What is done to it.
    pub condition: Condition,
    /// Its lag, delays and limits.
    pub tunables: Tunables,
}

struct Group {
    cluster: Arc<Cluster>,
    authentication: Arc<Authentication>,
    /// Stops a member's listener and connections, by the member's name.
    lives: Mutex<HashMap<String, CancellationToken>>,
    tasks: TaskTracker,
    leaving: CancellationToken,
}

/// The running group; it stops once the last copy is dropped.
#[derive(Clone)]
pub struct GroupHandle {
    group: Arc<Group>,
}

impl Drop for Group {
    fn drop(&mut self) {
        self.leaving.cancel();
    }
}

/// Starts a group: its members listen when this returns, and the first is the primary.
pub async fn start(mut settings: GroupSettings) -> Result<GroupHandle, GroupError> {
    if settings.members.is_empty() {
        settings.members = GroupSettings::default().members;
    }
    check_names(&settings.members)?;
    let mut members = Vec::new();
    let mut listeners = Vec::new();
    for member in &settings.members {
        let listener = bind(member.listen).await?;
        let address = listener
            .local_addr()
            .map_err(|error| GroupError::Bind(member.listen, error))?;
        let role = if members.is_empty() {
            Role::Primary
        } else {
            Role::Replica
        };
        members.push(Arc::new(Member::new(member, address, role, FIRST_TERM)?));
        listeners.push(listener);
    }
    let group = Group {
        cluster: Arc::new(Cluster::new(members, settings.election)),
        authentication: Arc::new(Authentication::new(&settings)),
        lives: Mutex::default(),
        tasks: TaskTracker::new(),
        leaving: CancellationToken::new(),
    };
    let handle = GroupHandle {
        group: Arc::new(group),
    };
    for (member, listener) in handle.group.cluster.members.iter().zip(listeners) {
        handle.serve(member, listener);
        handle.follow(member);
    }
    Ok(handle)
}

fn check_names(members: &[MemberSettings]) -> Result<(), GroupError> {
    let mut names = HashSet::new();
    for member in members {
        if !names.insert(&member.name) {
            return Err(GroupError::Settings(format!(
                "two members are called {:?}",
                member.name
            )));
        }
    }
    Ok(())
}

async fn bind(address: SocketAddr) -> Result<TcpListener, GroupError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| GroupError::Bind(address, error))
}

impl GroupHandle {
    fn serve(&self, member: &Arc<Member>, listener: TcpListener) {
        let life = self.group.leaving.child_token();
        lock(&self.group.lives).insert(member.name.clone(), life.clone());
        let authentication = self.group.authentication.clone();
        let tasks = self.group.tasks.clone();
        let serving = listener::serve(listener, member.clone(), authentication, life, tasks);
        self.group.tasks.spawn(serving);
    }

    /// Starts the tasks by which a member takes part in the group.
    fn follow(&self, member: &Arc<Member>) {
        let cluster = &self.group.cluster;
        self.spawn(replication::receive(cluster.clone(), member.clone()));
        self.spawn(replication::replay(member.clone()));
        self.spawn(election::take_part(cluster.clone(), member.clone()));
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let leaving = self.group.leaving.clone();
        self.group.tasks.spawn(async move {
            let _ = leaving.run_until_cancelled(task).await;
        });
    }

    fn member(&self, name: &str) -> Result<&Arc<Member>, GroupError> {
        let mut members = self.group.cluster.members.iter();
        members
            .find(|member| member.name == name)
            .ok_or_else(|| GroupError::UnknownMember(name.to_owned()))
    }

    /// The names of the members, in the order of the settings.
    pub fn names(&self) -> Vec<String> {
        self.group
            .cluster
            .members
            .iter()
            .map(|member| member.name.clone())
            .collect()
    }

    /// Where a member listens.
    pub fn address(&self, name: &str) -> Result<SocketAddr, GroupError> {
        Ok(self.member(name)?.address)
    }

    /// What a member reports of itself.
    pub fn report(&self, name: &str) -> Result<MemberReport, GroupError> {
        self.member(name).map(|member| report(member))
    }

    /// What all members report of themselves.
    pub fn reports(&self) -> Vec<MemberReport> {
        self.group
            .cluster
            .members
            .iter()
            .map(|member| report(member))
            .collect()
    }

    /// The name of the primary of the highest term.
    pub fn primary(&self) -> Option<String> {
        let reports = self.reports().into_iter();
        let primaries = reports.filter(|report| report.role == Role::Primary);
        primaries
            .max_by_key(|report| report.term)
            .map(|report| report.name)
    }

    /// The elections so far.
    pub fn elections(&self) -> Vec<Election> {
        self.group.cluster.elections().clone()
    }

    /// Cuts a member off from the other members; its clients still reach it.
    pub fn cut(&self, name: &str) -> Result<(), GroupError> {
        self.set_condition(name, |condition| condition.cut = true)
    }

    /// Ends [`Self::cut`].
    pub fn heal(&self, name: &str) -> Result<(), GroupError> {
        self.set_condition(name, |condition| condition.cut = false)
    }

    /// Makes a member answer nothing, while it still accepts connections.
    pub fn freeze(&self, name: &str) -> Result<(), GroupError> {
        self.set_condition(name, |condition| condition.frozen = true)
    }

    /// Ends [`Self::freeze`].
    pub fn thaw(&self, name: &str) -> Result<(), GroupError> {
        self.set_condition(name, |condition| condition.frozen = false)
    }

    /// Closes a member's listener and connections. It loses nothing.
    pub fn kill(&self, name: &str) -> Result<(), GroupError> {
        self.set_condition(name, |condition| condition.running = false)?;
        if let Some(life) = lock(&self.group.lives).remove(name) {
            life.cancel();
        }
        Ok(())
    }

    /// Starts a killed member again, as a replica, where it listened before.
    pub async fn restart(&self, name: &str) -> Result<(), GroupError> {
        let member = self.member(name)?;
        if member.condition().running {
            return Err(GroupError::NotPossible("the member runs"));
        }
        let listener = bind(member.address).await?;
        {
            let _coordination = self.group.cluster.coordinate();
            election::stop_leading(member);
            member.set_condition(|condition| condition.running = true);
        }
        self.serve(member, listener);
        Ok(())
    }

    /// Takes a member out of the voters; a primary hands over first.
    pub fn leave(&self, name: &str) -> Result<(), GroupError> {
        let member = self.member(name)?;
        member.set_condition(|condition| condition.leaving = true);
        election::hand_over(&self.group.cluster, member);
        Ok(())
    }

    fn set_condition(
        &self,
        name: &str,
        change: impl FnOnce(&mut Condition),
    ) -> Result<(), GroupError> {
        let member = self.member(name)?;
        let _coordination = self.group.cluster.coordinate();
        member.set_condition(change);
        Ok(())
    }

    /// Sets how far a member lags when it is a replica.
    pub fn set_lag(&self, name: &str, lag: ReplicationLag) -> Result<(), GroupError> {
        self.member(name)?.tune(|tunables| tunables.lag = lag);
        Ok(())
    }

    /// Sets the delays that a member's clients see.
    pub fn set_delays(&self, name: &str, delays: Delays) -> Result<(), GroupError> {
        self.member(name)?.tune(|tunables| tunables.delays = delays);
        Ok(())
    }

    /// Sets the limits of a member; connections open already stay.
    pub fn set_limits(&self, name: &str, limits: Limits) -> Result<(), GroupError> {
        self.member(name)?.tune(|tunables| tunables.limits = limits);
        Ok(())
    }

    /// Stops the group, and returns once every task has ended.
    pub async fn stop(self) {
        self.group.leaving.cancel();
        self.group.tasks.close();
        self.group.tasks.wait().await;
    }
}

fn report(member: &Member) -> MemberReport {
    let condition = member.condition();
    let tunables = member.tunables();
    let state = member.state();
    MemberReport {
        name: member.name.clone(),
        address: member.address,
        role: state.role,
        term: state.term,
        received: position_text(state.log.end()),
        replayed: position_text(state.replayed_position()),
        open_connections: member.open_connections(),
        executed_statements: member.executed_statements(),
        committed_writes: state.committed_writes,
        condition,
        tunables,
    }
}
