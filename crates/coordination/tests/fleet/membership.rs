//! How nodes learn of each other's lives, deaths and returns.

use crate::support::{Fleet, Location, NORTH_A, NORTH_B, Node, SOUTH_A, all_meet};
use rstest::rstest;
use stilequay_coordination::membership::Liveness;

#[rstest]
#[case::one_zone(vec![(NORTH_A, 5)])]
#[case::two_zones(vec![(NORTH_A, 3), (NORTH_B, 3)])]
#[case::two_regions(vec![(NORTH_A, 3), (NORTH_B, 1), (SOUTH_A, 2)])]
#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_start_together_all_see_each_other(#[case] sizes: Vec<(Location, usize)>) {
    let fleet = Fleet::new();
    let nodes = start(&fleet, &sizes).await;
    all_meet(&nodes.iter().collect::<Vec<_>>()).await;
}

async fn start(fleet: &Fleet, sizes: &[(Location, usize)]) -> Vec<Node> {
    let mut nodes = Vec::new();
    for (location, count) in sizes {
        nodes.extend(fleet.start_many(*location, *count).await);
    }
    nodes
}

#[rstest]
#[case::seen_from_its_zone(NORTH_A)]
#[case::seen_from_another_zone(NORTH_B)]
#[case::seen_from_another_region(SOUTH_A)]
#[tokio::test(flavor = "multi_thread")]
async fn a_crashed_node_is_given_up_everywhere(#[case] observed_from: Location) {
    let fleet = Fleet::new();
    let nodes = start(&fleet, &[(NORTH_A, 3), (NORTH_B, 2), (SOUTH_A, 2)]).await;
    all_meet(&nodes.iter().collect::<Vec<_>>()).await;
    let crashed = &nodes[0];
    crashed.crash().await;
    let observers = nodes[1..]
        .iter()
        .filter(|node| node.record.zone.as_str() == observed_from.zone);
    for observer in observers {
        observer.drops(crashed).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_leaves_is_shown_as_leaving_and_then_gone() {
    let fleet = Fleet::new();
    let nodes = start(&fleet, &[(NORTH_A, 3), (SOUTH_A, 2)]).await;
    all_meet(&nodes.iter().collect::<Vec<_>>()).await;
    let leaving = &nodes[0];
    leaving.membership.leave();
    for observer in &nodes[1..] {
        observer.sees_one(leaving, Liveness::Leaving).await;
    }
    leaving.membership.depart().await;
    for observer in &nodes[1..] {
        observer.drops(leaving).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_node_is_known_by_its_new_life_and_address() {
    let fleet = Fleet::new();
    let nodes = start(&fleet, &[(NORTH_A, 3), (SOUTH_A, 1)]).await;
    all_meet(&nodes.iter().collect::<Vec<_>>()).await;
    nodes[0].crash().await;
    let name = nodes[0].record.node.as_str();
    let restarted = fleet.start_life(name, NORTH_A, 2).await;
    for observer in &nodes[1..] {
        observer.sees_one(&restarted, Liveness::Alive).await;
        let view = observer.membership.current();
        let seen = view.get(&restarted.record.node).expect("it is seen");
        assert_eq!(
            seen.record.control_address,
            restarted.record.control_address
        );
    }
}

/// A node cut off alone is given up; it lives, so it refutes that once it hears of it.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_wrongly_given_up_comes_back_in_the_same_life() {
    let fleet = Fleet::new();
    let nodes = start(&fleet, &[(NORTH_A, 4), (SOUTH_A, 1)]).await;
    all_meet(&nodes.iter().collect::<Vec<_>>()).await;
    let cut_off = &nodes[0];
    fleet.cut.isolate([cut_off.record.control_address]);
    for observer in &nodes[1..] {
        observer.drops(cut_off).await;
    }
    fleet.cut.isolate([]);
    all_meet(&nodes.iter().collect::<Vec<_>>()).await;
}

/// A node that hears nobody must not accuse all others once it hears them again.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_hears_nobody_gives_nobody_of_its_zone_up() {
    let fleet = Fleet::new();
    let nodes = start(&fleet, &[(NORTH_A, 4)]).await;
    all_meet(&nodes.iter().collect::<Vec<_>>()).await;
    let cut_off = &nodes[0];
    fleet.cut.isolate([cut_off.record.control_address]);
    // Long enough for each of the three others to be probed, suspected and given up.
    cut_off.probes(50).await;
    let view = cut_off.membership.current();
    let known = view.zone_size(&cut_off.record.zone);
    assert_eq!(known, nodes.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_zone_is_unreachable_and_returns() {
    let fleet = Fleet::new();
    let staying = start(&fleet, &[(NORTH_A, 2), (NORTH_B, 2)]).await;
    let lost = start(&fleet, &[(SOUTH_A, 3)]).await;
    let all: Vec<_> = staying.iter().chain(&lost).collect();
    all_meet(&all).await;
    let addresses = lost.iter().map(|node| node.record.control_address);
    fleet.cut.isolate(addresses);
    let lost_nodes: Vec<_> = lost.iter().collect();
    let staying_nodes: Vec<_> = staying.iter().collect();
    for observer in &staying {
        observer.sees(&lost_nodes, Liveness::Unreachable).await;
    }
    for observer in &lost {
        observer.sees(&staying_nodes, Liveness::Unreachable).await;
    }
    fleet.cut.isolate([]);
    all_meet(&all).await;
}

/// The list of machines lags: it names a node that is gone, and lacks one that lives.
#[tokio::test(flavor = "multi_thread")]
async fn the_list_of_seeds_neither_revives_nor_removes_a_node() {
    let fleet = Fleet::new();
    let nodes = start(&fleet, &[(NORTH_A, 3)]).await;
    all_meet(&nodes.iter().collect::<Vec<_>>()).await;
    nodes[0].crash().await;
    for observer in &nodes[1..] {
        observer.drops(&nodes[0]).await;
    }
    // The list still names the crashed node; a newcomer learns better from the others.
    let newcomer = fleet.start("newcomer", NORTH_A).await;
    let living = [&nodes[1], &nodes[2], &newcomer];
    all_meet(&living).await;
}
