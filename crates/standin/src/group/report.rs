//! What members report of themselves.

use super::log::position_text;
use super::member::{Condition, Member, Tunables};
use super::state::Role;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a member reports of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct MemberReport {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The role it believes to have.
    pub role: Role,
    /// The highest term it has voted for or learnt.
    pub term: u32,
    /// The end of its log, as PostgreSQL prints positions.
    pub received: String,
    /// The position up to which its database is.
    pub replayed: String,
    /// The connections open now.
    pub open_connections: usize,
    /// The statements executed so far.
    pub executed_statements: u64,
    /// The write transactions it has committed as a primary.
    pub committed_writes: u64,
    /// What is done to it.
    pub condition: Condition,
    /// Its lag, delays and limits.
    pub tunables: Tunables,
}

/// The present report of `member`.
pub(crate) fn report(member: &Member) -> MemberReport {
    let condition = member.condition();
    let tunables = member.tunables();
    let state = member.state();
    MemberReport {
        name: member.name.clone(),
        address: member.address,
        role: state.role,
        term: state.term,
        received: position_text(state.log.end()),
        replayed: position_text(state.replayed_position()),
        open_connections: member.open_connections(),
        executed_statements: member.executed_statements(),
        committed_writes: state.committed_writes,
        condition,
        tunables,
    }
}
