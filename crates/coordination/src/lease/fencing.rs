//! Numbers that let a resource refuse a holder that doesn't know of its end.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Holdings that one era of the store can count: no number of an era reaches the next one's.
const HOLDINGS_OF_AN_ERA: u64 = 1 << 32;

/// Rises with each new holding of a lease, and not with renewals.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingNumber(pub u64);

impl FencingNumber {
    /// The number of the next holding. The greatest number is followed by itself: only another
    /// writer can have stored it, and a lower one would be refused as stale.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// The number of the next holding, acquired in `era` of the [store](super::LeaseStore::era):
    /// greater than all of earlier eras, those included that the store has forgotten.
    pub fn next_in(self, era: Option<u64>) -> Self {
        let first = era.unwrap_or(0).saturating_mul(HOLDINGS_OF_AN_ERA);
        self.next().max(Self(first.saturating_add(1)))
    }
}

impl fmt::Display for FencingNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

quick_error! {
    /// The request comes from a holder whose lease another has taken since.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum StaleFencing {
        /// Its number, and the highest seen.
        Older(offered: FencingNumber, highest: FencingNumber) {
            display("fencing number {offered} is older than {highest}")
        }
    }
}

/// The resource's side: admits no number lower than one that it has admitted.
///
/// Must be kept as durably as the resource itself, and changed together with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct FencingGuard {
    highest: FencingNumber,
}

impl FencingGuard {
    /// Admits a request with `offered`, and from then on none with a lower number.
    ///
    /// # Errors
    ///
    /// [`StaleFencing`] where a higher number has been admitted.
    pub fn admit(&mut self, offered: FencingNumber) -> Result<(), StaleFencing> {
        if offered < self.highest {
            return Err(StaleFencing::Older(offered, self.highest));
        }
        self.highest = offered;
        Ok(())
    }
}
