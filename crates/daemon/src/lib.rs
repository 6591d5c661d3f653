//! The stilequay daemon as a library: domain types, ports, the application and
//! the adapters. Only `run` wires adapters to ports.

pub mod adapters;
pub mod app;
pub mod command_line;
pub mod domain;
pub mod logging;
pub mod ports;
pub mod run;
pub mod settings;
pub mod telemetry;
