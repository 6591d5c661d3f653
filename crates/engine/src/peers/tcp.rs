//! Peer queries over TCP: a connection carries one request frame and one response frame, or
//! becomes a link.

use super::{declared, group_snapshots};
use crate::encoding;
use crate::engine::Engine;
use crate::names::GroupName;
use crate::ports::{
    DeclaredState, DeclaredVersions, GroupSnapshot, PeerError, PeerLink, PeerNetwork,
};
use crate::serving;
use async_trait::async_trait;
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Maximum length of a frame.
const MAX_FRAME_BYTES: usize = 4 << 20;
/// Maximum number of groups in one query.
const MAX_GROUPS: usize = 1_000;
/// Timeout for receiving a query and sending its answer.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Capacity of each frame queue of a link.
const LINK_QUEUE: usize = 2_048;
/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The first frame of a connection.
#[derive(Debug, Serialize, Deserialize)]
enum Query {
    /// Queries the peer's view of these groups.
    Beliefs(Vec<GroupName>),
    /// Queries what was declared after these versions.
    Declared(DeclaredVersions),
    /// Turns the connection into a link.
    Link,
}

/// The answer to a query.
#[derive(Debug, Serialize, Deserialize)]
enum Answer {
    Beliefs(Vec<GroupSnapshot>),
    Declared(Box<DeclaredState>),
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    Framed::new(stream, codec)
}

/// A [`PeerNetwork`] over TCP.
#[derive(Debug, Default)]
pub struct TcpPeers;

/// Sends one query over a new connection and reads the answer.
async fn exchange(peer: SocketAddr, query: &Query) -> Result<Answer, PeerError> {
    let unreachable = |error: std::io::Error| PeerError::Unreachable(error.to_string());
    let stream = TcpStream::connect(peer).await.map_err(unreachable)?;
    let mut frames = framed(stream);
    let encoded = encoding::without_names(query);
    frames.send(encoded).await.map_err(unreachable)?;
    let frame = frames.next().await;
    let frame = frame.ok_or_else(|| PeerError::Unreachable("connection closed".to_owned()))?;
    let frame = frame.map_err(unreachable)?;
    rmp_serde::from_slice(&frame).map_err(|error| PeerError::Protocol(error.to_string()))
}

fn mismatched_answer() -> PeerError {
    PeerError::Protocol("the answer doesn't match the query".to_owned())
}

#[async_trait]
impl PeerNetwork for TcpPeers {
    async fn query_groups(
        &self,
        peer: SocketAddr,
        groups: &[GroupName],
    ) -> Result<Vec<GroupSnapshot>, PeerError> {
        match exchange(peer, &Query::Beliefs(groups.to_vec())).await? {
            Answer::Beliefs(group_snapshots) => Ok(group_snapshots),
            Answer::Declared(_) => Err(mismatched_answer()),
        }
    }

    async fn query_declared(
        &self,
        peer: SocketAddr,
        known: DeclaredVersions,
    ) -> Result<DeclaredState, PeerError> {
        match exchange(peer, &Query::Declared(known)).await? {
            Answer::Declared(state) => Ok(*state),
            Answer::Beliefs(_) => Err(mismatched_answer()),
        }
    }

    async fn open_link(&self, peer: SocketAddr) -> Result<PeerLink, PeerError> {
        let unreachable = |error: std::io::Error| PeerError::Unreachable(error.to_string());
        let stream = TcpStream::connect(peer).await.map_err(unreachable)?;
        stream.set_nodelay(true).map_err(unreachable)?;
        let mut frames = framed(stream);
        let encoded = encoding::without_names(&Query::Link);
        frames.send(encoded).await.map_err(unreachable)?;
        Ok(spawn_link(frames))
    }
}

/// Spawns a task that copies frames between the connection and the returned link until either
/// one closes.
fn spawn_link(frames: Framed<TcpStream, LengthDelimitedCodec>) -> PeerLink {
    let (tx, mut outgoing) = mpsc::channel::<Bytes>(LINK_QUEUE);
    let (incoming, rx) = mpsc::channel::<Bytes>(LINK_QUEUE);
    tokio::spawn(async move {
        let (mut sink, mut stream) = frames.split();
        let write = async {
            while let Some(frame) = outgoing.recv().await {
                sink.feed(frame).await.ok()?;
                while let Ok(frame) = outgoing.try_recv() {
                    sink.feed(frame).await.ok()?;
                }
                sink.flush().await.ok()?;
            }
            Some(())
        };
        let read = async {
            while let Some(Ok(frame)) = stream.next().await {
                incoming.send(frame.freeze()).await.ok()?;
            }
            Some(())
        };
        tokio::select! {
            _ = write => {}
            _ = read => {}
        }
    });
    PeerLink { tx, rx }
}

/// Accepts connections and answers their queries until the process ends.
pub async fn serve(engine: Arc<Engine>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let engine = Arc::clone(&engine);
        tokio::spawn(async move {
            // A timeout or a closed connection needs no answer.
            let Ok(Some(ConnectionUse::Link(link))) =
                timeout(QUERY_TIMEOUT, answer(&engine, stream)).await
            else {
                return;
            };
            serving::serve(engine, link).await;
        });
    }
}

/// What a connection was used for.
enum ConnectionUse {
    /// A query, which was answered.
    Answered,
    /// A link.
    Link(PeerLink),
}

/// Answers the query on a connection. Returns `None`, which closes the connection, if the query
/// is malformed.
async fn answer(engine: &Engine, stream: TcpStream) -> Option<ConnectionUse> {
    stream.set_nodelay(true).ok()?;
    let mut frames = framed(stream);
    let frame = frames.next().await?.ok()?;
    let answer = match rmp_serde::from_slice(&frame).ok()? {
        Query::Beliefs(groups) => Answer::Beliefs(known_group_snapshots(engine, groups)?),
        Query::Declared(versions) => {
            let newer = declared::newer(engine, versions, Instant::now());
            Answer::Declared(Box::new(newer))
        }
        Query::Link => return Some(ConnectionUse::Link(spawn_link(frames))),
    };
    let encoded = encoding::without_names(&answer);
    frames.send(encoded).await.ok()?;
    Some(ConnectionUse::Answered)
}

/// Snapshots of those `groups` that are in the directory. Other names are ignored, so that a
/// query can't create groups.
fn known_group_snapshots(engine: &Engine, groups: Vec<GroupName>) -> Option<Vec<GroupSnapshot>> {
    if groups.len() > MAX_GROUPS {
        return None;
    }
    let known = engine.directory().groups();
    let named = groups.into_iter().filter(|group| known.contains(group));
    Some(group_snapshots(engine, &named.collect::<Vec<GroupName>>()))
}
