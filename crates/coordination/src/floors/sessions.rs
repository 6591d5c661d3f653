//! A bounded map of sessions to floors that evicts the one stored longest ago.

use super::SessionKey;
use crate::position::Floor;
use std::collections::HashMap;

/// Greatest memory of one session at a home, in bytes: an entry of the list, and a
/// slot of the index with its control byte at the lowest fill (7/16) of a hash table.
pub const BYTES_PER_SESSION: usize = size_of::<Entry>() + (INDEX_SLOT_BYTES * 16).div_ceil(7);

const INDEX_SLOT_BYTES: usize = size_of::<(SessionKey, u32)>() + 1;

/// Marks the end of the list.
const NONE: u32 = u32::MAX;

/// Floors grow with time, so that the session stored longest ago has about the
/// lowest floor: to evict it raises the default floor least. Reads don't count.
#[derive(Debug)]
pub(super) struct SessionFloors {
    capacity: usize,
    index: HashMap<SessionKey, u32>,
    entries: Vec<Entry>,
    oldest: u32,
    newest: u32,
}

#[derive(Debug)]
struct Entry {
    session: SessionKey,
    floor: Floor,
    older: u32,
    newer: u32,
}

impl SessionFloors {
    /// At least one session is kept, and at most `u32::MAX - 1`.
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.clamp(1, NONE as usize - 1),
            index: HashMap::new(),
            entries: Vec::new(),
            oldest: NONE,
            newest: NONE,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn get(&self, session: &SessionKey) -> Option<Floor> {
        let slot = *self.index.get(session)?;
        Some(self.entry(slot).floor)
    }

    /// Raises the session's floor to at least `floor`. Returns the floor of the
    /// session that was evicted for it, if one was.
    pub(super) fn raise(&mut self, session: SessionKey, floor: Floor) -> Option<Floor> {
        if let Some(slot) = self.index.get(&session).copied() {
            let entry = self.entry_mut(slot);
            entry.floor = entry.floor.max(floor);
            self.unlink(slot);
            self.link_newest(slot);
            return None;
        }
        let (slot, evicted) = self.free_slot(Entry {
            session,
            floor,
            older: NONE,
            newer: NONE,
        });
        self.index.insert(session, slot);
        self.link_newest(slot);
        evicted
    }

    /// Puts `entry` into a new slot, or into that of the oldest entry.
    fn free_slot(&mut self, entry: Entry) -> (u32, Option<Floor>) {
        if self.entries.len() < self.capacity {
            self.reserve_entry();
            self.entries.push(entry);
            return (self.entries.len() as u32 - 1, None);
        }
        let slot = self.oldest;
        self.unlink(slot);
        let evicted = std::mem::replace(self.entry_mut(slot), entry);
        self.index.remove(&evicted.session);
        (slot, Some(evicted.floor))
    }

    /// Grows by doubling but never beyond the capacity.
    fn reserve_entry(&mut self) {
        if self.entries.len() == self.entries.capacity() {
            let room = self.capacity - self.entries.len();
            let more = self.entries.len().clamp(1, room);
            self.entries.reserve_exact(more);
        }
    }

    fn unlink(&mut self, slot: u32) {
        let Entry { older, newer, .. } = *self.entry(slot);
        match older {
            NONE => self.oldest = newer,
            older => self.entry_mut(older).newer = newer,
        }
        match newer {
            NONE => self.newest = older,
            newer => self.entry_mut(newer).older = older,
        }
    }

    fn link_newest(&mut self, slot: u32) {
        let older = std::mem::replace(&mut self.newest, slot);
        let entry = self.entry_mut(slot);
        entry.older = older;
        entry.newer = NONE;
        match older {
            NONE => self.oldest = slot,
            older => self.entry_mut(older).newer = slot,
        }
    }

    fn entry(&self, slot: u32) -> &Entry {
        &self.entries[slot as usize]
    }

    fn entry_mut(&mut self, slot: u32) -> &mut Entry {
        &mut self.entries[slot as usize]
    }
}
