//! Which member is to run a read: what speaks against each is added up in milliseconds of
//! latency, whatever protocol it speaks.

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

/// What a member of another zone of the region costs more, ms of latency: links are slower
/// and dear.
const OTHER_ZONE_MS: f64 = 18.0;
/// What a member of another region costs more, ms of latency beyond what is observed: the link
/// there is shared by all traffic, and its bytes are several times as dear as those between
/// zones. Eight statements in progress here weigh as much as that at a member of ordinary speed,
/// so one that is crowded is left for another region before callers wait long.
const OTHER_REGION_MS: f64 = 60.0;
/// What the leader costs more, ms: it has the writes to itself.
const LEADER_MS: f64 = 4.0;
/// What a cold member costs more once its allowance is used up, ms; in proportion before.
/// Several times the latency of a warm one: others are filled first.
const COLD_MS: f64 = 60.0;
/// What a connection in use here stands for, as a share of one statement's latency.
const IN_USE_SHARE: f64 = 0.5;
/// A member that may refuse.
const MAY_REFUSE_MS: f64 = 1_000.0;
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
    /// How far it is.
    pub distance: Distance,
    /// It leads.
    pub is_leader: bool,
    /// How much is used of what may be sent to it while it is cold; zero where it is not.
    pub slow_start_used: f64,
    /// It may refuse: it is crowded, or lacks what has to be seen.
    pub may_refuse: bool,
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
    /// use stilequay_engine::topology::Distance;
    /// let near = MemberCost { latency_ms: 15.0, ..MemberCost::default() };
    /// let far = MemberCost { distance: Distance::OwnRegion, ..near };
    /// let farther = MemberCost { distance: Distance::OtherRegion, ..near };
    /// let crowded = MemberCost { is_doubtful: true, ..near };
    /// assert!(near.total_ms() < far.total_ms());
    /// assert!(far.total_ms() < farther.total_ms());
    /// assert!(farther.total_ms() < crowded.total_ms());
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
    /// Its connections.
    pub pool: Allowed<Arc<MemberPool>>,
    /// Whether nothing speaks against its running the read at once.
    pub is_preferred: bool,
}

/// The members that may run a read that needs `after`, those that `residency` allows, the
/// best first.
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

/// Whether statements of sessions may be sent to `member` at `now`.
pub fn is_usable(engine: &Engine, member: &Member, now: Instant) -> bool {
    let schedule = engine.evacuation_schedule();
    let may_send = schedule.check(&member.zone, Sender::Session, now).is_ok();
    may_send && !is_use_expired(engine, member.state, now)
}

/// Whether the next read is to avoid `member`, whose zone is being evacuated: more and more
/// of them do, so that the members elsewhere have time to take them up.
fn should_avoid(engine: &Engine, member: &Member, now: Instant) -> bool {
    let share = engine
        .evacuation_schedule()
        .diverted_share(&member.zone, now);
    share > 0.0 && rand::random::<f64>() < share
}

/// Whether a member in `state` must not be used any more: that it leaves may have been
/// known for too long, also to others only.
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
