//! Stand-ins for the outside systems, for tests and measurements: the
//! platform's services, a replicated database group and a fault-injecting proxy.

pub mod command_line;
pub mod faults;
pub mod group;
pub mod platform;
pub mod switched_listener;
