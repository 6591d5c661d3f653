//! Starts the system as separate processes: platform, database groups, fault
//! proxy and daemons.

pub mod binaries;
pub mod error;
pub mod http;
pub mod process;
pub mod wait;
