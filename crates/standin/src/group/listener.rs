//! Accepting the connections of a member, from its start until it is killed.

use super::authentication::Authentication;
use super::connection::{Connection, Handlers};
use super::error::GroupError;
use super::member::Member;
use pgwire::tokio::process_socket;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Connections that wait to be accepted, at most.
const BACKLOG: u32 = 1024;

/// One life of a member's process.
pub(crate) struct Life {
    stop: CancellationToken,
    serving: JoinHandle<io::Result<TcpSocket>>,
}

impl Life {
    /// Serves `listener` on `tasks`, until the life ends or `leaving` is cancelled.
    pub(crate) fn start(
        listener: TcpListener,
        member: Arc<Member>,
        authentication: Arc<Authentication>,
        leaving: &CancellationToken,
        tasks: &TaskTracker,
    ) -> Self {
        let stop = leaving.child_token();
        let serving = serve(
            listener,
            member,
            authentication,
            stop.clone(),
            tasks.clone(),
        );
        Self {
            stop,
            serving: tasks.spawn(serving),
        }
    }

    /// Closes the listener and the connections.
    pub(crate) fn end(&self) {
        self.stop.cancel();
    }

    /// Listens at `address` again, once the listener has closed.
    pub(crate) async fn listen_again(self, address: SocketAddr) -> Result<TcpListener, GroupError> {
        let failed = |error| GroupError::Bind(address, error);
        let ended = self.serving.await.map_err(|error| failed(error.into()))?;
        ended
            .and_then(|socket| socket.listen(BACKLOG))
            .map_err(failed)
    }
}

/// Accepts connections until `stop` is cancelled, which also closes them.
///
/// Returns a socket that keeps the address for the member's next life, and refuses connections
/// meanwhile because it does not listen.
async fn serve(
    listener: TcpListener,
    member: Arc<Member>,
    authentication: Arc<Authentication>,
    stop: CancellationToken,
    tasks: TaskTracker,
) -> io::Result<TcpSocket> {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection =
                    serve_connection(stream, member.clone(), authentication.clone(), stop.clone());
                tasks.spawn(connection);
            }
            Err(error) => {
                log::warn!(member:% = member.name, error:% = error; "cannot accept a connection");
            }
        }
    }
    drop(listener);
    reserve(member.address)
}

fn reserve(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // Connections of the life that ends may still be closing.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

async fn serve_connection(
    stream: TcpStream,
    member: Arc<Member>,
    authentication: Arc<Authentication>,
    stop: CancellationToken,
) {
    let closed = member.clients();
    let serving = async {
        member.acting().await;
        let connection = Arc::new(Connection::new(member.clone(), &authentication));
        process_socket(stream, None, Handlers(connection)).await
    };
    // Biased, so that a connection that was closed while it waited does nothing more.
    tokio::select! {
        biased;
        () = stop.cancelled() => {}
        () = closed.cancelled() => {}
        served = serving => if let Err(error) = served {
            log::debug!(member:% = member.name, error:% = error; "a connection broke");
        },
    }
}
