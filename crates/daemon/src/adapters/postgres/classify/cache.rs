//! A bounded cache of classifications by text.

use super::{Classification, classify};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Longest text that is kept, bytes.
const MAX_CACHED_TEXT: usize = 4 << 10;

/// Classifications of the texts seen lately.
///
/// Two generations approximate least-recently-used order: when the young one is
/// full it becomes the old one, and the old one is dropped. At most
/// `2 * capacity` texts of at most 4 KiB are kept.
pub struct ClassificationCache {
    capacity: usize,
    generations: Mutex<Generations>,
}

#[derive(Default)]
struct Generations {
    young: HashMap<Box<str>, Arc<Classification>>,
    old: HashMap<Box<str>, Arc<Classification>>,
}

impl ClassificationCache {
    /// A cache with `capacity` texts in a generation.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            generations: Mutex::default(),
        }
    }

    /// The classification of `text`, computed at most once while it is kept.
    pub fn classify(&self, text: &str) -> Arc<Classification> {
        if text.len() > MAX_CACHED_TEXT {
            return Arc::new(classify(text));
        }
        if let Some(known) = self.lookup(text) {
            return known;
        }
        let classification = Arc::new(classify(text));
        self.insert(text, Arc::clone(&classification));
        classification
    }

    fn lookup(&self, text: &str) -> Option<Arc<Classification>> {
        let mut generations = self.lock();
        if let Some(known) = generations.young.get(text) {
            return Some(Arc::clone(known));
        }
        let (text, known) = generations.old.remove_entry(text)?;
        generations.young.insert(text, Arc::clone(&known));
        Some(known)
    }

    fn insert(&self, text: &str, classification: Arc<Classification>) {
        let mut generations = self.lock();
        if generations.young.len() >= self.capacity {
            generations.old = std::mem::take(&mut generations.young);
        }
        generations.young.insert(text.into(), classification);
    }

    fn lock(&self) -> MutexGuard<'_, Generations> {
        self.generations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
