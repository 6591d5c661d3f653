//! Monitors the leaders of all groups. The lease holder acts on suspicions, other processes report
//! them.

use super::leader_evacuation;
use super::promotion::Promotion;
use super::promotion_lease::PromotionLease;
use super::record::TermPhase;
use super::report;
use super::suspicion::{self, Suspicion};
use crate::engine::Engine;
use crate::events::{Event, millis};
use crate::group::{Epoch, Group};
use crate::names::{GroupName, NodeName};
use crate::ports::Promoter;
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Interval between checks of the leaders.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// Minimum time between two reports of the same suspicion.
const REPORT_INTERVAL: Duration = Duration::from_millis(700);
/// How long a report remains valid.
const REPORT_TTL: Duration = Duration::from_millis(2_500);
/// Minimum number of processes that must suspect a leader that the lease holder itself finds
/// healthy; a third of the processes that monitor the group if that is more.
const MIN_REPORTERS: usize = 2;
/// Pause after a leader was verified to be healthy.
const HEALTHY_PAUSE: Duration = Duration::from_millis(250);
/// Pause before the next check of a group whose commits no replica receives.
const STALLED_PAUSE: Duration = Duration::from_millis(800);
/// Pause after a suspicion was reported to the lease holder.
const REPORTED_PAUSE: Duration = Duration::from_millis(200);
/// Pause after a promotion that failed in this process.
const FAILED_PAUSE: Duration = Duration::from_millis(120);

/// State that the watcher keeps between checks.
#[derive(Debug, Default)]
struct WatcherState {
    /// Groups that a task is checking.
    busy: HashSet<GroupName>,
    /// When a suspicion was last reported.
    last_reported: HashMap<GroupName, Instant>,
    /// Groups whose leaders are being moved out of evacuated zones.
    moving: HashSet<GroupName>,
    /// Maximum number of groups in `moving`.
    max_concurrent_moves: usize,
    /// Suspicions of other processes by group and reporter, with the epoch of the suspected leader
    /// and the time at which the report was read.
    reports: HashMap<GroupName, HashMap<NodeName, (Epoch, Instant)>>,
}

/// Shared by the tasks that check the groups.
#[derive(Debug, Clone)]
struct Watcher {
    engine: Arc<Engine>,
    promoter: Arc<dyn Promoter>,
    lease: Arc<PromotionLease>,
    state: Arc<Mutex<WatcherState>>,
}

/// Monitors the leaders until the process ends.
pub async fn watch(
    engine: &Arc<Engine>,
    promoter: &Arc<dyn Promoter>,
    lease: &Arc<PromotionLease>,
) {
    let watcher = Watcher {
        engine: Arc::clone(engine),
        promoter: Arc::clone(promoter),
        lease: Arc::clone(lease),
        state: Arc::default(),
    };
    let reports = watcher.clone();
    tokio::spawn(async move { reports.collect_reports().await });
    loop {
        watcher.check_groups();
        sleep(CHECK_INTERVAL).await;
    }
}

impl Watcher {
    /// Starts a check of each group that needs one. The lease holder considers all groups, any
    /// other process those of the members that it uses.
    fn check_groups(&self) {
        let holds_lease = self.lease.check().is_some();
        let mut names = match holds_lease {
            true => self.engine.configured_groups(),
            false => {
                let pools = self.engine.pools();
                let groups = pools.iter().map(|pool| pool.member().group.clone());
                groups.collect()
            }
        };
        names.sort();
        names.dedup();
        if holds_lease {
            self.state().max_concurrent_moves =
                leader_evacuation::max_concurrent_moves(&self.engine, &names);
        }
        for name in names {
            if self.needs_check(&name, holds_lease) {
                self.spawn_check(name);
            }
        }
    }

    /// Whether a check of the group could lead to an action.
    fn needs_check(&self, name: &GroupName, holds_lease: bool) -> bool {
        if holds_lease
            && (self.has_unfinished_promotion(name)
                || leader_evacuation::should_move_leader(&self.engine, name))
        {
            return true;
        }
        let group = self.engine.group(name);
        let view = group.view();
        if self.reporters(name, view.epoch) > 0 {
            return true;
        }
        let Some(leader) = view.leader else {
            return false;
        };
        let directory = self.engine.directory();
        let member = directory.member(&leader);
        let now = Instant::now();
        member.is_none_or(|member| suspicion::hint(&self.engine, &group, member, now).is_some())
    }

    /// Checks one group in a separate task, unless a check is already running.
    fn spawn_check(&self, name: GroupName) {
        if !self.state().busy.insert(name.clone()) {
            return;
        }
        let watcher = self.clone();
        tokio::spawn(async move {
            let group = watcher.engine.group(&name);
            watcher.check_group(&group).await;
            let mut state = watcher.state();
            state.moving.remove(&name);
            state.busy.remove(&name);
        });
    }

    async fn check_group(&self, group: &Group) {
        let holds_lease = self.lease.check().is_some();
        if holds_lease && self.has_unfinished_promotion(group.name()) {
            self.promote(group.name()).await;
            return;
        }
        let view = group.view();
        if !view.confirmed || view.writable_from.is_none() {
            return;
        }
        let began = Instant::now();
        let reporters = self.reporters(group.name(), view.epoch);
        let is_reported = holds_lease && reporters > 0;
        let verified = suspicion::verify(&self.engine, group, &view, is_reported).await;
        let needed = MIN_REPORTERS.max(self.engine.monitor_count(group.name()).div_ceil(3));
        let is_reported_by_enough = reporters >= needed;
        let mut suspicion = verified.or(is_reported_by_enough.then_some(Suspicion::Unreachable));
        if suspicion.is_none() && holds_lease && self.try_start_move(group.name()).await {
            suspicion = Some(Suspicion::ZoneEvacuated);
        }
        let (Some(suspicion), Some(leader)) = (suspicion, view.leader) else {
            if group.commits_stalled() {
                sleep(STALLED_PAUSE).await;
            } else if began.elapsed() > CHECK_INTERVAL {
                sleep(HEALTHY_PAUSE).await;
            }
            return;
        };
        if group.view().epoch != view.epoch {
            return;
        }
        if suspicion == Suspicion::Unreachable
            && let Some(pool) = self.engine.pool_by_id(&leader)
        {
            pool.mark_unreachable();
        }
        self.engine.events().write(&Event::LeaderSuspected {
            group: group.name().clone(),
            epoch: view.epoch,
            leader: leader.clone(),
            evidence: suspicion.name(),
            since_ms: millis(began.elapsed()),
        });
        if self.lease.check().is_some() {
            self.promote(group.name()).await;
        } else if self.engine.monitors_member(&leader) {
            self.lease.become_candidate();
            self.report(group.name(), view.epoch, suspicion).await;
            sleep(REPORTED_PAUSE).await;
        }
    }

    /// Whether the leader is to be moved out of an evacuated zone now. The number of concurrent
    /// moves is limited, because a group has no leader while it moves.
    async fn try_start_move(&self, group: &GroupName) -> bool {
        if !leader_evacuation::should_move_leader(&self.engine, group) {
            return false;
        }
        {
            let mut state = self.state();
            if state.moving.len() >= state.max_concurrent_moves {
                return false;
            }
            state.moving.insert(group.clone());
        }
        let has_successor = leader_evacuation::has_caught_up_successor(&self.engine, group).await;
        if !has_successor {
            // Lets another group move meanwhile.
            self.state().moving.remove(group);
            sleep(HEALTHY_PAUSE).await;
        }
        has_successor
    }

    /// Whether a promotion was begun but not completed.
    fn has_unfinished_promotion(&self, group: &GroupName) -> bool {
        let known = self.engine.terms().known(group);
        known.is_some_and(|term| term.record.phase != TermPhase::Active)
    }

    async fn promote(&self, group: &GroupName) {
        let promotion = Promotion {
            engine: Arc::clone(&self.engine),
            promoter: Arc::clone(&self.promoter),
            lease: Arc::clone(&self.lease),
            group: group.clone(),
        };
        // The record may have changed since it was last read.
        let _ = self
            .engine
            .terms()
            .refresh(&self.engine, &self.engine.group(group), Instant::now())
            .await;
        let result = promotion.run().await;
        self.state().reports.remove(group);
        if let Err(error) = result {
            log::warn!("promotion in group {group} failed: {error}");
            sleep(FAILED_PAUSE).await;
        }
    }

    async fn report(&self, group: &GroupName, epoch: Epoch, suspicion: Suspicion) {
        let now = Instant::now();
        let due = {
            let mut state = self.state();
            let last = state.last_reported.get(group);
            let due = last.is_none_or(|at| now.duration_since(*at) > REPORT_INTERVAL);
            if due {
                state.last_reported.insert(group.clone(), now);
            }
            due
        };
        if due {
            report::record(&self.engine, group, epoch, suspicion).await;
        }
    }

    /// Collects the suspicions that other processes record.
    async fn collect_reports(&self) {
        let mut others = self.engine.terms().subscribe_other_records();
        let mut versions: HashMap<String, u64> = HashMap::new();
        loop {
            let records = others.borrow_and_update().clone();
            for record in records.values() {
                let seen = versions.insert(record.key.clone(), record.version);
                if seen == Some(record.version) {
                    continue;
                }
                let Some(report) = report::decode(&self.engine, record) else {
                    continue;
                };
                let mut state = self.state();
                let of_group = state.reports.entry(report.group).or_default();
                of_group.insert(report.reporter, (report.epoch, Instant::now()));
            }
            if others.changed().await.is_err() {
                return;
            }
        }
    }

    /// Number of processes that currently suspect the leader of `epoch`.
    fn reporters(&self, group: &GroupName, epoch: Epoch) -> usize {
        let now = Instant::now();
        let state = self.state();
        let of_group = state.reports.get(group);
        of_group.map_or(0, |reports| {
            let current = reports.values().filter(|(reported, at)| {
                *reported == epoch && now.duration_since(*at) < REPORT_TTL
            });
            current.count()
        })
    }

    fn state(&self) -> std::sync::MutexGuard<'_, WatcherState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
