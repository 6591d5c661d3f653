//! Evidence for the terms of leaders without the store.
//!
//! Only the holder of the lease for promotions makes a leader, so it can vouch that nobody else
//! has. One number will do for all groups: the version of the newest record of a term. Whoever
//! knows the records up to that version knows who leads, as of the moment at which it asked.
//! Reading the records for the same purpose costs calls that grow with the groups.

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

/// How long the holder's answer is waited for before the store is read: many times what an
/// answer takes.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);
/// How long a process that did not vouch is not asked again: about half of what it takes until
/// a lost holder has a successor.
const DOUBT: Duration = Duration::from_millis(700);
/// Pause before a new holder reads the records again after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// What a process needs to vouch, or to ask who does.
#[derive(Debug, Default)]
pub struct Vouching {
    /// The holding of the lease for which this process knows all records of terms.
    complete_for: Mutex<Option<FencingNumber>>,
    /// Held while the holder is asked: its answer is for all groups.
    asking: AsyncMutex<()>,
    /// Who did not vouch when it was asked last, and until when it is not asked again.
    doubted: Mutex<Option<(SocketAddr, Instant)>>,
}

impl Vouching {
    fn is_doubted(&self, address: SocketAddr) -> bool {
        let now = Instant::now();
        let doubted = *lock(&self.doubted);
        doubted.is_some_and(|(known, until)| known == address && now < until)
    }

    fn doubt(&self, address: SocketAddr) {
        *lock(&self.doubted) = Some((address, Instant::now() + DOUBT));
    }
}

/// Reads the records of terms each time this process has taken the lease: the feed may tell late
/// what the holder before has recorded.
pub(super) async fn keep(engine: &Engine) {
    let mut holdings = engine.duty().subscribe_holding();
    loop {
        let holding = *holdings.borrow_and_update();
        if let Some(holding) = holding {
            match engine.terms().read_terms(engine).await {
                Ok(()) => *lock(&engine.vouching().complete_for) = Some(holding),
                Err(error) => {
                    log::warn!("the records of terms were not read: {error}");
                    sleep(RETRY_PAUSE).await;
                    continue;
                }
            }
        }
        if holdings.changed().await.is_err() {
            return;
        }
    }
}

/// The version of the newest record of a term; `None` unless this process holds the lease and
/// knows all that was recorded before.
pub(crate) fn newest_term(engine: &Engine) -> Option<StoreVersion> {
    let holding = engine.duty().check()?;
    let complete_for = *lock(&engine.vouching().complete_for);
    (complete_for == Some(holding)).then(|| engine.terms().newest_term())
}

/// Renews the evidence for the leader of `group`, and for those of its block, by what the holder
/// of the lease vouches for; returns whether that was enough.
pub(crate) async fn renew(engine: &Engine, group: &Group) -> bool {
    let since = Instant::now();
    let _one_at_a_time = engine.vouching().asking.lock().await;
    if group.evidence() >= Some(since) {
        return true;
    }
    let asked = Instant::now();
    let Some(newest) = ask_holder(engine).await else {
        return false;
    };
    let terms = engine.terms();
    if !terms.has_read() || terms.version() < newest {
        return false;
    }
    terms.confirm_block(engine, group, asked);
    let is_renewed = group.evidence() >= Some(asked);
    if is_renewed {
        metrics::counter!("stilequay_terms_vouched_total").increment(1);
    }
    is_renewed
}

/// What the holder of the lease vouches for, if it is known and answers.
async fn ask_holder(engine: &Engine) -> Option<StoreVersion> {
    if let Some(newest) = newest_term(engine) {
        return Some(newest);
    }
    let holder = holder_address(engine)?;
    let vouching = engine.vouching();
    if vouching.is_doubted(holder) {
        return None;
    }
    let answered = timeout(ANSWER_TIMEOUT, async {
        let link = engine.homes().links().first_usable(&[holder]).await?;
        link.query_newest_term().await.flatten()
    });
    let newest = answered.await.ok().flatten();
    if newest.is_none() {
        vouching.doubt(holder);
    }
    newest
}

/// Where the holder answers, by the index of the fleet.
fn holder_address(engine: &Engine) -> Option<SocketAddr> {
    let others = engine.terms().subscribe_others();
    let index = FleetIndex::among(&others.borrow())?;
    index
        .holder
        .filter(|address| Some(*address) != engine.settings().peer_address)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
