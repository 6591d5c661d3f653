//! Which member is to run a read: what speaks against each is added up in milliseconds of
//! latency, whatever protocol it speaks.

use crate::directory::MemberState;
use crate::engine::Engine;
use crate::group::Group;
use crate::pool::MemberPool;
use crate::position::LogPosition;
use crate::slow_start;
use std::sync::Arc;
use tokio::time::Instant;

/// What a member of another zone costs more, ms of latency: links are slower and dear.
const OTHER_ZONE_MS: f64 = 18.0;
/// What the leader costs more, ms: it has the writes to itself.
const LEADER_MS: f64 = 4.0;
/// What a cold member costs more once its allowance is used up, ms; in proportion before.
/// Several times the latency of a warm one: others are filled first.
const COLD_MS: f64 = 60.0;
/// What a connection in use here stands for, as a share of one statement's latency.
const IN_USE_SHARE: f64 = 0.5;
/// A member that may refuse.
const DOUBTFUL_MS: f64 = 1_000.0;
/// A member that is leaving.
const LEAVING_MS: f64 = 10_000.0;
/// A member that did not answer.
const UNREACHABLE_MS: f64 = 100_000.0;

/// What speaks for and against one member.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct MemberCost {
    /// Time in which it is expected to answer one statement while unloaded, ms.
    pub latency_ms: f64,
    /// Connections in use here.
    pub in_use: usize,
    /// It is in another zone.
    pub is_remote: bool,
    /// It leads.
    pub is_leader: bool,
    /// How much is used of what may be sent to it while it is cold; zero where it is not.
    pub slow_start_used: f64,
    /// It may refuse: it is crowded, or lacks what has to be seen.
    pub is_doubtful: bool,
    /// It is leaving.
    pub is_leaving: bool,
    /// It did not answer lately.
    pub is_unreachable: bool,
}

impl MemberCost {
    /// The sum, ms; the lowest is the best.
    ///
    /// ```
    /// use stilequay_engine::routing::MemberCost;
    /// let near = MemberCost { latency_ms: 15.0, ..MemberCost::default() };
    /// let far = MemberCost { is_remote: true, ..near };
    /// let crowded = MemberCost { is_doubtful: true, ..near };
    /// assert!(near.total_ms() < far.total_ms());
    /// assert!(far.total_ms() < crowded.total_ms());
    /// ```
    pub fn total_ms(&self) -> f64 {
        let waiting = 1.0 + self.in_use as f64 * IN_USE_SHARE;
        let extra = [
            (self.is_remote, OTHER_ZONE_MS),
            (self.is_leader, LEADER_MS),
            (self.is_doubtful, DOUBTFUL_MS),
            (self.is_leaving, LEAVING_MS),
            (self.is_unreachable, UNREACHABLE_MS),
        ];
        let extra = extra.iter().filter(|(applies, _)| *applies);
        let cold_ms = self.slow_start_used * COLD_MS;
        self.latency_ms * waiting + cold_ms + extra.map(|(_, ms)| ms).sum::<f64>()
    }
}

/// A member that may run a read.
#[derive(Debug, Clone)]
pub struct ReadCandidate {
    /// Its connections.
    pub pool: Arc<MemberPool>,
    /// Whether nothing speaks against its running the read at once.
    pub is_likely: bool,
}

/// The members that may run a read that needs `after`, the best first.
pub fn read_candidates(
    engine: &Engine,
    group: &Group,
    after: Option<LogPosition>,
    now: Instant,
) -> Vec<ReadCandidate> {
    let leader = group.view().leader;
    let members = engine.directory().members_of(group.name());
    let mut ranked: Vec<(f64, Arc<MemberPool>)> = members
        .iter()
        .filter(|member| !is_past_use(engine, member.state, now))
        .map(|member| {
            let pool = engine.session_pool(member);
            let is_leader = leader.as_ref() == Some(&member.id);
            let cost = cost_ms(engine, &pool, member.state, is_leader, after, now);
            (cost, pool)
        })
        .collect();
    ranked.sort_by(|(left, _), (right, _)| left.total_cmp(right));
    let ranked = ranked.into_iter();
    ranked
        .map(|(cost, pool)| ReadCandidate {
            pool,
            is_likely: cost < DOUBTFUL_MS,
        })
        .collect()
}

/// Whether a member in `state` must not be used any more: that it leaves may have been
/// known for too long, also to others only.
pub fn is_past_use(engine: &Engine, state: MemberState, now: Instant) -> bool {
    match state {
        MemberState::Ready | MemberState::Lapsed(_) => false,
        MemberState::Leaving(departure) | MemberState::Gone(departure) => {
            departure.may_be_older_than(engine.settings().leaving_use, now)
        }
    }
}

fn cost_ms(
    engine: &Engine,
    pool: &MemberPool,
    state: MemberState,
    is_leader: bool,
    after: Option<LogPosition>,
    now: Instant,
) -> f64 {
    let health = pool.health();
    let lacks = after.is_some_and(|position| health.is_lagging(position, now));
    let slow_start_used = slow_start::used(engine, pool, now);
    let is_used_up = slow_start_used >= 1.0 || health.is_paced(now);
    let cost = MemberCost {
        slow_start_used,
        latency_ms: health.expected_latency_ms(now),
        in_use: pool.in_use(),
        is_remote: pool.member().zone != engine.settings().zone,
        is_leader,
        is_doubtful: lacks || health.is_busy(now) || is_used_up,
        is_leaving: !state.takes_work(),
        is_unreachable: health.is_unreachable(now),
    };
    cost.total_ms()
}
