//! Messages in frames: a length, then the message in MessagePack.

use bytes::{Bytes, BytesMut};
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

quick_error! {
    /// Why a frame was not sent or understood.
    #[derive(Debug)]
    pub enum FrameError {
        /// The connection broke.
        Io(error: io::Error) {
            from()
            source(error)
            display("{error}")
        }
        /// A message could not be encoded.
        Encode(error: rmp_serde::encode::Error) {
            from()
            source(error)
            display("{error}")
        }
        /// A frame holds no message of the expected kind.
        Decode(error: rmp_serde::decode::Error) {
            from()
            source(error)
            display("{error}")
        }
        /// A message is longer than a frame may be.
        TooLong(length: usize) {
            display("a message of {length} bytes is longer than a frame may be")
        }
    }
}

/// A connection that carries frames of bounded length.
pub type FramedStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Carries frames of at most `frame_bytes` over `stream`.
pub fn frame_stream(stream: TcpStream, frame_bytes: usize) -> io::Result<FramedStream> {
    stream.set_nodelay(true)?;
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(frame_bytes)
        .new_codec();
    Ok(Framed::new(stream, codec))
}

/// Encodes a message into a frame's content.
pub fn encode<M: Serialize>(message: &M, frame_bytes: usize) -> Result<Bytes, FrameError> {
    let content = rmp_serde::to_vec(message)?;
    if content.len() > frame_bytes {
        return Err(FrameError::TooLong(content.len()));
    }
    Ok(content.into())
}

/// Decodes a frame's content.
pub fn decode<M: DeserializeOwned>(content: &BytesMut) -> Result<M, FrameError> {
    Ok(rmp_serde::from_slice(content)?)
}
