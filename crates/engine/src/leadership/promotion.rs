//! One change of a group's leader, from the fence to the new leader's first write.
//!
//! Each phase is recorded in the store before the next begins, so that another holder of
//! the lease can finish what one has begun:
//!
//! 1. *Fencing* is recorded: every process gives the old leader no more writes.
//! 2. All replicas are paused, and the old leader is demoted if it can be reached. With a
//!    synchronous replica required, the old leader can't have a commit acknowledged then.
//! 3. The replica that holds every acknowledged commit is chosen: see [`super::choice`].
//! 4. *Promoting* is recorded, with the target, and the order is given.
//! 5. Once the target leads and the evidence for the old term has lapsed everywhere,
//!    *active* is recorded: the target gets writes.
//!
//! A promotion that was begun is never taken back, but completed: a replica that was
//! paused in vain would have to be resumed, and a late order to resume breaks a fence.

use super::choice::{FenceSurvey, PreviousLeader, fencing_term};
use super::duty::Duty;
use super::follower::VersionedTerm;
use super::record::{TermPhase, TermRecord};
use super::roster;
use super::survey::{self, Patience, Response, Surveyed};
use crate::directory::{Member, Role};
use crate::engine::Engine;
use crate::group::{Epoch, TERM_LEASE, TERM_LEASE_MARGIN};
use crate::names::{GroupName, MemberId};
use crate::ports::{Control, PromoteError, Promoter, PromotionOrder, PutOutcome, RecordStoreError};
use crate::position::LogPosition;
use crate::version::{StoreVersion, era_of};
use quick_error::quick_error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Time for which a leader that is to hand over finishes what it was sent.
const FINISHING_TIME: Duration = Duration::from_millis(60);
/// Pause before the members are asked again while the fence is not complete.
const FENCE_PAUSE: Duration = Duration::from_millis(80);
/// Pause between two questions whether the target leads already.
const TARGET_PAUSE: Duration = Duration::from_millis(30);
/// Time after which an order whose effect is not seen is given again.
const ORDER_AGAIN: Duration = Duration::from_millis(900);
/// Time after which a target that does not take the lead is given up.
const TARGET_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Changes of leader of a group that one era of the store can count.
const EPOCHS_OF_AN_ERA: Epoch = 1 << 32;
/// Pause after the store gave no answer.
const STORE_PAUSE: Duration = Duration::from_millis(80);

quick_error! {
    /// A promotion was not completed by this process.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PromotionError {
        /// The lease is not held any more.
        LeaseLost {
            display("the lease is not held any more")
        }
        /// Another process has changed the record.
        Superseded {
            display("another process has changed the record")
        }
        /// The target does not take the lead: another has to be chosen.
        TargetLost {
            display("the target does not take the lead")
        }
    }
}

/// What a promotion needs.
#[derive(Debug, Clone)]
pub struct Promotion {
    /// The shared state.
    pub engine: Arc<Engine>,
    /// Carries the order out.
    pub promoter: Arc<dyn Promoter>,
    /// The lease under which orders are given.
    pub duty: Arc<Duty>,
    /// The group.
    pub group: GroupName,
}

impl Promotion {
    /// Changes the leader, or completes a change that was begun.
    ///
    /// # Errors
    ///
    /// [`PromotionError`] where another process has to go on, or this one anew.
    pub async fn run(&self) -> Result<(), PromotionError> {
        let known = self.engine.terms().known(&self.group);
        let term = match known {
            Some(term) if term.record.phase == TermPhase::Promoting => term,
            Some(term) if term.record.phase == TermPhase::Fencing => self.fence(term).await?,
            known => self.begin(known).await?,
        };
        let fenced_at = Instant::now();
        self.promote(&term.record).await?;
        sleep_until(fenced_at + TERM_LEASE + TERM_LEASE_MARGIN).await;
        let active = TermRecord {
            phase: TermPhase::Active,
            ..term.record
        };
        self.advance(active, term.version).await?;
        Ok(())
    }

    /// Gives up the target of a promotion that was begun, and chooses again.
    ///
    /// # Errors
    ///
    /// As for [`Promotion::run`].
    pub async fn choose_again(&self) -> Result<(), PromotionError> {
        let known = self.engine.terms().known(&self.group);
        self.begin(known).await?;
        self.run().await
    }

    async fn begin(&self, known: Option<VersionedTerm>) -> Result<VersionedTerm, PromotionError> {
        let view = self.engine.group(&self.group).view();
        let epoch = next_epoch(known.as_ref(), self.engine.terms().version());
        let record = TermRecord {
            group: self.group.clone(),
            epoch,
            phase: TermPhase::Fencing,
            target: None,
            target_address: None,
            target_received: None,
            previous_address: self.address_of(view.leader.as_ref()),
            previous: view.leader,
            holder: self.engine.settings().node.clone(),
        };
        let version = known.map_or(0, |term| term.version);
        let term = self.store(record, version).await?;
        sleep(FINISHING_TIME).await;
        self.fence(term).await
    }

    /// Completes the fence and records the target.
    async fn fence(&self, term: VersionedTerm) -> Result<VersionedTerm, PromotionError> {
        let previous = PreviousLeader {
            id: term.record.previous.clone(),
            address: term.record.previous_address,
        };
        let sync_replicas = self.engine.sync_replicas(&self.group);
        self.recall_members().await?;
        loop {
            self.check_duty()?;
            let asked = survey::survey(
                &self.engine,
                &self.group,
                |_| Control::Status,
                Patience::ONE_LIKELY_LOST,
            )
            .await;
            let fencing = fencing_term(&asked);
            self.check_duty()?;
            let order_for = |member: &Member| match previous.is(member) {
                true => Control::Demote(fencing),
                false => Control::Pause(fencing),
            };
            let patience = Patience::ONE_LIKELY_LOST;
            let fenced = survey::survey(&self.engine, &self.group, order_for, patience).await;
            self.tell_fence(&term.record, &fenced);
            let evacuations = self.engine.evacuations();
            let survey = FenceSurvey {
                members: &fenced,
                previous: &previous,
                term: fencing,
                sync_replicas,
                known: self.engine.group(&self.group).newest_position(),
                evacuations: &evacuations,
                topology: &self.engine.settings().topology,
            };
            match survey.choose(Instant::now()) {
                Ok(target) => {
                    let chosen = TermRecord {
                        phase: TermPhase::Promoting,
                        target_received: received_by(&target, &fenced),
                        target: Some(target),
                        ..term.record
                    };
                    return self.advance(chosen, term.version).await;
                }
                Err(obstacle) => self.tell_obstacle(&term.record, &obstacle),
            }
            sleep(FENCE_PAUSE).await;
        }
    }

    /// Learns of members whose entries have gone: this process may be younger than that.
    async fn recall_members(&self) -> Result<(), PromotionError> {
        while roster::recall(&self.engine, &self.group).await.is_err() {
            self.check_duty()?;
            sleep(STORE_PAUSE).await;
        }
        Ok(())
    }

    /// Orders the promotion until the target leads.
    async fn promote(&self, record: &TermRecord) -> Result<(), PromotionError> {
        let Some(target) = record.target.clone() else {
            return Err(PromotionError::TargetLost);
        };
        let began = Instant::now();
        let mut ordered: Option<Instant> = None;
        while began.elapsed() < TARGET_TIMEOUT {
            if ordered.is_none_or(|at| at.elapsed() > ORDER_AGAIN) {
                if self.has_started_again(record, &target).await {
                    return Err(PromotionError::TargetLost);
                }
                match self.order(record, &target).await? {
                    Ok(()) | Err(PromoteError::Unknown(_)) => ordered = Some(Instant::now()),
                    Err(PromoteError::TargetDown) => return Err(PromotionError::TargetLost),
                    Err(_) => {}
                }
            }
            sleep(TARGET_PAUSE).await;
            if self.leads(&target).await {
                self.settle_others(&target);
                return Ok(());
            }
        }
        Err(PromotionError::TargetLost)
    }

    /// Gives the order once, with the lease checked directly before.
    async fn order(
        &self,
        record: &TermRecord,
        target: &MemberId,
    ) -> Result<Result<(), PromoteError>, PromotionError> {
        let fencing = self.duty.check().ok_or(PromotionError::LeaseLost)?;
        let order = PromotionOrder {
            group: self.group.clone(),
            target: target.clone(),
            holder: self.engine.settings().node.clone(),
            fencing,
        };
        let result = self.promoter.promote(&order).await;
        let text = match &result {
            Ok(()) => "accepted".to_owned(),
            Err(error) => error.to_string(),
        };
        self.tell(record, "order", Some(target.clone()), None, text);
        Ok(result)
    }

    async fn leads(&self, target: &MemberId) -> bool {
        let response = self.ask(target).await;
        let report = response.as_ref().and_then(Response::report);
        report.is_some_and(|report| report.role == Role::Primary)
    }

    /// Whether the target has started since it was paused, and may have nothing of what it was
    /// chosen for. An order names a server, not its life: an empty one would take the lead, and
    /// have the others drop what they hold.
    async fn has_started_again(&self, record: &TermRecord, target: &MemberId) -> bool {
        // The old leader was demoted in place of being paused.
        let was_paused = record.previous.as_ref() != Some(target)
            && record.previous_address != record.target_address;
        match self.ask(target).await {
            Some(Response::Ended) => true,
            Some(Response::Report(report)) => {
                was_paused && report.role == Role::Replica && report.paused_for == 0
            }
            _ => false,
        }
    }

    async fn ask(&self, target: &MemberId) -> Option<Response> {
        let directory = self.engine.directory();
        let member = directory.member(target)?;
        Some(survey::order(&self.engine, member, Control::Status).await)
    }

    /// Records the next step over the one of version `expected`.
    async fn advance(
        &self,
        record: TermRecord,
        expected: StoreVersion,
    ) -> Result<VersionedTerm, PromotionError> {
        let record = TermRecord {
            target_address: self.address_of(record.target.as_ref()),
            holder: self.engine.settings().node.clone(),
            ..record
        };
        self.store(record, expected).await
    }

    fn address_of(&self, member: Option<&MemberId>) -> Option<SocketAddr> {
        let directory = self.engine.directory();
        member
            .and_then(|id| directory.member(id))
            .map(|known| known.address)
    }

    /// Writes the record, whatever the store makes of single calls, while the lease lasts.
    async fn store(
        &self,
        record: TermRecord,
        expected: StoreVersion,
    ) -> Result<VersionedTerm, PromotionError> {
        let key = TermRecord::key(&self.group);
        let value = record.encode();
        loop {
            self.check_duty()?;
            let begun = Instant::now();
            let put = self
                .engine
                .terms()
                .store()
                .put_if(&key, expected, value.clone());
            let stored = match put.await {
                Ok(PutOutcome::Stored(version)) => Some(version),
                Ok(PutOutcome::Conflict) => Some(self.find_own(&record).await?),
                Err(RecordStoreError::Unknown(_)) => self.find_own(&record).await.ok(),
                Err(_) => None,
            };
            if let Some(version) = stored {
                self.tell(
                    &record,
                    "recorded",
                    record.target.clone(),
                    None,
                    String::new(),
                );
                let term = VersionedTerm { record, version };
                self.engine
                    .terms()
                    .apply_one(&self.engine, term.clone(), Some(begun));
                return Ok(term);
            }
            sleep(STORE_PAUSE).await;
        }
    }

    /// The version of `record`, if that is what the store has: an earlier write whose
    /// answer was lost may have been done.
    async fn find_own(&self, record: &TermRecord) -> Result<StoreVersion, PromotionError> {
        let key = TermRecord::key(&self.group);
        let changes = self.engine.terms().store().read(&key).await;
        let changes = changes.map_err(|_| PromotionError::Superseded)?;
        let current = changes.written.iter().find(|found| found.key == key);
        let own = current.filter(|found| found.value == record.encode());
        own.map(|found| found.version)
            .ok_or(PromotionError::Superseded)
    }

    pub(super) fn check_duty(&self) -> Result<(), PromotionError> {
        let held = self.duty.check();
        held.map(|_| ()).ok_or(PromotionError::LeaseLost)
    }
}

/// How far `target` has received the log, as it told when the members were fenced.
fn received_by(target: &MemberId, fenced: &[Surveyed]) -> Option<LogPosition> {
    let chosen = fenced.iter().find(|known| known.member.id == *target)?;
    Some(chosen.response.report()?.received)
}

/// The number of the leadership after `known`, where the records are known as of `version`.
/// That of an era of the store is greater than all of earlier eras: one that the store has lost
/// is not given to another leader.
fn next_epoch(known: Option<&VersionedTerm>, version: StoreVersion) -> Epoch {
    let before = known.map_or(0, |term| term.record.epoch);
    (before + 1).max(era_of(version).saturating_mul(EPOCHS_OF_AN_ERA))
}
