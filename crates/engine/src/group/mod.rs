//! What this process believes of one group: who leads it, for how long that may be
//! relied on, and which log position covers which moment.
//!
//! Who may believe what, for how long, on which evidence:
//!
//! | belief | evidence | lasts |
//! | --- | --- | --- |
//! | the leader of the epoch has not been superseded | a read of the store, begun at `t`, that shows no later epoch | until `t` + [`TERM_LEASE`] |
//! | the same | a commit sent to it at `t` and acknowledged after a replica had received it | until `t` + [`TERM_LEASE`] |
//! | position `p` covers every commit acknowledged before `t` | the leader's log was at `p` in its answer to what was sent at `t`, while the first belief held | for ever |
//! | the same | `p` is the highest position received by all members but one, each asked after `t` | for ever |
//!
//! The first two are safe because a promotion becomes usable only [`TERM_LEASE`] after
//! every replica that could receive from the old leader was paused, and after the
//! record of the new epoch was written: both pieces of evidence are older than that.
//! All times are of the monotonic clock, taken before the call that brought the evidence.

mod samples;

pub use samples::{PositionSample, PositionSamples};

use crate::leadership::record::{TermPhase, TermRecord};
use crate::names::{GroupName, MemberId};
use crate::position::LogPosition;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Mutex as AsyncMutex, watch};
use tokio::time::Instant;

/// How long evidence for a leader's term lasts. A promotion waits at least as long
/// after the fence before the new leader is used.
pub const TERM_LEASE: Duration = Duration::from_millis(400);
/// What the waiting side adds to [`TERM_LEASE`], for clocks that run at unequal rates.
pub const TERM_LEASE_MARGIN: Duration = Duration::from_millis(25);

/// Number of a leadership as the store's records count it. Zero before any promotion.
pub type Epoch = u64;

/// Where a group's leadership stands, as far as this process knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaderView {
    /// The leadership's number.
    pub epoch: Epoch,
    /// The leader, or the member that is being promoted.
    pub leader: Option<MemberId>,
    /// From when on the leader may be given writes; `None` while the next leader is
    /// not chosen.
    pub writable_from: Option<Instant>,
    /// Whether the leader is known to have taken the lead.
    pub confirmed: bool,
    /// What the leader's log held when it was chosen; `None` where nobody was ever promoted.
    pub position_when_chosen: Option<LogPosition>,
}

impl LeaderView {
    /// The leader, or the member that is being promoted; `None` while the leader before is
    /// fenced off and no other is chosen.
    pub fn target(&self) -> Option<&MemberId> {
        self.leader
            .as_ref()
            .filter(|_| self.writable_from.is_some())
    }

    /// Whether `leader` leads, or goes on leading until it is fenced off.
    fn is_led_by(&self, leader: &UsableLeader) -> bool {
        self.epoch == leader.epoch && self.leader.as_ref() == Some(&leader.member)
    }

    /// Whether `leader` leads, or is being promoted, and is not being fenced off.
    fn is_target(&self, leader: &UsableLeader) -> bool {
        self.is_led_by(leader) && self.writable_from.is_some()
    }
}

/// A leader to be used now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsableLeader {
    /// The member.
    pub member: MemberId,
    /// Its epoch.
    pub epoch: Epoch,
}

#[derive(Debug)]
struct GroupState {
    view: LeaderView,
    evidence: Option<Instant>,
    samples: PositionSamples,
    commit_waiting_since: Option<Instant>,
    commits_stalled: bool,
}

/// The beliefs about one group, shared by all tasks.
#[derive(Debug)]
pub struct Group {
    name: GroupName,
    state: Mutex<GroupState>,
    changes: watch::Sender<u64>,
    evidence_changes: watch::Sender<u64>,
    query_lock: AsyncMutex<()>,
}

impl Group {
    /// A group of which nothing is known.
    pub fn new(name: GroupName) -> Self {
        let view = LeaderView {
            epoch: 0,
            leader: None,
            writable_from: None,
            confirmed: false,
            position_when_chosen: None,
        };
        Self {
            name,
            state: Mutex::new(GroupState {
                view,
                evidence: None,
                samples: PositionSamples::default(),
                commit_waiting_since: None,
                commits_stalled: false,
            }),
            changes: watch::Sender::new(0),
            evidence_changes: watch::Sender::new(0),
            query_lock: AsyncMutex::new(()),
        }
    }

    /// The group's name.
    pub fn name(&self) -> &GroupName {
        &self.name
    }

    /// Held by the task that asks members on behalf of all.
    pub fn query_lock(&self) -> &AsyncMutex<()> {
        &self.query_lock
    }

    /// Where its leadership stands.
    pub fn view(&self) -> LeaderView {
        self.lock().view.clone()
    }

    /// Tells of each change of the view.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Tells of new evidence that commits have brought.
    pub fn subscribe_evidence(&self) -> watch::Receiver<u64> {
        self.evidence_changes.subscribe()
    }

    /// Takes a record of the store. `begun` is when a read that showed the newest record
    /// was begun; it is `None` where another may have been newer. Returns whether the view
    /// has changed.
    pub fn apply_record(&self, record: &TermRecord, begun: Option<Instant>, now: Instant) -> bool {
        let mut state = self.lock();
        let known = state.view.epoch;
        if record.epoch < known {
            return false;
        }
        let before = state.view.clone();
        if record.epoch > known {
            state.commit_waiting_since = None;
            state.commits_stalled = false;
            state.evidence = state
                .evidence
                .filter(|_| record.phase == TermPhase::Fencing);
        }
        state.view = next_view(&before, record, now);
        if record.phase != TermPhase::Fencing {
            state.evidence = state.evidence.max(begun);
        }
        self.publish(before, &state)
    }

    /// Takes that nobody was ever promoted, and that `leader` says it leads. `begun` is
    /// when a read of the store was begun that showed the first.
    pub fn apply_initial_leader(&self, leader: Option<MemberId>, begun: Option<Instant>) -> bool {
        let mut state = self.lock();
        if state.view.epoch > 0 {
            return false;
        }
        let before = state.view.clone();
        if leader.is_some() {
            state.view.writable_from = state.view.writable_from.or(Some(Instant::now()));
            state.view.confirmed = true;
            state.view.leader = leader;
        }
        state.evidence = state.evidence.max(begun);
        self.publish(before, &state)
    }

    /// The member that may be given writes at `now`.
    pub fn writable_leader(&self, now: Instant) -> Option<UsableLeader> {
        let state = self.lock();
        let from = state.view.writable_from?;
        if now < from {
            return None;
        }
        usable_leader(&state.view)
    }

    /// The member that holds, at `now`, every commit acknowledged longer than
    /// `staleness` ago, by the evidence for its term.
    pub fn leased_leader(&self, now: Instant, staleness: Duration) -> Option<UsableLeader> {
        let state = self.lock();
        let expires_at = state.evidence? + TERM_LEASE + staleness;
        if now >= expires_at || !state.view.confirmed {
            return None;
        }
        usable_leader(&state.view)
    }

    /// `member` as the leader, if it is known to lead now.
    pub fn as_leader(&self, member: &MemberId) -> Option<UsableLeader> {
        let state = self.lock();
        usable_leader(&state.view).filter(|leader| state.view.confirmed && leader.member == *member)
    }

    /// When the newest evidence for the leader's term was begun.
    pub fn evidence(&self) -> Option<Instant> {
        self.lock().evidence
    }

    /// Notes that a commit was sent to the leader at `sent`.
    pub fn record_commit_sent(&self, sent: Instant) {
        self.lock().commit_waiting_since.get_or_insert(sent);
    }

    /// Notes that a replica receives what the leader commits.
    pub fn record_replication_working(&self) {
        let mut state = self.lock();
        state.commit_waiting_since = None;
        state.commits_stalled = false;
    }

    /// Notes that no replica receives what the leader commits.
    pub fn record_replication_stalled(&self) {
        self.lock().commits_stalled = true;
    }

    /// Whether a commit that is sent now is known to get no acknowledgement.
    pub fn commits_stalled(&self) -> bool {
        self.lock().commits_stalled
    }

    /// Since when commits were sent and none was acknowledged.
    pub fn commit_waiting_since(&self) -> Option<Instant> {
        self.lock().commit_waiting_since
    }

    /// Takes an acknowledged commit that `leader` was sent at `sent`. It is evidence for
    /// the term only where a replica had to receive it.
    pub fn record_commit(
        &self,
        leader: &UsableLeader,
        sent: Instant,
        position: Option<LogPosition>,
        replicated: bool,
    ) {
        let mut state = self.lock();
        state.commit_waiting_since = None;
        state.commits_stalled = false;
        if !state.view.is_led_by(leader) {
            return;
        }
        let before = state.view.clone();
        state.view.confirmed = true;
        if replicated {
            state.evidence = state.evidence.max(Some(sent));
            self.evidence_changes.send_modify(|count| *count += 1);
        }
        self.publish(before, &state);
        drop(state);
        if let Some(position) = position {
            self.record_leader_position(leader, sent, position);
        }
    }

    /// Takes the position of the log of `leader` from its answer to what was sent at `sent`.
    ///
    /// It must still be the leader: evidence for the next one, of the same epoch, says
    /// nothing of what had been acknowledged when the question was sent.
    pub fn record_leader_position(
        &self,
        leader: &UsableLeader,
        sent: Instant,
        position: LogPosition,
    ) {
        let mut state = self.lock();
        let leased = state.evidence.is_some_and(|at| sent < at + TERM_LEASE);
        if state.view.is_led_by(leader) && state.view.confirmed && leased {
            state.samples.record(PositionSample {
                position,
                at: sent,
                epoch: leader.epoch,
            });
        }
    }

    /// The position that the log of `leader` is known to have reached. Its server may start again
    /// with nothing before any statement has told one of this epoch: then it is what the leader
    /// held when it was chosen.
    pub fn known_position(&self, leader: &UsableLeader) -> Option<LogPosition> {
        let state = self.lock();
        let newest = state.samples.newest();
        let sampled = newest.filter(|sample| sample.epoch == leader.epoch);
        let chosen = state
            .view
            .position_when_chosen
            .filter(|_| state.view.is_led_by(leader));
        sampled.map(|sample| sample.position).max(chosen)
    }

    /// Takes evidence for the term of `leader` that another process had at `at`.
    pub fn record_evidence(&self, leader: &UsableLeader, at: Instant) {
        let mut state = self.lock();
        if state.view.is_target(leader) {
            state.evidence = state.evidence.max(Some(at));
            self.evidence_changes.send_modify(|count| *count += 1);
        }
    }

    /// The newest position that is known to cover a moment, of whatever epoch.
    pub fn newest_position(&self) -> Option<LogPosition> {
        self.lock().samples.newest().map(|sample| sample.position)
    }

    /// The newest moment that a position is known to cover.
    pub fn newest_sample(&self) -> Option<PositionSample> {
        let state = self.lock();
        let newest = state.samples.newest()?;
        (newest.epoch == state.view.epoch).then_some(newest)
    }

    /// What another process is told of the positions that cover moments, oldest first.
    pub fn samples_to_share(&self) -> Vec<PositionSample> {
        let state = self.lock();
        let mut shared = state.samples.samples_to_share();
        shared.retain(|sample| sample.epoch == state.view.epoch);
        shared
    }

    /// Takes a position that is said to cover what was acknowledged before `at`.
    ///
    /// One lower than a position that covers an earlier moment can't cover a later one:
    /// those who told it lack a log that has left with its member.
    pub fn record_covering_position(&self, at: Instant, position: LogPosition) {
        let mut state = self.lock();
        let epoch = state.view.epoch;
        if state
            .samples
            .newest()
            .is_some_and(|known| position < known.position)
        {
            return;
        }
        let sample = PositionSample {
            position,
            at,
            epoch,
        };
        state.samples.record(sample);
    }

    /// Notes that `leader` acts as one.
    pub fn confirm_leader(&self, leader: &UsableLeader) {
        let mut state = self.lock();
        if state.view.is_target(leader) && !state.view.confirmed {
            let before = state.view.clone();
            state.view.confirmed = true;
            self.publish(before, &state);
        }
    }

    /// A position that covers every commit acknowledged before `moment`; the lowest
    /// known, so that the most replicas have reached it.
    pub fn covering_position(&self, moment: Instant) -> Option<LogPosition> {
        self.lock().samples.covering(moment)
    }

    fn publish(&self, before: LeaderView, state: &GroupState) -> bool {
        if before == state.view {
            return false;
        }
        self.changes.send_modify(|count| *count += 1);
        true
    }

    fn lock(&self) -> MutexGuard<'_, GroupState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn usable_leader(view: &LeaderView) -> Option<UsableLeader> {
    Some(UsableLeader {
        member: view.leader.clone()?,
        epoch: view.epoch,
    })
}

/// The view after `record`, seen at `now`.
fn next_view(before: &LeaderView, record: &TermRecord, now: Instant) -> LeaderView {
    let same_epoch = before.epoch == record.epoch;
    let (leader, writable_from, confirmed) = match record.phase {
        // The old leader goes on serving reads until the evidence for its term lapses.
        TermPhase::Fencing => (before.leader.clone(), None, before.confirmed),
        TermPhase::Promoting => {
            let unchanged = same_epoch && before.leader == record.target;
            let waited = before.writable_from.filter(|_| unchanged);
            let from = waited.unwrap_or(now + TERM_LEASE + TERM_LEASE_MARGIN);
            let confirmed = unchanged && before.writable_from.is_some() && before.confirmed;
            (record.target.clone(), Some(from), confirmed)
        }
        TermPhase::Active => {
            let from = before.writable_from.filter(|_| same_epoch).unwrap_or(now);
            (record.target.clone(), Some(from.min(now)), true)
        }
    };
    LeaderView {
        epoch: record.epoch,
        leader,
        writable_from,
        confirmed,
        position_when_chosen: match record.phase {
            TermPhase::Fencing => before.position_when_chosen,
            TermPhase::Promoting | TermPhase::Active => record.target_received,
        },
    }
}
