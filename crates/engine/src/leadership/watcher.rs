//! Watches the leaders of all groups; the holder of the lease acts, the others report.

use super::duty::Duty;
use super::evacuating;
use super::promotion::{Promotion, PromotionError};
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

/// Interval between two looks at the leaders.
const LOOK_INTERVAL: Duration = Duration::from_millis(40);
/// Least time between two reports of one suspicion.
const REPORT_INTERVAL: Duration = Duration::from_millis(700);
/// How long a report counts.
const REPORT_LIFE: Duration = Duration::from_millis(2_500);
/// Least number of processes that must suspect a leader which the holder itself finds
/// well; a third of the fleet where that is more.
const REPORTERS_NEEDED: usize = 2;
/// Pause after a leader was asked and found well.
const VERIFIED_PAUSE: Duration = Duration::from_millis(250);
/// Pause before a group is looked at again whose commits no replica receives.
const STALLED_PAUSE: Duration = Duration::from_millis(800);
/// Pause after a suspicion that another process has to act on.
const REPORTED_PAUSE: Duration = Duration::from_millis(200);
/// Pause after a promotion that this process could not complete.
const FAILED_PAUSE: Duration = Duration::from_millis(120);

/// What the watcher remembers between two looks.
#[derive(Debug, Default)]
struct Memory {
    /// Groups that a task is looking after.
    busy: HashSet<GroupName>,
    /// When a suspicion was last reported.
    reported: HashMap<GroupName, Instant>,
    /// Groups whose leaders are being moved out of evacuated zones.
    moving: HashSet<GroupName>,
    /// How many of these there may be.
    moves_at_once: usize,
    /// Others' suspicions, by group: who, of which epoch, and when this was learned.
    reports: HashMap<GroupName, HashMap<NodeName, (Epoch, Instant)>>,
}

/// Shared by the tasks of the groups.
#[derive(Debug, Clone)]
struct Watcher {
    engine: Arc<Engine>,
    promoter: Arc<dyn Promoter>,
    duty: Arc<Duty>,
    memory: Arc<Mutex<Memory>>,
}

/// Watches until the process ends.
pub async fn watch(engine: &Arc<Engine>, promoter: &Arc<dyn Promoter>, duty: &Arc<Duty>) {
    let watcher = Watcher {
        engine: Arc::clone(engine),
        promoter: Arc::clone(promoter),
        duty: Arc::clone(duty),
        memory: Arc::default(),
    };
    let reports = watcher.clone();
    tokio::spawn(async move { reports.take_reports().await });
    loop {
        watcher.look_around();
        sleep(LOOK_INTERVAL).await;
    }
}

impl Watcher {
    /// Looks at the groups about which there is anything to be done. The holder of the lease
    /// looks at all; any other process at those of the members that it uses.
    fn look_around(&self) {
        let holds_duty = self.duty.check().is_some();
        let mut names = match holds_duty {
            true => self.engine.configured_groups(),
            false => {
                let pools = self.engine.pools();
                let groups = pools.iter().map(|pool| pool.member().group.clone());
                groups.collect()
            }
        };
        names.sort();
        names.dedup();
        if holds_duty {
            self.memory().moves_at_once = evacuating::moves_at_once(&self.engine, &names);
        }
        for name in names {
            if self.is_due(&name, holds_duty) {
                self.look_at(name);
            }
        }
    }

    /// Whether a look at the group could lead to anything.
    fn is_due(&self, name: &GroupName, holds_duty: bool) -> bool {
        if holds_duty && (self.is_unfinished(name) || evacuating::is_wanted(&self.engine, name)) {
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

    /// Looks at one group in a task of its own, unless one does so already.
    fn look_at(&self, name: GroupName) {
        if !self.memory().busy.insert(name.clone()) {
            return;
        }
        let watcher = self.clone();
        tokio::spawn(async move {
            let group = watcher.engine.group(&name);
            watcher.look(&group).await;
            let mut memory = watcher.memory();
            memory.moving.remove(&name);
            memory.busy.remove(&name);
        });
    }

    async fn look(&self, group: &Group) {
        let holds_duty = self.duty.check().is_some();
        if holds_duty && self.is_unfinished(group.name()) {
            self.promote(group.name()).await;
            return;
        }
        let view = group.view();
        if !view.confirmed || view.writable_from.is_none() {
            return;
        }
        let began = Instant::now();
        let reporters = self.reporters(group.name(), view.epoch);
        let asked_to = holds_duty && reporters > 0;
        let verified = suspicion::verified_suspicion(&self.engine, group, &view, asked_to).await;
        let needed = REPORTERS_NEEDED.max(self.engine.watchers(group.name()).div_ceil(3));
        let outvoted = reporters >= needed;
        let mut suspicion = verified.or(outvoted.then_some(Suspicion::Unreachable));
        if suspicion.is_none() && holds_duty && self.may_move(group.name()).await {
            suspicion = Some(Suspicion::ZoneEvacuated);
        }
        let (Some(suspicion), Some(leader)) = (suspicion, view.leader) else {
            if group.commits_stalled() {
                sleep(STALLED_PAUSE).await;
            } else if began.elapsed() > LOOK_INTERVAL {
                sleep(VERIFIED_PAUSE).await;
            }
            return;
        };
        if group.view().epoch != view.epoch {
            return;
        }
        if suspicion == Suspicion::Unreachable
            && let Some(pool) = self.engine.pool_of(&leader)
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
        if self.duty.check().is_some() {
            self.promote(group.name()).await;
        } else if self.engine.watches(&leader) {
            self.duty.want();
            self.report(group.name(), view.epoch, suspicion).await;
            sleep(REPORTED_PAUSE).await;
        }
    }

    /// Whether the leader is to be moved out of an evacuated zone now: few groups at a time
    /// are without a leader for it.
    async fn may_move(&self, group: &GroupName) -> bool {
        if !evacuating::is_wanted(&self.engine, group) {
            return false;
        }
        {
            let mut memory = self.memory();
            if memory.moving.len() >= memory.moves_at_once {
                return false;
            }
            memory.moving.insert(group.clone());
        }
        let answers = evacuating::successor_answers(&self.engine, group).await;
        if !answers {
            // Another group may move meanwhile.
            self.memory().moving.remove(group);
            sleep(VERIFIED_PAUSE).await;
        }
        answers
    }

    /// Whether a promotion was begun and not completed.
    fn is_unfinished(&self, group: &GroupName) -> bool {
        let known = self.engine.terms().known(group);
        known.is_some_and(|term| term.record.phase != TermPhase::Active)
    }

    async fn promote(&self, group: &GroupName) {
        let promotion = Promotion {
            engine: Arc::clone(&self.engine),
            promoter: Arc::clone(&self.promoter),
            duty: Arc::clone(&self.duty),
            group: group.clone(),
        };
        // The record may have changed unseen.
        let _ = self
            .engine
            .terms()
            .refresh(&self.engine, &self.engine.group(group), Instant::now())
            .await;
        let mut result = promotion.run().await;
        while result == Err(PromotionError::TargetLost) {
            result = promotion.choose_again().await;
        }
        self.memory().reports.remove(group);
        if let Err(error) = result {
            log::warn!("promotion in {group}: {error}");
            sleep(FAILED_PAUSE).await;
        }
    }

    async fn report(&self, group: &GroupName, epoch: Epoch, suspicion: Suspicion) {
        let now = Instant::now();
        let due = {
            let mut memory = self.memory();
            let last = memory.reported.get(group);
            let due = last.is_none_or(|at| now.duration_since(*at) > REPORT_INTERVAL);
            if due {
                memory.reported.insert(group.clone(), now);
            }
            due
        };
        if due {
            report::record(&self.engine, group, epoch, suspicion).await;
        }
    }

    /// Learns of suspicions that others record.
    async fn take_reports(&self) {
        let mut others = self.engine.terms().subscribe_others();
        let mut versions: HashMap<String, u64> = HashMap::new();
        loop {
            let records = others.borrow_and_update().clone();
            for record in records.values() {
                let seen = versions.insert(record.key.clone(), record.version);
                let Some(report) = report::decode(record).filter(|_| seen != Some(record.version))
                else {
                    continue;
                };
                let mut memory = self.memory();
                let of_group = memory.reports.entry(report.group).or_default();
                of_group.insert(report.reporter, (report.epoch, Instant::now()));
            }
            if others.changed().await.is_err() {
                return;
            }
        }
    }

    /// How many processes suspect the leader of `epoch` now.
    fn reporters(&self, group: &GroupName, epoch: Epoch) -> usize {
        let now = Instant::now();
        let memory = self.memory();
        let of_group = memory.reports.get(group);
        of_group.map_or(0, |reports| {
            let current = reports.values().filter(|(reported, at)| {
                *reported == epoch && now.duration_since(*at) < REPORT_LIFE
            });
            current.count()
        })
    }

    fn memory(&self) -> std::sync::MutexGuard<'_, Memory> {
        self.memory.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
