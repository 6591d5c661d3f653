//! The caller side: PostgreSQL connections, one task for each.
//!
//! A caller's messages are gathered into units, classified, and run at a home of
//! the database asked for; the answer is passed on as it arrives.

mod attempt;
mod authentication;
mod builder;
mod caller;
mod cancel;
mod connection;
mod dispatch;
mod health;
mod limits;
mod relay;
mod reply;
mod requests;
mod retry;
mod rights;
mod session;
mod settings;
mod shape;
mod socket;
mod startup;
mod statements;
mod telemetry;
mod unit;

pub use settings::{FrontSettingFault, FrontSettings};

use crate::adapters::postgres::classify::ClassificationCache;
use crate::ports::configuration::ConfigurationReceiver;
use crate::ports::exchange::HomeConnector;
use crate::ports::homes::HomeSelector;
use cancel::CancelRegistry;
use health::HomeHealth;
use limits::ConnectionLimits;
use std::sync::Arc;
use std::time::Duration;
use stilequay_coordination::retry::RetryBudget;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Pause after a failure to accept, such as for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time for callers to be told that their requests were cut at the end of a stop.
const CUT_GRACE: Duration = Duration::from_secs(5);

/// What the caller side works with.
pub struct FrontContext {
    /// The configuration in force.
    pub configuration: ConfigurationReceiver,
    /// Which daemons are homes of a group.
    pub homes: Arc<dyn HomeSelector>,
    /// How homes are reached.
    pub connector: Arc<dyn HomeConnector>,
    /// Settings, already checked.
    pub settings: FrontSettings,
}

/// What all callers' tasks share.
struct Shared {
    configuration: ConfigurationReceiver,
    homes: Arc<dyn HomeSelector>,
    connector: Arc<dyn HomeConnector>,
    settings: FrontSettings,
    limits: ConnectionLimits,
    cancels: Arc<CancelRegistry>,
    classifier: Arc<ClassificationCache>,
    retry_budget: Arc<RetryBudget>,
    health: HomeHealth,
    /// Cancelled when a planned stop begins.
    leaving: CancellationToken,
    /// Cancelled when a planned stop can't wait any longer.
    cut: CancellationToken,
}

impl Shared {
    fn new(context: FrontContext, leaving: CancellationToken) -> Self {
        let settings = context.settings;
        Self {
            configuration: context.configuration,
            homes: context.homes,
            connector: context.connector,
            limits: ConnectionLimits::new(settings.max_connections),
            cancels: Arc::default(),
            classifier: Arc::new(ClassificationCache::new(settings.classification_cache)),
            retry_budget: Arc::new(RetryBudget::new(settings.retry_budget())),
            health: HomeHealth::new(settings.home_avoidance()),
            settings,
            leaving,
            cut: CancellationToken::new(),
        }
    }
}

/// Serves callers until `leaving` is cancelled, then lets units and transactions
/// in progress finish within the settings' bound, and returns.
pub async fn serve(listener: TcpListener, context: FrontContext, leaving: CancellationToken) {
    let shared = Arc::new(Shared::new(context, leaving));
    let callers = TaskTracker::new();
    accept(listener, &shared, &callers).await;
    callers.close();
    if timeout(shared.settings.drain(), callers.wait())
        .await
        .is_err()
    {
        log::warn!(
            "cutting {} callers that did not finish in time",
            callers.len()
        );
        shared.cut.cancel();
        // Those still there afterwards do not even read what they are told.
        let _ = timeout(CUT_GRACE, callers.wait()).await;
    }
}

/// Accepts callers; the listener is closed on return.
async fn accept(listener: TcpListener, shared: &Arc<Shared>, callers: &TaskTracker) {
    loop {
        let accepted = tokio::select! {
            () = shared.leaving.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                callers.spawn(connection::serve(stream, Arc::clone(shared)));
            }
            Err(error) => {
                log::error!("can't accept a caller: {error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
