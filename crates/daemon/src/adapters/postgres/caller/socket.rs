//! A caller's socket: whole frames in, encoded messages out.

use super::shape;
use crate::app::front::FrontSettings;
use bytes::{Buf, BytesMut};
use pgwire::messages::{DecodeContext, PgWireFrontendMessage};
use quick_error::quick_error;
use std::io;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Type byte and length of a frame.
const HEADER_BYTES: usize = 5;
/// Bytes of the length field, which counts itself.
const LENGTH_BYTES: usize = 4;
/// Length and code of a startup frame.
const STARTUP_HEADER_BYTES: usize = 8;
/// Room made for one read.
const READ_BYTES: usize = 8 << 10;
/// Time for which a refused caller is read so that it gets to see the refusal.
const LINGER: Duration = Duration::from_secs(1);

quick_error! {
    /// Why nothing more can be read from or written to a caller.
    #[derive(Debug)]
    pub enum SocketError {
        /// The caller closed the connection or it broke.
        Gone(error: io::Error) {
            display("the caller is gone: {error}")
            from()
        }
        /// A frame is not what the protocol allows.
        Malformed(reason: String) {
            display("{reason}")
        }
        /// A frame is over its limit.
        TooLarge { length: usize, limit: usize } {
            display("a frame of {length} bytes is over the limit of {limit}")
        }
    }
}

/// A caller's connection.
pub(super) struct CallerSocket {
    stream: TcpStream,
    buffer: BytesMut,
    max_frame_bytes: usize,
    write_stall: Duration,
}

impl CallerSocket {
    pub(super) fn new(stream: TcpStream, settings: &FrontSettings) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
            max_frame_bytes: settings.max_frame_bytes,
            write_stall: settings.write_stall(),
        }
    }

    /// The next message. Cancel-safe: what has been read stays in the buffer.
    pub(super) async fn next_message(&mut self) -> Result<PgWireFrontendMessage, SocketError> {
        self.next_message_within(self.max_frame_bytes).await
    }

    /// The next message, of at most `limit` bytes. Cancel-safe.
    pub(super) async fn next_message_within(
        &mut self,
        limit: usize,
    ) -> Result<PgWireFrontendMessage, SocketError> {
        loop {
            if let Some(message) = self.decode(limit)? {
                return Ok(message);
            }
            self.fill().await?;
        }
    }

    /// The next frame of the startup phase, which has no type byte. Cancel-safe.
    pub(super) async fn next_startup_frame(
        &mut self,
        limit: usize,
    ) -> Result<BytesMut, SocketError> {
        loop {
            if let Some(length) = frame_length(&self.buffer) {
                check_length(length, STARTUP_HEADER_BYTES, limit)?;
                if self.buffer.len() >= length {
                    return Ok(self.buffer.split_to(length));
                }
            }
            self.fill().await?;
        }
    }

    fn decode(&mut self, limit: usize) -> Result<Option<PgWireFrontendMessage>, SocketError> {
        let Some(length) = self.buffer.get(1..).and_then(frame_length) else {
            return Ok(None);
        };
        check_length(length, LENGTH_BYTES, limit)?;
        let whole = length + 1;
        if self.buffer.len() < whole {
            return Ok(None);
        }
        let mut frame = self.buffer.split_to(whole);
        let message_type = frame[0];
        if !shape::is_well_formed(message_type, &frame[HEADER_BYTES..]) {
            let shown = message_type.escape_ascii();
            return Err(SocketError::Malformed(format!(
                "malformed message of type '{shown}'"
            )));
        }
        PgWireFrontendMessage::decode(&mut frame, &running_context())
            .map_err(|error| SocketError::Malformed(error.to_string()))
    }

    /// Reads what has arrived. An idle connection holds no buffer while it waits.
    async fn fill(&mut self) -> Result<(), SocketError> {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
        loop {
            self.stream.readable().await?;
            self.buffer.reserve(READ_BYTES);
            match self.stream.try_read_buf(&mut self.buffer) {
                Ok(0) => return Err(SocketError::Gone(io::ErrorKind::UnexpectedEof.into())),
                Ok(_) => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error.into()),
            }
        }
    }

    /// Returns once the caller has closed the connection; never while it sends.
    pub(super) async fn closed(&self) {
        let mut byte = [0; 1];
        match self.stream.peek(&mut byte).await {
            Ok(0) | Err(_) => {}
            Ok(_) => std::future::pending().await,
        }
    }

    /// Writes all of `bytes`; a caller that does not read in time counts as gone.
    pub(super) async fn write(&mut self, bytes: &[u8]) -> Result<(), SocketError> {
        match timeout(self.write_stall, self.stream.write_all(bytes)).await {
            Ok(written) => Ok(written?),
            Err(_) => Err(SocketError::Gone(io::ErrorKind::TimedOut.into())),
        }
    }

    /// Writes a last message and closes. What the caller has sent meanwhile is
    /// read and dropped for a short time: closing over unread bytes would reset the
    /// connection, and the caller might never see the message.
    pub(super) async fn close_with(mut self, bytes: &[u8]) {
        if self.write(bytes).await.is_err() || self.stream.shutdown().await.is_err() {
            return;
        }
        let drained = async {
            while self.fill().await.is_ok() {
                self.buffer.clear();
            }
        };
        // Whether the caller closes in time changes nothing for us.
        let _ = timeout(LINGER, drained).await;
    }
}

fn frame_length(bytes: &[u8]) -> Option<usize> {
    let mut field = bytes.get(..LENGTH_BYTES)?;
    usize::try_from(field.get_u32()).ok()
}

fn check_length(length: usize, least: usize, limit: usize) -> Result<(), SocketError> {
    if length < least {
        return Err(SocketError::Malformed(format!(
            "a frame can't have {length} bytes"
        )));
    }
    if length > limit {
        return Err(SocketError::TooLarge { length, limit });
    }
    Ok(())
}

/// The codec's context after the startup phase.
fn running_context() -> DecodeContext {
    let mut context = DecodeContext::default();
    context.awaiting_frontend_ssl = false;
    context.awaiting_frontend_startup = false;
    context
}
