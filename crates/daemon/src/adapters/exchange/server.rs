//! Accepts exchanges of other daemons.

use super::frames::{FrameError, FramedStream, decode, encode, frame_stream};
use crate::app::home::HomeService;
use crate::app::home::link::{FrontLink, LinkClosed};
use crate::domain::exchange::{EXCHANGE_VERSION, FrontMessage, HomeMessage};
use async_trait::async_trait;
use futures::{SinkExt, StreamExt};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Greatest time until a new connection has sent its Hello.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a connection could not be accepted, for want of file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Serves exchanges of other daemons until `leaving` is cancelled and those in
/// progress have ended.
pub async fn listen(listener: TcpListener, home: HomeService, leaving: CancellationToken) {
    let tasks = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = leaving.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                tasks.spawn(serve_connection(stream, home.clone(), leaving.clone()));
            }
            Err(error) => {
                log::warn!("an exchange connection could not be accepted: {error}");
                sleep(ACCEPT_RETRY).await;
            }
        }
    }
    tasks.close();
    tasks.wait().await;
}

async fn serve_connection(stream: TcpStream, home: HomeService, leaving: CancellationToken) {
    let frame_bytes = home.settings().frame_bytes;
    let Ok(stream) = frame_stream(stream, frame_bytes) else {
        return;
    };
    let mut link = TcpLink {
        stream,
        frame_bytes,
    };
    match timeout(HELLO_TIMEOUT, link.greet()).await {
        Ok(Ok(())) => home.serve(link, leaving).await,
        _ => log::warn!("a connection was closed: it did not begin with a known Hello"),
    }
}

/// The home's end of a connection with another daemon.
struct TcpLink {
    stream: FramedStream,
    frame_bytes: usize,
}

impl TcpLink {
    /// Exchanges Hello; a front of another version is told ours and refused.
    async fn greet(&mut self) -> Result<(), LinkClosed> {
        let hello = self.receive().await?;
        let ours = HomeMessage::Hello {
            version: EXCHANGE_VERSION,
        };
        self.send(ours).await?;
        match hello {
            FrontMessage::Hello { version } if version == EXCHANGE_VERSION => Ok(()),
            _ => Err(LinkClosed),
        }
    }

    async fn send_frame(&mut self, message: &HomeMessage) -> Result<(), FrameError> {
        let content = encode(message, self.frame_bytes)?;
        self.stream.send(content).await?;
        Ok(())
    }
}

#[async_trait]
impl FrontLink for TcpLink {
    async fn receive(&mut self) -> Result<FrontMessage, LinkClosed> {
        let content = match self.stream.next().await {
            Some(Ok(content)) => content,
            Some(Err(error)) => {
                log::debug!("an exchange connection broke: {error}");
                return Err(LinkClosed);
            }
            None => return Err(LinkClosed),
        };
        decode(&content).map_err(|error| {
            log::warn!("a front sent what is not a message: {error}");
            LinkClosed
        })
    }

    async fn send(&mut self, message: HomeMessage) -> Result<(), LinkClosed> {
        self.send_frame(&message).await.map_err(|error| {
            log::debug!("an exchange connection broke: {error}");
            LinkClosed
        })
    }
}
