//! Reachability between processes and servers.

use std::collections::HashSet;
use std::sync::Mutex;

/// The pairs of processes and servers that can't reach each other. All others can.
#[derive(Debug, Default)]
pub struct Network {
    cut: Mutex<HashSet<(String, String)>>,
}

impl Network {
    /// Cuts the connection between `one` and `other` in both directions.
    pub fn cut(&self, one: &str, other: &str) {
        self.cut.lock().unwrap().insert(pair(one, other));
    }

    pub fn heal(&self) {
        self.cut.lock().unwrap().clear();
    }

    pub fn reaches(&self, one: &str, other: &str) -> bool {
        !self.cut.lock().unwrap().contains(&pair(one, other))
    }
}

fn pair(one: &str, other: &str) -> (String, String) {
    let mut names = [one.to_owned(), other.to_owned()];
    names.sort();
    let [first, second] = names;
    (first, second)
}
