//! Versions of data in the store.
//!
//! A store that is restored from a backup has lost the writes that it acknowledged after that
//! backup, and assigns the same numbers again. It counts its restores as its era. A version
//! combines the era and the number, so data from a later era always counts as newer.

/// A version of a record, an entry or a table: the era of the store in which it was assigned, and
/// the number within that era. Zero means absent or unknown.
pub type StoreVersion = u64;
/// How often the store was restored from a backup, as reported by the store.
pub type StoreEra = u64;

/// Number of bits for the number within an era, enough for 2^48 transactions.
const NUMBER_BITS: u32 = 48;
/// The maximum number within an era.
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;
/// The maximum era that fits into a version.
const MAX_ERA: StoreEra = u64::MAX >> NUMBER_BITS;

/// Combines `era` and the store's `number` into a version.
pub fn version(era: StoreEra, number: u64) -> StoreVersion {
    (era.min(MAX_ERA) << NUMBER_BITS) | number.min(MAX_NUMBER)
}

/// The era in which `version` was assigned.
pub fn era_of(version: StoreVersion) -> StoreEra {
    version >> NUMBER_BITS
}

/// The store's own number of `version` within its era.
pub fn number_of(version: StoreVersion) -> u64 {
    version & MAX_NUMBER
}
