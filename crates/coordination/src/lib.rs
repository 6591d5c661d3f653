//! Coordination parts of stilequay, for embedding in other programs.
//!
//! The crate knows nothing of SQL or of the resources of the proxy. It reaches
//! the world through traits ([`clock::Clock`] and the transports of the
//! individual modules), so that a program can embed one part without the rest.

pub mod clock;
pub mod confirmation;
pub mod control;
pub mod distribution;
pub mod floors;
pub mod identity;
pub mod lease;
pub mod limit;
pub mod membership;
pub mod placement;
pub mod position;
pub mod retry;
pub mod revision;
pub mod traffic;
