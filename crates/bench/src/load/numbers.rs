//! Numbers that are unique in a run.

use crate::history::{ItemId, Row, RowValue, WriteId};
use std::sync::atomic::{AtomicU64, Ordering};

/// Rows after which a session or the shared set goes on to a new item, so that
/// answers stay small however long a run lasts.
const ROWS_PER_ITEM: u64 = 24;
/// Items of one session are numbered from its own multiple of this.
const ITEMS_PER_SESSION: u64 = 1_000_000;

/// Hands out the numbers of one run.
#[derive(Debug, Default)]
pub struct RunNumbers {
    last_write: AtomicU64,
    last_value: AtomicU64,
    last_nonce: AtomicU64,
    shared_rows: AtomicU64,
}

impl RunNumbers {
    /// A new write.
    pub fn write(&self) -> WriteId {
        WriteId(self.last_write.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// A new row of `write` under `item`.
    pub fn row(&self, item: ItemId, write: WriteId) -> Row {
        let value = self.last_value.fetch_add(1, Ordering::Relaxed) + 1;
        Row {
            item,
            value: RowValue(value),
            write,
        }
    }

    /// A number that marks one read, and that its answer must repeat.
    pub fn nonce(&self) -> u64 {
        self.last_nonce.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// The item that all sessions share at present; counts one row towards it.
    pub fn shared_item(&self) -> ItemId {
        ItemId(self.shared_rows.fetch_add(1, Ordering::Relaxed) / ROWS_PER_ITEM)
    }
}

/// The items of one session.
#[derive(Debug)]
pub struct OwnItems {
    first: u64,
    rows: u64,
}

impl OwnItems {
    /// The items of session number `session`.
    pub fn new(session: usize) -> Self {
        Self {
            first: (session as u64 + 1) * ITEMS_PER_SESSION,
            rows: 0,
        }
    }

    /// The item that gets rows at present.
    pub fn current(&self) -> ItemId {
        ItemId(self.first + self.rows / ROWS_PER_ITEM)
    }

    /// Counts rows towards the current item.
    pub fn add_rows(&mut self, rows: u64) {
        self.rows += rows;
    }
}
