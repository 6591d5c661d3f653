//! Ranks the members that may run a read by a cost in milliseconds of latency. The ranking does
//! not depend on the protocol of the back end.

use crate::directory::{Member, MemberState};
use crate::engine::Engine;
use crate::evacuation::Sender;
use crate::group::Group;
use crate::pool::MemberPool;
use crate::position::LogPosition;
use crate::residency::{Allowed, Residency};
use crate::slow_start;
use crate::topology::Distance;
use std::sync::Arc;
use tokio::time::Instant;

/// Additional cost of a member in another zone of the same region, in ms of latency: links between
/// zones are slower and more expensive.
const OTHER_ZONE_MS: f64 = 18.0;
/// Additional cost of a member in another region, in ms on top of its observed latency: the link
/// is shared by all traffic, and its bytes cost several times as much as those between zones.
/// Eight statements in progress from this process add the same cost at a member of ordinary
/// speed, so reads move from a crowded member to another region before callers wait long.
const OTHER_REGION_MS: f64 = 60.0;
/// Additional cost of the leader in ms: it alone runs the writes.
const LEADER_MS: f64 = 4.0;
/// Additional cost in ms of a cold member whose slow-start allowance is used up; a partly used
/// allowance costs a proportional share. It is several times the latency of a warm member, so
/// that other members are filled first.
const COLD_MS: f64 = 60.0;
/// Cost of each connection that this process has in use at a member, as a share of the member's
/// latency for one statement.
const IN_USE_SHARE: f64 = 0.5;
/// Penalty in ms of a member that may refuse the statement.
const MAY_REFUSE_MS: f64 = 1_000.0;
/// Penalty in ms of a member that is leaving.
const LEAVING_MS: f64 = 10_000.0;
/// Penalty in ms of a member that did not answer.
const UNREACHABLE_MS: f64 = 100_000.0;

/// The inputs to the cost of running a read at one member.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct MemberCost {
    /// Expected latency in ms of one statement while the member is not loaded.
    pub latency_ms: f64,
    /// Connections to the member that this process has in use.
    pub in_use: usize,
    /// Topological distance from this process to the member.
    pub distance: Distance,
    /// Whether the member leads its group.
    pub is_leader: bool,
    /// Share of the slow-start allowance that is used up; zero for a member that is not cold.
    pub slow_start_used: f64,
    /// Whether the member may refuse: it is overloaded, or its log lags behind the position that
    /// the read requires.
    pub may_refuse: bool,
    /// Whether the member is leaving.
    pub is_leaving: bool,
    /// Whether the member has recently failed to answer.
    pub is_unreachable: bool,
}

impl MemberCost {
    /// Returns the total cost in ms; the member with the lowest cost is the best.
    ///
    /// ```
    /// use stilequay_engine::routing::MemberCost;
    /// use stilequay_engine::topology::Distance;
    /// let near = MemberCost { latency_ms: 15.0, ..MemberCost::default() };
    /// let far = MemberCost { distance: Distance::OwnRegion, ..near };
    /// let farther = MemberCost { distance: Distance::OtherRegion, ..near };
    /// let overloaded = MemberCost { may_refuse: true, ..near };
    /// assert!(near.total_ms() < far.total_ms());
    /// assert!(far.total_ms() < farther.total_ms());
    /// assert!(farther.total_ms() < overloaded.total_ms());
    /// ```
    pub fn total_ms(&self) -> f64 {
        let load_factor = 1.0 + self.in_use as f64 * IN_USE_SHARE;
        let penalties = [
            (self.is_leader, LEADER_MS),
            (self.may_refuse, MAY_REFUSE_MS),
            (self.is_leaving, LEAVING_MS),
            (self.is_unreachable, UNREACHABLE_MS),
        ];
        let penalties = penalties.iter().filter(|(applies, _)| *applies);
        let penalties_ms: f64 = penalties.map(|(_, ms)| ms).sum();
        let cold_ms = self.slow_start_used * COLD_MS;
        self.latency_ms * load_factor + distance_ms(self.distance) + cold_ms + penalties_ms
    }
}

fn distance_ms(distance: Distance) -> f64 {
    match distance {
        Distance::OwnZone => 0.0,
        Distance::OwnRegion => OTHER_ZONE_MS,
        Distance::OtherRegion => OTHER_REGION_MS,
    }
}

/// A member that may run a read.
#[derive(Debug, Clone)]
pub struct ReadCandidate {
    /// The member's connection pool.
    pub pool: Allowed<Arc<MemberPool>>,
    /// Whether the member is expected to run the read at once: its cost includes none of the
    /// penalties of a member that may refuse, is leaving or is unreachable.
    pub is_preferred: bool,
}

/// Returns the members allowed by `residency` that may run a read which requires the log position
/// `after`, cheapest first.
pub fn read_candidates(
    engine: &Engine,
    group: &Group,
    residency: &Residency,
    after: Option<LogPosition>,
    now: Instant,
) -> Vec<ReadCandidate> {
    let leader = group.view().leader;
    let members = engine.directory().members_of(group.name());
    let usable = members
        .into_iter()
        .filter(|member| is_usable(engine, member, now));
    let topology = &engine.settings().topology;
    let allowed = residency.select(topology, usable);
    let mut ranked: Vec<(f64, Allowed<Arc<MemberPool>>)> = allowed
        .map(|allowed| {
            let member = allowed.get();
            let pool = engine.session_pool(&allowed);
            let is_leader = leader.as_ref() == Some(&member.id);
            let cost = cost_ms(engine, pool.get(), member.state, is_leader, after, now);
            (cost, pool)
        })
        .collect();
    ranked.sort_by(|(left, _), (right, _)| left.total_cmp(right));
    let ranked = ranked.into_iter();
    ranked
        .map(|(cost, pool)| ReadCandidate {
            pool,
            is_preferred: cost < MAY_REFUSE_MS,
        })
        .collect()
}

/// Returns whether statements of sessions may be sent to `member` at `now`.
pub fn is_usable(engine: &Engine, member: &Member, now: Instant) -> bool {
    let schedule = engine.evacuation_schedule();
    let may_send = schedule.check(&member.zone, Sender::Session, now).is_ok();
    may_send && !is_use_expired(engine, member.state, now)
}

/// Returns whether the next read should avoid `member` because its zone is being evacuated. The
/// share of such reads grows gradually, so that members in other zones can absorb the load.
fn should_avoid(engine: &Engine, member: &Member, now: Instant) -> bool {
    let share = engine
        .evacuation_schedule()
        .diverted_share(&member.zone, now);
    share > 0.0 && rand::random::<f64>() < share
}

/// Returns whether a member in `state` must no longer be used: its departure may have been known
/// for longer than `departure_grace`, even if only to other processes.
pub fn is_use_expired(engine: &Engine, state: MemberState, now: Instant) -> bool {
    match state {
        MemberState::Ready | MemberState::Lapsed(_) => false,
        MemberState::Leaving(departure) | MemberState::Gone(departure) => {
            departure.may_be_older_than(engine.settings().departure_grace, now)
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
    let is_lagging = after.is_some_and(|position| health.is_lagging(position, now));
    let slow_start_used = slow_start::utilization(engine, pool, now);
    let is_rate_exhausted = slow_start_used >= 1.0 || health.is_slow_start_exhausted(now);
    let cost = MemberCost {
        slow_start_used,
        latency_ms: health.expected_latency_ms(now),
        in_use: pool.in_use(),
        distance: engine.settings().topology.distance(&pool.member().zone),
        is_leader,
        may_refuse: is_lagging || health.is_busy(now) || is_rate_exhausted,
        is_leaving: !state.takes_work() || should_avoid(engine, pool.member(), now),
        is_unreachable: health.is_unreachable(now),
    };
    cost.total_ms()
}
