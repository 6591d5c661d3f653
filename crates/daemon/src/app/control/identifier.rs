//! Random identifiers.

use rand::RngExt;

/// A random identifier of 32 hexadecimal digits.
pub fn random_identifier() -> String {
    let number: u128 = rand::rng().random();
    format!("{number:032x}")
}
