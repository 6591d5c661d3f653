//! Chooses the member that runs a unit.

use super::group::Group;
use super::state::{GroupState, MemberState, Primary, Role, Staleness, TermCheck, wait_for_state};
use crate::domain::exchange::Freshness;
use crate::domain::names::MemberName;
use crate::domain::verdict::{FailureKind, RequestFailure};
use std::collections::BTreeSet;
use std::time::Duration;
use stilequay_coordination::identity::ZoneName;
use stilequay_coordination::position::{Floor, Term};
use stilequay_engine::routing::MemberCost;
use stilequay_engine::topology::Distance;
use tokio::time::{Instant, timeout_at};

/// When a caller should come back while a group has no primary.
const NO_PRIMARY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// A replica that is behind by more than this many waits is not waited for.
const HOPELESS_LAG_IN_WAITS: u32 = 4;

/// Time in which any member is expected to answer: latencies are not measured here.
const MEMBER_LATENCY_MS: f64 = 5.0;

/// The member that is to run a unit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The member.
    pub member: MemberName,
    /// The term that its connection must be bound to.
    pub term: Term,
    /// Whether it runs the unit as the primary.
    pub as_primary: bool,
}

impl Choice {
    /// The choice as the primary of its term.
    pub fn as_primary(&self) -> Primary {
        Primary {
            member: self.member.clone(),
            term: self.term,
        }
    }
}

impl From<Primary> for Choice {
    fn from(primary: Primary) -> Self {
        Self {
            member: primary.member,
            term: primary.term,
            as_primary: true,
        }
    }
}

/// Chooses members for the units of one home.
pub struct Router<'a> {
    /// The group.
    pub group: &'a Group,
    /// The zone of this home.
    pub own_zone: &'a ZoneName,
    /// When the unit arrived.
    pub arrived: Instant,
    /// When it must be given up.
    pub deadline: Instant,
    /// Whether reads go to any member, against the guarantees.
    pub skip_barrier: bool,
}

impl Router<'_> {
    /// Waits for a primary that may get new work. Every failure is `NotRun`.
    pub async fn choose_for_write(&self) -> Result<Choice, RequestFailure> {
        let primary = self.wait_for_state(primary_for_new_work).await;
        primary.map(Choice::from).ok_or_else(no_primary)
    }

    /// Chooses a member for a read, none of `excluded`. Every failure is `NotRun`.
    pub async fn choose_for_read(
        &self,
        freshness: Freshness,
        excluded: &BTreeSet<MemberName>,
    ) -> Result<Choice, RequestFailure> {
        if self.skip_barrier {
            return self.choose_any(excluded).await;
        }
        let floor = match freshness {
            Freshness::Barrier | Freshness::SessionFloor => None,
            Freshness::AtLeast(floor) => Some(floor),
            Freshness::BoundedStaleness {
                max_age,
                max_bytes,
                answer_beyond,
            } => {
                let bound = Staleness {
                    age: max_age,
                    bytes: max_bytes,
                };
                return self.choose_within(bound, answer_beyond, excluded).await;
            }
        };
        self.choose_consistent(floor, excluded).await
    }

    /// A member that has replayed the session's floor, or everything acknowledged
    /// before the read arrived.
    async fn choose_consistent(
        &self,
        mut floor: Option<Floor>,
        excluded: &BTreeSet<MemberName>,
    ) -> Result<Choice, RequestFailure> {
        loop {
            let reached = match floor.take() {
                Some(floor) => self.floor_in_force(floor).await?,
                None => self.barrier().await?,
            };
            if let Some(choice) = self.choose_at_floor(reached, excluded).await? {
                return Ok(choice);
            }
        }
    }

    /// Where the primary's log ended after the read arrived, with the primary's
    /// term confirmed by a majority after that moment too.
    async fn barrier(&self) -> Result<Floor, RequestFailure> {
        let _demand = self.group.demand_probes();
        let floor = self.wait_for_state(|state| self.barrier_in(state)).await;
        floor.ok_or_else(no_primary)
    }

    fn barrier_in(&self, state: &GroupState) -> Option<Floor> {
        let primary = state.primary()?;
        let position = state.primary_position_after(&primary, self.arrived)?;
        let check = state.check_term(primary.term, self.arrived);
        (check == TermCheck::Confirmed).then_some(Floor::new(primary.term, position))
    }

    /// `floor` itself in its own term; a barrier once a later term is known, because
    /// positions of different terms don't compare.
    async fn floor_in_force(&self, floor: Floor) -> Result<Floor, RequestFailure> {
        let known = self.group.watch_state().borrow().highest_term();
        if floor.term < known {
            return self.barrier().await;
        }
        if floor.term == known {
            return Ok(floor);
        }
        let _demand = self.group.demand_probes();
        let learnt = self
            .wait_for_state(|state| (state.highest_term() >= floor.term).then_some(()))
            .await;
        learnt.ok_or_else(|| no_fresh_member("the session's term is not known here"))?;
        Box::pin(self.floor_in_force(floor)).await
    }

    /// A replica that has replayed `floor`, soon will have, or else the primary;
    /// `None` once a later term makes the floor incomparable.
    async fn choose_at_floor(
        &self,
        floor: Floor,
        excluded: &BTreeSet<MemberName>,
    ) -> Result<Option<Choice>, RequestFailure> {
        let replica = |state: &GroupState| {
            self.best_replica(state, excluded, |name| state.has_replayed(name, floor))
        };
        let at_once = replica(&self.group.watch_state().borrow());
        if at_once.is_some() {
            return Ok(at_once);
        }
        let _demand = self.group.demand_probes();
        if self.is_worth_waiting(floor, excluded) {
            let until = Instant::now() + self.group.settings().replay_wait();
            let in_time = self
                .wait_for_state_until(until.min(self.deadline), replica)
                .await;
            if in_time.is_some() {
                return Ok(in_time);
            }
        }
        let usable = |state: &GroupState| {
            if state.highest_term() > floor.term {
                return Some(None);
            }
            let primary = usable_primary(state, excluded);
            primary.or_else(|| replica(state)).map(Some)
        };
        let choice = self.wait_for_state(usable).await;
        choice.ok_or_else(|| no_fresh_member("no member has what the session must see"))
    }

    /// Whether some replica is so little behind that it may soon reach `floor`.
    fn is_worth_waiting(&self, floor: Floor, excluded: &BTreeSet<MemberName>) -> bool {
        let receiver = self.group.watch_state();
        let state = receiver.borrow();
        let now = Instant::now();
        let limit = self.group.settings().replay_wait() * HOPELESS_LAG_IN_WAITS;
        state.members().iter().any(|(name, member)| {
            takes_new_work(name, member, excluded)
                && is_replica_at(member, floor.term)
                && state
                    .staleness(name, now)
                    .is_some_and(|lag| lag.age <= limit)
        })
    }

    /// A member within `bound`, also while there is no primary.
    async fn choose_within(
        &self,
        bound: Staleness,
        answer_beyond: bool,
        excluded: &BTreeSet<MemberName>,
    ) -> Result<Choice, RequestFailure> {
        let choose = |state: &GroupState| {
            let now = Instant::now();
            let is_within = |name: &MemberName| {
                state
                    .staleness(name, now)
                    .is_some_and(|lag| lag.age <= bound.age && lag.bytes <= bound.bytes)
            };
            self.best_replica(state, excluded, is_within)
                .or_else(|| usable_primary(state, excluded))
                .or_else(|| self.any_member(state, excluded).filter(|_| answer_beyond))
        };
        let answered = |state: &GroupState| self.any_member(state, excluded).map(|_| ());
        let some_answered = self.wait_for_state(answered).await;
        some_answered.ok_or_else(|| no_fresh_member("no member answers"))?;
        let until = Instant::now() + self.group.settings().replay_wait();
        let choice = self
            .wait_for_state_until(until.min(self.deadline), choose)
            .await;
        choice.ok_or_else(|| no_fresh_member("no member is within the bounds"))
    }

    async fn choose_any(&self, excluded: &BTreeSet<MemberName>) -> Result<Choice, RequestFailure> {
        let choice = self
            .wait_for_state(|state| {
                self.best_replica(state, excluded, |_| true)
                    .or_else(|| self.any_member(state, excluded))
            })
            .await;
        choice.ok_or_else(|| no_fresh_member("no member answers"))
    }

    /// The replica at the highest term that is fit, nearest and least used.
    fn best_replica(
        &self,
        state: &GroupState,
        excluded: &BTreeSet<MemberName>,
        is_fit: impl Fn(&MemberName) -> bool,
    ) -> Option<Choice> {
        let term = state.highest_term();
        let fit = state.members().iter().filter(|(name, member)| {
            takes_new_work(name, member, excluded) && is_replica_at(member, term) && is_fit(name)
        });
        let costs = fit.map(|(name, member)| (self.cost_ms(name, member), name));
        let (_, name) = costs.min_by(|(one, _), (other, _)| one.total_cmp(other))?;
        Some(Choice {
            member: name.clone(),
            term,
            as_primary: false,
        })
    }

    /// The least stale member that answers, at whatever term.
    fn any_member(&self, state: &GroupState, excluded: &BTreeSet<MemberName>) -> Option<Choice> {
        let live = state.members().iter().filter(|(name, member)| {
            takes_new_work(name, member, excluded) && member.live_report().is_some()
        });
        let (name, member) = live.max_by_key(|(_, member)| member.caught_up)?;
        let report = member.live_report()?;
        Some(Choice {
            member: name.clone(),
            term: report.term,
            as_primary: report.role == Role::Primary,
        })
    }

    /// What speaks against a member that is fresh enough: no connection to spare, another
    /// zone, connections in use.
    fn cost_ms(&self, name: &MemberName, member: &MemberState) -> f64 {
        let pool = self.group.pool(name);
        let cost = MemberCost {
            latency_ms: MEMBER_LATENCY_MS,
            in_use: pool.as_ref().map_or(0, |pool| pool.in_use()),
            distance: self.distance_of(member),
            may_refuse: pool.is_some_and(|pool| pool.is_saturated()),
            ..MemberCost::default()
        };
        cost.total_ms()
    }

    /// Regions are not told to this process: other zones count as of its own.
    fn distance_of(&self, member: &MemberState) -> Distance {
        match member.zone == *self.own_zone {
            true => Distance::OwnZone,
            false => Distance::OwnRegion,
        }
    }

    async fn wait_for_state<T>(&self, choose: impl FnMut(&GroupState) -> Option<T>) -> Option<T> {
        self.wait_for_state_until(self.deadline, choose).await
    }

    async fn wait_for_state_until<T>(
        &self,
        until: Instant,
        choose: impl FnMut(&GroupState) -> Option<T>,
    ) -> Option<T> {
        let mut receiver = self.group.watch_state();
        let decided = wait_for_state(&mut receiver, choose);
        timeout_at(until, decided).await.ok()
    }
}

fn takes_new_work(
    name: &MemberName,
    member: &MemberState,
    excluded: &BTreeSet<MemberName>,
) -> bool {
    !member.leaving && !excluded.contains(name)
}

fn is_replica_at(member: &MemberState, term: Term) -> bool {
    member
        .live_report()
        .is_some_and(|report| report.role == Role::Replica && report.term == term)
}

fn primary_for_new_work(state: &GroupState) -> Option<Primary> {
    let primary = state.primary()?;
    let leaving = state.members().get(&primary.member)?.leaving;
    (!leaving).then_some(primary)
}

fn usable_primary(state: &GroupState, excluded: &BTreeSet<MemberName>) -> Option<Choice> {
    primary_for_new_work(state)
        .filter(|primary| !excluded.contains(&primary.member))
        .map(Choice::from)
}

fn no_primary() -> RequestFailure {
    RequestFailure::not_run(FailureKind::NoPrimary, "the group has no primary")
        .with_retry_after(NO_PRIMARY_RETRY_AFTER)
}

fn no_fresh_member(reason: &str) -> RequestFailure {
    RequestFailure::not_run(FailureKind::NoFreshMember, reason)
        .with_retry_after(NO_PRIMARY_RETRY_AFTER)
}
