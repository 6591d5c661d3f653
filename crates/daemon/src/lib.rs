//! The stilequay daemon as a library: domain types, ports, the application and
//! the adapters. `main.rs` only wires adapters to ports.

pub mod adapters;
pub mod app;
pub mod domain;
pub mod ports;
