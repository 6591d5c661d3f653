//! Connections between nodes: length-delimited frames of MessagePack over TCP.

use super::links::Links;
use crate::traffic::MessageKind;
use bytes::Bytes;
use futures::stream::{SplitSink, SplitStream};
use futures::{SinkExt, StreamExt};
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// The largest frame accepted.
pub(crate) const FRAME_LIMIT: usize = 1_024 * 1_024;

quick_error! {
    /// A connection between nodes failed.
    #[derive(Debug)]
    pub enum ConnectionError {
        /// It could not be opened, or broke.
        Io(error: std::io::Error) {
            display("{error}")
            from()
        }
        /// The other side closed it.
        Closed {
            display("the connection was closed")
        }
        /// Nothing happened for too long.
        Silent {
            display("the connection is silent")
        }
        /// What came is not in the encoding of the protocol.
        Malformed(error: rmp_serde::decode::Error) {
            display("malformed message: {error}")
            from()
        }
        /// What came breaks the protocol.
        Protocol(reason: &'static str) {
            display("{reason}")
        }
    }
}

/// A message that knows how it is counted.
pub(crate) trait ControlMessage: Serialize + DeserializeOwned {
    /// The kind under which the message is counted.
    fn kind(&self) -> MessageKind;
}

/// Opens a connection to `address`.
pub(crate) async fn connect(
    address: SocketAddr,
    limit: Duration,
    links: &Links,
) -> Result<(MessageSender, MessageReceiver), ConnectionError> {
    if !links.policy.permits(address) {
        tokio::time::sleep(limit).await;
        return Err(ConnectionError::Silent);
    }
    let stream = tokio::time::timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| ConnectionError::Silent)??;
    split(stream, Some(address), links)
}

/// The two directions of an open connection. The side that opened it knows the
/// control address of its `peer` and applies the policy for both.
pub(crate) fn split(
    stream: TcpStream,
    peer: Option<SocketAddr>,
    links: &Links,
) -> Result<(MessageSender, MessageReceiver), ConnectionError> {
    stream.set_nodelay(true)?;
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_LIMIT)
        .new_codec();
    let (sink, stream) = Framed::with_capacity(stream, codec, INITIAL_BUFFER).split();
    let link = Link {
        peer,
        links: links.clone(),
    };
    let sender = MessageSender {
        sink,
        link: link.clone(),
    };
    let receiver = MessageReceiver { stream, link };
    Ok((sender, receiver))
}

/// Bytes reserved for reading on a new connection. Most are quiet, and a relay
/// keeps many.
const INITIAL_BUFFER: usize = 1_024;

/// The link that a connection runs over.
#[derive(Debug, Clone)]
struct Link {
    peer: Option<SocketAddr>,
    links: Links,
}

impl Link {
    fn is_permitted(&self) -> bool {
        self.peer.is_none_or(|peer| self.links.policy.permits(peer))
    }
}

/// Sends messages over a connection.
#[derive(Debug)]
pub(crate) struct MessageSender {
    sink: SplitSink<Framed<TcpStream, LengthDelimitedCodec>, Bytes>,
    link: Link,
}

impl MessageSender {
    /// Sends `message` and waits until it is handed to the system.
    pub async fn send<M: ControlMessage>(&mut self, message: &M) -> Result<(), ConnectionError> {
        if !self.link.is_permitted() {
            return Ok(());
        }
        let bytes = rmp_serde::to_vec(message).expect("writing to memory does not fail");
        let length = bytes.len();
        self.sink.send(bytes.into()).await?;
        self.link.links.traffic.sent(message.kind(), length);
        Ok(())
    }
}

/// Receives messages from a connection.
#[derive(Debug)]
pub(crate) struct MessageReceiver {
    stream: SplitStream<Framed<TcpStream, LengthDelimitedCodec>>,
    link: Link,
}

impl MessageReceiver {
    /// The next message; cancel-safe.
    pub async fn receive<M: ControlMessage>(&mut self) -> Result<M, ConnectionError> {
        loop {
            let frame = self.stream.next().await.ok_or(ConnectionError::Closed)??;
            if !self.link.is_permitted() {
                continue;
            }
            let message: M = rmp_serde::from_slice(&frame)?;
            let traffic = &self.link.links.traffic;
            traffic.received(message.kind(), frame.len());
            return Ok(message);
        }
    }

    /// The next message, which must come within `limit`; cancel-safe.
    pub async fn receive_within<M: ControlMessage>(
        &mut self,
        limit: Duration,
    ) -> Result<M, ConnectionError> {
        tokio::time::timeout(limit, self.receive())
            .await
            .map_err(|_| ConnectionError::Silent)?
    }
}
