//! Traits through which the application reaches the world.

pub mod back_end;
pub mod caller;
pub mod configuration;
pub mod exchange;
pub mod fleet;
pub mod homes;
pub mod platform;
