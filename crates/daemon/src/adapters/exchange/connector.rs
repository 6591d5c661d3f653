//! Opens exchanges with homes.

use super::frames::{FrameError, FramedStream, decode, encode, frame_stream};
use super::local::open_local;
use crate::app::home::HomeService;
use crate::domain::exchange::{EXCHANGE_VERSION, FrontMessage, HomeMessage, OpenExchange};
use crate::domain::verdict::{FailureKind, RequestFailure};
use crate::ports::exchange::{ExchangeLost, HomeConnector, HomeExchange};
use crate::ports::fleet::FleetReceiver;
use async_trait::async_trait;
use futures::{FutureExt, SinkExt, StreamExt};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use stilequay_coordination::identity::NodeId;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Greatest time to connect to another daemon and exchange Hello.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Idle connections kept to one daemon.
const IDLE_PER_HOME: usize = 256;

/// Opens exchanges over TCP, and within the process where this daemon is the home.
pub struct ExchangeConnector {
    own: NodeId,
    fleet: FleetReceiver,
    local: HomeService,
    transports: Arc<IdleTransports>,
}

impl ExchangeConnector {
    /// A connector of the daemon `own`, whose home side is `local`.
    pub fn new(own: NodeId, fleet: FleetReceiver, local: HomeService) -> Self {
        let transports = Arc::new(IdleTransports {
            idle_time: local.settings().idle_transport(),
            by_address: Mutex::default(),
        });
        Self {
            own,
            fleet,
            local,
            transports,
        }
    }

    fn address_of(&self, home: &NodeId) -> Result<String, RequestFailure> {
        let fleet = self.fleet.borrow();
        let member = fleet.members.get(home);
        let address = member.map(|member| member.peer_address.clone());
        address.ok_or_else(|| unreachable(home, "it is not in the fleet"))
    }

    async fn transport(&self, address: &str) -> Result<Transport, FrameError> {
        if let Some(transport) = self.transports.take(address) {
            return Ok(transport);
        }
        let frame_bytes = self.local.settings().frame_bytes;
        let connecting = Transport::connect(address, frame_bytes);
        timeout(CONNECT_TIMEOUT, connecting)
            .await
            .unwrap_or_else(|_| Err(FrameError::Io(std::io::ErrorKind::TimedOut.into())))
    }
}

#[async_trait]
impl HomeConnector for ExchangeConnector {
    async fn open(
        &self,
        home: &NodeId,
        open: OpenExchange,
    ) -> Result<Box<dyn HomeExchange>, RequestFailure> {
        if *home == self.own {
            return Ok(open_local(&self.local, open).await);
        }
        let address = self.address_of(home)?;
        let failed = |error: FrameError| unreachable(home, &error.to_string());
        let mut transport = self.transport(&address).await.map_err(failed)?;
        transport
            .send(&FrontMessage::Open(open))
            .await
            .map_err(failed)?;
        Ok(Box::new(TcpExchange {
            transport,
            address,
            transports: self.transports.clone(),
        }))
    }
}

fn unreachable(home: &NodeId, reason: &str) -> RequestFailure {
    let message = format!("home {home} can't be reached: {reason}");
    RequestFailure::not_run(FailureKind::HomeUnreachable, message)
}

/// A connection to another daemon, after Hello.
struct Transport {
    stream: FramedStream,
    frame_bytes: usize,
}

impl Transport {
    async fn connect(address: &str, frame_bytes: usize) -> Result<Self, FrameError> {
        let stream = TcpStream::connect(address).await?;
        let mut transport = Self {
            stream: frame_stream(stream, frame_bytes)?,
            frame_bytes,
        };
        let hello = FrontMessage::Hello {
            version: EXCHANGE_VERSION,
        };
        transport.send(&hello).await?;
        match transport.receive().await? {
            Some(HomeMessage::Hello { version }) if version == EXCHANGE_VERSION => Ok(transport),
            _ => Err(FrameError::Io(std::io::ErrorKind::Unsupported.into())),
        }
    }

    async fn send(&mut self, message: &FrontMessage) -> Result<(), FrameError> {
        let content = encode(message, self.frame_bytes)?;
        self.stream.send(content).await?;
        Ok(())
    }

    /// The next message; `None` at the end of the stream.
    async fn receive(&mut self) -> Result<Option<HomeMessage>, FrameError> {
        match self.stream.next().await {
            Some(Ok(content)) => Ok(Some(decode(&content)?)),
            Some(Err(error)) => Err(FrameError::Io(error)),
            None => Ok(None),
        }
    }

    /// Whether an idle connection still stands, as far as can be told without asking.
    fn is_quiet(&mut self) -> bool {
        self.stream.next().now_or_never().is_none()
    }
}

/// The front's end of an exchange with another daemon.
struct TcpExchange {
    transport: Transport,
    address: String,
    transports: Arc<IdleTransports>,
}

#[async_trait]
impl HomeExchange for TcpExchange {
    async fn send(&mut self, message: FrontMessage) -> Result<(), ExchangeLost> {
        self.transport.send(&message).await.map_err(lost)
    }

    async fn receive(&mut self) -> Result<HomeMessage, ExchangeLost> {
        let message = self.transport.receive().await.map_err(lost)?;
        message.ok_or(ExchangeLost::Closed)
    }

    async fn release(mut self: Box<Self>) {
        if self.transport.send(&FrontMessage::Release).await.is_ok() {
            self.transports.put(self.address, self.transport);
        }
    }
}

fn lost(error: FrameError) -> ExchangeLost {
    match error {
        FrameError::Io(_) => ExchangeLost::Closed,
        other => ExchangeLost::Protocol(other.to_string()),
    }
}

/// Connections to other daemons that carry no exchange.
struct IdleTransports {
    idle_time: Duration,
    by_address: Mutex<HashMap<String, Vec<IdleTransport>>>,
}

struct IdleTransport {
    transport: Transport,
    since: Instant,
}

impl IdleTransports {
    /// The connection that was used last, because the others are nearer their expiry.
    fn take(&self, address: &str) -> Option<Transport> {
        let mut by_address = self.lock();
        let idle = by_address.get_mut(address)?;
        while let Some(mut candidate) = idle.pop() {
            if candidate.since.elapsed() < self.idle_time && candidate.transport.is_quiet() {
                return Some(candidate.transport);
            }
        }
        None
    }

    fn put(&self, address: String, transport: Transport) {
        let mut by_address = self.lock();
        by_address.retain(|_, idle| {
            idle.retain(|candidate| candidate.since.elapsed() < self.idle_time);
            !idle.is_empty()
        });
        let idle = by_address.entry(address).or_default();
        if idle.len() < IDLE_PER_HOME {
            idle.push(IdleTransport {
                transport,
                since: Instant::now(),
            });
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<String, Vec<IdleTransport>>> {
        self.by_address
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
