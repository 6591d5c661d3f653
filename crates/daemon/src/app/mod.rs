//! The application: one task for each connection and each peer.

pub mod control;
pub mod front;
pub mod home;
pub mod homes;
