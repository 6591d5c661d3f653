//! Type aliases for names. All are opaque to the engine.

use std::sync::Arc;

/// A group of replicated servers, as operators name it.
pub type GroupName = Arc<str>;
/// One server of a group, for one life of that server.
pub type MemberId = Arc<str>;
/// The database that a caller asks for; a route leads from it to a group.
pub type DatabaseName = Arc<str>;
/// A tenant: an organisation or application on whose behalf callers ask.
pub type TenantName = Arc<str>;
/// A zone of machines.
pub type ZoneName = Arc<str>;
/// A region of zones that lie close together.
pub type RegionName = Arc<str>;
/// One process of the fleet.
pub type NodeName = Arc<str>;
/// The caller's name for one request.
pub type RequestId = Arc<str>;

/// Stands between a server's name and the start of one of its lives.
const INCARNATION_SEPARATOR: char = '@';

/// The life of `server` that began at `started_at`, in whatever unit: any other start is another life.
/// A server that tells no start has another name in each life.
pub fn incarnation_id(server: &str, started_at: Option<u64>) -> MemberId {
    match started_at {
        Some(started_at) => format!("{server}{INCARNATION_SEPARATOR}{started_at}").into(),
        // So that no name is taken for one with a start.
        None if server.contains(INCARNATION_SEPARATOR) => {
            format!("{server}{INCARNATION_SEPARATOR}").into()
        }
        None => server.into(),
    }
}

/// The server that `member` is a life of.
pub fn server_name(member: &str) -> &str {
    member
        .rsplit_once(INCARNATION_SEPARATOR)
        .map_or(member, |(server, _born)| server)
}

/// Whether both are lives of one server, which keeps nothing from one to the next.
pub fn are_incarnations_of_same_server(member: &MemberId, other: &MemberId) -> bool {
    member != other && server_name(member) == server_name(other)
}
