//! Versions of what the store holds.
//!
//! A store that is restored from a copy has lost what it had acknowledged since that copy, and
//! gives the same numbers out again. It counts how often that has happened: its era. A version
//! holds both, so that whatever was learned in a later era is newer.

/// A version of a record, an entry or a table: the era of the store that gave it out, and the
/// number within it. Zero: not there, or not known.
pub type StoreVersion = u64;
/// How often the store was restored from a copy, as it tells.
pub type StoreEra = u64;

/// Bits of the number within an era: 2^48 transactions.
const NUMBER_BITS: u32 = 48;
/// The greatest number within an era.
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;
/// The greatest era that a version can hold.
const MAX_ERA: StoreEra = u64::MAX >> NUMBER_BITS;

/// The version that the store calls `number` in `era`.
pub fn version(era: StoreEra, number: u64) -> StoreVersion {
    (era.min(MAX_ERA) << NUMBER_BITS) | number.min(MAX_NUMBER)
}

/// The era in which `version` was given out.
pub fn era_of(version: StoreVersion) -> StoreEra {
    version >> NUMBER_BITS
}

/// What the store itself calls `version`.
pub fn number_of(version: StoreVersion) -> u64 {
    version & MAX_NUMBER
}
