//! Frames of MessagePack over TCP: one connection for each call.

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use stilequay_coordination::floors::{FloorReply, FloorRequest};
use stilequay_coordination::identity::NodeId;
use stilequay_coordination::position::Floor;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// What one node asks of another.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub enum Request {
    /// About session floors.
    Floors(FloorRequest),
    /// Asks the node that plays the database to commit something.
    Commit,
    /// Asks it for the position of its log.
    Position,
}

/// The answer.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub enum Reply {
    /// To [`Request::Floors`].
    Floors(FloorReply),
    /// To [`Request::Commit`] and [`Request::Position`].
    Position(Floor),
    /// The node does not play the database.
    NotPrimary,
}

quick_error! {
    /// A call gave no answer.
    #[derive(Debug)]
    pub enum CallError {
        /// The network failed.
        Network(error: std::io::Error) {
            display("{error}")
            from()
        }
        /// The answer is malformed.
        Malformed(error: rmp_serde::decode::Error) {
            display("{error}")
            from()
        }
        /// A message could not be encoded.
        Unencodable(error: rmp_serde::encode::Error) {
            display("{error}")
            from()
        }
        /// The connection was closed before the answer.
        Closed {
            display("the connection was closed")
        }
        /// No address of the node is known.
        NoAddress(node: NodeId) {
            display("no address of {node} is known")
        }
    }
}

quick_error! {
    /// Addresses on the command line are not as they should be.
    #[derive(Debug)]
    pub enum AddressError {
        /// Not of the form `NAME=IP:PORT`.
        Malformed(text: String) {
            display("expected NAME=IP:PORT, found {text:?}")
        }
    }
}

/// Where the nodes listen.
#[derive(Debug, Clone, Default)]
pub struct Addresses(BTreeMap<NodeId, SocketAddr>);

impl Addresses {
    /// Reads `NAME=IP:PORT,...`.
    pub fn parse(text: &str) -> Result<Self, AddressError> {
        let parsed = text.trim().split(',').map(parse_address);
        Ok(Self(parsed.collect::<Result<_, _>>()?))
    }

    /// Where `node` listens.
    pub fn of(&self, node: &NodeId) -> Result<SocketAddr, CallError> {
        let address = self.0.get(node).copied();
        address.ok_or_else(|| CallError::NoAddress(node.clone()))
    }
}

fn parse_address(text: &str) -> Result<(NodeId, SocketAddr), AddressError> {
    let malformed = || AddressError::Malformed(text.to_owned());
    let (node, address) = text.split_once('=').ok_or_else(malformed)?;
    let address = address.parse().map_err(|_| malformed())?;
    Ok((NodeId::new(node), address))
}

/// A connection that carries frames.
pub struct Frames(Framed<TcpStream, LengthDelimitedCodec>);

impl Frames {
    /// Frames over `stream`.
    pub fn new(stream: TcpStream) -> Self {
        Self(Framed::new(stream, LengthDelimitedCodec::new()))
    }

    /// The next message; `None` at the end of the connection.
    pub async fn receive<M: DeserializeOwned>(&mut self) -> Result<Option<M>, CallError> {
        match self.0.next().await {
            None => Ok(None),
            Some(frame) => Ok(Some(rmp_serde::from_slice(&frame?)?)),
        }
    }

    /// Sends one message.
    pub async fn send<M: Serialize>(&mut self, message: &M) -> Result<(), CallError> {
        let frame = rmp_serde::to_vec(message)?;
        self.0.send(Bytes::from(frame)).await?;
        Ok(())
    }
}

/// Calls the node at `address`.
pub async fn call(address: SocketAddr, request: Request) -> Result<Reply, CallError> {
    let mut frames = Frames::new(TcpStream::connect(address).await?);
    frames.send(&request).await?;
    frames.receive().await?.ok_or(CallError::Closed)
}
