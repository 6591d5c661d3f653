//! Load, experiments and history checks.

pub mod checker;

pub mod history;
pub mod launch;
pub mod load;
