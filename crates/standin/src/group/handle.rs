//! Starting and steering the group.

use super::authentication::Authentication;
use super::cluster::{Cluster, Election};
use super::election;
use super::error::GroupError;
use super::listener::Life;
use super::member::{Condition, Member, lock};
use super::replication;
use super::report::{MemberReport, report};
use super::settings::{Delays, GroupSettings, Limits, MemberSettings, ReplicationLag};
use super::state::Role;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// The term of the first primary.
const FIRST_TERM: u32 = 1;

struct Group {
    cluster: Arc<Cluster>,
    authentication: Arc<Authentication>,
    /// The present or last life of each member, by the member's name.
    lives: Mutex<HashMap<String, Life>>,
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
        let group = &self.group;
        let authentication = group.authentication.clone();
        let life = Life::start(
            listener,
            member.clone(),
            authentication,
            &group.leaving,
            &group.tasks,
        );
        lock(&group.lives).insert(member.name.clone(), life);
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
        if let Some(life) = lock(&self.group.lives).get(name) {
            life.end();
        }
        Ok(())
    }

    /// Starts a killed member again, as a replica, where it listened before.
    pub async fn restart(&self, name: &str) -> Result<(), GroupError> {
        let member = self.member(name)?;
        if member.condition().running {
            return Err(GroupError::NotPossible("the member runs"));
        }
        let life = lock(&self.group.lives).remove(name);
        let life = life.ok_or(GroupError::NotPossible("the member is being restarted"))?;
        let listener = life.listen_again(member.address).await?;
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
