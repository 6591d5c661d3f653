//! Deadlines from which this process sends nothing more to the servers of evacuated zones.
//!
//! The evacuation bound starts when the store acknowledges a request, which no process observes.
//! All deadlines are therefore computed from the last proof that the request did not exist yet,
//! since it can't have been acknowledged before that.

use crate::names::ZoneName;
use quick_error::quick_error;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{PoisonError, RwLock, RwLockReadGuard};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Share of the bound after which all reads are diverted to other zones. It is a tenth of the bound
/// before sending stops, so that hardly any statement is refused at the deadline.
const READS_DIVERTED_SHARE: f64 = 0.5;
/// Share of the bound after which callers' statements are no longer sent. The remainder allows for
/// processes that learn of a request up to a tenth of the bound apart, and for transit time.
const SESSION_SHARE: f64 = 0.6;
/// The same for statements forwarded by another process, which may have learned of the request
/// later.
const HOME_SHARE: f64 = 0.7;
/// Maximum age of the proof that the known evacuations are complete, as a share of the bound. The
/// remainder allows for the transit time of statements.
const PROOF_AGE_SHARE: f64 = 0.9;

quick_error! {
    /// Why commands may not be sent to a member.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum MayNotSend {
        /// The member's zone is evacuated.
        Evacuated {
            display("its zone is evacuated")
        }
        /// The member's zone may be evacuated: this process has received no recent state of the
        /// store.
        Unproven {
            display("its zone may be evacuated by now")
        }
    }
}

/// Origin of the commands sent to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sender {
    /// A session of this process that chooses a member, and its connections through homes.
    Session,
    /// The holder of a connection to the member itself, for sessions of this or another process.
    Home,
}

impl Sender {
    fn share(self) -> f64 {
        match self {
            Sender::Session => SESSION_SHARE,
            Sender::Home => HOME_SHARE,
        }
    }
}

/// What this process knows about one evacuation request.
#[derive(Debug, Clone, Copy)]
struct EvacuationNotice {
    /// When this process learned of it.
    learned_at: Instant,
    /// Last time at which the request is known not to have existed; `None` if unknown.
    absent_at: Option<Instant>,
}

impl EvacuationNotice {
    /// Returns the time after `share` of `bound`. Without any proof, returns the time at which the
    /// request was learned, as if the bound had already elapsed.
    fn deadline(&self, bound: Duration, share: f64) -> Instant {
        let moment = self.absent_at.map(|at| at + bound.mul_f64(share));
        moment.map_or(self.learned_at, |at| at.max(self.learned_at))
    }
}

#[derive(Debug, Default)]
struct State {
    evacuated: BTreeMap<ZoneName, EvacuationNotice>,
    restored: BTreeMap<ZoneName, Instant>,
}

/// Evacuated zones and the deadlines from which this process sends nothing more to them.
#[derive(Debug)]
pub struct Schedule {
    /// `None` if evacuation is disabled.
    bound: Option<Duration>,
    /// Last time at which the known evacuations are proven to have been current.
    proof: watch::Receiver<Option<Instant>>,
    state: RwLock<State>,
}

impl Schedule {
    /// Creates a schedule without evacuated zones. `bound` is the time within which requests must
    /// be applied; `proof` holds the last time at which the known requests were complete.
    pub fn new(bound: Option<Duration>, proof: watch::Receiver<Option<Instant>>) -> Self {
        Self {
            bound,
            proof,
            state: RwLock::default(),
        }
    }

    /// Replaces the set of evacuated zones by the one learned at `now`. Must be called before
    /// `proof` is updated to cover it.
    pub fn set_evacuated(&self, zones: &BTreeSet<ZoneName>, now: Instant) {
        let absent_at = *self.proof.borrow();
        let notice = EvacuationNotice {
            learned_at: now,
            absent_at,
        };
        let mut state = self.state.write().unwrap_or_else(PoisonError::into_inner);
        let state = &mut *state;
        for zone in zones {
            state.evacuated.entry(zone.clone()).or_insert(notice);
            state.restored.remove(zone);
        }
        let restored = &mut state.restored;
        state.evacuated.retain(|zone, _| {
            let stays = zones.contains(zone);
            if !stays {
                restored.insert(zone.clone(), now);
            }
            stays
        });
    }

    /// Checks whether `sender` may send commands to the members of `zone` at `now`.
    ///
    /// # Errors
    ///
    /// Returns the reason if it may not.
    pub fn check(&self, zone: &str, sender: Sender, now: Instant) -> Result<(), MayNotSend> {
        let Some(bound) = self.bound else {
            return Ok(());
        };
        // Read before the zones, so that the set of zones is at least as recent as the proof.
        let proof = *self.proof.borrow();
        let is_closed = |notice: &EvacuationNotice| now >= notice.deadline(bound, sender.share());
        if self.read().evacuated.get(zone).is_some_and(is_closed) {
            return Err(MayNotSend::Evacuated);
        }
        match proof.is_some_and(|at| now < at + bound.mul_f64(PROOF_AGE_SHARE)) {
            true => Ok(()),
            false => Err(MayNotSend::Unproven),
        }
    }

    /// Share of reads, from 0 to 1, that must be diverted from the members of `zone` at `now`.
    pub fn diverted_share(&self, zone: &str, now: Instant) -> f64 {
        let Some(bound) = self.bound else {
            return 0.0;
        };
        let notice = self.read().evacuated.get(zone).copied();
        notice.map_or(0.0, |notice| {
            ramp_share(
                notice.learned_at,
                notice.deadline(bound, READS_DIVERTED_SHARE),
                now,
            )
        })
    }

    /// Whether `zone` is evacuated or will be within the bound.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.bound.is_some() && self.read().evacuated.contains_key(zone)
    }

    /// Time from which `sender` sends nothing more to the members of `zone`; `None` if the zone is
    /// not evacuated.
    pub fn closes_at(&self, zone: &str, sender: Sender) -> Option<Instant> {
        let bound = self.bound?;
        let notice = self.read().evacuated.get(zone).copied()?;
        Some(notice.deadline(bound, sender.share()))
    }

    /// Time at which the evacuation of `zone` ended; `None` if the zone was never evacuated or is
    /// evacuated now. Members of a restored zone may have cold caches.
    pub fn restored_at(&self, zone: &str) -> Option<Instant> {
        self.read().restored.get(zone).copied()
    }

    fn read(&self) -> RwLockReadGuard<'_, State> {
        self.state.read().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Share of the traffic that must be diverted at `now`. It rises linearly from none at `began` to
/// all at `until`, so that the members in other zones can warm up to the additional load.
///
/// ```
/// use std::time::Duration;
/// use stilequay_engine::evacuation::ramp_share;
/// use tokio::time::Instant;
/// let began = Instant::now();
/// let until = began + Duration::from_secs(2);
/// assert_eq!(ramp_share(began, until, began), 0.0);
/// assert_eq!(ramp_share(began, until, began + Duration::from_secs(1)), 0.5);
/// assert_eq!(ramp_share(began, until, until), 1.0);
/// assert_eq!(ramp_share(began, began, began), 1.0);
/// ```
pub fn ramp_share(began: Instant, until: Instant, now: Instant) -> f64 {
    let whole = until.saturating_duration_since(began);
    if whole.is_zero() {
        return 1.0;
    }
    let passed = now.saturating_duration_since(began);
    (passed.as_secs_f64() / whole.as_secs_f64()).min(1.0)
}
