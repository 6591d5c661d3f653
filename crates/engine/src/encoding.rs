//! Encoding what this program has put together itself: records, frames and questions.
//!
//! These hold texts, numbers and bytes, whose encoding does not fail. Should it fail all the same,
//! a line tells what was lost; whoever reads the empty bytes takes them for what makes no sense.

use bytes::Bytes;
use serde::Serialize;
use std::any::type_name;

/// `value` with the names of its fields: what is kept is read by other versions, too.
pub(crate) fn with_names<T: Serialize>(value: &T) -> Bytes {
    or_empty::<T>(rmp_serde::to_vec_named(value))
}

/// `value` without the names of its fields: what is sent is read by the same version.
pub(crate) fn without_names<T: Serialize>(value: &T) -> Bytes {
    or_empty::<T>(rmp_serde::to_vec(value))
}

fn or_empty<T>(encoded: Result<Vec<u8>, rmp_serde::encode::Error>) -> Bytes {
    encoded.map_or_else(
        |error| {
            log::error!("{} was not encoded: {error}", type_name::<T>());
            Bytes::new()
        },
        Bytes::from,
    )
}
