//! The fleet: first contacts from the platform's list, the rest from the
//! membership, and the report of what is in force.

use crate::domain::in_force::{InForceReceiver, InForceReport, Laggard};
use crate::domain::membership::{FleetMember, FleetView, Liveness};
use crate::domain::names::Revision;
use crate::ports::fleet::FleetReceiver;
use crate::ports::platform::{Machine, MachineList};
use std::sync::Arc;
use std::time::Duration;
use stilequay_coordination::distribution::{Distribution, InForce, LAGGARDS_NAMED};
use stilequay_coordination::membership::{self, Membership, MembershipView, Seed};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Reads the list again and again until `leaving` is cancelled; while it can't be
/// read, the last one stays.
pub async fn follow_list(
    list: Arc<dyn MachineList>,
    seeds: watch::Sender<Vec<Seed>>,
    interval: Duration,
    leaving: CancellationToken,
) {
    loop {
        match list.machines().await {
            Ok(machines) => {
                seeds.send_replace(machines.iter().filter_map(seed).collect());
            }
            Err(error) => {
                metrics::counter!("stilequay_control_list_errors_total").increment(1);
                log::warn!("the list of machines can't be read: {error}");
            }
        }
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = leaving.cancelled() => return,
        }
    }
}

fn seed(machine: &Machine) -> Option<Seed> {
    let control_address = match machine.control_address.parse() {
        Ok(address) => address,
        Err(_) => {
            log::warn!(node = machine.node.as_str(); "the list of machines has a malformed address");
            return None;
        }
    };
    Some(Seed {
        node: machine.node.clone(),
        zone: machine.zone.clone(),
        region: machine.region.clone(),
        control_address,
    })
}

/// The fleet for the data path, kept up to date by a task of `tasks`.
pub fn follow_membership(
    membership: &Membership,
    tasks: &TaskTracker,
    leaving: CancellationToken,
) -> FleetReceiver {
    let mut source = membership.view();
    let first = fleet_view(&source.borrow_and_update());
    let (sender, receiver) = watch::channel(Arc::new(first));
    tasks.spawn(async move {
        while changed(&mut source, &leaving).await {
            let view = fleet_view(&source.borrow_and_update());
            sender.send_replace(Arc::new(view));
        }
    });
    receiver
}

/// The report of what is in force, kept up to date by a task of `tasks`.
pub fn follow_in_force(
    distribution: &Distribution,
    tasks: &TaskTracker,
    leaving: CancellationToken,
) -> InForceReceiver {
    let mut source = distribution.in_force();
    let (sender, receiver) = watch::channel(None);
    tasks.spawn(async move {
        loop {
            let report = in_force_report(&source.borrow_and_update());
            sender.send_replace(report.map(Arc::new));
            if !changed(&mut source, &leaving).await {
                return;
            }
        }
    });
    receiver
}

/// Waits for a change; false at the end.
async fn changed<T>(source: &mut watch::Receiver<T>, leaving: &CancellationToken) -> bool {
    tokio::select! {
        changed = source.changed() => changed.is_ok(),
        () = leaving.cancelled() => false,
    }
}

/// Daemons of zones that nothing is heard of are left out: they can't be given work.
fn fleet_view(view: &MembershipView) -> FleetView {
    let members = view.members().iter().filter_map(fleet_member);
    FleetView {
        members: members
            .map(|member| (member.node.clone(), member))
            .collect(),
    }
}

fn fleet_member(member: &membership::Member) -> Option<FleetMember> {
    let liveness = match member.liveness {
        membership::Liveness::Alive => Liveness::Alive,
        membership::Liveness::Suspected => Liveness::Suspected,
        membership::Liveness::Leaving => Liveness::Leaving,
        membership::Liveness::Unreachable => return None,
    };
    let record = &member.record;
    Some(FleetMember {
        node: record.node.clone(),
        incarnation: record.incarnation,
        zone: record.zone.clone(),
        region: record.region.clone(),
        peer_address: record.data_address.to_string(),
        control_address: record.control_address.to_string(),
        liveness,
    })
}

/// `None` before the first report has come.
fn in_force_report(report: &InForce) -> Option<InForceReport> {
    if report.counted == 0 {
        return None;
    }
    let laggards = report.laggards.iter().map(|laggard| Laggard {
        node: laggard.node.clone(),
        revision: Revision(laggard.revision.0),
    });
    Some(InForceReport {
        least: Revision(report.revision.0),
        counted: report.counted,
        expected: report.expected,
        unreachable: report.unreachable,
        complete: report.complete,
        laggards: laggards.collect(),
        laggards_cut: report.laggards.len() >= LAGGARDS_NAMED,
    })
}
