//! Peer queries over TCP: a connection carries one request frame and one response frame, or
//! becomes a link.

use super::message::{Query, QueryAnswer};
use crate::engine::Engine;
use crate::names::GroupName;
use crate::ports::{
    DeclaredState, DeclaredVersions, GroupSnapshot, PeerError, PeerLink, PeerNetwork,
};
use crate::serving;
use async_trait::async_trait;
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Maximum length of a frame.
const MAX_FRAME_BYTES: usize = 4 << 20;
/// Timeout for receiving a query and sending its answer.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Capacity of each frame queue of a link.
const LINK_QUEUE: usize = 2_048;
/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

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
async fn exchange(peer: SocketAddr, query: &Query) -> Result<QueryAnswer, PeerError> {
    let unreachable = |error: std::io::Error| PeerError::Unreachable(error.to_string());
    let stream = TcpStream::connect(peer).await.map_err(unreachable)?;
    let mut frames = framed(stream);
    frames.send(query.encode()).await.map_err(unreachable)?;
    let frame = frames.next().await;
    let frame = frame.ok_or_else(|| PeerError::Unreachable("connection closed".to_owned()))?;
    let frame = frame.map_err(unreachable)?;
    QueryAnswer::decode(&frame)
}

#[async_trait]
impl PeerNetwork for TcpPeers {
    async fn query_groups(
        &self,
        peer: SocketAddr,
        groups: &[GroupName],
    ) -> Result<Vec<GroupSnapshot>, PeerError> {
        let answer = exchange(peer, &Query::Beliefs(groups.to_vec())).await?;
        answer.into_group_snapshots()
    }

    async fn query_declared(
        &self,
        peer: SocketAddr,
        known: DeclaredVersions,
    ) -> Result<DeclaredState, PeerError> {
        let answer = exchange(peer, &Query::Declared(known)).await?;
        answer.into_declared_state()
    }

    async fn open_link(&self, peer: SocketAddr) -> Result<PeerLink, PeerError> {
        let unreachable = |error: std::io::Error| PeerError::Unreachable(error.to_string());
        let stream = TcpStream::connect(peer).await.map_err(unreachable)?;
        stream.set_nodelay(true).map_err(unreachable)?;
        let mut frames = framed(stream);
        let query = Query::Link.encode();
        frames.send(query).await.map_err(unreachable)?;
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
    let query = Query::decode(&frame).ok()?;
    if query == Query::Link {
        return Some(ConnectionUse::Link(spawn_link(frames)));
    }
    let answer = super::answer(engine, query)?;
    frames.send(answer.encode()).await.ok()?;
    Some(ConnectionUse::Answered)
}
