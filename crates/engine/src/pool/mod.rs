//! Connections to members, shared between sessions.
//!
//! A connection is in use from one acquisition until its [`PooledConnection`] is given
//! back. Only a connection whose last answer was read to its end and that is outside any
//! transaction goes back; every other one is closed.

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
