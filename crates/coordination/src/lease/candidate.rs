//! Acquires, renews and gives back one lease.

use super::port::{LeaseRecord, LeaseStore, LeaseStoreError, PutOutcome};
use super::{FencingNumber, Lease, LeaseError, LeaseName};
use crate::clock::Clock;
use crate::identity::{Incarnation, NodeId};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// How long a lease lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Time until another may take a lease that is not renewed.
    pub duration: Duration,
    /// How much earlier the holder itself counts it as ended. Must exceed what two
    /// clocks can drift apart within the duration.
    pub margin: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(10),
            margin: Duration::from_millis(500),
        }
    }
}

/// What came of an attempt to acquire.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Acquisition {
    /// The lease is held.
    Held(Lease),
    /// Another holds it, as far as is known.
    Taken {
        /// When a further attempt may succeed, from now.
        retry_after: Duration,
    },
}

/// A lease that was taken from a holder which may not have noticed yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TakenOver {
    /// The lease.
    pub lease: Lease,
    /// Until when the holder before may act under its own, on the clock of the candidate.
    pub shared_until: Duration,
}

/// One node's pursuit of one lease.
pub struct LeaseCandidate {
    name: LeaseName,
    holder: NodeId,
    incarnation: Incarnation,
    settings: LeaseSettings,
    store: Arc<dyn LeaseStore>,
    clock: Arc<dyn Clock>,
    observed: Option<Observation>,
    replaced: Option<LeaseRecord>,
    reclaims: bool,
}

/// A record of another holding, and when it was first read in an era of the store.
#[derive(Debug)]
struct Observation {
    record: LeaseRecord,
    /// `None` where the record was told by others before the store has answered.
    era: Option<u64>,
    since: Duration,
}

impl LeaseCandidate {
    /// A candidate that has observed nothing yet. `incarnation` must differ between
    /// the lives of `holder`.
    pub fn new(
        name: LeaseName,
        holder: NodeId,
        incarnation: Incarnation,
        settings: LeaseSettings,
        store: Arc<dyn LeaseStore>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self {
            name,
            holder,
            incarnation,
            settings,
            store,
            clock,
            observed: None,
            replaced: None,
            reclaims: false,
        }
    }

    /// Lets the candidate take what an earlier life of its own node holds without waiting.
    /// Only for nodes of which never two lives run at a time: the earlier one can't act
    /// any more.
    pub fn reclaiming_earlier_lives(mut self) -> Self {
        self.reclaims = true;
        self
    }

    /// Takes note of the present record, learned in another way than by a call of the
    /// store, and returns how long from now it stays taken unless it is renewed. A later
    /// attempt counts the time without a renewal from the first note of a record.
    pub fn observe(&mut self, record: &LeaseRecord) -> Duration {
        self.time_until_free(record)
    }

    /// Tries once. A lease that another holds can be taken by calling again, and only
    /// by this candidate, once the time told has passed without a renewal.
    ///
    /// # Errors
    ///
    /// [`LeaseError::Lapsed`] where the store's answer came after the end of the lease
    /// it granted; [`LeaseError::Store`] where there was none. If the answer to a
    /// write was lost, a later attempt finds out whether it took effect.
    pub async fn try_acquire(&mut self) -> Result<Acquisition, LeaseError> {
        let current = self.store.get(&self.name).await?;
        let era = self.store.era();
        let before = match &current {
            None => FencingNumber::default(),
            Some(record) => match self.time_until_free(record) {
                Duration::ZERO => record.fencing,
                retry_after => return Ok(Acquisition::Taken { retry_after }),
            },
        };
        let record = self.first_record(before.next_in(era), false);
        match self.write(current.as_ref(), record, era).await {
            Ok(lease) => {
                self.replaced = current;
                Ok(Acquisition::Held(lease))
            }
            Err(LeaseError::Lost) => Ok(Acquisition::Taken {
                retry_after: self.settings.duration,
            }),
            Err(error) => Err(error),
        }
    }

    /// Takes the lease from the holder of `suspect`, which is believed to be lost, before it has
    /// lapsed: that holder can't renew it any more, but may act under it until the moment that
    /// is returned. `None` where the lease is not held by it any longer.
    ///
    /// # Errors
    ///
    /// As for [`LeaseCandidate::try_acquire`].
    pub async fn take_over(
        &mut self,
        suspect: &LeaseRecord,
    ) -> Result<Option<TakenOver>, LeaseError> {
        let current = self.store.get(&self.name).await?;
        let era = self.store.era();
        let Some(current) = current.filter(|current| current.fencing == suspect.fencing) else {
            return Ok(None);
        };
        let remaining = self.time_until_free(&current);
        let shared_until = self.clock.now().saturating_add(remaining);
        let taken_early = remaining > Duration::ZERO;
        let record = self.first_record(current.fencing.next_in(era), taken_early);
        match self.write(Some(&current), record, era).await {
            Ok(lease) => {
                self.replaced = Some(current);
                Ok(Some(TakenOver {
                    lease,
                    shared_until,
                }))
            }
            Err(LeaseError::Lost) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// What the store is to hold of a new holding.
    fn first_record(&self, fencing: FencingNumber, taken_early: bool) -> LeaseRecord {
        LeaseRecord {
            holder: self.holder.clone(),
            incarnation: self.incarnation,
            fencing,
            renewal: 0,
            write_id: rand::random(),
            duration: self.settings.duration,
            released: false,
            held: Duration::ZERO,
            taken_early,
        }
    }

    /// The record that the lease acquired last has replaced: how often the holding before was
    /// renewed tells how long it lasted at least. `None` where there was none.
    pub fn replaced(&self) -> Option<&LeaseRecord> {
        self.replaced.as_ref()
    }

    /// Renews a lease, also one that has lapsed but that nobody has taken.
    ///
    /// # Errors
    ///
    /// [`LeaseError::Lost`] where another has taken it, or may have: the store has entered
    /// another era since it was acquired; [`LeaseError::Lapsed`] and
    /// [`LeaseError::Store`] as for [`LeaseCandidate::try_acquire`]: the lease given
    /// is then good for no longer than before.
    pub async fn renew(&self, lease: &Lease) -> Result<Lease, LeaseError> {
        match self.renew_from(lease, &lease.record).await {
            Err(LeaseError::Lost) => {}
            result => return result,
        }
        // The answer to an earlier renewal may have been lost after its effect.
        let current = self.store.get(&self.name).await?;
        let own = current.filter(|current| {
            let same_holding = current.fencing == lease.record.fencing && !current.released;
            self.is_own(current) && same_holding && self.store.era() == lease.era
        });
        let own = own.ok_or(LeaseError::Lost)?;
        self.renew_from(lease, &own).await
    }

    async fn renew_from(&self, lease: &Lease, expected: &LeaseRecord) -> Result<Lease, LeaseError> {
        let record = LeaseRecord {
            // The `write_id` still tells two renewals apart if the count can't rise.
            renewal: expected.renewal.saturating_add(1),
            write_id: rand::random(),
            duration: self.settings.duration,
            held: self.clock.now().saturating_sub(lease.began),
            ..expected.clone()
        };
        self.write(Some(expected), record, lease.era).await
    }

    /// Gives the lease back, so that another need not wait for its end.
    ///
    /// # Errors
    ///
    /// [`LeaseError::Lost`] where another has taken it already, or the record has
    /// been renewed since; [`LeaseError::Store`] where the store gave no answer.
    pub async fn release(&self, lease: Lease) -> Result<(), LeaseError> {
        let record = LeaseRecord {
            released: true,
            write_id: rand::random(),
            ..lease.record.clone()
        };
        let put = self.store.put_if(&self.name, Some(&lease.record), &record);
        match put.await? {
            PutOutcome::Stored => Ok(()),
            PutOutcome::Conflict => Err(LeaseError::Lost),
        }
    }

    /// Writes `record`. The lease counts from before the request is sent, and is
    /// checked once more when the answer has come. What was read in `era` holds only in that:
    /// in a later one others may have taken the lease, and the store has forgotten it.
    async fn write(
        &self,
        expected: Option<&LeaseRecord>,
        record: LeaseRecord,
        era: Option<u64>,
    ) -> Result<Lease, LeaseError> {
        let sent = self.clock.now();
        let outcome = match self.store.put_if(&self.name, expected, &record).await {
            Err(LeaseStoreError::Unknown(_)) => self.find_outcome(&record).await?,
            outcome => outcome?,
        };
        if outcome == PutOutcome::Conflict || self.store.era() != era {
            return Err(LeaseError::Lost);
        }
        let held_for = record.duration.saturating_sub(self.settings.margin);
        let lease = Lease {
            name: self.name.clone(),
            began: sent.saturating_sub(record.held),
            era,
            record,
            ends: sent + held_for,
        };
        lease.check(self.clock.now())?;
        Ok(lease)
    }

    /// Whether a write whose answer was lost took effect. A write that did not yet
    /// do so counts as unknown: it may still arrive.
    async fn find_outcome(&self, record: &LeaseRecord) -> Result<PutOutcome, LeaseStoreError> {
        match self.store.get(&self.name).await? {
            Some(current) if current == *record => Ok(PutOutcome::Stored),
            Some(current) if current.fencing > record.fencing => Ok(PutOutcome::Conflict),
            _ => Err(LeaseStoreError::Unknown(
                "the write has not been seen to take effect".to_owned(),
            )),
        }
    }

    /// Zero once `record` may be replaced. Counts from the moment after the record
    /// was first read: its holder counts from before it was written.
    fn time_until_free(&mut self, record: &LeaseRecord) -> Duration {
        let earlier_life = record.holder == self.holder && !self.is_own(record);
        if record.released || (self.reclaims && earlier_life) {
            return Duration::ZERO;
        }
        let now = self.clock.now();
        let era = self.store.era();
        match &mut self.observed {
            Some(observed)
                if observed.record == *record && observed.era.is_none_or(|at| Some(at) == era) =>
            {
                observed.era = era;
                let free_at = observed.since.saturating_add(record.duration);
                free_at.saturating_sub(now)
            }
            _ => {
                self.observed = Some(Observation {
                    record: record.clone(),
                    era,
                    since: now,
                });
                record.duration
            }
        }
    }

    fn is_own(&self, record: &LeaseRecord) -> bool {
        record.holder == self.holder && record.incarnation == self.incarnation
    }
}

impl fmt::Debug for LeaseCandidate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("LeaseCandidate")
            .field("name", &self.name)
            .field("holder", &self.holder)
            .field("observed", &self.observed)
            .finish_non_exhaustive()
    }
}
