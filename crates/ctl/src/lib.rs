//! Operator commands as a library: everything of `stilequayctl` but its `main`.

pub mod client;
pub mod clocks;
pub mod command_line;
pub mod commands;
pub mod connection;
pub mod explain;
pub mod files;
pub mod output;
pub mod verifier;

mod error;

pub use error::{ControlError, ExitStatus};
