//! Starts the system as separate processes: platform, database groups, fault
//! proxy and daemons.

pub mod binaries;
pub mod daemon;
pub mod error;
pub mod http;
pub mod links;
pub mod operator;
pub mod platform;
pub mod process;
pub mod wait;
