//! One direction of a TCP connection over a link.

use super::switches::{StreamFaults, StreamLinkFaults};
use bytes::Bytes;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

const CHUNK_BYTES: usize = 16 * 1024;

/// The most chunks under way; with full chunks 16 MiB.
const CHUNKS_UNDER_WAY: usize = 1024;

/// How a connection ends other than by both sides closing it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Broken {
    /// It is reset.
    Reset,
    /// It is closed.
    Closed,
}

impl From<io::Error> for Broken {
    fn from(_: io::Error) -> Self {
        Self::Reset
    }
}

/// The faults of one direction, as they change.
#[derive(Debug, Clone)]
pub(super) struct DirectionFaults {
    pub(super) link: watch::Receiver<StreamLinkFaults>,
    pub(super) select: fn(&StreamLinkFaults) -> &StreamFaults,
}

impl DirectionFaults {
    fn current(&mut self) -> StreamFaults {
        *(self.select)(&self.link.borrow_and_update())
    }

    /// Waits until `condition` holds; fails once the link is gone.
    async fn wait_for(&mut self, condition: fn(&StreamFaults) -> bool) -> Result<(), Broken> {
        let select = self.select;
        let holds = self.link.wait_for(|faults| condition(select(faults))).await;
        holds.map(|_| ()).map_err(|_| Broken::Reset)
    }
}

/// Where the bytes of one direction are counted.
#[derive(Debug, Clone, Copy)]
pub(super) struct DirectionCount<'a> {
    pub(super) delivered: &'a AtomicU64,
    pub(super) dropped: &'a AtomicU64,
}

#[derive(Debug)]
struct Chunk {
    due: Instant,
    bytes: Bytes,
}

/// Passes bytes from `reader` to `writer` until the end of the stream.
pub(super) async fn pass<R, W>(
    reader: R,
    writer: W,
    faults: DirectionFaults,
    count: DirectionCount<'_>,
) -> Result<(), Broken>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let (sender, receiver) = mpsc::channel(CHUNKS_UNDER_WAY);
    let writing = Writing {
        writer,
        faults: faults.clone(),
        count,
        passed: 0,
        lost_bytes: false,
    };
    let reading = read_chunks(reader, sender, faults);
    tokio::try_join!(reading, writing.write_chunks(receiver))?;
    Ok(())
}

async fn read_chunks<R: AsyncRead + Unpin>(
    mut reader: R,
    sender: mpsc::Sender<Chunk>,
    mut faults: DirectionFaults,
) -> Result<(), Broken> {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        faults.wait_for(|faults| !faults.freeze).await?;
        let current = faults.current();
        let read = tokio::select! {
            biased;
            changed = faults.link.changed() => {
                changed.map_err(|_| Broken::Reset)?;
                continue;
            }
            read = reader.read(&mut buffer) => read?,
        };
        if read == 0 {
            return Ok(());
        }
        let chunk = Chunk {
            due: Instant::now() + current.draw_delay(),
            bytes: Bytes::copy_from_slice(&buffer[..read]),
        };
        sender.send(chunk).await.map_err(|_| Broken::Reset)?;
        if let Some(rate) = current.bytes_per_second {
            let seconds = read as f64 / f64::from(rate.get());
            tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
        }
    }
}

struct Writing<'a, W> {
    writer: W,
    faults: DirectionFaults,
    count: DirectionCount<'a>,
    /// Bytes delivered on this connection.
    passed: u64,
    /// Whether the cut that lasts has dropped bytes.
    lost_bytes: bool,
}

impl<W: AsyncWrite + Unpin> Writing<'_, W> {
    async fn write_chunks(mut self, mut chunks: mpsc::Receiver<Chunk>) -> Result<(), Broken> {
        while let Some(chunk) = self.next(&mut chunks).await? {
            tokio::time::sleep_until(chunk.due).await;
            let faults = self.faults.current();
            if faults.cut {
                self.drop_bytes(&chunk.bytes);
            } else if self.lost_bytes {
                return Err(Broken::Reset);
            } else {
                self.deliver(&chunk.bytes, faults.close_after_bytes).await?;
            }
        }
        self.finish().await
    }

    /// The next chunk; a connection that lost bytes is broken as the cut ends.
    async fn next(&mut self, chunks: &mut mpsc::Receiver<Chunk>) -> Result<Option<Chunk>, Broken> {
        if !self.lost_bytes {
            return Ok(chunks.recv().await);
        }
        tokio::select! {
            biased;
            _ = self.faults.wait_for(|faults| !faults.cut) => Err(Broken::Reset),
            chunk = chunks.recv() => Ok(chunk),
        }
    }

    fn drop_bytes(&mut self, bytes: &[u8]) {
        self.lost_bytes = true;
        let dropped = bytes.len() as u64;
        self.count.dropped.fetch_add(dropped, Ordering::Relaxed);
    }

    async fn deliver(&mut self, bytes: &[u8], close_after: Option<u64>) -> Result<(), Broken> {
        let most = close_after.map_or(u64::MAX, |limit| limit.saturating_sub(self.passed));
        let allowed = bytes.len().min(usize::try_from(most).unwrap_or(usize::MAX));
        self.writer.write_all(&bytes[..allowed]).await?;
        self.writer.flush().await?;
        self.passed += allowed as u64;
        self.count
            .delivered
            .fetch_add(allowed as u64, Ordering::Relaxed);
        if allowed as u64 == most {
            return Err(Broken::Closed);
        }
        Ok(())
    }

    async fn finish(mut self) -> Result<(), Broken> {
        self.faults.wait_for(|faults| !faults.cut).await?;
        if self.lost_bytes {
            return Err(Broken::Reset);
        }
        Ok(self.writer.shutdown().await?)
    }
}
