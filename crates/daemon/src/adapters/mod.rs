//! Adapters: the ports over real protocols.
