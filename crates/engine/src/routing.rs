//! Which member is to run a read.

use crate::directory::MemberState;
use crate::engine::Engine;
use crate::group::Group;
use crate::pool::MemberPool;
use crate::position::LogPosition;
use std::sync::Arc;
use tokio::time::Instant;

/// What a member of another zone costs more, ms of latency: links are slower and dear.
const OTHER_ZONE_MS: f64 = 18.0;
/// What the leader costs more, ms: it has the writes to itself.
const LEADER_MS: f64 = 4.0;
/// What a connection in use here stands for, as a share of one statement's latency.
const IN_USE_SHARE: f64 = 0.5;
/// A member that may refuse.
const DOUBTFUL_MS: f64 = 1_000.0;
/// A member that is leaving.
const LEAVING_MS: f64 = 10_000.0;
/// A member that did not answer.
const UNREACHABLE_MS: f64 = 100_000.0;

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
            let pool = engine.pool(member);
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
        MemberState::Ready => false,
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
    let waiting = 1.0 + pool.in_use() as f64 * IN_USE_SHARE;
    let mut cost = health.expected_latency_ms(now) * waiting;
    let mut add = |condition: bool, extra: f64| {
        if condition {
            cost += extra;
        }
    };
    add(pool.member().zone != engine.settings().zone, OTHER_ZONE_MS);
    add(is_leader, LEADER_MS);
    add(health.is_busy(now), DOUBTFUL_MS);
    add(
        after.is_some_and(|position| health.is_lagging(position, now)),
        DOUBTFUL_MS,
    );
    add(state != MemberState::Ready, LEAVING_MS);
    add(health.is_unreachable(now), UNREACHABLE_MS);
    cost
}
