//! Confirms leadership terms without reading the store.
//!
//! Only the holder of the promotion lease changes leaders, so it can confirm that no other process
//! has changed one. One number suffices for all groups: the version of the newest term
//! record. A process that knows the records up to that version knows all leaders as of the moment
//! at which it asked. Confirming them by reading the records would take a number of store calls
//! that grows with the number of groups.

use super::fleet_index::FleetIndex;
use crate::engine::Engine;
use crate::group::Group;
use crate::version::StoreVersion;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use stilequay_coordination::lease::FencingNumber;
use tokio::sync::Mutex as AsyncMutex;
use tokio::time::{Instant, sleep, timeout};

/// How long to wait for the holder's answer before reading the store. Many times the usual
/// response time.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);
/// How long a process that did not confirm is not asked again. About half the time until a failed
/// lease holder has a successor.
const BACKOFF: Duration = Duration::from_millis(700);
/// Pause before a new holder reads the records again after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// State for confirming terms as the lease holder, or for asking the holder to.
#[derive(Debug, Default)]
pub struct TermConfirmation {
    /// The fencing number of the lease under which this process knows all term records.
    complete_for_fencing: Mutex<Option<FencingNumber>>,
    /// Held during a request to the holder: one answer covers all groups.
    request_lock: AsyncMutex<()>,
    /// The process that did not confirm when last asked, and the time until which it is not asked
    /// again.
    backoff: Mutex<Option<(SocketAddr, Instant)>>,
}

impl TermConfirmation {
    fn is_backing_off(&self, address: SocketAddr) -> bool {
        let now = Instant::now();
        let backoff = *lock(&self.backoff);
        backoff.is_some_and(|(known, until)| known == address && now < until)
    }

    fn back_off(&self, address: SocketAddr) {
        *lock(&self.backoff) = Some((address, Instant::now() + BACKOFF));
    }
}

/// Reads the term records each time this process has acquired the lease: the feed may deliver the
/// previous holder's writes late.
pub(super) async fn maintain(engine: &Engine) {
    let mut fencing_changes = engine.promotion_lease().subscribe_fencing();
    loop {
        let fencing = *fencing_changes.borrow_and_update();
        if let Some(fencing) = fencing {
            match engine.terms().read_terms(engine).await {
                Ok(()) => *lock(&engine.term_confirmation().complete_for_fencing) = Some(fencing),
                Err(error) => {
                    log::warn!("failed to read the term records: {error}");
                    sleep(RETRY_PAUSE).await;
                    continue;
                }
            }
        }
        if fencing_changes.changed().await.is_err() {
            return;
        }
    }
}

/// The version of the newest term record; `None` unless this process holds the lease and knows all
/// records written before.
pub(crate) fn newest_term(engine: &Engine) -> Option<StoreVersion> {
    let fencing = engine.promotion_lease().check()?;
    let complete_for_fencing = *lock(&engine.term_confirmation().complete_for_fencing);
    (complete_for_fencing == Some(fencing)).then(|| engine.terms().newest_term())
}

/// Renews the evidence for the leader of `group`, and for those of its block, with a confirmation
/// from the lease holder. Returns whether that succeeded.
pub(crate) async fn renew(engine: &Engine, group: &Group) -> bool {
    let since = Instant::now();
    let _one_at_a_time = engine.term_confirmation().request_lock.lock().await;
    if group.evidence() >= Some(since) {
        return true;
    }
    let requested_at = Instant::now();
    let Some(newest) = ask_holder(engine).await else {
        return false;
    };
    let terms = engine.terms();
    if !terms.has_read() || terms.version() < newest {
        return false;
    }
    terms.confirm_block(engine, group, requested_at);
    let is_renewed = group.evidence() >= Some(requested_at);
    if is_renewed {
        metrics::counter!("stilequay_terms_vouched_total").increment(1);
    }
    is_renewed
}

/// The version that the lease holder confirms, if the holder is known and answers.
async fn ask_holder(engine: &Engine) -> Option<StoreVersion> {
    if let Some(newest) = newest_term(engine) {
        return Some(newest);
    }
    let holder = holder_address(engine)?;
    let confirmation = engine.term_confirmation();
    if confirmation.is_backing_off(holder) {
        return None;
    }
    let answered = timeout(ANSWER_TIMEOUT, async {
        let link = engine.homes().links().first_usable(&[holder]).await?;
        link.query_newest_term().await.flatten()
    });
    let newest = answered.await.ok().flatten();
    if newest.is_none() {
        confirmation.back_off(holder);
    }
    newest
}

/// The holder's address according to the fleet index.
fn holder_address(engine: &Engine) -> Option<SocketAddr> {
    let others = engine.terms().subscribe_other_records();
    let index = FleetIndex::from_records(engine, &others.borrow())?;
    index
        .holder
        .filter(|address| Some(*address) != engine.settings().peer_address)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
