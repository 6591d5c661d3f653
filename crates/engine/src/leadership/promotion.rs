//! One change of a group's leader, from the fence to the new leader's first write.
//!
//! Each phase is recorded in the store before the next begins, so that another lease holder can
//! complete a promotion that one has begun:
//!
//! 1. *Fencing* is recorded: processes send the old leader no more writes.
//! 2. All replicas are paused, and the old leader is demoted if it can be reached. If commits
//!    require a synchronous replica, the old leader can't have one acknowledged from then on.
//! 3. If the old leader can't be reached, the evidence for its term expires everywhere: see
//!    `evidence_expiry`.
//! 4. The replica that holds every acknowledged commit is chosen: see [`super::choice`].
//! 5. *Promoting* is recorded with the target, and the promotion is ordered.
//! 6. Once the target is primary and the evidence for the old term has expired everywhere,
//!    *active* is recorded: the target gets writes.
//!
//! A promotion that was begun is completed, never rolled back. A rollback would have to resume
//! the paused replicas, and a resume command that arrives late breaks a later fence.

use super::choice::{FenceSurvey, PreviousLeader, fencing_term};
use super::evidence_expiry::EvidenceExpiry;
use super::follower::{VersionedTerm, resolve_acting_leader};
use super::promotion_lease::PromotionLease;
use super::record::{TermPhase, TermRecord};
use super::roster;
use super::survey::{self, STRAGGLER_GRACE, StragglerPolicy, SurveyedMember};
use crate::directory::{Member, Role};
use crate::engine::Engine;
use crate::group::{Epoch, TERM_LEASE, TERM_LEASE_MARGIN};
use crate::names::{GroupName, MemberId};
use crate::ports::{Control, Promoter, PutOutcome, RecordStoreError};
use crate::position::LogPosition;
use crate::verdict::Verdict;
use crate::version::{StoreVersion, era_of};
use quick_error::quick_error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Time in which the old leader completes the requests that it was sent before it is fenced.
const DRAIN_TIME: Duration = Duration::from_millis(60);
/// Pause between surveys while the fence is incomplete.
const FENCE_PAUSE: Duration = Duration::from_millis(80);
/// Time after the fence within which the entry of a server that had joined before is known here.
const ENTRY_GRACE: Duration = Duration::from_secs(1);
/// Number of epochs reserved for each era of the store.
const EPOCHS_PER_ERA: Epoch = 1 << 32;
/// Pause after a failed store call.
const STORE_PAUSE: Duration = Duration::from_millis(80);

quick_error! {
    /// Why this process did not complete a promotion.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PromotionError {
        /// This process no longer holds the promotion lease.
        LeaseLost {
            display("this process no longer holds the promotion lease")
        }
        /// Another process has changed the term record.
        Superseded {
            display("another process has changed the term record")
        }
        /// The target has not become primary: a target has to be chosen again. The verdict says
        /// whether an order to promote it may have been carried out.
        TargetLost(orders: Verdict) {
            display("the target has not become primary (orders to promote it: {orders:?})")
        }
    }
}

/// A recorded target, and since when all members that could receive from the old leader have been
/// fenced.
#[derive(Debug)]
struct Chosen {
    term: VersionedTerm,
    fenced_at: Instant,
}

impl Chosen {
    /// A target that was recorded before; when the members were fenced isn't known.
    fn recorded(term: VersionedTerm) -> Self {
        Self {
            term,
            fenced_at: Instant::now(),
        }
    }
}

/// A change of the leader of one group.
#[derive(Debug, Clone)]
pub struct Promotion {
    /// State shared by the whole process.
    pub engine: Arc<Engine>,
    /// Carries out promotion orders.
    pub promoter: Arc<dyn Promoter>,
    /// The lease that allows this process to order promotions.
    pub lease: Arc<PromotionLease>,
    /// The group.
    pub group: GroupName,
}

impl Promotion {
    /// Replaces the leader, or completes a promotion that was begun. Chooses again if the target
    /// doesn't become primary.
    ///
    /// # Errors
    ///
    /// [`PromotionError::LeaseLost`] or [`PromotionError::Superseded`] if another process has to
    /// continue.
    pub async fn run(&self) -> Result<(), PromotionError> {
        let known = self.engine.terms().known(&self.group);
        let (mut chosen, mut orders) = match known {
            // Whoever recorded the target may have ordered its promotion.
            Some(term) if term.record.phase == TermPhase::Promoting => {
                (Chosen::recorded(term), Verdict::MayHaveRun)
            }
            Some(term) if term.record.phase == TermPhase::Fencing => {
                (self.fence(term).await?, Verdict::NotRun)
            }
            known => (self.begin(known, Verdict::NotRun).await?, Verdict::NotRun),
        };
        loop {
            let result = self.complete(&chosen, orders).await;
            let Err(PromotionError::TargetLost(verdict)) = result else {
                return result;
            };
            chosen = self.begin(Some(chosen.term), verdict).await?;
            orders = Verdict::NotRun;
        }
    }

    /// Promotes the recorded target, to which `orders` were sent before, and records it as active.
    async fn complete(&self, chosen: &Chosen, orders: Verdict) -> Result<(), PromotionError> {
        let Chosen { term, fenced_at } = chosen;
        self.promote(&term.record, orders).await?;
        sleep_until(*fenced_at + TERM_LEASE + TERM_LEASE_MARGIN).await;
        let active = TermRecord {
            phase: TermPhase::Active,
            ..term.record.clone()
        };
        self.advance(active, term.version).await?;
        Ok(())
    }

    /// Records a new change of leader and fences the members. `orders` is the verdict on the orders
    /// to promote the target of `known`, if that was given up.
    async fn begin(
        &self,
        known: Option<VersionedTerm>,
        orders: Verdict,
    ) -> Result<Chosen, PromotionError> {
        let version = known.as_ref().map_or(0, |term| term.version);
        let term = self.store(self.next_record(known, orders), version).await?;
        sleep(DRAIN_TIME).await;
        self.fence(term).await
    }

    /// The first record of a change of leader after `known`. A change that `known` leaves
    /// unfinished has the same members to replace: its target isn't known to have led.
    fn next_record(&self, known: Option<VersionedTerm>, orders: Verdict) -> TermRecord {
        let epoch = next_epoch(known.as_ref(), self.engine.terms().version());
        let holder = self.engine.settings().node.clone();
        let active_leader = match known.map(|term| term.record) {
            Some(record) if record.phase != TermPhase::Active => {
                return record.into_next_attempt(epoch, holder, orders);
            }
            Some(record) => resolve_acting_leader(&self.engine.directory(), record).target,
            None => self.engine.group(&self.group).view().leader,
        };
        TermRecord {
            group: self.group.clone(),
            epoch,
            phase: TermPhase::Fencing,
            target: None,
            target_address: None,
            target_received: None,
            previous_address: self.address_of(active_leader.as_ref()),
            previous: active_leader,
            former_targets: Vec::new(),
            holder,
        }
    }

    /// Fences the members until a target can be chosen, and records it.
    async fn fence(&self, term: VersionedTerm) -> Result<Chosen, PromotionError> {
        let previous = PreviousLeader {
            id: term.record.previous.clone(),
            address: term.record.previous_address,
        };
        let sync_replicas = self.engine.sync_replicas(&self.group);
        self.load_roster().await?;
        let mut last_round = None;
        let mut expiry = EvidenceExpiry::default();
        let fencing_began = Instant::now();
        let mut ask_logs_from = fencing_began;
        loop {
            self.check_lease()?;
            let surveyed = survey::survey(
                &self.engine,
                &self.group,
                |_| Control::Status,
                StragglerPolicy::SKIP_ONE_STRAGGLER,
            )
            .await;
            let fencing = fencing_term(&surveyed);
            let control_for = |member: &Member| match leads(member, &surveyed, &previous) {
                true => Control::Demote(fencing),
                false => Control::Pause(fencing),
            };
            let stragglers = StragglerPolicy::SKIP_ONE_STRAGGLER;
            sleep_until(ask_logs_from).await;
            self.check_lease()?;
            let asked_at = Instant::now();
            let fenced = survey::survey(&self.engine, &self.group, control_for, stragglers).await;
            let evacuations = self.engine.evacuations();
            let group = self.engine.group(&self.group);
            let survey = FenceSurvey {
                members: &fenced,
                previous: &previous,
                former_targets: &term.record.former_targets,
                term: fencing,
                sync_replicas,
                known: group.newest_position(),
                samples: &group.samples(),
                evacuations: &evacuations,
                topology: &self.engine.settings().topology,
                are_entries_settled: fencing_began.elapsed() > ENTRY_GRACE,
            };
            let now = Instant::now();
            let choice = survey.choose(now);
            self.emit_round(&term.record, &survey, now, &choice, &mut last_round);
            expiry.record_round(&survey, &surveyed, now);
            match (choice, expiry.wait_until(&survey, asked_at)) {
                (Ok(target), None) => {
                    let promoting = TermRecord {
                        phase: TermPhase::Promoting,
                        target_received: received_position(&target, &fenced),
                        target: Some(target),
                        ..term.record
                    };
                    return Ok(Chosen {
                        term: self.advance(promoting, term.version).await?,
                        fenced_at: expiry.fenced_at().unwrap_or(now),
                    });
                }
                (Ok(_), Some(expired_at)) => {
                    ask_logs_from = expired_at;
                    // The old leader, which isn't reached, is the last member in the next survey.
                    sleep_until(expired_at - STRAGGLER_GRACE).await;
                }
                (Err(_), _) => sleep(FENCE_PAUSE).await,
            }
        }
    }

    /// Loads the recorded members: entries may have gone before this process started.
    async fn load_roster(&self) -> Result<(), PromotionError> {
        while roster::load(&self.engine, &self.group).await.is_err() {
            self.check_lease()?;
            sleep(STORE_PAUSE).await;
        }
        Ok(())
    }

    /// Writes `record` over the term record of version `expected`.
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

    /// Writes the record, retrying failed store calls for as long as the lease is held.
    async fn store(
        &self,
        record: TermRecord,
        expected: StoreVersion,
    ) -> Result<VersionedTerm, PromotionError> {
        let key = TermRecord::key(&self.group);
        let value = record.encode();
        loop {
            self.check_lease()?;
            let write_started = Instant::now();
            let put = self
                .engine
                .terms()
                .store()
                .put_if(&key, expected, value.clone());
            let stored = match put.await {
                Ok(PutOutcome::Stored(version)) => Some(version),
                Ok(PutOutcome::Conflict) => Some(self.find_own_write(&record).await?),
                Err(RecordStoreError::Unknown(_)) => self.find_own_write(&record).await.ok(),
                Err(_) => None,
            };
            if let Some(version) = stored {
                self.emit_recorded(&record);
                let term = VersionedTerm { record, version };
                self.engine
                    .terms()
                    .apply_one(&self.engine, term.clone(), Some(write_started));
                return Ok(term);
            }
            sleep(STORE_PAUSE).await;
        }
    }

    /// The version of `record`, if the store holds it: an earlier write may have succeeded
    /// although its answer was lost.
    async fn find_own_write(&self, record: &TermRecord) -> Result<StoreVersion, PromotionError> {
        let key = TermRecord::key(&self.group);
        let changes = self.engine.terms().store().read(&key).await;
        let changes = changes.map_err(|_| PromotionError::Superseded)?;
        let current = changes.written.iter().find(|found| found.key == key);
        let own = current.filter(|found| found.value == record.encode());
        own.map(|found| found.version)
            .ok_or(PromotionError::Superseded)
    }

    pub(super) fn check_lease(&self) -> Result<(), PromotionError> {
        let held = self.lease.check();
        held.map(|_| ()).ok_or(PromotionError::LeaseLost)
    }
}

/// Whether `member` is to be demoted instead of being paused: its role is primary, or is unknown
/// while it was the leader.
fn leads(member: &Member, surveyed: &[SurveyedMember], previous: &PreviousLeader) -> bool {
    let known = surveyed.iter().find(|known| known.member.id == member.id);
    let report = known.and_then(|known| known.response.report());
    report.map_or_else(
        || previous.matches(member),
        |report| report.role == Role::Primary,
    )
}

/// The log position that `target` reported as received when the members were fenced.
fn received_position(target: &MemberId, fenced: &[SurveyedMember]) -> Option<LogPosition> {
    let chosen = fenced.iter().find(|known| known.member.id == *target)?;
    Some(chosen.response.report()?.received)
}

/// The epoch after `known`, where the records are known as of `version`. Epochs of one era of the
/// store are greater than those of all earlier eras, so an epoch whose record the store has lost
/// is never given to another leader.
fn next_epoch(known: Option<&VersionedTerm>, version: StoreVersion) -> Epoch {
    let previous_epoch = known.map_or(0, |term| term.record.epoch);
    previous_epoch
        .saturating_add(1)
        .max(era_of(version).saturating_mul(EPOCHS_PER_ERA))
}
