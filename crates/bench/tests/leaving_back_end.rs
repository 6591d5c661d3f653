//! A back end that is leaving receives no new work.
//!
//! One replica never replays anything and may serve all the same: a read that
//! misses an old row was served by it.

mod support;

use std::sync::Arc;
use stilequay_bench::history::WriteOutcome;
use stilequay_bench::launch::Topology;
use stilequay_bench::launch::group::Lag;
use stilequay_bench::launch::resources::{self, NamedResource};
use stilequay_bench::launch::wait::until;
use stilequay_bench::load::connection::Connection;
use stilequay_daemon::domain::resource::{Consistency, ResourceSpec};
use support::{connect, deployment, row, shows, start, write};

/// Longer than the test can take.
const LAG: Lag = Lag {
    receive_ms: 0,
    replay_ms: 3_600_000,
};
/// Reads at each daemon that must all be served by others.
const READS: usize = 40;

/// Marks a member as leaving and waits until that is in force.
async fn mark_leaving(topology: &Topology, member: &str) {
    let group = &topology.groups[0];
    let mut spec = topology.group_spec(group);
    for listed in &mut spec.members {
        listed.leaving = listed.name.as_str() == member;
    }
    let resource = NamedResource {
        name: group.deployment.name.to_string(),
        spec: ResourceSpec::DatabaseGroup(Arc::new(spec)),
    };
    let operator = topology.operator();
    let replaced = operator.replace(&resource.name, &resource.spec).await;
    let version = replaced.expect("the mark is accepted");
    let daemons = topology.daemons.len();
    let in_force = resources::in_force(&operator, &resource, version, daemons).await;
    in_force.expect("the mark is in force");
}

async fn connections(topology: &Topology) -> Vec<Connection> {
    let mut connections = Vec::new();
    for daemon in 0..topology.daemons.len() {
        connections.push(connect(topology, daemon, "reader").await);
    }
    connections
}

/// Reads that the stuck replica served.
async fn served_by_stuck_replica(connections: &[Connection]) -> usize {
    let mut served = 0;
    for _ in 0..READS {
        for connection in connections {
            served += usize::from(!shows(connection, &row(1)).await);
        }
    }
    served
}

#[tokio::test(flavor = "multi_thread")]
async fn a_member_marked_as_leaving_gets_no_new_reads() {
    let mut deployment = deployment();
    deployment.policy.consistency = Consistency::BoundedStaleness;
    deployment.policy.max_staleness_millis = 3_600_000;
    deployment.policy.max_staleness_bytes = 1 << 30;
    let topology = start(deployment, None).await;
    let group = &topology.groups[0];
    let stuck = group.members.last().expect("a replica").name.clone();
    group.set_lag(&stuck, LAG).await.expect("the lag is set");
    let writer = connect(&topology, 0, "writer").await;
    assert_eq!(write(&writer, &row(1)).await, WriteOutcome::Acknowledged);
    let readers = connections(&topology).await;
    until("the stuck replica serves reads", || async {
        (served_by_stuck_replica(&readers).await > 0).then_some(())
    })
    .await
    .expect("the scenario notices reads of the stuck replica");
    mark_leaving(&topology, &stuck).await;
    until("no read goes to the leaving member", || async {
        (served_by_stuck_replica(&readers).await == 0).then_some(())
    })
    .await
    .expect("the leaving member gets no more work");
    assert_eq!(served_by_stuck_replica(&readers).await, 0);
}
