//! The replicated log of a member: committed transactions with byte positions that grow.

use super::sql::BoundStatement;
use std::sync::Arc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Where the first entry begins, as in a freshly made PostgreSQL cluster.
const FIRST_POSITION: u64 = 0x100_0000;
/// The bytes an entry takes besides its statements.
const ENTRY_OVERHEAD: u64 = 32;
/// Positions are multiples of this, as in PostgreSQL.
const ALIGNMENT: u64 = 8;

/// What makes a transaction give the same result wherever it is replayed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Basis {
    /// The transaction's time, in seconds since the epoch.
    pub(crate) now: f64,
    /// The seed of its random functions.
    pub(crate) seed: u64,
}

impl Basis {
    /// A basis for a transaction that begins now.
    pub(crate) fn new() -> Self {
        let elapsed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            now: elapsed.as_secs_f64(),
            seed: rand::random(),
        }
    }
}

/// One committed transaction, or the empty record a new primary begins with.
#[derive(Debug)]
pub(crate) struct LogEntry {
    /// The term of the primary that committed it.
    pub(crate) term: u32,
    /// The position after it.
    pub(crate) end: u64,
    /// The statements, in order.
    pub(crate) statements: Vec<BoundStatement>,
    /// The values of its non-deterministic functions.
    pub(crate) basis: Basis,
    /// When the primary committed it.
    pub(crate) committed_at: Instant,
}

/// A member's log. Copies share their entries, so equal entries are the same allocation.
#[derive(Debug, Clone, Default)]
pub(crate) struct Log {
    entries: Vec<Arc<LogEntry>>,
}

/// The end of a log, by which two logs are compared.
#[derive(Debug, Clone)]
pub(crate) struct LogTip {
    length: usize,
    last: Option<Arc<LogEntry>>,
}

impl Log {
    /// The position after the last entry.
    pub(crate) fn end(&self) -> u64 {
        self.position_of(self.entries.len())
    }

    /// The position after the first `length` entries.
    pub(crate) fn position_of(&self, length: usize) -> u64 {
        match length.checked_sub(1) {
            Some(last) => self.entries[last].end,
            None => FIRST_POSITION,
        }
    }

    /// The term of the last entry.
    pub(crate) fn last_term(&self) -> u32 {
        self.entries.last().map_or(0, |entry| entry.term)
    }

    /// How many entries there are.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// The entry at `index`.
    pub(crate) fn get(&self, index: usize) -> Option<Arc<LogEntry>> {
        self.entries.get(index).cloned()
    }

    /// The entries from `index` on.
    pub(crate) fn since(&self, index: usize) -> &[Arc<LogEntry>] {
        self.entries.get(index..).unwrap_or_default()
    }

    /// Appends a transaction committed in `term`.
    pub(crate) fn commit(&mut self, term: u32, statements: Vec<BoundStatement>, basis: Basis) {
        let size: u64 = statements.iter().map(BoundStatement::size).sum();
        let size = (ENTRY_OVERHEAD + size).next_multiple_of(ALIGNMENT);
        let end = self.end() + size;
        let entry = LogEntry {
            term,
            end,
            statements,
            basis,
            committed_at: Instant::now(),
        };
        self.entries.push(Arc::new(entry));
    }

    /// Appends an entry received from the primary.
    pub(crate) fn receive(&mut self, entry: Arc<LogEntry>) {
        self.entries.push(entry);
    }

    /// The end of this log.
    pub(crate) fn tip(&self) -> LogTip {
        LogTip {
            length: self.entries.len(),
            last: self.entries.last().cloned(),
        }
    }

    /// Whether the log that ends in `tip` is a prefix of this one.
    ///
    /// One entry in common means that everything before it is in common too, because entries
    /// are only appended after the primary's own earlier entries.
    pub(crate) fn contains(&self, tip: &LogTip) -> bool {
        let Some(last) = &tip.last else {
            return true;
        };
        self.entries
            .get(tip.length - 1)
            .is_some_and(|own| Arc::ptr_eq(own, last))
    }
}

/// A position as PostgreSQL prints it.
pub(crate) fn position_text(position: u64) -> String {
    format!("{:X}/{:X}", position >> 32, position & 0xFFFF_FFFF)
}

/// Reads a position as PostgreSQL prints it.
pub(crate) fn parse_position(text: &str) -> Option<u64> {
    let (high, low) = text.split_once('/')?;
    let high = u64::from_str_radix(high, 16).ok()?;
    let low = u64::from_str_radix(low, 16).ok()?;
    Some((high << 32) | low)
}
