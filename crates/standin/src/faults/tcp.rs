//! A TCP link.

use super::counters::{LinkCounters, RunningCounters};
use super::pipe::{Broken, DirectionCount, DirectionFaults, pass};
use super::switches::StreamLinkFaults;
use crate::switched_listener::{ListenerSwitch, SwitchedListener};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// A running TCP link; it stops and resets its connections when it is dropped.
#[derive(Debug)]
pub struct TcpLink {
    address: SocketAddr,
    switch: ListenerSwitch,
    shared: Arc<Shared>,
    accepting: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    faults: watch::Sender<StreamLinkFaults>,
    target: watch::Sender<Option<SocketAddr>>,
    counters: RunningCounters,
    /// Cancelled to reset the connections accepted until then.
    reset: Mutex<CancellationToken>,
}

impl TcpLink {
    /// Listens on `listen` (port 0 for any) for connections to `target`. Without a
    /// target, connections are reset.
    pub fn start(listen: SocketAddr, target: Option<SocketAddr>) -> io::Result<Self> {
        let (listener, switch) = SwitchedListener::bind(listen)?;
        let address = listener.local_address();
        let shared = Arc::new(Shared {
            faults: watch::Sender::new(StreamLinkFaults::default()),
            target: watch::Sender::new(target),
            counters: RunningCounters::default(),
            reset: Mutex::default(),
        });
        let accepting = tokio::spawn(accept(listener, Arc::clone(&shared)));
        Ok(Self {
            address,
            switch,
            shared,
            accepting,
        })
    }

    /// The address that the link listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where new connections go.
    pub fn target(&self) -> Option<SocketAddr> {
        *self.shared.target.borrow()
    }

    /// Sets where new connections go.
    pub fn set_target(&self, target: SocketAddr) {
        self.shared.target.send_replace(Some(target));
    }

    /// The faults set.
    pub fn faults(&self) -> StreamLinkFaults {
        *self.shared.faults.borrow()
    }

    /// Replaces the faults; they are in effect once this returns.
    pub async fn set_faults(&self, faults: StreamLinkFaults) {
        self.shared.faults.send_replace(faults);
        self.switch.set_open(!faults.refuse).await;
    }

    /// Resets all connections, by a TCP reset to both sides.
    pub fn reset(&self) {
        self.shared.reset_all();
    }

    /// What has passed over the link.
    pub fn counters(&self) -> LinkCounters {
        self.shared.counters.snapshot()
    }
}

impl Drop for TcpLink {
    fn drop(&mut self) {
        self.accepting.abort();
        self.shared.reset_all();
    }
}

impl Shared {
    fn reset_all(&self) {
        let mut current = self.reset.lock().unwrap_or_else(PoisonError::into_inner);
        current.cancel();
        *current = CancellationToken::new();
    }

    fn reset_token(&self) -> CancellationToken {
        let current = self.reset.lock().unwrap_or_else(PoisonError::into_inner);
        current.clone()
    }

    async fn wait_for(&self, condition: fn(&StreamLinkFaults) -> bool) {
        let mut faults = self.faults.subscribe();
        // The sender lives in `self`, so that waiting cannot fail.
        let _ = faults.wait_for(condition).await;
    }
}

async fn accept(mut listener: SwitchedListener, shared: Arc<Shared>) {
    loop {
        let (source, _) = listener.accept().await;
        let reset = shared.reset_token();
        tokio::spawn(connection(source, Arc::clone(&shared), reset));
    }
}

async fn connection(mut source: TcpStream, shared: Arc<Shared>, reset: CancellationToken) {
    let _open = shared.counters.opened();
    let mut target = None;
    let broken = tokio::select! {
        () = reset.cancelled() => Err(Broken::Reset),
        ended = relay(&mut source, &mut target, &shared) => ended,
    };
    if broken == Err(Broken::Reset) {
        reset_stream(&source);
        target.iter().for_each(reset_stream);
    }
}

/// Passes the connection's bytes both ways until it ends. The end is kept back
/// while the link is cut, as the packets that tell it would be lost.
async fn relay(
    source: &mut TcpStream,
    target: &mut Option<TcpStream>,
    shared: &Shared,
) -> Result<(), Broken> {
    if shared.faults.borrow().half_open {
        shared.wait_for(|faults| !faults.half_open).await;
        return Err(Broken::Reset);
    }
    shared.wait_for(|faults| !faults.any_cut()).await;
    let address = shared.target.borrow().ok_or(Broken::Reset)?;
    let target = target.insert(TcpStream::connect(address).await?);
    source.set_nodelay(true)?;
    target.set_nodelay(true)?;
    let ended = pass_both_ways(source, target, shared).await;
    shared.wait_for(|faults| !faults.any_cut()).await;
    ended
}

async fn pass_both_ways(
    source: &mut TcpStream,
    target: &mut TcpStream,
    shared: &Shared,
) -> Result<(), Broken> {
    let (source_reader, source_writer) = source.split();
    let (target_reader, target_writer) = target.split();
    let to_target = DirectionFaults {
        link: shared.faults.subscribe(),
        select: |faults| &faults.to_target,
    };
    let to_source = DirectionFaults {
        link: shared.faults.subscribe(),
        select: |faults| &faults.to_source,
    };
    let counters = &shared.counters;
    let count_to_target = DirectionCount {
        delivered: &counters.bytes_to_target,
        dropped: &counters.bytes_dropped,
    };
    let count_to_source = DirectionCount {
        delivered: &counters.bytes_to_source,
        dropped: &counters.bytes_dropped,
    };
    tokio::try_join!(
        pass(source_reader, target_writer, to_target, count_to_target),
        pass(target_reader, source_writer, to_source, count_to_source),
    )?;
    Ok(())
}

/// Makes the stream end by a reset in place of an orderly close.
fn reset_stream(stream: &TcpStream) {
    if let Err(error) = stream.set_zero_linger() {
        log::warn!(error:% = error; "a connection cannot be reset");
    }
}
