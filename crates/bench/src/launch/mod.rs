//! Starts the system as separate processes: platform, database groups, fault
//! proxy and daemons.

pub mod binaries;
pub mod daemon;
pub mod deployment;
pub mod error;
pub mod group;
pub mod http;
pub mod links;
pub mod operator;
pub mod platform;
pub mod process;
pub mod resources;
pub mod topology;
pub mod wait;

pub use deployment::Deployment;
pub use error::LaunchError;
pub use topology::Topology;
