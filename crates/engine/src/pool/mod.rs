//! Connection pools for members, shared by all sessions.
//!
//! A connection is in use from its acquisition until its [`PooledConnection`] is dropped. It
//! returns to the pool only if its last answer was read completely and no transaction is
//! open on it; otherwise it is closed.

mod acquire_request;
mod concurrency;
mod connection;
mod error;
mod health;
mod member;
mod queue;
mod set;

pub use acquire_request::AcquireRequest;
pub use concurrency::ConcurrencyLimit;
pub use connection::{PooledConnection, RunError, SessionStatement, SessionValues};
pub use error::{AcquireError, ControlError};
pub use health::MemberHealth;
pub use member::MemberPool;
pub use queue::QueueDelay;
pub use set::{ConnectionSet, Fit, IdleConnection, PoolConnection};
