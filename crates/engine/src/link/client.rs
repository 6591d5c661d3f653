//! The client side of a link: request multiplexing, liveness checks and idle shutdown.

use super::frame::{
    ExchangeId, FollowedVersions, FromHome, HomeOutcome, RequiredFreshness, RunRequest,
    StoreUpdates, ToHome, UnitId, decode_frame, encode,
};
use crate::decoding::{DecodeError, UndecodableKind, report_undecodable};
use crate::events::EventLog;
use crate::names::{GroupName, TenantName};
use crate::ports::{GroupSnapshot, PeerLink};
use crate::rate::counter::{PermitReply, Shard};
use crate::version::StoreVersion;
use bytes::Bytes;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use stilequay_coordination::lease::LeaseRecord;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// How long a link is skipped after its peer gave a stale answer; doubled with each further stale
/// answer in a row.
const DEPRIORITIZED_FOR: Duration = Duration::from_millis(700);
/// Maximum number of doublings of [`DEPRIORITIZED_FOR`].
const MAX_DEPRIORITIZATION_DOUBLINGS: u32 = 3;
/// Interval between liveness checks while a reply is outstanding.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time without traffic after which a peer with an outstanding reply is pinged.
const PING_AFTER: Duration = Duration::from_millis(80);
/// Time without a reply to a ping after which the link is suspect and not used for new requests.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(200);
/// Time without a reply to a ping after which the link is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without received frames after which a link is pinged before it gets a request. Otherwise
/// the request itself would have to time out to detect that the peer is gone.
const PROBE_AFTER: Duration = Duration::from_secs(2);
/// How long a link without requests is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Where the reply to an outstanding request is delivered.
#[derive(Debug)]
enum ReplySender {
    Run(oneshot::Sender<HomeOutcome>),
    Ask(oneshot::Sender<Vec<GroupSnapshot>>),
    Follow(oneshot::Sender<StoreUpdates>),
    Draw(oneshot::Sender<PermitReply>),
    NewestTerm(oneshot::Sender<Option<StoreVersion>>),
}

#[derive(Debug)]
struct LinkState {
    next_id: u64,
    reply_senders: HashMap<ExchangeId, ReplySender>,
    /// Partially received answers, each with the time of its latest part.
    partial_answers: HashMap<ExchangeId, (Vec<u8>, Instant)>,
    /// When the last frame was received, or the first request after an idle time was sent.
    last_activity: Instant,
    /// When the last frame was received.
    last_received: Instant,
    pinged_at: Option<Instant>,
    last_used: Instant,
    /// Whether `on_suspect` was called since the last frame was received.
    suspicion_reported: bool,
    leaving: bool,
    deprioritized_until: Option<Instant>,
    /// Stale answers in a row, with those to concurrent requests counted once.
    consecutive_stale_answers: u32,
    closed: bool,
}

/// An open link to a peer.
#[derive(Debug)]
pub struct Link {
    tx: mpsc::Sender<Bytes>,
    peer: SocketAddr,
    events: Arc<EventLog>,
    state: Mutex<LinkState>,
    /// Wakes the monitoring task.
    request_registered: Notify,
    /// Notified on each received frame.
    frame_received: Notify,
    /// Called when the link becomes suspect.
    on_suspect: OnSuspect,
}

/// A callback that runs when a link becomes suspect.
pub(super) struct OnSuspect(pub Box<dyn Fn() + Send + Sync>);

impl fmt::Debug for OnSuspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OnSuspect(..)")
    }
}

impl Link {
    /// Starts a task that reads from and monitors `link` to `peer`, and returns a handle for
    /// requests.
    pub(super) fn spawn(
        link: PeerLink,
        peer: SocketAddr,
        events: Arc<EventLog>,
        on_suspect: OnSuspect,
    ) -> Arc<Self> {
        let now = Instant::now();
        let opened = Arc::new(Self {
            tx: link.tx,
            peer,
            events,
            state: Mutex::new(LinkState {
                next_id: 1,
                reply_senders: HashMap::new(),
                partial_answers: HashMap::new(),
                last_activity: now,
                last_received: now,
                pinged_at: None,
                last_used: now,
                suspicion_reported: false,
                leaving: false,
                deprioritized_until: None,
                consecutive_stale_answers: 0,
                closed: false,
            }),
            request_registered: Notify::new(),
            frame_received: Notify::new(),
            on_suspect,
        });
        let reading = Arc::clone(&opened);
        tokio::spawn(async move {
            tokio::select! {
                () = reading.read(link.rx) => {}
                () = reading.monitor() => {}
            }
            let mut state = reading.lock();
            state.closed = true;
            // Dropping the senders makes all outstanding requests fail.
            state.reply_senders.clear();
        });
        opened
    }

    /// Whether new requests should be sent on this link.
    pub fn is_usable(&self) -> bool {
        let state = self.lock();
        let now = Instant::now();
        let deprioritized = state.deprioritized_until.is_some_and(|until| now < until);
        !state.leaving && !deprioritized && state.is_alive(now)
    }

    /// Whether the peer is unresponsive, so that a new link should replace this one.
    pub(super) fn is_suspect(&self) -> bool {
        let state = self.lock();
        !state.leaving && !state.is_alive(Instant::now())
    }

    /// Reports that the answer to a request sent at `requested_at` is overdue. If nothing else was
    /// received since, the request counts as an unanswered ping; once the link is suspect, its next
    /// user opens a new one.
    pub fn report_timeout(&self, requested_at: Instant) {
        let mut state = self.lock();
        if state.last_activity <= requested_at {
            state.pinged_at.get_or_insert(requested_at);
        }
        drop(state);
        self.request_registered.notify_one();
        self.report_suspicion();
    }

    /// Calls `on_suspect` once when the link becomes suspect.
    fn report_suspicion(&self) {
        let mut state = self.lock();
        if state.suspicion_reported || state.is_alive(Instant::now()) {
            return;
        }
        state.suspicion_reported = true;
        drop(state);
        (self.on_suspect.0)();
    }

    /// Sends a ping unless one is outstanding.
    pub fn ping(&self) {
        let mut state = self.lock();
        if state.closed || state.pinged_at.is_some() {
            return;
        }
        state.pinged_at = Some(Instant::now());
        drop(state);
        self.send(&ToHome::Ping);
    }

    /// Whether a frame was received recently, or arrives before `until` in response to a ping.
    pub(super) async fn is_responsive(&self, until: Instant) -> bool {
        let began = Instant::now();
        if began < self.lock().last_received + PROBE_AFTER {
            return true;
        }
        let mut frame_received = pin!(self.frame_received.notified());
        frame_received.as_mut().enable();
        self.ping();
        timeout_at(until, frame_received).await.is_ok()
    }

    /// Whether the link is still open. Units in progress continue on a suspect or leaving link.
    pub fn is_open(&self) -> bool {
        !self.lock().closed
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.lock().leaving
    }

    /// Allocates an id for a new unit.
    pub fn begin_unit(&self) -> UnitId {
        self.lock().allocate_id()
    }

    /// Sends a command; returns `None` if it was not sent. The receiver resolves with an error if
    /// the link closes before the outcome arrives.
    pub fn run(&self, mut request: RunRequest) -> Option<oneshot::Receiver<HomeOutcome>> {
        let (tx, rx) = oneshot::channel();
        request.exchange = self.register(ReplySender::Run(tx));
        let exchange = request.exchange;
        let sent = self.send(&ToHome::Run(Box::new(request)));
        if !sent {
            self.lock().reply_senders.remove(&exchange);
        }
        sent.then_some(rx)
    }

    /// Tells the peer to abandon `unit`.
    pub fn close_unit(&self, unit: UnitId) {
        self.send(&ToHome::Close(unit));
    }

    /// Queries the peer's view of `group`; returns `None` if the link closes first.
    pub async fn query_group(
        &self,
        group: &GroupName,
        wanted: RequiredFreshness,
    ) -> Option<Vec<GroupSnapshot>> {
        let (tx, rx) = oneshot::channel();
        let exchange = self.register(ReplySender::Ask(tx));
        let request = ToHome::Ask {
            exchange,
            group: group.clone(),
            wanted,
        };
        match self.send(&request) {
            true => rx.await.ok(),
            false => None,
        }
    }

    /// Long-polls for updates newer than `known`; the peer holds the request for up to `wait`.
    /// Returns `None` if the link closes first, or if nothing arrives for `stall_timeout` beyond
    /// `wait`. Each part of a long answer extends the deadline: when hundreds of processes start
    /// together, the parts arrive slowly, and a retry would make the peer send the whole answer
    /// again.
    pub async fn follow(
        &self,
        known: FollowedVersions,
        wait: Duration,
        stall_timeout: Duration,
    ) -> Option<StoreUpdates> {
        let (tx, mut rx) = oneshot::channel();
        let exchange = self.register(ReplySender::Follow(tx));
        let request = ToHome::Follow {
            exchange,
            known,
            wait,
        };
        if !self.send(&request) {
            return None;
        }
        let mut until = Instant::now() + wait + stall_timeout;
        loop {
            match timeout_at(until, &mut rx).await {
                Ok(news) => return news.ok(),
                Err(_) => {
                    until = self
                        .last_part_at(exchange)
                        .filter(|at| *at + stall_timeout > until)?
                        + stall_timeout
                }
            }
        }
    }

    /// Whether a part of a long answer was received within the last `stall_timeout`.
    pub fn is_receiving(&self, stall_timeout: Duration) -> bool {
        let now = Instant::now();
        let state = self.lock();
        state
            .partial_answers
            .values()
            .any(|(_, at)| now < *at + stall_timeout)
    }

    fn last_part_at(&self, exchange: ExchangeId) -> Option<Instant> {
        self.lock()
            .partial_answers
            .get(&exchange)
            .map(|(_, at)| *at)
    }

    /// Requests a permit for one operation of `tenant`. If `takes` is false, only asks whether the
    /// peer counts `shard`. Returns `None` if the link closes first.
    pub async fn request_permit(
        &self,
        shard: Shard,
        tenant: &TenantName,
        takes: bool,
    ) -> Option<PermitReply> {
        let (tx, rx) = oneshot::channel();
        let exchange = self.register(ReplySender::Draw(tx));
        let request = ToHome::Draw {
            exchange,
            shard,
            tenant: tenant.clone(),
            takes,
        };
        match self.send(&request) {
            true => rx.await.ok(),
            false => None,
        }
    }

    /// Asks the holder of the promotion lease for the version of the newest term record. The inner
    /// value is `None` if the peer doesn't hold the lease, the outer one if the link closes first.
    pub async fn query_newest_term(&self) -> Option<Option<StoreVersion>> {
        let (tx, rx) = oneshot::channel();
        let exchange = self.register(ReplySender::NewestTerm(tx));
        match self.send(&ToHome::AskNewestTerm { exchange }) {
            true => rx.await.ok(),
            false => None,
        }
    }

    /// Asks the peer to prepare to take over counting for `shard` of the rate limits.
    pub fn prepare_counter(&self, shard: Shard) {
        self.send(&ToHome::Want(shard));
    }

    /// Sends the peer the lease of `shard` that this process has just written.
    pub fn send_counter_lease(&self, shard: Shard, record: &LeaseRecord) {
        let record = Box::new(record.clone());
        self.send(&ToHome::CounterLease { shard, record });
    }

    /// Sends the peer the promotion lease that this process has just written.
    pub fn send_promotion_lease(&self, record: &LeaseRecord) {
        self.send(&ToHome::PromotionLease(Box::new(record.clone())));
    }

    /// Skips this link for a while because the peer's answer was stale.
    pub fn deprioritize(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        if state.deprioritized_until.is_some_and(|until| now < until) {
            // Stale answers to concurrent requests count once.
            return;
        }
        let doublings = state
            .consecutive_stale_answers
            .min(MAX_DEPRIORITIZATION_DOUBLINGS);
        state.deprioritized_until = Some(now + DEPRIORITIZED_FOR * 2_u32.pow(doublings));
        state.consecutive_stale_answers += 1;
    }

    /// Resets the deprioritization backoff after a sufficiently fresh answer.
    pub fn reset_deprioritization(&self) {
        self.lock().consecutive_stale_answers = 0;
    }

    fn register(&self, sender: ReplySender) -> ExchangeId {
        let mut state = self.lock();
        let now = Instant::now();
        if !state.awaits_reply() {
            // The time without traffic counts from the first request.
            state.last_activity = now;
            self.request_registered.notify_one();
        }
        state.last_used = now;
        let exchange = state.allocate_id();
        state.reply_senders.insert(exchange, sender);
        exchange
    }

    fn send(&self, frame: &ToHome) -> bool {
        !self.lock().closed && self.tx.try_send(encode(frame)).is_ok()
    }

    /// Reads frames until the link closes or a frame can't be decoded.
    async fn read(&self, mut rx: mpsc::Receiver<Bytes>) {
        while let Some(bytes) = rx.recv().await {
            match decode_frame::<FromHome>(&bytes) {
                Ok(frame) => self.handle_frame(frame),
                Err(error) => {
                    self.report(UndecodableKind::LinkAnswer, &bytes, &error);
                    return;
                }
            }
        }
    }

    fn report(&self, kind: UndecodableKind, bytes: &Bytes, error: &DecodeError) {
        report_undecodable(&self.events, kind, self.peer, Some(bytes), error);
    }

    /// Appends one part of an answer, and handles the answer once the last part has arrived.
    fn handle_part(&self, exchange: ExchangeId, bytes: &Bytes, is_last: bool) {
        let whole = {
            let mut state = self.lock();
            if !state.reply_senders.contains_key(&exchange) {
                state.partial_answers.remove(&exchange);
                return;
            }
            let now = Instant::now();
            let (known, at) = state
                .partial_answers
                .entry(exchange)
                .or_insert((Vec::new(), now));
            known.extend_from_slice(bytes);
            *at = now;
            if !is_last {
                return;
            }
            state.partial_answers.remove(&exchange)
        };
        let Some((bytes, _)) = whole else { return };
        let bytes = Bytes::from(bytes);
        let error = match decode_frame::<FromHome>(&bytes) {
            Ok(FromHome::Part { .. }) => DecodeError::Unexpected("a part within parts"),
            Ok(answer) => return self.handle_frame(answer),
            Err(error) => error,
        };
        self.report(UndecodableKind::LinkAnswerParts, &bytes, &error);
    }

    fn handle_frame(&self, frame: FromHome) {
        let mut state = self.lock();
        state.last_activity = Instant::now();
        state.last_received = state.last_activity;
        self.frame_received.notify_waiters();
        state.pinged_at = None;
        state.suspicion_reported = false;
        match frame {
            FromHome::Pong => {}
            FromHome::Part {
                exchange,
                bytes,
                is_last,
            } => {
                drop(state);
                self.handle_part(exchange, &bytes, is_last);
            }
            FromHome::Leaving => state.leaving = true,
            FromHome::Ran { exchange, outcome } => {
                if let Some(ReplySender::Run(sender)) = state.reply_senders.remove(&exchange) {
                    // The requester may have given up.
                    let _ = sender.send(outcome);
                }
            }
            FromHome::Beliefs { exchange, beliefs } => {
                if let Some(ReplySender::Ask(sender)) = state.reply_senders.remove(&exchange) {
                    let _ = sender.send(beliefs);
                }
            }
            FromHome::Drawn { exchange, drawn } => {
                if let Some(ReplySender::Draw(sender)) = state.reply_senders.remove(&exchange) {
                    let _ = sender.send(drawn);
                }
            }
            FromHome::NewestTerm { exchange, version } => {
                if let Some(ReplySender::NewestTerm(sender)) = state.reply_senders.remove(&exchange)
                {
                    let _ = sender.send(version);
                }
            }
            FromHome::News { exchange, news } => {
                if let Some(ReplySender::Follow(sender)) = state.reply_senders.remove(&exchange) {
                    let _ = sender.send(*news);
                }
            }
        }
    }

    /// Pings a peer that is slow to reply. Returns when the link should be closed because it is
    /// idle or the peer is unresponsive.
    async fn monitor(&self) {
        loop {
            if self.lock().awaits_reply() {
                sleep(CHECK_INTERVAL).await;
            } else {
                // Wait for the next request or the next idle check, whichever comes first.
                let _ = timeout(IDLE_TIMEOUT / 2, self.request_registered.notified()).await;
            }
            let now = Instant::now();
            let mut state = self.lock();
            state.drop_abandoned();
            let awaits_reply = state.awaits_reply();
            if state.reply_senders.is_empty() && now.duration_since(state.last_used) > IDLE_TIMEOUT
            {
                return;
            }
            if state.pinged_at.is_some_and(|at| now >= at + PING_TIMEOUT) {
                return;
            }
            let is_due = awaits_reply && now >= state.last_activity + PING_AFTER;
            drop(state);
            if is_due {
                self.ping();
            }
            self.report_suspicion();
        }
    }

    fn lock(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LinkState {
    fn allocate_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Whether a prompt reply is expected. Long polls don't count: the peer holds them on purpose.
    fn awaits_reply(&self) -> bool {
        let mut reply_senders = self.reply_senders.values();
        reply_senders.any(|sender| !matches!(sender, ReplySender::Follow(_)))
    }

    fn is_alive(&self, now: Instant) -> bool {
        let suspect = self.pinged_at.is_some_and(|at| now >= at + SUSPECT_AFTER);
        !self.closed && !suspect
    }

    fn drop_abandoned(&mut self) {
        let reply_senders = &self.reply_senders;
        self.partial_answers
            .retain(|exchange, _| reply_senders.contains_key(exchange));
        self.reply_senders.retain(|_, sender| match sender {
            ReplySender::Run(sender) => !sender.is_closed(),
            ReplySender::Ask(sender) => !sender.is_closed(),
            ReplySender::Follow(sender) => !sender.is_closed(),
            ReplySender::Draw(sender) => !sender.is_closed(),
            ReplySender::NewestTerm(sender) => !sender.is_closed(),
        });
    }
}
