//! Probes one member over a connection of its own.

use super::group::Group;
use super::pool::MemberPool;
use super::state::MemberReport;
use crate::ports::back_end::{BackEndConnection, BackEndError};
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

/// Share of the interval by which probes are spread at random.
const JITTER: f64 = 0.2;

/// Probes a member until `stopped`, and records the reports in the group's state.
pub async fn run_prober(group: Arc<Group>, pool: Arc<MemberPool>, stopped: CancellationToken) {
    let mut prober = Prober {
        demand: group.probe_demand(),
        group,
        pool,
        connection: None,
    };
    tokio::select! {
        () = stopped.cancelled() => {}
        () = prober.run() => {}
    }
}

struct Prober {
    group: Arc<Group>,
    pool: Arc<MemberPool>,
    connection: Option<Box<dyn BackEndConnection>>,
    demand: watch::Receiver<usize>,
}

impl Prober {
    async fn run(&mut self) {
        loop {
            match self.probe_or_report_late().await {
                Ok(report) => {
                    self.record(report);
                    self.wait_after_answer().await;
                }
                Err(error) => {
                    self.record_failure(&error);
                    self.wait_after_failure().await;
                }
            }
        }
    }

    /// One probe. A member that is late gets no new work while its answer is awaited.
    async fn probe_or_report_late(&mut self) -> Result<MemberReport, BackEndError> {
        let group = self.group.clone();
        let member = self.pool.target().member.clone();
        let settings = group.settings();
        let limit = settings.connect_timeout() + settings.probe_timeout();
        let asking = timeout(limit, self.ask());
        tokio::pin!(asking);
        tokio::select! {
            answer = &mut asking => return answer.unwrap_or(Err(BackEndError::Timeout)),
            () = sleep(settings.late_probe()) => {}
        }
        group.update_state(|state| state.record_failure(&member));
        asking.await.unwrap_or(Err(BackEndError::Timeout))
    }

    async fn ask(&mut self) -> Result<MemberReport, BackEndError> {
        let settings = self.group.settings().clone();
        let connection = match &mut self.connection {
            Some(connection) => connection,
            None => {
                let connection = self.pool.open_separately().await?;
                self.connection.insert(connection)
            }
        };
        timeout(settings.probe_timeout(), connection.probe())
            .await
            .unwrap_or(Err(BackEndError::Timeout))
    }

    fn record(&self, report: MemberReport) {
        let member = &self.pool.target().member;
        self.group
            .update_state(|state| state.record_report(member, report));
    }

    fn record_failure(&mut self, error: &BackEndError) {
        self.connection = None;
        if matches!(error, BackEndError::TooManyConnections) {
            self.pool.close_one();
        }
        let member = &self.pool.target().member;
        log::debug!(member:% = member; "probe failed: {error}");
        self.group
            .update_state(|state| state.record_failure(member));
    }

    /// Waits for the next probe's time, or for somebody who needs one now.
    async fn wait_after_answer(&mut self) {
        let interval = self.interval();
        tokio::select! {
            () = sleep(interval) => {}
            () = self.group.hinted() => {}
            _ = self.demand.wait_for(|waiting| *waiting > 0) => {}
        }
    }

    /// A member that does not answer is not asked more often for being needed.
    async fn wait_after_failure(&mut self) {
        sleep(self.group.settings().urgent_probe_interval()).await;
    }

    fn interval(&self) -> Duration {
        if !self.group.has_primary() {
            return self.group.settings().urgent_probe_interval();
        }
        let interval = Duration::from_millis(self.pool.target().group.probe_interval_millis);
        interval.mul_f64(rand::rng().random_range(1.0 - JITTER..1.0 + JITTER))
    }
}
