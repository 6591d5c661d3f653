//! A database group's stand-in as a process, its members reached over links.

use super::binaries::Binary;
use super::deployment::GroupDeployment;
use super::error::LaunchError;
use super::http::HttpClient;
use super::links::{FaultProxy, Link};
use super::process::Process;
use super::wait::until;
use serde::{Deserialize, Serialize};
use std::ffi::OsString;
use std::net::SocketAddr;

#[derive(Deserialize)]
struct Ready {
    control: SocketAddr,
    members: Vec<ReadyMember>,
}

#[derive(Deserialize)]
struct ReadyMember {
    name: String,
    address: SocketAddr,
}

/// What a member reports of itself.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct MemberReport {
    /// Its name.
    pub name: String,
    /// The role it believes to have.
    pub role: MemberRole,
    /// The highest term it knows.
    pub term: u32,
    /// Connections open now.
    pub open_connections: u64,
    /// Statements executed so far.
    pub executed_statements: u64,
    /// What is done to it.
    pub condition: MemberCondition,
}

/// The role a member believes to have.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberRole {
    /// Accepts writes.
    Primary,
    /// Replays the primary's log.
    Replica,
}

/// What is done to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct MemberCondition {
    /// Whether its process runs.
    pub running: bool,
    /// Whether it accepts connections but answers nothing.
    pub frozen: bool,
    /// Whether it is cut off from the other members.
    pub cut: bool,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// An election, with times in microseconds since the epoch.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Election {
    /// The term that began.
    pub term: u32,
    /// The winner.
    pub primary: String,
    /// When the members voted.
    pub voted_at_us: u64,
    /// When the winner began to accept writes.
    pub accepting_at_us: Option<u64>,
}

/// How far a replica is behind.
#[derive(Debug, Clone, Copy, Default, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Lag {
    /// Until it has received a commit, milliseconds.
    pub receive_ms: u64,
    /// From the receipt until it has replayed it, milliseconds.
    pub replay_ms: u64,
}

/// What is done to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberFault {
    /// Cuts it off from the other members; clients still reach it.
    Cut,
    /// Ends [`MemberFault::Cut`].
    Heal,
    /// It accepts connections but answers nothing.
    Freeze,
    /// Ends [`MemberFault::Freeze`].
    Thaw,
    /// Its process ends.
    Kill,
    /// It starts again, after [`MemberFault::Kill`].
    Restart,
    /// It hands over and takes no further part.
    Leave,
}

impl MemberFault {
    fn path(self) -> &'static str {
        match self {
            Self::Cut => "cut",
            Self::Heal => "heal",
            Self::Freeze => "freeze",
            Self::Thaw => "thaw",
            Self::Kill => "kill",
            Self::Restart => "restart",
            Self::Leave => "leave",
        }
    }
}

/// A member and the link to it.
#[derive(Debug, Clone)]
pub struct GroupMember {
    /// Its name.
    pub name: String,
    /// Where it listens itself.
    pub direct_address: SocketAddr,
    /// The link that daemons use.
    pub link: Link,
}

/// The running group.
#[derive(Debug)]
pub struct Group {
    /// How it is deployed.
    pub deployment: GroupDeployment,
    /// Its members.
    pub members: Vec<GroupMember>,
    http: HttpClient,
    _process: Process,
}

impl Group {
    /// Starts a group and a link to each member.
    pub async fn start(
        deployment: GroupDeployment,
        proxy: &FaultProxy,
        member_delay_micros: u64,
    ) -> Result<Self, LaunchError> {
        let mut arguments: Vec<OsString> = vec!["group".into()];
        if let Some(file) = &deployment.file {
            arguments.extend(["--config".into(), file.into()]);
        }
        let label = format!("group-{}", deployment.name);
        let (process, ready): (_, Ready) =
            Process::start(Binary::StandIn, &label, &arguments).await?;
        let mut members = Vec::new();
        for member in ready.members {
            let link = proxy.add_link(member_delay_micros).await?;
            link.set_target(member.address).await?;
            members.push(GroupMember {
                name: member.name,
                direct_address: member.address,
                link,
            });
        }
        Ok(Self {
            deployment,
            members,
            http: HttpClient::new(ready.control),
            _process: process,
        })
    }

    /// The member called `name`.
    pub fn member(&self, name: &str) -> Result<&GroupMember, LaunchError> {
        let found = self.members.iter().find(|member| member.name == name);
        found.ok_or_else(|| LaunchError::Settings(format!("no member {name}")))
    }

    /// What all members report.
    pub async fn reports(&self) -> Result<Vec<MemberReport>, LaunchError> {
        self.http.get("/members").await
    }

    /// The elections so far.
    pub async fn elections(&self) -> Result<Vec<Election>, LaunchError> {
        self.http.get("/elections").await
    }

    /// The primary of the highest term; waits while no member leads.
    pub async fn primary(&self) -> Result<MemberReport, LaunchError> {
        until("a member leads", || self.primary_now()).await
    }

    /// The primary of the highest term, if a member leads at this moment.
    async fn primary_now(&self) -> Option<MemberReport> {
        let reports = self.reports().await.ok()?.into_iter();
        let primaries = reports.filter(|report| report.role == MemberRole::Primary);
        primaries.max_by_key(|report| report.term)
    }

    /// Waits for a primary of a higher term than `term` that the members can reach.
    pub async fn primary_after(&self, term: u32) -> Result<MemberReport, LaunchError> {
        until("a new primary leads", || async {
            let primary = self.primary_now().await?;
            (primary.term > term).then_some(primary)
        })
        .await
    }

    /// Does something to a member.
    pub async fn fault(&self, member: &str, fault: MemberFault) -> Result<(), LaunchError> {
        let path = format!("/members/{member}/{}", fault.path());
        self.http.trigger(&path).await
    }

    /// Sets how far a member lags when it is a replica.
    pub async fn set_lag(&self, member: &str, lag: Lag) -> Result<(), LaunchError> {
        self.http.set(&format!("/members/{member}/lag"), &lag).await
    }

    /// Ends all that is done to the members, and waits until all follow one primary.
    pub async fn heal(&self) -> Result<(), LaunchError> {
        for report in self.reports().await? {
            let condition = report.condition;
            let cures = [
                (condition.cut, MemberFault::Heal),
                (condition.frozen, MemberFault::Thaw),
                (!condition.running, MemberFault::Restart),
            ];
            for (_, cure) in cures.into_iter().filter(|(needed, _)| *needed) {
                self.fault(&report.name, cure).await?;
            }
            self.set_lag(&report.name, Lag::default()).await?;
        }
        for member in &self.members {
            member.link.heal().await?;
        }
        self.settled().await
    }

    /// Waits until exactly one member believes it leads and all know its term.
    pub async fn settled(&self) -> Result<(), LaunchError> {
        until("all members follow one primary", || async {
            let reports = self.reports().await.ok()?;
            let primaries = reports.iter().filter(|r| r.role == MemberRole::Primary);
            let term = reports.first()?.term;
            let agreed = reports.iter().all(|report| report.term == term);
            (agreed && primaries.count() == 1).then_some(())
        })
        .await
    }
}
