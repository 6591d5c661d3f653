//! Persistent, multiplexed connections between processes of the fleet. A process keeps one link
//! to each peer that it queries often and shares it among all callers. The server side is
//! [`serving`](crate::serving).

mod client;
pub mod frame;
mod links;

pub use client::{Link, SUSPECT_AFTER};
pub use links::Links;
