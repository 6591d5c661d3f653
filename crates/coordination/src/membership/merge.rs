//! Taking in the reports of other nodes.

use super::record::{Delta, MemberVersion, Status};
use super::shared::{Shared, State};
use super::table::Merged;
use crate::identity::{Incarnation, NodeId};
use std::sync::Arc;
use std::time::Instant;

/// A comparison of whole tables that brings more new reports than this spreads none
/// of them: the others find the same differences by their own comparisons.
const MOST_NEWS_OF_A_COMPARISON: usize = 128;

/// Whether reports that are new here are news to others as well.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Spread {
    /// They are sent on.
    News,
    /// They are sent on unless they are many.
    Few,
    /// They are not: a node that joins learns what the others know already.
    Nothing,
}

/// A report that replaced what was known.
#[derive(Debug)]
struct Applied {
    node: NodeId,
    status: Status,
}

impl Shared {
    /// Merges reports that came from another node and passes on what is new.
    /// Returns how many were new.
    pub fn merge(&self, deltas: impl IntoIterator<Item = Delta>, spread: Spread) -> usize {
        let now = Instant::now();
        let mut state = self.state();
        let applied: Vec<_> = deltas
            .into_iter()
            .filter_map(|delta| self.merge_one(&mut state, delta, now))
            .collect();
        let is_news = match spread {
            Spread::News => true,
            Spread::Few => applied.len() <= MOST_NEWS_OF_A_COMPARISON,
            Spread::Nothing => false,
        };
        if is_news {
            for report in &applied {
                spread_report(&mut state, report, now);
            }
        }
        drop(state);
        if !applied.is_empty() {
            self.changed.notify_one();
            self.news.notify_one();
        }
        applied.len()
    }

    fn merge_one(&self, state: &mut State, delta: Delta, now: Instant) -> Option<Applied> {
        let node = delta.node().clone();
        let version = delta.version();
        let status = delta.status();
        match state.table.merge(delta, now) {
            Merged::Stale | Merged::Unknown => None,
            Merged::Known => {
                state
                    .zone_news
                    .heard(&node, Self::retransmissions(self.zone_size()));
                None
            }
            Merged::AboutSelf => {
                self.refute(state, version, now);
                None
            }
            Merged::Applied => {
                if status == Status::Down {
                    state.revisions.remove(&node);
                }
                self.watch_suspicion(state, &node, now);
                Some(Applied { node, status })
            }
        }
    }

    /// Every node of the zone times a suspicion that it hears of, so that it becomes
    /// final also when the node that raised it is lost.
    fn watch_suspicion(&self, state: &mut State, node: &NodeId, now: Instant) {
        let Some(entry) = state.table.get(node) else {
            return;
        };
        if entry.state.status.is_suspected() && entry.state.record.zone == self.own.zone {
            let end = now + self.timing.suspicion_timeout(self.zone_size());
            state.suspicions.insert(node.clone(), end);
        } else {
            state.suspicions.remove(node);
        }
    }

    /// Others say something of this node that it has outlived.
    fn refute(&self, state: &mut State, reported: MemberVersion, now: Instant) {
        let mut own = state.table.own_state().clone();
        if reported.incarnation > own.record.incarnation {
            log::warn!(node:% = self.own.node; "a later life of this node was reported; taking a later one");
            let mut record = (*own.record).clone();
            record.incarnation = Incarnation(reported.incarnation.0 + 1);
            own.record = Arc::new(record);
            own.renewal = 0;
        } else {
            own.renewal = reported.renewal + 1;
        }
        self.publish_own(state, own, now);
    }
}

/// Queues a report for the own zone and, unless the zone still has to settle it, for
/// the others.
fn spread_report(state: &mut State, report: &Applied, now: Instant) {
    state.zone_news.add(&report.node, now);
    if !report.status.is_suspected() {
        state.add_wide_news(&report.node, now);
    }
}
