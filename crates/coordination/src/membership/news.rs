//! Which reports are still to be spread, those sent least often first.

use crate::identity::NodeId;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Nodes whose latest report is still to be sent a number of times.
#[derive(Debug, Default)]
pub(super) struct NewsQueue {
    order: BTreeMap<Turn, NodeId>,
    items: HashMap<NodeId, Item>,
    sequence: u64,
}

/// The place of an item in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    times_sent: u32,
    sequence: u64,
}

#[derive(Debug, Clone, Copy)]
struct Item {
    turn: Turn,
    added: Instant,
}

impl NewsQueue {
    /// Adds the report about `node`; a report about it that is in the queue starts
    /// anew.
    pub fn add(&mut self, node: &NodeId, now: Instant) {
        self.remove(node);
        let turn = self.next_turn(0);
        self.order.insert(turn, node.clone());
        self.items.insert(node.clone(), Item { turn, added: now });
    }

    /// Whether nothing is to be sent.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Whether there are reports that were not sent at all.
    pub fn has_unsent(&self) -> bool {
        let first = self.order.first_key_value();
        first.is_some_and(|(turn, _)| turn.times_sent == 0)
    }

    /// The nodes whose reports come next, for as long as `take` accepts them.
    /// Those accepted count as sent once more, and leave after `limit` times.
    pub fn take_while(&mut self, limit: u32, mut take: impl FnMut(&NodeId) -> bool) {
        let mut sent = Vec::new();
        for (turn, node) in &self.order {
            if !take(node) {
                break;
            }
            sent.push((*turn, node.clone()));
        }
        for (turn, node) in sent {
            self.count_sent(turn, node, limit);
        }
    }

    /// Another node sent the same report: it counts as sent once more, since others
    /// spread it as well.
    pub fn heard(&mut self, node: &NodeId, limit: u32) {
        if let Some(item) = self.items.get(node) {
            self.count_sent(item.turn, node.clone(), limit);
        }
    }

    /// Drops what has been in the queue for longer than `age`.
    pub fn expire(&mut self, age: Duration, now: Instant) {
        let expired: Vec<_> = self
            .items
            .iter()
            .filter(|(_, item)| now.saturating_duration_since(item.added) > age)
            .map(|(node, _)| node.clone())
            .collect();
        for node in expired {
            self.remove(&node);
        }
    }

    fn count_sent(&mut self, turn: Turn, node: NodeId, limit: u32) {
        self.order.remove(&turn);
        if turn.times_sent + 1 >= limit {
            self.items.remove(&node);
            return;
        }
        let next = self.next_turn(turn.times_sent + 1);
        if let Some(item) = self.items.get_mut(&node) {
            item.turn = next;
        }
        self.order.insert(next, node);
    }

    fn next_turn(&mut self, times_sent: u32) -> Turn {
        self.sequence += 1;
        Turn {
            times_sent,
            sequence: self.sequence,
        }
    }

    fn remove(&mut self, node: &NodeId) {
        if let Some(item) = self.items.remove(node) {
            self.order.remove(&item.turn);
        }
    }
}
