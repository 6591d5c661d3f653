//! Adapters: the ports over real protocols.

pub mod api;
pub mod exchange;
pub mod platform;
pub mod postgres;
