//! Exchanges between daemons: `rmp-serde` in length-delimited frames over TCP, and
//! a path within the process where a daemon is itself the home.

mod connector;
mod frames;
mod local;
mod server;

pub use connector::ExchangeConnector;
pub use frames::FrameError;
pub use server::listen;
