//! Statements prepared on one back-end connection.

use std::collections::HashMap;

/// Names of the statements that a connection has prepared, least recently used first out.
#[derive(Debug)]
pub struct PreparedStatements {
    capacity: usize,
    uses: u64,
    last_use: HashMap<String, u64>,
}

impl PreparedStatements {
    /// No statements, and room for `capacity`.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            uses: 0,
            last_use: HashMap::new(),
        }
    }

    /// Whether the connection has prepared `name`; counts as a use of it.
    pub fn touch(&mut self, name: &str) -> bool {
        self.uses += 1;
        let now = self.uses;
        match self.last_use.get_mut(name) {
            Some(last_use) => {
                *last_use = now;
                true
            }
            None => false,
        }
    }

    /// Notes that the back end has prepared `name`.
    pub fn insert(&mut self, name: String) {
        self.uses += 1;
        self.last_use.insert(name, self.uses);
    }

    /// Forgets all statements, as `DISCARD ALL` and `DEALLOCATE ALL` do.
    pub fn clear(&mut self) {
        self.last_use.clear();
    }

    /// A mark to tell later uses from earlier ones.
    pub fn use_mark(&self) -> u64 {
        self.uses
    }

    /// Takes out the least recently used statements that leave too little room for
    /// `added` more, except those used after `mark`.
    pub fn evict(&mut self, added: usize, mark: u64) -> Vec<String> {
        let mut evicted = Vec::new();
        while self.last_use.len() + added > self.capacity {
            match self.remove_oldest(mark) {
                Some(name) => evicted.push(name),
                None => break,
            }
        }
        evicted
    }

    fn remove_oldest(&mut self, mark: u64) -> Option<String> {
        let uses = self.last_use.iter();
        let (oldest, _) = uses
            .filter(|(_, last_use)| **last_use <= mark)
            .min_by_key(|(_, last_use)| **last_use)?;
        let oldest = oldest.clone();
        self.last_use.remove(&oldest);
        Some(oldest)
    }
}
