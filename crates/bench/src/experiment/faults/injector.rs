//! Carries out the faults of a schedule on a topology.

use super::schedule::Fault;
use crate::experiment::final_states::{ReplacedRows, rows_of_replaced_primaries};
use crate::launch::group::{Lag, MemberFault};
use crate::launch::{LaunchError, Topology};
use stilequay_standin::platform::faults::{Outage, ServiceFaults};
use stilequay_standin::platform::handle::ServiceName;

/// Carries out faults, and remembers what it needs to end them.
pub(super) struct Injector<'a> {
    topology: &'a mut Topology,
    /// The member that each group's fault has hit.
    hit_members: Vec<Option<String>>,
    /// What replaced primaries had when they rejoined their groups.
    replaced: ReplacedRows,
}

impl<'a> Injector<'a> {
    pub fn new(topology: &'a mut Topology) -> Self {
        let hit_members = vec![None; topology.groups.len()];
        Self {
            topology,
            hit_members,
            replaced: ReplacedRows::new(),
        }
    }

    /// Begins a fault.
    pub async fn begin(&mut self, fault: Fault) -> Result<(), LaunchError> {
        let daemons = &mut self.topology.daemons;
        match fault {
            Fault::KillDaemon(daemon) => daemons[daemon].process_mut().kill().await,
            Fault::FreezeDaemon(daemon) => daemons[daemon].process().freeze(),
            Fault::StopDaemon(daemon) => daemons[daemon].process().terminate(),
            Fault::CutDaemon(daemon) => {
                daemons[daemon].links.peer.cut().await?;
                daemons[daemon].links.control.cut().await
            }
            Fault::ResetDaemon(daemon) => {
                daemons[daemon].links.callers.reset().await?;
                daemons[daemon].links.peer.reset().await
            }
            Fault::CutPrimary(group) => self.hit_primary(group, MemberFault::Cut).await,
            Fault::FreezePrimary(group) => self.hit_primary(group, MemberFault::Freeze).await,
            Fault::KillPrimary(group) => self.hit_primary(group, MemberFault::Kill).await,
            Fault::CutMember(group, member) => {
                self.topology.groups[group].members[member].link.cut().await
            }
            Fault::LoseAnswers(group) => self.lose_answers(group).await,
            Fault::ResetMember(group, member) => {
                self.topology.groups[group].members[member]
                    .link
                    .reset()
                    .await
            }
            Fault::Lag(group, member, millis) => {
                let lag = Lag {
                    receive_ms: millis / 2,
                    replay_ms: millis / 2,
                };
                self.set_lag(group, member, lag).await
            }
            Fault::HangTable => self.outage(&[ServiceName::Table], Outage::Hang).await,
            Fault::RefuseTable => self.outage(&[ServiceName::Table], Outage::Refuse).await,
            Fault::RefusePlatform => self.outage(&ServiceName::ALL, Outage::Refuse).await,
        }
    }

    /// Ends a fault.
    pub async fn end(&mut self, fault: Fault) -> Result<(), LaunchError> {
        let daemons = &mut self.topology.daemons;
        match fault {
            Fault::KillDaemon(daemon) => daemons[daemon].restart().await,
            Fault::FreezeDaemon(daemon) => daemons[daemon].process().thaw(),
            Fault::StopDaemon(daemon) => {
                daemons[daemon].process_mut().wait().await?;
                daemons[daemon].restart().await
            }
            Fault::CutDaemon(daemon) => {
                daemons[daemon].links.peer.heal().await?;
                daemons[daemon].links.control.heal().await
            }
            Fault::ResetDaemon(_) | Fault::ResetMember(..) => Ok(()),
            Fault::CutPrimary(group) => self.cure_primary(group, MemberFault::Heal).await,
            Fault::FreezePrimary(group) => self.cure_primary(group, MemberFault::Thaw).await,
            Fault::KillPrimary(group) => self.cure_primary(group, MemberFault::Restart).await,
            Fault::CutMember(group, member) => {
                self.topology.groups[group].members[member]
                    .link
                    .heal()
                    .await
            }
            Fault::LoseAnswers(group) => self.return_answers(group).await,
            Fault::Lag(group, member, _) => self.set_lag(group, member, Lag::default()).await,
            Fault::HangTable | Fault::RefuseTable | Fault::RefusePlatform => {
                self.topology.platform.heal().await
            }
        }
    }

    /// What replaced primaries had, by group.
    pub fn into_replaced_rows(self) -> ReplacedRows {
        self.replaced
    }

    async fn hit_primary(&mut self, group: usize, fault: MemberFault) -> Result<(), LaunchError> {
        let primary = self.topology.groups[group].primary().await?.name;
        self.topology.groups[group].fault(&primary, fault).await?;
        self.hit_members[group] = Some(primary);
        Ok(())
    }

    async fn lose_answers(&mut self, group: usize) -> Result<(), LaunchError> {
        let hit = &self.topology.groups[group];
        let primary = hit.primary().await?.name;
        let link = &hit.member(&primary)?.link;
        link.disturb(|faults| faults.to_source.cut = true).await?;
        self.hit_members[group] = Some(primary);
        Ok(())
    }

    async fn return_answers(&mut self, group: usize) -> Result<(), LaunchError> {
        match self.hit_members[group].take() {
            Some(member) => {
                self.topology.groups[group]
                    .member(&member)?
                    .link
                    .heal()
                    .await
            }
            None => Ok(()),
        }
    }

    /// A primary that was cut off is read first: once it rejoins, it gives up
    /// what its successor lacks.
    async fn cure_primary(&mut self, group: usize, cure: MemberFault) -> Result<(), LaunchError> {
        let Some(member) = self.hit_members[group].take() else {
            return Ok(());
        };
        let group = &self.topology.groups[group];
        if cure == MemberFault::Heal {
            let rows = rows_of_replaced_primaries(group).await?;
            let name = group.deployment.name.clone();
            self.replaced.entry(name).or_default().extend(rows);
        }
        group.fault(&member, cure).await
    }

    async fn set_lag(&self, group: usize, member: usize, lag: Lag) -> Result<(), LaunchError> {
        let group = &self.topology.groups[group];
        group.set_lag(&group.members[member].name, lag).await
    }

    async fn outage(&self, services: &[ServiceName], outage: Outage) -> Result<(), LaunchError> {
        let faults = ServiceFaults {
            outage: Some(outage),
            ..ServiceFaults::default()
        };
        for service in services {
            self.topology.platform.set_faults(*service, &faults).await?;
        }
        Ok(())
    }
}
