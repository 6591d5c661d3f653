//! The subcommands of `stilequay-bench`.

pub mod data_path;
pub mod deployment;
pub mod faults;
pub mod flags;
pub mod load;
pub mod progress;
