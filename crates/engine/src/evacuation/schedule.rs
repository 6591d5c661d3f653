//! By when this process sends nothing more to the servers of evacuated zones.
//!
//! The bound runs from the store's acknowledgement of a request, which no process sees. All
//! moments count from the last proof that the request was not there yet: it can't have been
//! acknowledged before.

use crate::names::ZoneName;
use quick_error::quick_error;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{PoisonError, RwLock, RwLockReadGuard};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Share of the bound after which all reads go elsewhere: a tenth of the bound before nothing
/// is sent any more, so that hardly any statement meets the end.
const READS_DIVERTED_SHARE: f64 = 0.5;
/// Share of the bound after which callers' statements are not sent any more. Processes learn
/// of a request up to a tenth of the bound apart, and statements need time on their way.
const SESSION_SHARE: f64 = 0.6;
/// The same for statements that another process has forwarded: it may have learned later.
const HOME_SHARE: f64 = 0.7;
/// Greatest age of the proof of what is evacuated, as a share of the bound: statements need
/// time on their way.
const PROOF_AGE_SHARE: f64 = 0.9;

quick_error! {
    /// Nothing may be sent to a member now.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum MayNotSend {
        /// Its zone is evacuated.
        Evacuated {
            display("its zone is evacuated")
        }
        /// Its zone may be evacuated: this process has not heard of the store for too long.
        Unproven {
            display("its zone may be evacuated by now")
        }
    }
}

/// Who sends to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sender {
    /// A session of this process where it chooses a member, and its connections by way of homes.
    Session,
    /// Whoever holds a connection to the member itself, for this process's sessions or another's.
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

/// What is known of one request.
#[derive(Debug, Clone, Copy)]
struct EvacuationNotice {
    /// When this process learned of it.
    learned_at: Instant,
    /// As of when it was not there yet; `None` where that is not known.
    absent_at: Option<Instant>,
}

impl EvacuationNotice {
    /// The moment after `share` of `bound`; none of it is left where nothing is proven.
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

/// When this process sends nothing more to which zone.
#[derive(Debug)]
pub struct Schedule {
    /// `None` where zones are not evacuated.
    bound: Option<Duration>,
    /// As of when the evacuations in use are known to have been the newest.
    proof: watch::Receiver<Option<Instant>>,
    state: RwLock<State>,
}

impl Schedule {
    /// A schedule of nothing. `bound` is the time within which requests must be acted on,
    /// `proof` tells as of when they were complete.
    pub fn new(bound: Option<Duration>, proof: watch::Receiver<Option<Instant>>) -> Self {
        Self {
            bound,
            proof,
            state: RwLock::default(),
        }
    }

    /// Takes the set of evacuated zones that was learned at `now`. To be called before any
    /// proof of it is told.
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

    /// Whether anything may be sent to the members of `zone` at `now`.
    ///
    /// # Errors
    ///
    /// Why it may not.
    pub fn check(&self, zone: &str, sender: Sender, now: Instant) -> Result<(), MayNotSend> {
        let Some(bound) = self.bound else {
            return Ok(());
        };
        // Before the zones: what is evacuated is then no older than this tells.
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

    /// Share of the reads that are to avoid the members of `zone` at `now`, 0 to 1.
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

    /// Whether `zone` is evacuated, or is going to be within the bound.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.bound.is_some() && self.read().evacuated.contains_key(zone)
    }

    /// When `sender` sends nothing more to the members of `zone`; `None` where it is not
    /// evacuated.
    pub fn closes_at(&self, zone: &str, sender: Sender) -> Option<Instant> {
        let bound = self.bound?;
        let notice = self.read().evacuated.get(zone).copied()?;
        Some(notice.deadline(bound, sender.share()))
    }

    /// Since when `zone` is back; `None` where it was never evacuated, or is now. Its members
    /// may be cold.
    pub fn restored_at(&self, zone: &str) -> Option<Instant> {
        self.read().restored.get(zone).copied()
    }

    fn read(&self) -> RwLockReadGuard<'_, State> {
        self.state.read().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Share of the traffic that is to be elsewhere at `now`, where none is to move before `began`
/// and all of it is to have moved by `until`: it rises evenly, so that the members elsewhere
/// have time to take it up.
///
/// ```
/// use std::time::Duration;
/// use stilequay_engine::evacuation::share_elsewhere;
/// use tokio::time::Instant;
/// let began = Instant::now();
/// let until = began + Duration::from_secs(2);
/// assert_eq!(share_elsewhere(began, until, began), 0.0);
/// assert_eq!(share_elsewhere(began, until, began + Duration::from_secs(1)), 0.5);
/// assert_eq!(share_elsewhere(began, until, until), 1.0);
/// assert_eq!(share_elsewhere(began, began, began), 1.0);
/// ```
pub fn ramp_share(began: Instant, until: Instant, now: Instant) -> f64 {
    let whole = until.saturating_duration_since(began);
    if whole.is_zero() {
        return 1.0;
    }
    let passed = now.saturating_duration_since(began);
    (passed.as_secs_f64() / whole.as_secs_f64()).min(1.0)
}
