//! Encoding of values that this program creates itself: records, frames and queries.
//!
//! They consist of strings, numbers and bytes, which always encode. If encoding fails nevertheless,
//! the failure is logged and the result is empty, which readers reject as malformed.

use bytes::Bytes;
use serde::Serialize;
use std::any::type_name;

/// Encodes `value` with field names, for stored data, which other versions read too.
pub(crate) fn with_names<T: Serialize>(value: &T) -> Bytes {
    or_empty::<T>(rmp_serde::to_vec_named(value))
}

/// Encodes `value` without field names, for messages, whose readers run the same version. Fields
/// are identified by their place, so none may be left out. Stored types leave fields out for the
/// sake of other versions: a message contains them in their stored encoding, as bytes.
pub(crate) fn without_names<T: Serialize>(value: &T) -> Bytes {
    or_empty::<T>(rmp_serde::to_vec(value))
}

fn or_empty<T>(encoded: Result<Vec<u8>, rmp_serde::encode::Error>) -> Bytes {
    encoded.map_or_else(
        |error| {
            log::error!("failed to encode {}: {error}", type_name::<T>());
            Bytes::new()
        },
        Bytes::from,
    )
}
