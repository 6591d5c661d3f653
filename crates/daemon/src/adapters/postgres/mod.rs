//! The PostgreSQL protocol: callers on one side, members of groups on the other, and what
//! SQL statements mean to a proxy.

pub mod back_end;
pub mod caller;
pub mod classify;
