//! Rewrites term records that a restored store has lost.

use super::follower::VersionedTerm;
use super::record::TermRecord;
use crate::engine::Engine;
use crate::names::GroupName;
use crate::ports::{PutOutcome, RecordStoreError};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Pause after a failed write.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Rewrites lost records until the process ends. In a large fleet many processes know them; only
/// those that watch the store themselves and the last writer of a record rewrite it.
pub async fn rewrite_lost_terms(engine: &Engine) {
    let mut lost = engine.terms().subscribe_lost();
    // The sender lives as long as the follower.
    while lost.wait_for(|groups| !groups.is_empty()).await.is_ok() {
        let groups = lost.borrow_and_update().clone();
        let mut has_failed = false;
        for group in groups {
            has_failed |= rewrite_term(engine, &group).await.is_err();
        }
        if has_failed {
            sleep(RETRY_PAUSE.mul_f64(0.5 + rand::random::<f64>())).await;
        }
    }
}

/// Writes the record of `group` over the store's, if this process is to do so. If another process
/// has written one meanwhile, the feed delivers that.
async fn rewrite_term(engine: &Engine, group: &GroupName) -> Result<(), RecordStoreError> {
    let terms = engine.terms();
    let known = terms.known(group);
    let is_writer = |term: &VersionedTerm| {
        engine.following().is_direct() || term.record.holder == engine.settings().node
    };
    let Some(term) = known.filter(is_writer) else {
        terms.clear_lost(group);
        return Ok(());
    };
    let write_started = Instant::now();
    let key = TermRecord::key(group);
    let put = terms
        .store()
        .put_if(&key, term.version, term.record.encode());
    let outcome = put.await?;
    terms.clear_lost(group);
    if let PutOutcome::Stored(version) = outcome {
        log::info!("the store had lost the term record of group {group}: it was rewritten");
        let term = VersionedTerm { version, ..term };
        terms.apply_one(engine, term, Some(write_started));
    }
    Ok(())
}
