//! Membership and distribution between nodes that talk over real sockets.

mod distribution;
mod membership;
mod platform;
mod support;
