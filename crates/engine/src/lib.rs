//! The protocol-independent engine of stilequay.
//!
//! A protocol adapter opens a [`session::Session`] for each caller and passes it typed
//! [`statement::Request`]s. The engine decides which member of a group runs each request, whether
//! a replica is fresh enough, when connections can be shared, what may be retried, and what the
//! caller gets as the outcome. It also elects group leaders: see [`leadership`].
//!
//! All external systems are accessed through [`ports`]: back ends, peers, a store with conditional
//! writes, and the service that carries out promotions.

pub mod configuration;
pub mod decoding;
pub mod directory;
mod encoding;
pub mod engine;
pub mod evacuation;
pub mod events;
pub mod following;
pub mod group;
pub mod home;
pub mod leadership;
pub mod link;
pub mod names;
pub mod peers;
pub mod pool;
pub mod ports;
pub mod position;
pub mod rate;
pub mod residency;
pub mod routing;
pub mod serving;
pub mod session;
pub mod slow_start;
pub mod statement;
pub mod telemetry;
pub mod tenant;
pub mod topology;
pub mod verdict;
pub mod version;
