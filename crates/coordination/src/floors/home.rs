//! A home that follows the placements of its group.

use super::port::{BarrierSource, FloorTransport};
use super::{
    Acknowledgement, Epoch, FloorPlacement, FloorRegister, FloorRegisterSettings, FloorReply,
    FloorRequest, Readiness,
};
use crate::identity::NodeId;
use crate::retry::{Backoff, BackoffSettings};
use futures::stream::{FuturesUnordered, StreamExt};
use std::collections::BTreeSet;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Longest time that one call to another home, or one barrier, may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Pauses between attempts to seal an epoch or to take the default floor.
const ATTEMPT_PAUSES: BackoffSettings = BackoffSettings {
    initial: Duration::from_millis(20),
    maximum: Duration::from_secs(1),
    factor: 2.0,
};

/// One home's part in keeping the floors of one group.
///
/// [`FloorHome::handle`] answers the calls that come from other nodes, at any time;
/// [`FloorHome::follow`] makes the register ready for each placement.
pub struct FloorHome {
    own: NodeId,
    register: Mutex<FloorRegister>,
    transport: Arc<dyn FloorTransport>,
    barrier: Arc<dyn BarrierSource>,
}

impl FloorHome {
    /// A home that has just started, and refuses calls until [`FloorHome::follow`] runs.
    pub fn new(
        own: NodeId,
        settings: FloorRegisterSettings,
        transport: Arc<dyn FloorTransport>,
        barrier: Arc<dyn BarrierSource>,
    ) -> Self {
        let register = FloorRegister::new(own.clone(), settings);
        Self {
            own,
            register: Mutex::new(register),
            transport,
            barrier,
        }
    }

    /// Answers a call of another node, or of this one.
    pub fn handle(&self, request: FloorRequest) -> FloorReply {
        self.register().handle(request)
    }

    /// Which calls are served now.
    pub fn readiness(&self) -> Readiness {
        self.register().readiness()
    }

    /// The highest epoch known to be sealed; to be noted by
    /// [`super::PlacementKeeper::note_sealed`].
    pub fn sealed(&self) -> Epoch {
        self.register().sealed()
    }

    /// Number of sessions kept.
    pub fn sessions(&self) -> usize {
        self.register().sessions()
    }

    /// Takes part in each placement that comes, until `leaving` is cancelled or no
    /// more can come. Placements must have been read after this home started, see
    /// the [requirements](super#requirements-on-the-embedding-program).
    pub async fn follow(
        &self,
        mut placements: watch::Receiver<Option<FloorPlacement>>,
        leaving: CancellationToken,
    ) {
        loop {
            let placement = placements.borrow_and_update().clone();
            let establish = async {
                if let Some(placement) = placement {
                    self.establish(placement).await;
                }
                std::future::pending::<()>().await
            };
            tokio::select! {
                () = leaving.cancelled() => return,
                changed = placements.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
                () = establish => {}
            }
        }
    }

    async fn establish(&self, placement: FloorPlacement) {
        let epoch = placement.epoch;
        let homes = acquaintances(&placement);
        self.register().begin(placement);
        let mut backoff = Backoff::new(ATTEMPT_PAUSES);
        while !self.is_sealed(epoch) {
            self.ask_for_acknowledgements(epoch, &homes).await;
            if !self.is_sealed(epoch) {
                tokio::time::sleep(backoff.next_delay()).await;
            }
        }
        backoff.reset();
        // The register keeps floors from here on, so that the barrier, which begins
        // later, covers all that it has not kept.
        while self.readiness() == Readiness::Storing {
            if !self.take_default_floor(epoch).await {
                tokio::time::sleep(backoff.next_delay()).await;
            }
        }
    }

    fn is_sealed(&self, epoch: Epoch) -> bool {
        self.sealed() >= epoch
    }

    async fn ask_for_acknowledgements(&self, epoch: Epoch, homes: &BTreeSet<NodeId>) {
        let mut calls: FuturesUnordered<_> = homes
            .iter()
            .map(|home| async move { (home, self.ask_for_acknowledgement(epoch, home).await) })
            .collect();
        while let Some((home, answer)) = calls.next().await {
            if let Some(acknowledgement) = answer {
                self.register().acknowledged_by(home, acknowledgement);
            }
            if self.is_sealed(epoch) {
                return;
            }
        }
    }

    async fn ask_for_acknowledgement(
        &self,
        epoch: Epoch,
        home: &NodeId,
    ) -> Option<Acknowledgement> {
        let request = FloorRequest::Acknowledge { epoch };
        let reply = if *home == self.own {
            self.handle(request)
        } else {
            let call = self.transport.call(home, request);
            let answered = tokio::time::timeout(CALL_TIMEOUT, call).await;
            answered.ok()?.ok()?
        };
        match reply {
            FloorReply::Acknowledged(acknowledgement) => Some(acknowledgement),
            _ => None,
        }
    }

    async fn take_default_floor(&self, epoch: Epoch) -> bool {
        let barrier = tokio::time::timeout(CALL_TIMEOUT, self.barrier.barrier()).await;
        match barrier {
            Ok(Ok(floor)) => {
                self.register().set_default_floor(epoch, floor);
                true
            }
            Ok(Err(error)) => {
                log::debug!(epoch:% = epoch, error:% = error; "no default floor yet");
                false
            }
            Err(_) => false,
        }
    }

    fn register(&self) -> MutexGuard<'_, FloorRegister> {
        self.register.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Debug for FloorHome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("FloorHome")
            .field("own", &self.own)
            .field("readiness", &self.readiness())
            .finish_non_exhaustive()
    }
}

/// The homes whose acknowledgement can seal the placement's epoch: those of the set
/// before, and those of the set itself, which may know already that it is sealed.
fn acquaintances(placement: &FloorPlacement) -> BTreeSet<NodeId> {
    let FloorPlacement {
        homes, previous, ..
    } = placement;
    homes.iter().chain(previous).cloned().collect()
}
