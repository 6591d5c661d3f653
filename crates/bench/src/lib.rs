//! Load, experiments and history checks.

pub mod capacity;
pub mod checker;
pub mod cli;

pub mod demonstration;
pub mod experiment;
pub mod fleet;
pub mod history;
pub mod launch;
pub mod load;
pub mod results;
