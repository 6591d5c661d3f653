//! Connections of a service that can be broken off without an answer.

use crate::switched_listener::SwitchedListener;
use axum::extract::connect_info::Connected;
use axum::serve::{IncomingStream, Listener};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

/// Breaks off one connection.
#[derive(Debug, Clone)]
pub struct ConnectionControl {
    broken: CancellationToken,
}

impl ConnectionControl {
    /// Closes the connection; nothing is written to it any more.
    pub fn break_off(&self) {
        self.broken.cancel();
    }
}

/// Breaks off all connections of a service at once.
#[derive(Debug, Clone, Default)]
pub struct AllConnections {
    current: Arc<Mutex<CancellationToken>>,
}

impl AllConnections {
    /// Breaks off the connections accepted until now.
    pub fn break_off(&self) {
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        current.cancel();
        *current = CancellationToken::new();
    }

    fn control_for_new(&self) -> ConnectionControl {
        let current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        ConnectionControl {
            broken: current.child_token(),
        }
    }
}

/// A listener for `axum` whose connections can be broken off.
#[derive(Debug)]
pub struct BreakableListener {
    inner: SwitchedListener,
    connections: AllConnections,
}

impl BreakableListener {
    /// Wraps `inner`; its connections are broken off through `connections`.
    pub fn new(inner: SwitchedListener, connections: AllConnections) -> Self {
        Self { inner, connections }
    }
}

impl Listener for BreakableListener {
    type Io = BreakableStream;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Self::Io, Self::Addr) {
        let (stream, address) = self.inner.accept().await;
        let control = self.connections.control_for_new();
        (BreakableStream::new(stream, control), address)
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.inner.local_address())
    }
}

impl Connected<IncomingStream<'_, BreakableListener>> for ConnectionControl {
    fn connect_info(stream: IncomingStream<'_, BreakableListener>) -> Self {
        stream.io().control.clone()
    }
}

/// A TCP stream that fails once its [`ConnectionControl`] broke it off.
#[derive(Debug)]
pub struct BreakableStream {
    stream: TcpStream,
    control: ConnectionControl,
    broken: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl BreakableStream {
    fn new(stream: TcpStream, control: ConnectionControl) -> Self {
        let broken = Box::pin(control.broken.clone().cancelled_owned());
        Self {
            stream,
            control,
            broken,
        }
    }

    fn check(&self) -> io::Result<()> {
        if self.control.broken.is_cancelled() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(())
    }
}

impl AsyncRead for BreakableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.broken.as_mut().poll(context).is_ready() {
            return Poll::Ready(self.check());
        }
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for BreakableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, data));
        Poll::Ready(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.check()?;
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
