//! Questions over TCP: one frame asks, one answers, and the connection ends.

use super::beliefs;
use crate::engine::Engine;
use crate::names::GroupName;
use crate::ports::{GroupBelief, PeerError, PeerNetwork};
use async_trait::async_trait;
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Greatest length of a frame.
const MAX_FRAME_BYTES: usize = 1 << 20;
/// Groups that one question may name.
const MAX_GROUPS: usize = 1_000;
/// Longest wait for a question, and for the other side to take the answer.
const QUESTION_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A question.
#[derive(Debug, Serialize, Deserialize)]
struct Question {
    groups: Vec<GroupName>,
}

/// An answer.
#[derive(Debug, Serialize, Deserialize)]
struct Answer {
    beliefs: Vec<GroupBelief>,
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    Framed::new(stream, codec)
}

/// Asks over TCP.
#[derive(Debug, Default)]
pub struct TcpPeers;

#[async_trait]
impl PeerNetwork for TcpPeers {
    async fn ask(
        &self,
        peer: SocketAddr,
        groups: &[GroupName],
    ) -> Result<Vec<GroupBelief>, PeerError> {
        let unreachable = |error: std::io::Error| PeerError::Unreachable(error.to_string());
        let stream = TcpStream::connect(peer).await.map_err(unreachable)?;
        let mut frames = framed(stream);
        let question = Question {
            groups: groups.to_vec(),
        };
        // Texts only: encoding can't fail.
        let encoded = rmp_serde::to_vec(&question).unwrap_or_default();
        frames
            .send(Bytes::from(encoded))
            .await
            .map_err(unreachable)?;
        let frame = frames.next().await;
        let frame = frame.ok_or_else(|| PeerError::Unreachable("broke off".to_owned()))?;
        let frame = frame.map_err(unreachable)?;
        let answer: Result<Answer, _> = rmp_serde::from_slice(&frame);
        let answer = answer.map_err(|error| PeerError::Protocol(error.to_string()))?;
        Ok(answer.beliefs)
    }
}

/// Answers questions until the process ends.
pub async fn serve(engine: Arc<Engine>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let engine = Arc::clone(&engine);
        tokio::spawn(async move {
            // Who breaks off gets no answer.
            let _ = timeout(QUESTION_TIMEOUT, answer(&engine, stream)).await;
        });
    }
}

/// Answers one question; what makes no sense ends the connection.
async fn answer(engine: &Engine, stream: TcpStream) -> Option<()> {
    let mut frames = framed(stream);
    let frame = frames.next().await?.ok()?;
    let question: Question = rmp_serde::from_slice(&frame).ok()?;
    if question.groups.len() > MAX_GROUPS {
        return None;
    }
    // A group that the directory does not name is not made for a question's sake.
    let known = engine.directory().groups();
    let groups: Vec<GroupName> = question
        .groups
        .into_iter()
        .filter(|g| known.contains(g))
        .collect();
    let answer = Answer {
        beliefs: beliefs(engine, &groups),
    };
    let encoded = rmp_serde::to_vec(&answer).unwrap_or_default();
    frames.send(Bytes::from(encoded)).await.ok()
}
