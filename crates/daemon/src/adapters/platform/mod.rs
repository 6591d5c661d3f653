//! The platform over its published protocols: the table service as DynamoDB,
//! the object store as S3, the list of machines as JSON over HTTP, each behind
//! a guard.

pub mod guard;
mod machines;
mod snapshot_errors;
mod snapshots;
mod table;
mod table_errors;
mod table_items;

pub use machines::HttpMachineList;
pub use snapshots::S3SnapshotStore;
pub use table::DynamoTable;

/// Access key and secret key towards the platform's stand-ins and the services
/// that run inside the operators' own network.
const STATIC_CREDENTIAL: &str = "stilequay";
/// Region of the platform's services.
const REGION: &str = "local";
