//! Three small processes that keep session floors for each other.
//!
//! Start three times, each in a terminal of its own:
//!
//! ```text
//! three_nodes --node a --listen 127.0.0.1:7101 --peers a=127.0.0.1:7101,b=127.0.0.1:7102,c=127.0.0.1:7103
//! three_nodes --node b --listen 127.0.0.1:7102 --peers ...
//! three_nodes --node c --listen 127.0.0.1:7103 --peers ...
//! ```
//!
//! Then type `write SESSION` at one and `read SESSION` at another; kill one and go on;
//! start it again, without memory, and read there. Node `a` plays the database: its
//! log position is a counter. `peers ADDRESSES` replaces the addresses, for nodes that
//! listen at port 0. Answers come as JSON lines on the standard output.

mod network;
mod node;

use getopts::Options;
use network::Addresses;
use node::Node;
use serde::Serialize;
use std::error::Error;
use std::net::SocketAddr;
use stilequay_coordination::floors::Readiness;
use stilequay_coordination::identity::NodeId;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::TcpListener;

/// What the process tells, one JSON line each.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "camelCase")]
enum Event {
    Listening { address: SocketAddr },
    Ready,
    Written { session: String, floor: String },
    Read { session: String, floor: String },
    Failed { reason: String },
}

impl Event {
    fn print(&self) -> Result<(), serde_json::Error> {
        println!("{}", serde_json::to_string(self)?);
        Ok(())
    }
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut options = Options::new();
    options.reqopt("", "node", "name of this node: a, b or c", "NAME");
    options.reqopt("", "listen", "address to listen at", "IP:PORT");
    options.optopt("", "peers", "addresses of all nodes", "NAME=IP:PORT,...");
    let flags = match options.parse(std::env::args().skip(1)) {
        Ok(flags) => flags,
        Err(error) => {
            let usage = options.usage("Usage: three_nodes --node NAME --listen IP:PORT");
            return Err(format!("{error}\n{usage}").into());
        }
    };
    let own = NodeId::new(flags.opt_str("node").unwrap_or_default());
    let listen: SocketAddr = flags.opt_str("listen").unwrap_or_default().parse()?;

    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    let node = Node::start(own, listener);
    Event::Listening { address }.print()?;
    if let Some(peers) = flags.opt_str("peers") {
        node.set_addresses(Addresses::parse(&peers)?);
    }
    tokio::spawn(announce_ready(node.clone()));
    run_commands(node).await
}

/// Tells once the node answers reads.
async fn announce_ready(node: Node) {
    node.wait_for(Readiness::Ready).await;
    if let Err(error) = Event::Ready.print() {
        eprintln!("{error}");
    }
}

/// Runs the commands of the standard input until it ends.
async fn run_commands(node: Node) -> Result<(), Box<dyn Error>> {
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    while let Some(line) = lines.next_line().await? {
        let event = match line.split_once(' ') {
            Some(("peers", addresses)) => {
                node.set_addresses(Addresses::parse(addresses)?);
                continue;
            }
            Some(("write", session)) => written(&node, session).await,
            Some(("read", session)) => read(&node, session).await,
            _ => Err("commands: peers ADDRESSES, write SESSION, read SESSION".into()),
        };
        let failed = |error: Box<dyn Error>| Event::Failed {
            reason: error.to_string(),
        };
        event.unwrap_or_else(failed).print()?;
    }
    Ok(())
}

async fn written(node: &Node, session: &str) -> Result<Event, Box<dyn Error>> {
    let floor = node.write(session).await?;
    Ok(Event::Written {
        session: session.to_owned(),
        floor: floor.to_string(),
    })
}

async fn read(node: &Node, session: &str) -> Result<Event, Box<dyn Error>> {
    let floor = node.read(session).await?;
    Ok(Event::Read {
        session: session.to_owned(),
        floor: floor.to_string(),
    })
}
