//! Links between processes of the fleet: one to each process that is asked often, shared by
//! all that ask it. [`serving`](crate::serving) is the other side.

mod client;
pub mod frame;
mod links;

pub use client::{Link, SUSPECT_AFTER};
pub use links::Links;
