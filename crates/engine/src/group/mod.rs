//! What this process knows about one group: who leads it, for how long that may be relied on, and
//! which log position covers which point in time.
//!
//! Each piece of knowledge rests on evidence and is valid for a limited time:
//!
//! | Knowledge | Evidence | Valid |
//! | --- | --- | --- |
//! | the leader of the epoch has not been superseded | a read of the store, started at `t`, that shows no later epoch | until `t` + [`TERM_LEASE`] |
//! | the same | the leader, asked at `t`, answers as primary, and the other members as replicas that aren't paused | until `t` + [`TERM_LEASE`] |
//! | position `p` covers every commit acknowledged before `t` | the leader's log was at `p` in its answer to a command sent at `t`, while the first row held | forever |
//! | the same | `p` is the highest position received by all members but one, each queried after `t` | forever |
//!
//! The first two rows are safe because a new leader becomes usable only [`TERM_LEASE`] after every
//! replica that could receive from the old leader was paused, and after the record of the new
//! epoch was written: all kinds of evidence are older than that. All times are readings of the
//! monotonic clock taken before the call that returned the evidence.
//!
//! A leader that can't be reached may have commits acknowledged after the fence, through a server
//! that joins it. So writes are sent to a leader, and their success is passed on, only while there
//! is evidence for its term, and its successor is chosen only after that evidence has expired. A
//! commit is no evidence: acknowledged through such a server, it would allow the next one, and reads
//! after the successor is used.

mod samples;

pub use samples::{PositionOutcome, PositionSample, PositionSamples, PositionSource};

use crate::leadership::record::{TermPhase, TermRecord};
use crate::names::{GroupName, MemberId};
use crate::position::LogPosition;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Mutex as AsyncMutex, watch};
use tokio::time::Instant;

/// How long evidence for a leader's term is valid; during that time the leader is leased. A
/// promotion waits at least this long after fencing before the new leader is used.
pub const TERM_LEASE: Duration = Duration::from_millis(400);
/// Added to [`TERM_LEASE`] by the waiting side, to allow for clocks running at different rates.
pub const TERM_LEASE_MARGIN: Duration = Duration::from_millis(25);

/// Number of a group's leadership in the store's term records; zero before any promotion. The
/// members count their own [`Term`](crate::position::Term)s independently of it.
pub type Epoch = u64;

/// State of a group's leadership, as far as this process knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaderView {
    /// The epoch of the leadership.
    pub epoch: Epoch,
    /// The leader, or the member that is being promoted.
    pub leader: Option<MemberId>,
    /// From when on writes may be sent to the leader; `None` while the next leader has not been
    /// chosen.
    pub writable_from: Option<Instant>,
    /// Whether the leader is known to have become primary.
    pub confirmed: bool,
    /// Position of the leader's log when it was chosen, or when it began to be fenced; `None` if none
    /// is known.
    pub reached: Option<LogPosition>,
}

impl LeaderView {
    /// The leader, or the member that is being promoted; `None` while the previous leader is
    /// being fenced and no other is chosen.
    pub fn target(&self) -> Option<&MemberId> {
        self.leader
            .as_ref()
            .filter(|_| self.writable_from.is_some())
    }

    /// Whether `leader` leads, possibly while it is being fenced.
    fn is_led_by(&self, leader: &UsableLeader) -> bool {
        self.epoch == leader.epoch && self.leader.as_ref() == Some(&leader.member)
    }

    /// Whether `leader` leads or is being promoted, and is not being fenced.
    fn is_target(&self, leader: &UsableLeader) -> bool {
        self.is_led_by(leader) && self.writable_from.is_some()
    }
}

/// A leader that may be used now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsableLeader {
    /// The member.
    pub member: MemberId,
    /// The epoch in which it leads.
    pub epoch: Epoch,
}

#[derive(Debug)]
struct GroupState {
    view: LeaderView,
    evidence: Option<Instant>,
    samples: PositionSamples,
    commit_waiting_since: Option<Instant>,
    commits_stalled: bool,
    survey_rejected_at: Option<Instant>,
}

impl GroupState {
    fn known_position(&self, leader: &UsableLeader) -> Option<LogPosition> {
        let newest = self.samples.newest();
        let sampled = newest.filter(|sample| sample.epoch == leader.epoch);
        let reached = self.view.reached.filter(|_| self.view.is_led_by(leader));
        sampled.map(|sample| sample.position).max(reached)
    }
}

/// What this process knows about one group, shared by all tasks.
#[derive(Debug)]
pub struct Group {
    name: GroupName,
    state: Mutex<GroupState>,
    changes: watch::Sender<u64>,
    evidence_changes: watch::Sender<u64>,
    query_lock: AsyncMutex<()>,
    member_query_lock: AsyncMutex<()>,
}

impl Group {
    /// Creates a group about which nothing is known.
    pub fn new(name: GroupName) -> Self {
        let view = LeaderView {
            epoch: 0,
            leader: None,
            writable_from: None,
            confirmed: false,
            reached: None,
        };
        Self {
            name,
            state: Mutex::new(GroupState {
                view,
                evidence: None,
                samples: PositionSamples::default(),
                commit_waiting_since: None,
                commits_stalled: false,
                survey_rejected_at: None,
            }),
            changes: watch::Sender::new(0),
            evidence_changes: watch::Sender::new(0),
            query_lock: AsyncMutex::new(()),
            member_query_lock: AsyncMutex::new(()),
        }
    }

    /// The group's name.
    pub fn name(&self) -> &GroupName {
        &self.name
    }

    /// Lock held by the task that queries the members on behalf of all tasks.
    pub fn query_lock(&self) -> &AsyncMutex<()> {
        &self.query_lock
    }

    /// Lock held by the task that asks the members for evidence on behalf of all tasks.
    pub fn member_query_lock(&self) -> &AsyncMutex<()> {
        &self.member_query_lock
    }

    /// The state of its leadership.
    pub fn view(&self) -> LeaderView {
        self.lock().view.clone()
    }

    /// Notifies of each change of the view.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Notifies of new evidence that does not come from the store but from members or other processes.
    pub fn subscribe_evidence(&self) -> watch::Receiver<u64> {
        self.evidence_changes.subscribe()
    }

    /// Applies a term record. `read_started` is when the read that returned it as the newest record
    /// was started, or `None` if a newer record may exist. Returns whether the view has changed.
    pub fn apply_record(
        &self,
        record: &TermRecord,
        read_started: Option<Instant>,
        now: Instant,
    ) -> bool {
        let mut state = self.lock();
        let known = state.view.epoch;
        if record.epoch < known {
            return false;
        }
        let before = state.view.clone();
        if record.epoch > known {
            state.commit_waiting_since = None;
            state.commits_stalled = false;
            if record.phase != TermPhase::Fencing {
                state.evidence = None;
            }
        }
        let reached = usable_leader(&before).and_then(|leader| state.known_position(&leader));
        state.view = next_view(&before, reached, record, now);
        if record.phase != TermPhase::Fencing {
            state.evidence = state.evidence.max(read_started);
        }
        self.publish(before, &state)
    }

    /// Records that no member was ever promoted, and that `leader` reports to be the leader.
    /// `read_started` is when the read that found no term record was started. Returns whether the
    /// view has changed.
    pub fn apply_initial_leader(
        &self,
        leader: Option<MemberId>,
        read_started: Option<Instant>,
    ) -> bool {
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
        state.evidence = state.evidence.max(read_started);
        self.publish(before, &state)
    }

    /// The leader to which writes may be sent at `now`.
    pub fn writable_leader(&self, now: Instant) -> Option<UsableLeader> {
        let state = self.lock();
        let from = state.view.writable_from?;
        if now < from {
            return None;
        }
        usable_leader(&state.view)
    }

    /// The leader that, according to the evidence for its term, has at `now` every commit
    /// acknowledged more than `staleness` ago.
    pub fn leased_leader(&self, now: Instant, staleness: Duration) -> Option<UsableLeader> {
        let state = self.lock();
        let expires_at = state.evidence? + TERM_LEASE + staleness;
        if now >= expires_at || !state.view.confirmed {
            return None;
        }
        usable_leader(&state.view)
    }

    /// Whether the evidence for the term of `leader` is valid at `now`, also while it is being fenced.
    pub fn is_leased_by(&self, leader: &UsableLeader, now: Instant) -> bool {
        let state = self.lock();
        let is_valid = state.evidence.is_some_and(|at| now < at + TERM_LEASE);
        let is_fenced = state.view.writable_from.is_none()
            && state.view.epoch > leader.epoch
            && state.view.leader.as_ref() == Some(&leader.member);
        is_valid && (state.view.is_led_by(leader) || is_fenced)
    }

    /// `member` as a leader, if it is known to lead.
    pub fn as_leader(&self, member: &MemberId) -> Option<UsableLeader> {
        let state = self.lock();
        usable_leader(&state.view).filter(|leader| state.view.confirmed && leader.member == *member)
    }

    /// The state of its leadership, with the time as of which the newest evidence confirms it.
    pub fn view_with_evidence(&self) -> (LeaderView, Option<Instant>) {
        let state = self.lock();
        (state.view.clone(), state.evidence)
    }

    /// The time as of which the leader's term is confirmed by the newest evidence.
    pub fn evidence(&self) -> Option<Instant> {
        self.lock().evidence
    }

    /// Records that a commit was sent to the leader at `sent`.
    pub fn record_commit_sent(&self, sent: Instant) {
        self.lock().commit_waiting_since.get_or_insert(sent);
    }

    /// Records that a replica receives the leader's commits.
    pub fn record_replication_working(&self) {
        let mut state = self.lock();
        state.commit_waiting_since = None;
        state.commits_stalled = false;
    }

    /// Records that no replica receives the leader's commits.
    pub fn record_replication_stalled(&self) {
        self.lock().commits_stalled = true;
    }

    /// Whether a commit sent now is known not to be acknowledged.
    pub fn commits_stalled(&self) -> bool {
        self.lock().commits_stalled
    }

    /// Since when commits have been outstanding without any being acknowledged.
    pub fn commit_waiting_since(&self) -> Option<Instant> {
        self.lock().commit_waiting_since
    }

    /// Records an acknowledged commit that was sent to `leader` at `sent`.
    pub fn record_commit(
        &self,
        leader: &UsableLeader,
        sent: Instant,
        position: Option<LogPosition>,
    ) {
        let mut state = self.lock();
        state.commit_waiting_since = None;
        state.commits_stalled = false;
        if !state.view.is_led_by(leader) {
            return;
        }
        let before = state.view.clone();
        state.view.confirmed = true;
        self.publish(before, &state);
        drop(state);
        if let Some(position) = position {
            self.record_leader_position(leader, sent, position);
        }
    }

    /// Records the log position that `leader` reported in its answer to a command sent at `sent`.
    ///
    /// Ignored unless it is still the leader: evidence for the next leader of the same epoch says
    /// nothing about what had been acknowledged when the command was sent. A position below a known
    /// one covers nothing either: the server has restarted without its log.
    pub fn record_leader_position(
        &self,
        leader: &UsableLeader,
        sent: Instant,
        position: LogPosition,
    ) {
        let mut state = self.lock();
        let leased = state.evidence.is_some_and(|at| sent < at + TERM_LEASE);
        let has_regressed = state.known_position(leader).is_some_and(|at| position < at);
        if state.view.is_led_by(leader) && state.view.confirmed && leased && !has_regressed {
            state.samples.record(PositionSample {
                position,
                at: sent,
                epoch: leader.epoch,
                source: PositionSource::Leader,
            });
        }
    }

    /// The position that the log of `leader` is known to have reached, which is at least the one
    /// at which it was chosen: the server may restart with an empty log before any answer of this
    /// epoch has reported a position.
    pub fn known_position(&self, leader: &UsableLeader) -> Option<LogPosition> {
        self.lock().known_position(leader)
    }

    /// Records evidence for the term of `leader` that another process had as of `at`.
    pub fn record_evidence(&self, leader: &UsableLeader, at: Instant) {
        let mut state = self.lock();
        if state.view.is_target(leader) {
            state.evidence = state.evidence.max(Some(at));
            self.evidence_changes.send_modify(|count| *count += 1);
        }
    }

    /// The positions known to cover points in time.
    pub fn samples(&self) -> PositionSamples {
        self.lock().samples.clone()
    }

    /// The newest position known to cover a point in time, of any epoch.
    pub fn newest_position(&self) -> Option<LogPosition> {
        self.lock().samples.newest().map(|sample| sample.position)
    }

    /// The sample of the current epoch that covers the latest time.
    pub fn newest_sample(&self) -> Option<PositionSample> {
        let state = self.lock();
        let newest = state.samples.newest()?;
        (newest.epoch == state.view.epoch).then_some(newest)
    }

    /// Samples of the current epoch to share with other processes, oldest first.
    pub fn samples_to_share(&self) -> Vec<PositionSample> {
        let state = self.lock();
        let mut shared = state.samples.samples_to_share();
        shared.retain(|sample| sample.epoch == state.view.epoch);
        shared
    }

    /// Records a position that is reported to cover everything acknowledged before `at`.
    ///
    /// Ignored if it is lower than a position that covers an earlier time, since it then cannot
    /// cover a later one: the members that reported it lack a log that left with its member.
    pub fn record_covering_position(
        &self,
        at: Instant,
        position: LogPosition,
        source: PositionSource,
    ) -> PositionOutcome {
        let mut state = self.lock();
        let epoch = state.view.epoch;
        if let Some(known) = state.samples.newest()
            && position < known.position
        {
            return PositionOutcome::BelowKnown(known.position);
        }
        let sample = PositionSample {
            position,
            at,
            epoch,
            source,
        };
        match state.samples.record(sample) {
            true => PositionOutcome::Recorded,
            false => PositionOutcome::Superseded,
        }
    }

    /// Records that a survey of the members at `at` has found no covering position.
    pub fn record_survey_rejected(&self, at: Instant) {
        self.lock().survey_rejected_at = Some(at);
    }

    /// When a survey of the members last found no covering position.
    pub fn survey_rejected_at(&self) -> Option<Instant> {
        self.lock().survey_rejected_at
    }

    /// Records that `leader` acts as the leader.
    pub fn confirm_leader(&self, leader: &UsableLeader) {
        let mut state = self.lock();
        if state.view.is_target(leader) && !state.view.confirmed {
            let before = state.view.clone();
            state.view.confirmed = true;
            self.publish(before, &state);
        }
    }

    /// A position that covers every commit acknowledged before `moment`: the lowest known, which
    /// most replicas have reached.
    pub fn covering_position(&self, moment: Instant) -> Option<LogPosition> {
        self.covering_sample(moment).map(|sample| sample.position)
    }

    /// The sample of [`Group::covering_position`].
    pub fn covering_sample(&self, moment: Instant) -> Option<PositionSample> {
        self.lock().samples.covering_sample(moment)
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

/// The view that results from `record`, applied at `now`. `reached` is the known position of the log
/// of the leader before.
fn next_view(
    before: &LeaderView,
    reached: Option<LogPosition>,
    record: &TermRecord,
    now: Instant,
) -> LeaderView {
    let same_epoch = before.epoch == record.epoch;
    let (leader, writable_from, confirmed) = match record.phase {
        // The old leader keeps serving reads until the evidence for its term expires.
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
        reached: match record.phase {
            TermPhase::Fencing => reached,
            TermPhase::Promoting | TermPhase::Active => record.target_received,
        },
    }
}
