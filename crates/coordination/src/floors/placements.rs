//! Decides which homes keep the floors of a key, one set for each epoch.

use super::{Epoch, FloorPlacement};
use crate::identity::NodeId;
use crate::placement::{Candidate, place};
use async_trait::async_trait;
use quick_error::quick_error;
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

/// The number of homes of a key, where there are as many candidates.
pub const HOMES: usize = 3;

/// What became of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutOutcome {
    /// It took effect.
    Stored,
    /// It did not: the placement differs from the one expected.
    Conflict,
}

quick_error! {
    /// The store gave no answer. A write may have taken effect, or may still do so;
    /// the next read of the placement tells.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PlacementStoreError {
        /// It can't be reached, is slow or refuses, or its answer was lost.
        Unavailable(reason: String) {
            display("the store of placements gave no answer: {reason}")
        }
    }
}

/// A store of placements. Both calls must be linearizable.
#[async_trait]
pub trait PlacementStore: Send + Sync + 'static {
    /// The present placement of `key`.
    async fn get(&self, key: &str) -> Result<Option<FloorPlacement>, PlacementStoreError>;

    /// Replaces the placement of `key` if it equals `expected`, in one step.
    async fn put_if(
        &self,
        key: &str,
        expected: Option<&FloorPlacement>,
        placement: &FloorPlacement,
    ) -> Result<PutOutcome, PlacementStoreError>;
}

/// Decides placements. Any number of nodes may do so at the same time for the same
/// key: the store lets one of them win, so that an epoch has one set of homes.
#[derive(Clone)]
pub struct PlacementKeeper {
    store: Arc<dyn PlacementStore>,
}

impl PlacementKeeper {
    /// Decides placements in `store`.
    pub fn new(store: Arc<dyn PlacementStore>) -> Self {
        Self { store }
    }

    /// The placement of `key`, after replacing the homes that are not among `live`.
    ///
    /// Nothing is changed while the present epoch is not sealed, or where there are
    /// too few candidates to replace a home. Call it only once a home has been away
    /// for some time: each change costs the homes a round, and a new home a barrier.
    ///
    /// # Errors
    ///
    /// [`PlacementStoreError`]: whether the placement was changed is not known.
    pub async fn decide(
        &self,
        key: &str,
        live: &[Candidate<'_>],
    ) -> Result<Option<FloorPlacement>, PlacementStoreError> {
        let present = self.store.get(key).await?;
        let Some(next) = next_placement(key, present.as_ref(), live) else {
            return Ok(present);
        };
        match self.store.put_if(key, present.as_ref(), &next).await? {
            PutOutcome::Stored => Ok(Some(next)),
            PutOutcome::Conflict => self.store.get(key).await,
        }
    }

    /// Notes that the epoch of `placement` is sealed, as a home of it has found
    /// ([`super::FloorHome::sealed`]): the set before is not needed any more, even if
    /// all homes lose their memory.
    ///
    /// # Errors
    ///
    /// [`PlacementStoreError`]: whether it was noted is not known. It can be repeated.
    pub async fn note_sealed(
        &self,
        key: &str,
        placement: &FloorPlacement,
    ) -> Result<(), PlacementStoreError> {
        if placement.previous.is_empty() {
            return Ok(());
        }
        let sealed = FloorPlacement {
            previous: Vec::new(),
            ..placement.clone()
        };
        // On a conflict another home has noted it, or the epoch is over.
        self.store.put_if(key, Some(placement), &sealed).await?;
        Ok(())
    }
}

impl fmt::Debug for PlacementKeeper {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("PlacementKeeper")
            .finish_non_exhaustive()
    }
}

/// The placement to decide on; `None` to leave the present one as it is.
fn next_placement(
    key: &str,
    present: Option<&FloorPlacement>,
    live: &[Candidate<'_>],
) -> Option<FloorPlacement> {
    let ranked = distinct(place(key, live.iter().copied(), live.len()));
    let Some(present) = present else {
        let homes: Vec<_> = ranked.into_iter().take(HOMES).collect();
        return (!homes.is_empty()).then_some(FloorPlacement {
            epoch: Epoch(1),
            homes,
            previous: Vec::new(),
        });
    };
    if !present.previous.is_empty() {
        return None;
    }
    let homes = replace_lost(&present.homes, ranked);
    if homes == present.homes || homes.len() < present.homes.len() {
        return None;
    }
    Some(FloorPlacement {
        epoch: present.epoch.next(),
        homes,
        previous: present.homes.clone(),
    })
}

/// The homes that are among the candidates, and the best further candidates in
/// place of the others.
fn replace_lost(homes: &[NodeId], ranked: Vec<NodeId>) -> Vec<NodeId> {
    let candidates: BTreeSet<_> = ranked.iter().collect();
    let kept = homes.iter().filter(|home| candidates.contains(home));
    let kept: Vec<_> = kept.cloned().collect();
    let further = ranked.into_iter().filter(|node| !kept.contains(node));
    let further: Vec<_> = further.collect();
    kept.into_iter().chain(further).take(HOMES).collect()
}

/// Each node once: a node counted twice would be a majority of two.
fn distinct(mut nodes: Vec<NodeId>) -> Vec<NodeId> {
    let mut seen = BTreeSet::new();
    nodes.retain(|node| seen.insert(node.clone()));
    nodes
}
