//! Types without input or output: what the daemon reasons about.

pub mod classify;
pub mod configuration;
pub mod exchange;
pub mod membership;
pub mod names;
pub mod resource;
pub mod verdict;
