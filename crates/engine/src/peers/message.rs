//! The messages of a peer query, and their encoding.

use crate::decoding::{self, DecodeError};
use crate::encoding;
use crate::names::GroupName;
use crate::ports::{DeclaredState, DeclaredVersions, GroupSnapshot, PeerError};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The first message of a connection.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Query {
    /// Queries the peer's view of these groups.
    Beliefs(Vec<GroupName>),
    /// Queries what was declared after these versions.
    Declared(DeclaredVersions),
    /// Turns the connection into a link.
    Link,
}

/// The answer to a query.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum QueryAnswer {
    /// The peer's view of those of the requested groups that it knows.
    Beliefs(Vec<GroupSnapshot>),
    /// The declared state that is newer than the versions in the query.
    Declared(Box<DeclaredState>),
}

impl Query {
    /// Encodes the query for the network.
    pub fn encode(&self) -> Bytes {
        encoding::without_names(self)
    }

    /// Decodes a received query.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if `message` doesn't encode a query.
    pub fn decode(message: &[u8]) -> Result<Self, DecodeError> {
        decoding::decode(message)
    }
}

impl QueryAnswer {
    /// Encodes the answer for the network.
    pub fn encode(&self) -> Bytes {
        encoding::without_names(self)
    }

    /// Decodes a received answer.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if `message` doesn't encode an answer.
    pub fn decode(message: &[u8]) -> Result<Self, DecodeError> {
        decoding::decode(message)
    }

    /// The snapshots in the answer to [`Query::Beliefs`].
    ///
    /// # Errors
    ///
    /// [`PeerError::Protocol`] if this answers another query.
    pub fn into_group_snapshots(self) -> Result<Vec<GroupSnapshot>, PeerError> {
        match self {
            QueryAnswer::Beliefs(group_snapshots) => Ok(group_snapshots),
            QueryAnswer::Declared(_) => Err(mismatched()),
        }
    }

    /// The state in the answer to [`Query::Declared`].
    ///
    /// # Errors
    ///
    /// [`PeerError::Protocol`] if this answers another query.
    pub fn into_declared_state(self) -> Result<DeclaredState, PeerError> {
        match self {
            QueryAnswer::Declared(state) => Ok(*state),
            QueryAnswer::Beliefs(_) => Err(mismatched()),
        }
    }
}

fn mismatched() -> PeerError {
    PeerError::Protocol("the answer doesn't match the query".to_owned())
}
