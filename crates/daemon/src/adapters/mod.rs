//! Adapters: the ports over real protocols.

pub mod exchange;
