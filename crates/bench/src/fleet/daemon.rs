//! One hollow daemon: membership and distribution as `stilequayd` runs them.

use super::layout::{DaemonLife, Layout, node_name, number_of};
use super::message::{Truth, Views};
use super::platform::RemoteLog;
use super::sink::{Arrivals, HollowSink};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use stilequay_coordination::control::{self, ControlSockets, LinkPolicy};
use stilequay_coordination::distribution::{Distribution, DistributionConfig};
use stilequay_coordination::membership::{
    Liveness, MemberRecord, Membership, MembershipConfig, MembershipTiming, Seed,
};
use stilequay_coordination::revision::Revision;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Regions that are cut from the others, for all daemons of a process.
#[derive(Debug)]
pub struct RegionCut {
    layout: Layout,
    regions: Mutex<BTreeSet<usize>>,
}

impl RegionCut {
    /// Nothing is cut.
    pub fn new(layout: Layout) -> Arc<Self> {
        Arc::new(Self {
            layout,
            regions: Mutex::default(),
        })
    }

    /// Cuts `regions` from the others.
    pub fn set(&self, regions: BTreeSet<usize>) {
        *self.regions.lock().unwrap_or_else(PoisonError::into_inner) = regions;
    }

    fn is_cut(&self, zone: usize) -> bool {
        let regions = self.regions.lock().unwrap_or_else(PoisonError::into_inner);
        regions.contains(&self.layout.region_of(zone))
    }
}

#[derive(Debug)]
struct CutLinks {
    own_zone: usize,
    cut: Arc<RegionCut>,
}

impl LinkPolicy for CutLinks {
    fn permits(&self, peer: SocketAddr) -> bool {
        let Some(zone) = Layout::zone_at(peer) else {
            return true;
        };
        self.cut.is_cut(zone) == self.cut.is_cut(self.own_zone)
    }
}

/// What the daemons of a process share.
#[derive(Debug, Clone)]
pub struct Surroundings {
    /// How the fleet is spread.
    pub layout: Layout,
    /// The regions that are cut off.
    pub cut: Arc<RegionCut>,
    /// The list of machines.
    pub machines: watch::Receiver<Vec<Seed>>,
    /// The platform's log.
    pub platform: SocketAddr,
    /// The client to the platform.
    pub client: reqwest::Client,
    /// When the changes came.
    pub arrivals: Arc<Arrivals>,
}

/// One life of a hollow daemon.
pub struct HollowDaemon {
    /// Its number.
    pub number: usize,
    /// Its record.
    pub record: MemberRecord,
    /// Its part in the membership.
    pub membership: Membership,
    /// Its part in the distribution.
    pub distribution: Distribution,
    /// Its sink.
    pub sink: Arc<HollowSink>,
    serving: CancellationToken,
}

impl HollowDaemon {
    /// Starts the daemon.
    pub async fn start(life: DaemonLife, surroundings: &Surroundings) -> io::Result<Self> {
        let layout = surroundings.layout;
        let zone = layout.zone_of(life.number);
        let sockets = ControlSockets::bind((Layout::address_of(zone), 0).into()).await?;
        let record = layout.record(life, sockets.local_address()?);
        let config = MembershipConfig {
            own: record.clone(),
            timing: MembershipTiming::default(),
            links: Arc::new(CutLinks {
                own_zone: zone,
                cut: surroundings.cut.clone(),
            }),
        };
        let machines = surroundings.machines.clone();
        let membership = Membership::start(config, sockets.datagrams, machines);
        let sink = HollowSink::new(surroundings.arrivals.clone());
        let source = RemoteLog::new(surroundings.client.clone(), surroundings.platform);
        let distribution = Distribution::start(
            DistributionConfig::default(),
            membership.clone(),
            Arc::new(source),
            sink.clone(),
        );
        let serving = CancellationToken::new();
        tokio::spawn(control::serve(
            sockets.listener,
            membership.clone(),
            distribution.clone(),
            serving.clone(),
        ));
        Ok(Self {
            number: life.number,
            record,
            membership,
            distribution,
            sink,
            serving,
        })
    }

    /// Stops without a word, as a crash would.
    pub async fn kill(&self) {
        self.serving.cancel();
        self.membership.stop().await;
        self.distribution.stop().await;
    }

    /// Leaves in good order.
    pub async fn leave(&self) {
        self.membership.leave();
        self.distribution.stop().await;
        self.membership.depart().await;
        self.serving.cancel();
    }

    /// Bytes sent and received.
    pub fn bytes(&self) -> u64 {
        use stilequay_coordination::traffic::MessageKind;
        let traffic = self.membership.traffic();
        let counts = MessageKind::ALL.iter().map(|kind| traffic.count(*kind));
        counts
            .map(|count| count.bytes_sent + count.bytes_received)
            .sum()
    }

    /// Adds to `views` how this daemon's view compares with the truth.
    pub fn compare(&self, truth: &Truth, views: &mut Views) {
        let view = self.membership.current();
        let mut seen = 0;
        let mut any_dead = false;
        for member in view.members() {
            let Some(number) = number_of(&member.record) else {
                continue;
            };
            let living = truth.living.contains(&number);
            match member.liveness {
                Liveness::Unreachable if living => {
                    views.unreachable.insert(number);
                }
                Liveness::Unreachable => {}
                _ if !living => {
                    any_dead = true;
                    views.dead_seen.insert(number);
                }
                liveness => {
                    seen += 1;
                    if liveness == Liveness::Suspected {
                        views.suspected.insert(number);
                    }
                }
            }
        }
        let given_up = truth
            .living
            .iter()
            .filter(|number| view.get(&node_name(**number)).is_none());
        if view.members().len() < truth.living.len() || any_dead {
            views.given_up.extend(given_up);
        }
        views.daemons += 1;
        views.with_dead += usize::from(any_dead);
        views.right += usize::from(!any_dead && seen == truth.living.len());
    }

    /// Notes in `arrivals` when this daemon learns what is in force everywhere.
    pub fn observe_in_force(&self, arrivals: Arc<Arrivals>) {
        let mut in_force = self.distribution.in_force();
        tokio::spawn(async move {
            while in_force.changed().await.is_ok() {
                let known = in_force.borrow_and_update().clone();
                if known.complete && known.revision > Revision(0) {
                    arrivals.note_in_force(known.revision.0);
                }
            }
        });
    }
}
