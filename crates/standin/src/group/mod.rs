//! A stand-in for a replicated group of PostgreSQL servers, all in one process.
//!
//! Each member listens on a port of its own and speaks the PostgreSQL protocol, with
//! SCRAM-SHA-256, simple and extended queries and cancel requests. Its data is one SQLite
//! database in memory. Replication is asynchronous: a commit appends its statements to the
//! primary's log, which the replicas receive and replay. When the primary is lost, a majority
//! elects the member with the longest received log, in a higher term. A primary that is only cut
//! off from the other members goes on accepting writes in its old term.
//!
//! # Isolation
//!
//! An open transaction is a list of statements that is run again before each further statement,
//! and once more at the commit. This was chosen over one connection to SQLite per client, where a
//! writer that stays open keeps every other writer (and, in memory, readers too) waiting: here an
//! abandoned transaction holds up nobody, as row locks would hold up only few in PostgreSQL. The
//! price is that a conflict is found at the commit, with SQLSTATE 40001.
//!
//! # Known differences from PostgreSQL
//!
//! Temporary tables, savepoints, cursors, `COPY`, arrays and types beyond the common ones are
//! refused or travel as text; several `Execute` messages before one `Sync` are separate
//! transactions; values are as loosely typed as SQLite has them.

mod authentication;
mod cluster;
pub mod command;
mod connection;
mod election;
mod engine;
mod error;
mod extended;
mod functions;
mod handle;
mod listener;
mod log;
mod member;
mod query;
mod replication;
mod report;
mod session;
mod settings;
mod sql;
mod state;
mod steering;
mod transaction;
mod values;
mod variables;

pub use cluster::Election;
pub use error::GroupError;
pub use handle::{GroupHandle, start};
pub use member::{Condition, Tunables};
pub use report::MemberReport;
pub use settings::{
    Delays, ElectionSettings, GroupSettings, Limits, MemberSettings, ReplicationLag,
};
pub use state::Role;
pub use steering::router;
