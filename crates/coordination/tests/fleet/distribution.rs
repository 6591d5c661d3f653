//! How changes reach all nodes, and what is known to be in force.

use crate::support::{Fleet, NORTH_A, NORTH_B, Node, SOUTH_A, all_meet, eventually};
use rstest::rstest;
use stilequay_coordination::distribution::{CaughtUp, Role};
use stilequay_coordination::revision::Revision;

async fn three_zones(fleet: &Fleet, in_first_zone: usize) -> Vec<Node> {
    let mut nodes = fleet.start_many(NORTH_A, in_first_zone).await;
    nodes.extend(fleet.start_many(NORTH_B, 2).await);
    nodes.extend(fleet.start_many(SOUTH_A, 2).await);
    all_meet(&nodes.iter().collect::<Vec<_>>()).await;
    nodes
}

async fn reaches(node: &Node, revision: Revision) {
    let what = format!("revision {revision} at {}", node.record.node);
    eventually(&what, &mut node.distribution.applied(), |applied| {
        *applied >= revision
    })
    .await;
}

async fn all_reach(nodes: &[Node], revision: Revision) {
    for node in nodes {
        reaches(node, revision).await;
        assert!(node.applied.never_went_back());
    }
}

/// Waits until `node` knows `revision` to be in force on exactly `count` nodes.
async fn in_force(node: &Node, revision: Revision, count: usize) {
    let what = format!("{revision} in force on {count} at {}", node.record.node);
    eventually(&what, &mut node.distribution.in_force(), |in_force| {
        in_force.complete
            && in_force.starting == 0
            && in_force.revision >= revision
            && in_force.counted == count as u32
    })
    .await;
}

fn position(nodes: &[Node], role: Role) -> usize {
    nodes
        .iter()
        .position(|node| node.distribution.role() == role)
        .expect("some node has the role")
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_reach_all_nodes_in_order_and_are_known_to_be_in_force() {
    let fleet = Fleet::new();
    let nodes = three_zones(&fleet, 8).await;
    let first = fleet.log.accept(5);
    all_reach(&nodes, first).await;
    let second = fleet.log.accept(30);
    all_reach(&nodes, second).await;
    for node in &nodes {
        in_force(node, second, nodes.len()).await;
    }
}

/// Nodes that die in the first zone, by what they are in the tree.
#[rstest]
#[case::first_relay(vec![Role::FirstRelay])]
#[case::second_relay(vec![Role::SecondRelay])]
#[case::both_relays(vec![Role::FirstRelay, Role::SecondRelay])]
#[case::an_inner_node(vec![Role::Subscriber])]
#[tokio::test(flavor = "multi_thread")]
async fn changes_go_on_when_nodes_of_the_tree_crash(#[case] lost: Vec<Role>) {
    let fleet = Fleet::new();
    let mut nodes = three_zones(&fleet, 8).await;
    let before = fleet.log.accept(3);
    all_reach(&nodes, before).await;
    let victims: Vec<_> = lost
        .into_iter()
        .map(|role| position(&nodes[..8], role))
        .collect();
    for victim in &victims {
        nodes[*victim].crash().await;
    }
    let after = fleet.log.accept(3);
    let mut index = 0;
    nodes.retain(|_| {
        index += 1;
        !victims.contains(&(index - 1))
    });
    all_reach(&nodes, after).await;
    for node in &nodes {
        in_force(node, after, nodes.len()).await;
    }
}

/// The log keeps eight changes in memory here: a node further behind gets a snapshot.
#[rstest]
#[case::few_changes(3)]
#[case::more_than_are_kept(40)]
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_was_cut_off_receives_what_it_missed(#[case] missed: u64) {
    let fleet = Fleet::new();
    let nodes = three_zones(&fleet, 6).await;
    all_reach(&nodes, fleet.log.accept(2)).await;
    let last = &nodes[5];
    fleet.cut.isolate([last.record.control_address]);
    fleet.log.set_down(true);
    nodes[0].drops(last).await;
    fleet.log.set_down(false);
    let revision = fleet.log.accept(missed);
    all_reach(&nodes[..5], revision).await;
    fleet.cut.isolate([]);
    all_reach(&nodes, revision).await;
    in_force(&nodes[0], revision, nodes.len()).await;
}

/// What a node must reach before it may serve.
#[rstest]
#[case::platform_up(false, CaughtUp::WithSource)]
#[case::platform_down(true, CaughtUp::WithPeers)]
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_node_is_never_older_than_before(
    #[case] platform_down: bool,
    #[case] ground: CaughtUp,
) {
    let fleet = Fleet::new();
    let nodes = three_zones(&fleet, 5).await;
    let served = fleet.log.accept(20);
    all_reach(&nodes, served).await;
    for node in &nodes {
        let what = format!("{} caught up", node.record.node);
        eventually(&what, &mut node.distribution.caught_up(), Option::is_some).await;
    }
    let victim = &nodes[2];
    victim.crash().await;
    fleet.log.set_down(platform_down);
    let name = victim.record.node.as_str();
    let restarted = fleet.start_life(name, NORTH_A, 2).await;
    let mut caught_up = restarted.distribution.caught_up();
    let found = eventually("caught up", &mut caught_up, Option::is_some).await;
    assert_eq!(found, Some(ground));
    assert!(*restarted.distribution.applied().borrow() >= served);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_alone_without_the_platform_does_not_claim_to_have_caught_up() {
    let fleet = Fleet::new();
    fleet.log.set_down(true);
    let node = fleet.start("alone", NORTH_A).await;
    let mut joined = node.membership.joined();
    eventually("joined", &mut joined, |joined| *joined).await;
    while fleet.log.reads() < 3 {
        tokio::task::yield_now().await;
    }
    assert_eq!(*node.distribution.caught_up().borrow(), None);
    fleet.log.set_down(false);
    let mut caught_up = node.distribution.caught_up();
    let found = eventually("caught up", &mut caught_up, Option::is_some).await;
    assert_eq!(found, Some(CaughtUp::WithSource));
}
