//! One of the three nodes.

use crate::network::{Addresses, CallError, Frames, Reply, Request, call};
use async_trait::async_trait;
use std::error::Error;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use stilequay_coordination::floors::{
    BarrierError, BarrierSource, Epoch, FloorClient, FloorClientSettings, FloorHome,
    FloorPlacement, FloorRegisterSettings, FloorReply, FloorRequest, FloorTransport,
    FloorTransportError, Readiness, SessionKey,
};
use stilequay_coordination::identity::NodeId;
use stilequay_coordination::position::{Floor, LogPosition, Term};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// The nodes; the first one plays the database.
const NODES: [&str; 3] = ["a", "b", "c"];
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const READINESS_POLL: Duration = Duration::from_millis(20);

/// A node. Clones are handles of the same one.
#[derive(Clone)]
pub struct Node {
    own: NodeId,
    home: Arc<FloorHome>,
    network: Arc<Network>,
    /// The log's position, at the node that plays the database.
    committed: Arc<AtomicU64>,
}

impl Node {
    /// Serves `listener`, and takes part as soon as addresses are set.
    pub fn start(own: NodeId, listener: TcpListener) -> Self {
        let network = Arc::new(Network {
            addresses: watch::Sender::new(Addresses::default()),
        });
        let settings = FloorRegisterSettings::default();
        let home = FloorHome::new(own.clone(), settings, network.clone(), network.clone());
        let node = Self {
            own,
            home: Arc::new(home),
            network,
            committed: Arc::default(),
        };
        tokio::spawn(accept(node.clone(), listener));
        tokio::spawn(follow(node.clone()));
        node
    }

    /// Replaces the addresses of all nodes.
    pub fn set_addresses(&self, addresses: Addresses) {
        self.network.addresses.send_replace(addresses);
    }

    /// Waits until the node serves that much.
    pub async fn wait_for(&self, readiness: Readiness) {
        while self.home.readiness() < readiness {
            tokio::time::sleep(READINESS_POLL).await;
        }
    }

    /// Commits something for a session. When it returns, every later read of the
    /// session at any node covers it.
    pub async fn write(&self, session: &str) -> Result<Floor, Box<dyn Error>> {
        let floor = self.network.ask_database(Request::Commit).await?;
        let key = SessionKey::of(session);
        self.client().store(&self.placement(), key, floor).await?;
        Ok(floor)
    }

    /// The floor that the session's next read must have reached. Where no majority of
    /// the homes can tell, a barrier takes its place.
    pub async fn read(&self, session: &str) -> Result<Floor, Box<dyn Error>> {
        let key = SessionKey::of(session);
        match self.client().load(&self.placement(), key).await {
            Ok(floor) => Ok(floor),
            Err(_) => Ok(self.network.barrier().await?),
        }
    }

    fn client(&self) -> FloorClient {
        let settings = FloorClientSettings {
            timeout: CALL_TIMEOUT,
            ..FloorClientSettings::default()
        };
        FloorClient::new(self.network.clone(), settings)
    }

    /// The only placement there is, this node named first.
    fn placement(&self) -> FloorPlacement {
        let mut homes = NODES.map(NodeId::new).to_vec();
        homes.sort_by_key(|home| *home != self.own);
        FloorPlacement {
            epoch: Epoch(1),
            homes,
            previous: Vec::new(),
        }
    }

    fn answer(&self, request: Request) -> Reply {
        let is_database = self.own.as_str() == NODES[0];
        match request {
            Request::Floors(request) => Reply::Floors(self.home.handle(request)),
            _ if !is_database => Reply::NotPrimary,
            Request::Commit => position(self.committed.fetch_add(1, Ordering::SeqCst) + 1),
            Request::Position => position(self.committed.load(Ordering::SeqCst)),
        }
    }
}

fn position(committed: u64) -> Reply {
    Reply::Position(Floor::new(Term(1), LogPosition(committed)))
}

async fn follow(node: Node) {
    let (_sender, placements) = watch::channel(Some(node.placement()));
    node.home.follow(placements, CancellationToken::new()).await;
}

async fn accept(node: Node, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let node = node.clone();
        tokio::spawn(async move {
            if let Err(error) = answer_calls(node, stream).await {
                eprintln!("{error}");
            }
        });
    }
}

async fn answer_calls(node: Node, stream: TcpStream) -> Result<(), CallError> {
    let mut frames = Frames::new(stream);
    while let Some(request) = frames.receive().await? {
        frames.send(&node.answer(request)).await?;
    }
    Ok(())
}

/// The other nodes, and this one.
struct Network {
    addresses: watch::Sender<Addresses>,
}

impl Network {
    async fn call(&self, node: &NodeId, request: Request) -> Result<Reply, CallError> {
        let address = self.addresses.borrow().of(node)?;
        call(address, request).await
    }

    async fn ask_database(&self, request: Request) -> Result<Floor, BarrierError> {
        match self.call(&NodeId::new(NODES[0]), request).await {
            Ok(Reply::Position(floor)) => Ok(floor),
            Ok(reply) => Err(BarrierError::Unavailable(format!("{reply:?}"))),
            Err(error) => Err(BarrierError::Unavailable(error.to_string())),
        }
    }
}

#[async_trait]
impl FloorTransport for Network {
    async fn call(
        &self,
        home: &NodeId,
        request: FloorRequest,
    ) -> Result<FloorReply, FloorTransportError> {
        match self.call(home, Request::Floors(request)).await {
            Ok(Reply::Floors(reply)) => Ok(reply),
            Ok(reply) => Err(FloorTransportError::Unreachable(format!("{reply:?}"))),
            Err(error) => Err(FloorTransportError::Unreachable(error.to_string())),
        }
    }
}

#[async_trait]
impl BarrierSource for Network {
    async fn barrier(&self) -> Result<Floor, BarrierError> {
        self.ask_database(Request::Position).await
    }
}
