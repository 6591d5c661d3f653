//! `stilequay-bench fleet`: hollow daemons, which run the real membership and
//! distribution over loopback sockets and leave callers and back ends out.

mod command;
mod coordinator;
mod daemon;
mod experiments;
mod layout;
mod message;
mod platform;
mod recovery;
mod result;
mod sink;
mod usage;
mod worker;

pub use command::run_command;
pub use result::{FleetResult, Latency, Load, Outage};
