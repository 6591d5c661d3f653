//! Confirmation of leaders' terms by the lease holder, without reads of the store.

mod support;

use std::sync::Arc;
use std::time::Duration;
use stilequay_engine::leadership::record::TermRecord;
use stilequay_engine::link::frame::{FromHome, ToHome, decode, encode};
use stilequay_engine::ports::PeerNetwork;
use stilequay_engine::version::StoreVersion;
use support::history::History;
use support::peers::MemoryPeers;
use support::{Fleet, GROUP, LEADER_DATABASE, until};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// Number of processes of a fleet that is large enough for homes and a fleet index, which lists
/// the lease holder.
const PROCESSES: usize = 20;
/// Time until a new fleet's index is written and has reached all processes.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Time until a lost holder has a successor that all processes know from the index.
const SUCCESSION_TIME: Duration = Duration::from_secs(8);
/// Period over which reads are counted: many times the validity of evidence.
const MEASURED_PERIOD: Duration = Duration::from_secs(10);

/// Starts a fleet whose callers only send leader reads, so that no commits provide evidence.
async fn reading_fleet() -> (Fleet, Arc<History>, Vec<JoinHandle<()>>) {
    let fleet = Fleet::start(PROCESSES).await;
    let history = Arc::new(History::default());
    let readers = fleet.spawn_readers(&history);
    sleep(SETTLE_TIME).await;
    (fleet, history, readers)
}

/// Counts the answered reads and the reads of term records from the store in the measured period.
async fn measure(fleet: &Fleet, history: &History) -> (usize, u64) {
    let (_, reads) = history.counts();
    let block_reads = fleet.records.block_reads();
    sleep(MEASURED_PERIOD).await;
    let (_, answered) = history.counts();
    (answered - reads, fleet.records.block_reads() - block_reads)
}

#[tokio::test(start_paused = true)]
async fn read_only_fleet_does_not_read_term_records_from_the_store() {
    let (fleet, history, _) = reading_fleet().await;
    let (answered, block_reads) = measure(&fleet, &history).await;
    assert!(answered > 100 * PROCESSES, "{answered}");
    assert_eq!(block_reads, 0);
}

#[tokio::test(start_paused = true)]
async fn successor_of_a_lost_holder_confirms_terms() {
    let (mut fleet, history, readers) = reading_fleet().await;
    let holder = fleet.holder();
    readers[holder].abort();
    fleet.kill(holder);
    sleep(SUCCESSION_TIME).await;
    let (answered, block_reads) = measure(&fleet, &history).await;
    assert!(answered > 100 * (PROCESSES - 1), "{answered}");
    assert_eq!(block_reads, 0);
}

/// The holder's confirmations don't arrive, so the processes that provide evidence to the others
/// read the store instead.
#[tokio::test(start_paused = true)]
async fn reads_are_answered_while_the_holder_is_unreachable() {
    let (fleet, _, _) = reading_fleet().await;
    let holder = fleet.holder();
    let holder_name = fleet.nodes[holder].name.clone();
    let others = (0..PROCESSES).filter(|node| *node != holder);
    for node in others.clone() {
        fleet.network().cut(&fleet.nodes[node].name, &holder_name);
    }
    sleep(Duration::from_secs(1)).await;
    for node in others {
        let mut client = fleet.session(node, LEADER_DATABASE);
        let began = Instant::now();
        while client.read("x").await.outcome.is_err() {
            assert!(began.elapsed() < SUCCESSION_TIME, "process {node}");
        }
    }
}

/// The version of the newest term record that process `to` confirms to process `from`.
async fn confirmed_version(fleet: &Fleet, from: usize, to: usize) -> Option<StoreVersion> {
    let network = fleet.peers.for_node(&fleet.nodes[from].name);
    let address = MemoryPeers::address_of(&fleet.nodes[to].name);
    let mut link = network.open_link(address).await.expect("a link");
    let question = encode(&ToHome::AskNewestTerm { exchange: 1 });
    link.tx.send(question).await.expect("an open link");
    let answer = link.rx.recv().await.expect("an answer");
    match decode(&answer) {
        Some(FromHome::NewestTerm { version, .. }) => version,
        other => panic!("{other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn only_the_lease_holder_confirms_terms() {
    let (fleet, _, _) = reading_fleet().await;
    let holder = fleet.holder();
    for node in 0..PROCESSES {
        let asker = (node + 1) % PROCESSES;
        let version = confirmed_version(&fleet, asker, node).await;
        assert_eq!(version.is_some(), node == holder, "process {node}");
    }
}

/// The holder was frozen while another process took the lease, and may not have noticed.
#[tokio::test(start_paused = true)]
async fn holder_that_was_frozen_past_its_lease_does_not_confirm_terms() {
    let (fleet, _, _) = reading_fleet().await;
    let holder = fleet.holder();
    let name = fleet.nodes[holder].name.clone();
    fleet.freeze(&name, true);
    until(|| fleet.holder() != holder).await;
    let asker = (holder + 1) % PROCESSES;
    let (version, ()) = tokio::join!(confirmed_version(&fleet, asker, holder), async {
        sleep(Duration::from_millis(10)).await;
        fleet.freeze(&name, false);
    });
    assert_eq!(version, None);
}

/// After a change of leader, the holder confirms the version of the new term record.
#[tokio::test(start_paused = true)]
async fn holder_confirms_the_term_of_the_leader_that_it_promoted() {
    let (fleet, history, _) = reading_fleet().await;
    let holder = fleet.holder();
    let asker = (holder + 1) % PROCESSES;
    assert_eq!(confirmed_version(&fleet, asker, holder).await, Some(0));
    fleet.world.crash("a");
    fleet.spawn_callers(&history);
    let group = fleet.nodes[holder].engine.group(&Arc::from(GROUP));
    until(|| group.view().epoch == 1 && group.view().confirmed).await;
    let key = TermRecord::key(&Arc::from(GROUP));
    let recorded = fleet.records.get(&key).expect("a record").version;
    assert_eq!(
        confirmed_version(&fleet, asker, holder).await,
        Some(recorded)
    );
}
