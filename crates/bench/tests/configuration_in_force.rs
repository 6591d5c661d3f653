//! A configuration that was accepted is in force on every daemon and never
//! reverts to an older one, also not at a daemon that starts while the platform
//! is down.

mod support;

use postgres_protocol::password::scram_sha_256;
use std::sync::Arc;
use stilequay_bench::launch::Topology;
use stilequay_bench::launch::resources::{self, NamedResource, SERVICE, SERVICE_PASSWORD};
use stilequay_bench::load::Access;
use stilequay_daemon::domain::resource::{ResourceSpec, Secret, ServiceSpec};
use stilequay_standin::platform::faults::{Outage, ServiceFaults};
use stilequay_standin::platform::handle::ServiceName;
use support::{deployment, start};

const NEW_PASSWORD: &str = "another-password";

fn service_with(topology: &Topology, password: &str) -> NamedResource {
    let resources = topology.resources();
    let present = resources
        .into_iter()
        .find(|resource| resource.name == SERVICE && is_service(&resource.spec));
    let Some(NamedResource {
        name,
        spec: ResourceSpec::Service(spec),
    }) = present
    else {
        panic!("the service is declared");
    };
    let changed = ServiceSpec {
        verifier: Secret::new(scram_sha_256(password.as_bytes())),
        ..ServiceSpec::clone(&spec)
    };
    NamedResource {
        name,
        spec: ResourceSpec::Service(Arc::new(changed)),
    }
}

fn is_service(spec: &ResourceSpec) -> bool {
    matches!(spec, ResourceSpec::Service(_))
}

/// Changes the password of the service through `daemon` and waits until that is
/// in force.
async fn change_password(topology: &Topology, daemon: usize, password: &str) {
    let resource = service_with(topology, password);
    let operator = topology.daemons[daemon].operator();
    let accepted = operator.replace(&resource.name, &resource.spec).await;
    let version = accepted.expect("the change is accepted");
    let daemons = topology.daemons.len();
    let in_force = resources::in_force(&operator, &resource, version, daemons).await;
    in_force.expect("the change is in force");
}

async fn admits(topology: &Topology, daemon: usize, password: &str) -> bool {
    let access = Access {
        password: password.to_owned(),
        ..topology.accesses().remove(0)
    };
    let address = topology.daemons[daemon].direct_caller_address();
    access.connect(address, None).await.is_ok()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_change_is_in_force_on_every_daemon() {
    let topology = start(deployment(), None).await;
    for daemon in 0..topology.daemons.len() {
        assert!(admits(&topology, daemon, SERVICE_PASSWORD).await);
        assert!(!admits(&topology, daemon, NEW_PASSWORD).await);
    }
    change_password(&topology, 1, NEW_PASSWORD).await;
    for daemon in 0..topology.daemons.len() {
        assert!(admits(&topology, daemon, NEW_PASSWORD).await);
        assert!(!admits(&topology, daemon, SERVICE_PASSWORD).await);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_starts_while_the_platform_is_down_does_not_revert() {
    let mut topology = start(deployment(), None).await;
    change_password(&topology, 0, NEW_PASSWORD).await;
    let refuse = ServiceFaults {
        outage: Some(Outage::Refuse),
        ..ServiceFaults::default()
    };
    let killed = topology.daemons[2].process_mut().kill().await;
    killed.expect("the daemon is killed");
    for service in [ServiceName::Table, ServiceName::Objects] {
        let down = topology.platform.set_faults(service, &refuse).await;
        down.expect("the platform goes down");
    }
    topology.daemons[2]
        .restart()
        .await
        .expect("the daemon serves again");
    assert!(admits(&topology, 2, NEW_PASSWORD).await);
    assert!(!admits(&topology, 2, SERVICE_PASSWORD).await);
}
