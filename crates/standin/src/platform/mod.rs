//! The platform: a table service speaking the DynamoDB JSON protocol, an object
//! store speaking S3 REST and a machine list, each on its own port and with its
//! own faults, steered by [`PlatformHandle`] or over HTTP.

pub mod command;
pub mod connection;
pub mod faults;
pub mod handle;
pub mod machines;
pub mod objects;
pub mod service;
pub mod steering;
pub mod table;

pub use faults::{AnswerLoss, LossMoment, LossSelection, Outage, ServiceFaults, ThrottledLimit};
pub use handle::{PlatformHandle, PlatformSettings, ServiceName, start};
pub use machines::Machine;
pub use service::ServiceCounters;
