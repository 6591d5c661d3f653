//! Peer queries over TCP: a connection carries one request frame and one response frame, or
//! becomes a link.

use super::message::{Query, QueryAnswer};
use crate::decoding::{DecodeError, UndecodableKind, count_undecodable, report_undecodable};
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

/// Whether `error` is due to a frame longer than [`MAX_FRAME_BYTES`].
fn is_too_long(error: &std::io::Error) -> bool {
    error.kind() == std::io::ErrorKind::InvalidData
}

/// Sends one query over a new connection and reads the answer.
async fn exchange(peer: SocketAddr, query: &Query) -> Result<QueryAnswer, PeerError> {
    let unreachable = |error: std::io::Error| PeerError::Unreachable(error.to_string());
    let stream = TcpStream::connect(peer).await.map_err(unreachable)?;
    let mut frames = framed(stream);
    frames.send(query.encode()).await.map_err(unreachable)?;
    let frame = frames.next().await;
    let frame = frame.ok_or_else(|| PeerError::Unreachable("connection closed".to_owned()))?;
    let frame = frame.map_err(|error| match is_too_long(&error) {
        true => PeerError::Protocol(DecodeError::TooLong.to_string()),
        false => unreachable(error),
    })?;
    let answer = QueryAnswer::decode(&frame);
    answer.map_err(|error| PeerError::Protocol(error.to_string()))
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
        Ok(spawn_link(frames, move || {
            // At most one line per link; a link that has failed is opened again after a pause.
            count_undecodable(UndecodableKind::LinkAnswer, &DecodeError::TooLong);
            log::warn!("closing the link to {peer}: a frame is too long");
        }))
    }
}

/// Spawns a task that copies frames between the connection and the returned link until either
/// one closes. Calls `on_too_long` before it closes because of the length of a received frame.
fn spawn_link(
    frames: Framed<TcpStream, LengthDelimitedCodec>,
    on_too_long: impl FnOnce() + Send + 'static,
) -> PeerLink {
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
            while let Some(frame) = stream.next().await {
                match frame {
                    Ok(frame) => incoming.send(frame.freeze()).await.ok()?,
                    Err(error) if is_too_long(&error) => {
                        on_too_long();
                        return None;
                    }
                    Err(_) => return None,
                }
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
        let Ok((stream, peer)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let engine = Arc::clone(&engine);
        tokio::spawn(async move {
            // A timeout or a closed connection needs no answer.
            let Ok(Some(ConnectionUse::Link(link))) =
                timeout(QUERY_TIMEOUT, answer(&engine, stream, peer)).await
            else {
                return;
            };
            serving::serve_peer(engine, link, Some(peer)).await;
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

/// Answers the query on a connection from `peer`. Returns `None`, which closes the connection, if
/// the query is malformed.
async fn answer(engine: &Engine, stream: TcpStream, peer: SocketAddr) -> Option<ConnectionUse> {
    stream.set_nodelay(true).ok()?;
    let mut frames = framed(stream);
    let report = |frame: Option<&[u8]>, error: &DecodeError| {
        let kind = UndecodableKind::PeerQuery;
        report_undecodable(engine.events(), kind, peer, frame, error);
    };
    let frame = frames.next().await?;
    let frame = frame
        .inspect_err(|error| {
            if is_too_long(error) {
                report(None, &DecodeError::TooLong);
            }
        })
        .ok()?;
    let query = Query::decode(&frame).inspect_err(|error| report(Some(&frame), error));
    let query = query.ok()?;
    if query == Query::Link {
        let events = Arc::clone(engine.events());
        let link = spawn_link(frames, move || {
            let (kind, error) = (UndecodableKind::LinkRequest, DecodeError::TooLong);
            report_undecodable(&events, kind, peer, None, &error);
        });
        return Some(ConnectionUse::Link(link));
    }
    let Some(answer) = super::answer(engine, query) else {
        report(Some(&frame), &DecodeError::Unexpected("too many groups"));
        return None;
    };
    frames.send(answer.encode()).await.ok()?;
    Some(ConnectionUse::Answered)
}
