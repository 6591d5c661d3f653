//! The protocol-free engine of stilequay.
//!
//! An adapter of a caller's protocol opens a [`session::Session`] for each caller and
//! hands it typed [`statement::Request`]s. The engine decides which member of a group
//! runs each of them, when a replica is fresh enough, when a connection can be shared,
//! what may be retried, and what a caller is told. It also decides who leads a group:
//! see [`leadership`].
//!
//! Everything outside is reached through [`ports`]: back ends, a store with conditional
//! writes, and the service that carries out promotions.

pub mod configuration;
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
