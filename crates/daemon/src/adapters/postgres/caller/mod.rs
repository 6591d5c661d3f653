//! Callers over the PostgreSQL protocol, one task for each.
//!
//! A caller's messages are gathered into units and classified; the application runs
//! them, and their answers are passed on as they arrive.

mod authentication;
mod builder;
#[allow(clippy::module_inception)]
mod caller;
mod cancel;
mod connection;
mod link;
mod parameters;
mod relay;
mod reply;
mod requests;
mod shape;
mod socket;
mod startup;
mod statements;
mod unit;

use super::classify::ClassificationCache;
use crate::app::front::{Front, FrontContext};
use cancel::CancelRegistry;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Pause after a failure to accept, such as for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time for callers to be told that their requests were cut at the end of a stop.
const CUT_GRACE: Duration = Duration::from_secs(5);

/// What all callers' tasks share.
struct Shared {
    front: Arc<Front>,
    cancels: Arc<CancelRegistry>,
    classifier: Arc<ClassificationCache>,
}

impl Shared {
    fn new(context: FrontContext, leaving: CancellationToken) -> Self {
        let texts = context.settings.classification_cache;
        Self {
            front: Arc::new(Front::new(context, leaving)),
            cancels: Arc::default(),
            classifier: Arc::new(ClassificationCache::new(texts)),
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
    let drain = shared.front.settings().drain();
    if timeout(drain, callers.wait()).await.is_err() {
        log::warn!(
            "cutting {} callers that did not finish in time",
            callers.len()
        );
        shared.front.cut().cancel();
        // Those still there afterwards do not even read what they are told.
        let _ = timeout(CUT_GRACE, callers.wait()).await;
    }
}

/// Accepts callers; the listener is closed on return.
async fn accept(listener: TcpListener, shared: &Arc<Shared>, callers: &TaskTracker) {
    loop {
        let accepted = tokio::select! {
            () = shared.front.leaving().cancelled() => return,
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
