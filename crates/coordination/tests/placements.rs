//! Placements of homes: one set for each epoch, whoever decides at the same time.

use async_trait::async_trait;
use proptest::prelude::*;
use rstest::rstest;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use stilequay_coordination::floors::{
    Epoch, FloorPlacement, PlacementKeeper, PlacementStore, PlacementStoreError, PutOutcome,
};
use stilequay_coordination::identity::{NodeId, ZoneName};
use stilequay_coordination::placement::Candidate;
use tokio::task::JoinSet;

const KEY: &str = "orders";

/// Keeps all placements that ever took effect.
#[derive(Default)]
struct MemoryStore {
    history: Mutex<Vec<FloorPlacement>>,
    /// For each write to come: whether its answer is lost after its effect.
    losses: Mutex<Vec<bool>>,
}

#[async_trait]
impl PlacementStore for MemoryStore {
    async fn get(&self, _: &str) -> Result<Option<FloorPlacement>, PlacementStoreError> {
        let present = self.history.lock().unwrap().last().cloned();
        // Lets another task decide on what it has read in between.
        tokio::task::yield_now().await;
        Ok(present)
    }

    async fn put_if(
        &self,
        _: &str,
        expected: Option<&FloorPlacement>,
        placement: &FloorPlacement,
    ) -> Result<PutOutcome, PlacementStoreError> {
        tokio::task::yield_now().await;
        let mut history = self.history.lock().unwrap();
        if history.last() != expected {
            return Ok(PutOutcome::Conflict);
        }
        history.push(placement.clone());
        if self.losses.lock().unwrap().pop() == Some(true) {
            return Err(PlacementStoreError::Unavailable("lost".to_owned()));
        }
        Ok(PutOutcome::Stored)
    }
}

fn nodes(names: &str) -> Vec<NodeId> {
    names
        .chars()
        .map(|name| NodeId::new(String::from(name)))
        .collect()
}

async fn decide(store: Arc<MemoryStore>, live: &str) -> Option<FloorPlacement> {
    let nodes = nodes(live);
    let zone = ZoneName::new("zone");
    let candidate = |node| Candidate { node, zone: &zone };
    let live: Vec<_> = nodes.iter().map(candidate).collect();
    let decided = PlacementKeeper::new(store).decide(KEY, &live).await;
    decided.unwrap_or_default()
}

async fn note_sealed(store: &Arc<MemoryStore>) {
    let present = store.history.lock().unwrap().last().cloned();
    if let Some(present) = present {
        let noted = PlacementKeeper::new(store.clone())
            .note_sealed(KEY, &present)
            .await;
        drop(noted);
    }
}

#[rstest]
#[case::nothing_lost("abc", "abcdef", None)]
#[case::one_lost("abc", "bcd", Some("bcd"))]
#[case::all_lost("abc", "def", Some("def"))]
#[case::nobody_to_replace_it("abc", "ab", None)]
#[case::nobody_lives("abc", "", None)]
#[case::fewer_than_could_be("ab", "abc", Some("abc"))]
#[tokio::test]
async fn replaces_lost_homes_and_keeps_the_others(
    #[case] homes: &str,
    #[case] live: &str,
    #[case] expected: Option<&str>,
) {
    let store = Arc::new(MemoryStore::default());
    let first = decide(store.clone(), homes)
        .await
        .expect("a first placement");
    assert_eq!((first.epoch, first.previous.len()), (Epoch(1), 0));
    let mut decided = decide(store.clone(), live).await.expect("a placement");
    match expected {
        None => assert_eq!(decided, first),
        Some(expected) => {
            assert_eq!((decided.epoch, &decided.previous), (Epoch(2), &first.homes));
            decided.homes.sort();
            assert_eq!(decided.homes, nodes(expected));
        }
    }
}

#[tokio::test]
async fn an_epoch_that_is_not_sealed_is_not_followed_by_another() {
    let store = Arc::new(MemoryStore::default());
    decide(store.clone(), "abc").await;
    let second = decide(store.clone(), "bcd").await.expect("a placement");
    assert_eq!(decide(store.clone(), "cde").await, Some(second.clone()));
    note_sealed(&store).await;
    let third = decide(store.clone(), "cde").await.expect("a placement");
    assert_eq!((third.epoch, third.previous), (Epoch(3), second.homes));
}

proptest! {
    #[test]
    fn an_epoch_has_one_set_of_homes_and_names_the_one_before_it(
        rounds in prop::collection::vec(
            (prop::collection::vec("[a-f]{0,5}", 1..4), any::<bool>()),
            1..20,
        ),
        losses in prop::collection::vec(any::<bool>(), 40),
    ) {
        let store = Arc::new(MemoryStore {
            losses: Mutex::new(losses),
            ..MemoryStore::default()
        });
        let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
        runtime.block_on(async {
            for (deciders, seals) in rounds {
                let mut tasks = JoinSet::new();
                for live in deciders {
                    let store = store.clone();
                    tasks.spawn(async move { decide(store, &live).await });
                }
                tasks.join_all().await;
                if seals {
                    note_sealed(&store).await;
                }
            }
        });
        let history = store.history.lock().unwrap();
        for placement in history.iter() {
            let distinct: BTreeSet<_> = placement.homes.iter().collect();
            prop_assert_eq!(distinct.len(), placement.homes.len());
        }
        for pair in history.windows(2) {
            let (before, after) = (&pair[0], &pair[1]);
            if after.epoch == before.epoch {
                prop_assert_eq!(&after.homes, &before.homes);
                prop_assert!(after.previous.is_empty());
            } else {
                prop_assert_eq!(after.epoch, before.epoch.next());
                prop_assert_eq!(&after.previous, &before.homes);
                prop_assert!(before.previous.is_empty(), "sealed before the next");
            }
        }
    }
}
