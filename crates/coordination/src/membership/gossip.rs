//! The task that spreads news in the zone, faster than the probes would.

use super::audience::Audience;
use super::datagram::Purpose;
use super::shared::Shared;
use rand::seq::IndexedRandom;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// News for other zones is dropped after so long: the comparisons of the whole
/// state deliver what was missed.
const WIDE_NEWS_AGE: Duration = Duration::from_secs(20);

/// Spreads news until the membership is stopped. Sends nothing without news.
pub(super) async fn run(shared: Arc<Shared>) {
    loop {
        tokio::select! {
            () = shared.stopped.cancelled() => return,
            () = wait_for_news(&shared) => {}
        }
        for address in targets(&shared) {
            shared
                .send(address, Purpose::Gossip, &Audience::OwnZone, None)
                .await;
        }
        tokio::time::sleep(shared.timing.gossip_interval).await;
    }
}

async fn wait_for_news(shared: &Shared) {
    loop {
        let notified = shared.news.notified();
        {
            let mut state = shared.state();
            for queue in state.wide_news.values_mut() {
                queue.expire(WIDE_NEWS_AGE, Instant::now());
            }
            if !state.zone_news.is_empty() {
                return;
            }
        }
        notified.await;
    }
}

fn targets(shared: &Shared) -> Vec<SocketAddr> {
    let view = shared.view.borrow().clone();
    let neighbours: Vec<_> = view
        .zone_members(&shared.own.zone)
        .map(|member| &member.record)
        .filter(|record| record.node != shared.own.node)
        .map(|record| record.control_address)
        .collect();
    neighbours
        .sample(&mut rand::rng(), shared.timing.gossip_targets)
        .copied()
        .collect()
}
