//! A TCP listener that can refuse connections for a while without losing its port.

use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

const BACKLOG: u32 = 1024;

/// Accepts connections while its [`ListenerSwitch`] is open. While it is closed,
/// the kernel refuses connections to the port.
#[derive(Debug)]
pub struct SwitchedListener {
    /// Bound but never listening: keeps the port from other processes while
    /// `listener` is closed.
    _reservation: TcpSocket,
    address: SocketAddr,
    listener: Option<TcpListener>,
    open: watch::Receiver<bool>,
    listening: watch::Sender<bool>,
}

/// Opens and closes a [`SwitchedListener`].
#[derive(Debug)]
pub struct ListenerSwitch {
    open: watch::Sender<bool>,
    listening: watch::Receiver<bool>,
}

impl SwitchedListener {
    /// Binds `address` (port 0 for any free port) and listens.
    pub fn bind(address: SocketAddr) -> io::Result<(Self, ListenerSwitch)> {
        let reservation = shared_socket(address)?;
        let address = reservation.local_addr()?;
        let listener = listen(address)?;
        let (open, open_receiver) = watch::channel(true);
        let (listening, listening_receiver) = watch::channel(true);
        let switched = Self {
            _reservation: reservation,
            address,
            listener: Some(listener),
            open: open_receiver,
            listening,
        };
        let switch = ListenerSwitch {
            open,
            listening: listening_receiver,
        };
        Ok((switched, switch))
    }

    /// The bound address.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// The next connection. Never returns once the switch is dropped while closed.
    pub async fn accept(&mut self) -> (TcpStream, SocketAddr) {
        loop {
            if !*self.open.borrow_and_update() {
                self.close_until_opened().await;
            }
            if let Some(accepted) = self.accept_or_switched().await {
                return accepted;
            }
        }
    }

    async fn accept_or_switched(&mut self) -> Option<(TcpStream, SocketAddr)> {
        let Some(listener) = &self.listener else {
            self.listener = self.try_listen().await;
            return None;
        };
        tokio::select! {
            biased;
            Ok(()) = self.open.changed() => None,
            accepted = listener.accept() => accepted.ok(),
        }
    }

    async fn try_listen(&self) -> Option<TcpListener> {
        match listen(self.address) {
            Ok(listener) => {
                self.listening.send_replace(true);
                Some(listener)
            }
            Err(error) => {
                log::warn!(address:% = self.address, error:% = error; "cannot listen again");
                tokio::time::sleep(std::time::Duration::from_millis(10)).await;
                None
            }
        }
    }

    async fn close_until_opened(&mut self) {
        self.listener = None;
        self.listening.send_replace(false);
        if self.open.wait_for(|open| *open).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

impl ListenerSwitch {
    /// Opens or closes the listener and returns once that is in effect, which
    /// needs the listener to be accepting.
    pub async fn set_open(&self, open: bool) {
        self.open.send_replace(open);
        let mut listening = self.listening.clone();
        // An error says that the listener is gone: then nothing listens any more.
        let _ = listening.wait_for(|listening| *listening == open).await;
    }
}

fn shared_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket)
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    shared_socket(address)?.listen(BACKLOG)
}
