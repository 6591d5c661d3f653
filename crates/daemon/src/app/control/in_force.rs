//! Since when revisions are in force on the whole fleet, as this daemon saw it.

use crate::domain::in_force::{InForceReceiver, InForceReport};
use crate::domain::names::Revision;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::SystemTime;
use tokio_util::sync::CancellationToken;

/// Steps of the least revision that are kept.
const STEPS_KEPT: usize = 4_096;

/// A moment from which on a revision was in force everywhere.
#[derive(Debug, Clone, Copy)]
struct Step {
    revision: Revision,
    since: SystemTime,
}

/// Remembers when the least revision of the fleet rose.
#[derive(Debug)]
pub struct InForceHistory {
    reports: InForceReceiver,
    steps: Mutex<VecDeque<Step>>,
}

impl InForceHistory {
    /// A history of `reports`; [`InForceHistory::follow`] must run.
    pub fn new(reports: InForceReceiver) -> Self {
        Self {
            reports,
            steps: Mutex::default(),
        }
    }

    /// The latest report.
    pub fn report(&self) -> Option<Arc<InForceReport>> {
        self.reports.borrow().clone()
    }

    /// When this daemon first saw `revision` in force everywhere, if it did.
    pub fn since(&self, revision: Revision) -> Option<SystemTime> {
        let steps = self.steps.lock().unwrap_or_else(PoisonError::into_inner);
        let first = steps.partition_point(|step| step.revision < revision);
        steps.get(first).map(|step| step.since)
    }

    /// Records each rise until `leaving` is cancelled.
    pub async fn follow(&self, leaving: CancellationToken) {
        let mut reports = self.reports.clone();
        loop {
            let report = reports.borrow_and_update().clone();
            if let Some(report) = report {
                self.record(&report);
            }
            tokio::select! {
                changed = reports.changed() => if changed.is_err() { return },
                () = leaving.cancelled() => return,
            }
        }
    }

    fn record(&self, report: &InForceReport) {
        metrics::gauge!("stilequay_control_in_force_revision").set(report.least.0 as f64);
        metrics::gauge!("stilequay_control_fleet_daemons").set(f64::from(report.total()));
        if !report.complete {
            return;
        }
        let mut steps = self.steps.lock().unwrap_or_else(PoisonError::into_inner);
        let risen = steps.back().is_none_or(|last| report.least > last.revision);
        if !risen {
            return;
        }
        steps.push_back(Step {
            revision: report.least,
            since: SystemTime::now(),
        });
        if steps.len() > STEPS_KEPT {
            steps.pop_front();
        }
    }
}
