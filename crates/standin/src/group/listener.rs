//! Accepting the connections of a member.

use super::authentication::Authentication;
use super::connection::{Connection, Handlers};
use super::member::Member;
use pgwire::tokio::process_socket;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Serves `listener` until `stop` is cancelled, which also closes the connections.
pub(crate) async fn serve(
    listener: TcpListener,
    member: Arc<Member>,
    authentication: Arc<Authentication>,
    stop: CancellationToken,
    tasks: TaskTracker,
) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
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
    tokio::select! {
        () = stop.cancelled() => {}
        () = closed.cancelled() => {}
        served = serving => if let Err(error) = served {
            log::debug!(member:% = member.name, error:% = error; "a connection broke");
        },
    }
}
