//! How long ago each zone was last heard of.

use crate::identity::ZoneName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// What one node tells another: a zone was heard of so long ago.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ZoneContact {
    /// The zone.
    pub zone: ZoneName,
    /// Milliseconds since a node of the zone was heard, by whomever.
    pub age: u32,
}

/// The latest contact with each zone, own or told by others.
///
/// An age is passed on grown by the time it was held and never reset by passing it
/// on: only a message from the zone itself makes it fresh. So a zone that is gone
/// grows old everywhere, whoever talks to whom.
#[derive(Debug, Default)]
pub(super) struct ZoneContacts {
    last: BTreeMap<ZoneName, Instant>,
}

impl ZoneContacts {
    /// A node of `zone` was heard at `when`.
    pub fn heard(&mut self, zone: &ZoneName, when: Instant) {
        match self.last.get_mut(zone) {
            Some(last) => *last = (*last).max(when),
            None => {
                self.last.insert(zone.clone(), when);
            }
        }
    }

    /// Another node told of its contacts.
    pub fn told(&mut self, contacts: &[ZoneContact], now: Instant) {
        for contact in contacts {
            let age = Duration::from_millis(u64::from(contact.age));
            if let Some(when) = now.checked_sub(age) {
                self.heard(&contact.zone, when);
            }
        }
    }

    /// How long ago `zone` was last heard of; starts the count for a new zone.
    pub fn age(&mut self, zone: &ZoneName, now: Instant) -> Duration {
        if !self.last.contains_key(zone) {
            self.last.insert(zone.clone(), now);
        }
        now.saturating_duration_since(self.last[zone])
    }

    /// The contacts to tell others: those younger than `limit`.
    pub fn tell(&self, limit: Duration, now: Instant) -> Vec<ZoneContact> {
        self.last
            .iter()
            .filter_map(|(zone, last)| {
                let age = now.saturating_duration_since(*last);
                // Rounded up, so that an age never shrinks by being passed on.
                let age_in_milliseconds = u32::try_from(age.as_millis()).ok()? + 1;
                (age < limit).then(|| ZoneContact {
                    zone: zone.clone(),
                    age: age_in_milliseconds,
                })
            })
            .collect()
    }

    /// This process did not run for `pause`: what it did not hear in that time says
    /// nothing of the others.
    pub fn postpone(&mut self, pause: Duration, now: Instant) {
        for last in self.last.values_mut() {
            *last = (*last + pause).min(now);
        }
    }

    /// Forgets zones for which `keep` says no.
    pub fn retain(&mut self, keep: impl Fn(&ZoneName) -> bool) {
        self.last.retain(|zone, _| keep(zone));
    }
}
