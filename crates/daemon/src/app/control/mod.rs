//! Control: the configuration and the fleet, kept up to date at this daemon, and
//! the acceptance of changes.

pub mod acceptance;
pub mod catalogue;
pub mod fleet;
pub mod identifier;
pub mod in_force;
mod pause;
pub mod snapshot;
pub mod source;
pub mod state;
