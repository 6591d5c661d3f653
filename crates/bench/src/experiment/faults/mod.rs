//! Random faults under load, with the checker's verdict.

mod injector;
pub mod mutant;
pub mod run;
pub mod schedule;

pub use mutant::Mutant;
pub use run::{FaultFigures, FaultSettings, run};
