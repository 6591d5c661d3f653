//! Type aliases for names. Except for the structure of member ids, names are opaque to the engine.

use std::sync::Arc;

/// The name of a group of replicated servers, chosen by operators.
pub type GroupName = Arc<str>;
/// The id of a group member: one incarnation of a server, from one start to the next.
pub type MemberId = Arc<str>;
/// The name of a database that callers connect to; a route maps it to a group.
pub type DatabaseName = Arc<str>;
/// The name of a tenant: an organisation or application on whose behalf callers send requests.
pub type TenantName = Arc<str>;
/// The name of a zone of machines.
pub type ZoneName = Arc<str>;
/// The name of a region, a set of zones that are close to one another.
pub type RegionName = Arc<str>;
/// The name of a process of the fleet.
pub type NodeName = Arc<str>;
/// The caller's id for a request.
pub type RequestId = Arc<str>;

/// Separates a server's name from its start in a member id.
const INCARNATION_SEPARATOR: char = '@';

/// The id of the incarnation of `server` that started at `started_at`. The unit doesn't matter: a
/// different start is a different incarnation. A server that doesn't report its start must have
/// a new name after each start.
pub fn incarnation_id(server: &str, started_at: Option<u64>) -> MemberId {
    match started_at {
        Some(started_at) => format!("{server}{INCARNATION_SEPARATOR}{started_at}").into(),
        // The trailing separator keeps the name from being parsed as one with a start.
        None if server.contains(INCARNATION_SEPARATOR) => {
            format!("{server}{INCARNATION_SEPARATOR}").into()
        }
        None => server.into(),
    }
}

/// The name of the server that `member` is an incarnation of.
pub fn server_name(member: &str) -> &str {
    member
        .rsplit_once(INCARNATION_SEPARATOR)
        .map_or(member, |(server, _born)| server)
}

/// Whether the two are different incarnations of the same server. A server keeps no state from
/// one incarnation to the next.
pub fn are_incarnations_of_same_server(member: &MemberId, other: &MemberId) -> bool {
    member != other && server_name(member) == server_name(other)
}
