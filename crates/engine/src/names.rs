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
