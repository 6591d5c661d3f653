//! Load: sessions that roam between daemons, write unique values and read them back.

pub mod connection;
pub mod latency;
pub mod mix;
pub mod numbers;
pub mod outcome;
pub mod run;
pub mod session;
pub mod statements;

pub use connection::Access;
pub use mix::Mix;
pub use run::{LoadResult, LoadSettings, run};
