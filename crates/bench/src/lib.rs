//! Load, experiments and history checks.

pub mod checker;
pub mod cli;

pub mod demonstration;
pub mod experiment;
pub mod history;
pub mod launch;
pub mod load;
pub mod results;
