//! A link from this process to another one, shared by all sessions.

use super::frame::{
    ExchangeId, FollowedVersions, FromHome, HomeOutcome, RequiredFreshness, RunRequest,
    StoreUpdates, ToHome, UnitId, decode, encode,
};
use crate::names::{GroupName, TenantName};
use crate::ports::{GroupSnapshot, PeerLink};
use crate::rate::counter::{PermitReply, Shard};
use crate::version::StoreVersion;
use bytes::Bytes;
use std::collections::HashMap;
use std::fmt;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use stilequay_coordination::lease::LeaseRecord;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// How long other links are preferred to one whose far end knows too little; doubled each time
/// that it still does.
const DEPRIORITIZED_FOR: Duration = Duration::from_millis(700);
/// How often that is doubled, at the most.
const MAX_DEPRIORITIZATION_DOUBLINGS: u32 = 3;
/// Interval in which a link is looked after.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Silence after which a home that owes an answer is pinged.
const PING_AFTER: Duration = Duration::from_millis(80);
/// Silence after a ping with which the home counts as lost for the time being.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(200);
/// Silence after a ping that ends the link.
const PING_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without a word after which a link is tried before a request is given to it: the other
/// side may be lost, and the request would be the one to find out.
const PROBE_AFTER: Duration = Duration::from_secs(2);
/// How long a link is kept that nothing is asked on.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// What a home owes.
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
    /// Answers of which parts have come, and when the last of these did.
    partial_answers: HashMap<ExchangeId, (Vec<u8>, Instant)>,
    last_activity: Instant,
    /// When the last word came; `last_activity` may count from a question.
    last_received: Instant,
    pinged_at: Option<Instant>,
    last_used: Instant,
    /// Whether the other links were told that this one has gone silent.
    suspicion_reported: bool,
    leaving: bool,
    deprioritized_until: Option<Instant>,
    /// How often in a row the far end knew too little.
    consecutive_stale_answers: u32,
    closed: bool,
}

/// An open link.
#[derive(Debug)]
pub struct Link {
    tx: mpsc::Sender<Bytes>,
    state: Mutex<LinkState>,
    /// Wakes the task that looks after the link.
    request_registered: Notify,
    /// Wakes those that wait for a word.
    frame_received: Notify,
    /// What is done once it has gone silent.
    on_suspect: OnSuspect,
}

/// What is done once a link has gone silent.
pub(super) struct OnSuspect(pub Box<dyn Fn() + Send + Sync>);

impl fmt::Debug for OnSuspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OnSuspect(..)")
    }
}

impl Link {
    /// Takes an open link into use, and reads what comes over it in a task of its own.
    pub(super) fn spawn(link: PeerLink, on_suspect: OnSuspect) -> Arc<Self> {
        let now = Instant::now();
        let opened = Arc::new(Self {
            tx: link.tx,
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
            // Whoever waits learns that the link has ended.
            state.reply_senders.clear();
        });
        opened
    }

    /// Whether the home is expected to answer.
    pub fn is_usable(&self) -> bool {
        let state = self.lock();
        let now = Instant::now();
        let deprioritized = state.deprioritized_until.is_some_and(|until| now < until);
        !state.leaving && !deprioritized && state.is_alive(now)
    }

    /// Whether nothing was heard for so long that another link is to take this one's place.
    pub(super) fn is_suspect(&self) -> bool {
        let state = self.lock();
        !state.leaving && !state.is_alive(Instant::now())
    }

    /// Notes that no answer has come to what was asked at `asked`, and should have. Where
    /// nothing else was heard since, the link counts as silent: the next one who needs it opens
    /// another.
    pub fn report_timeout(&self, asked: Instant) {
        let mut state = self.lock();
        if state.last_activity <= asked {
            state.pinged_at.get_or_insert(asked);
        }
        drop(state);
        self.request_registered.notify_one();
        self.report_suspicion();
    }

    /// Tells once that the link has gone silent.
    fn report_suspicion(&self) {
        let mut state = self.lock();
        if state.suspicion_reported || state.is_alive(Instant::now()) {
            return;
        }
        state.suspicion_reported = true;
        drop(state);
        (self.on_suspect.0)();
    }

    /// Asks for a sign, unless one is asked for already.
    pub fn ping(&self) {
        let mut state = self.lock();
        if state.closed || state.pinged_at.is_some() {
            return;
        }
        state.pinged_at = Some(Instant::now());
        drop(state);
        self.send(&ToHome::Ping);
    }

    /// Whether the other side has said something lately, or says something by `until`.
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

    /// Whether what was begun here may go on here.
    pub fn is_open(&self) -> bool {
        !self.lock().closed
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.lock().leaving
    }

    /// A number for a unit that begins now.
    pub fn begin_unit(&self) -> UnitId {
        self.lock().allocate_id()
    }

    /// Sends a command; `None` where it was not sent. What is returned resolves with an
    /// error where the link ends first.
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

    /// Tells that nobody waits for `unit` any more.
    pub fn close_unit(&self, unit: UnitId) {
        self.send(&ToHome::Close(unit));
    }

    /// Asks what is believed of `group`; `None` where the link ends first.
    pub async fn query_group(
        &self,
        group: &GroupName,
        wanted: RequiredFreshness,
    ) -> Option<Vec<GroupSnapshot>> {
        let (tx, rx) = oneshot::channel();
        let exchange = self.register(ReplySender::Ask(tx));
        let question = ToHome::Ask {
            exchange,
            group: group.clone(),
            wanted,
        };
        match self.send(&question) {
            true => rx.await.ok(),
            false => None,
        }
    }

    /// Asks for what is newer than `known`, waiting there for up to `wait`. `None` where the link
    /// ends first, or for `patience` longer than that nothing comes: a long answer comes in parts,
    /// and whoever started together with hundreds of others gets them slowly. To ask anew would
    /// have all of it sent again.
    pub async fn follow(
        &self,
        known: FollowedVersions,
        wait: Duration,
        patience: Duration,
    ) -> Option<StoreUpdates> {
        let (tx, mut rx) = oneshot::channel();
        let exchange = self.register(ReplySender::Follow(tx));
        let question = ToHome::Follow {
            exchange,
            known,
            wait,
        };
        if !self.send(&question) {
            return None;
        }
        let mut until = Instant::now() + wait + patience;
        loop {
            match timeout_at(until, &mut rx).await {
                Ok(news) => return news.ok(),
                Err(_) => {
                    until = self
                        .last_part_at(exchange)
                        .filter(|at| *at + patience > until)?
                        + patience
                }
            }
        }
    }

    /// Whether a part of a long answer has come in the last `patience`.
    pub fn is_receiving(&self, patience: Duration) -> bool {
        let now = Instant::now();
        let state = self.lock();
        state
            .partial_answers
            .values()
            .any(|(_, at)| now < *at + patience)
    }

    fn last_part_at(&self, exchange: ExchangeId) -> Option<Instant> {
        self.lock()
            .partial_answers
            .get(&exchange)
            .map(|(_, at)| *at)
    }

    /// Asks for a permit for one operation of `tenant`, or, unless it `takes` one, whether
    /// `shard` is counted there; `None` where the link ends first.
    pub async fn request_permit(
        &self,
        shard: Shard,
        tenant: &TenantName,
        takes: bool,
    ) -> Option<PermitReply> {
        let (tx, rx) = oneshot::channel();
        let exchange = self.register(ReplySender::Draw(tx));
        let question = ToHome::Draw {
            exchange,
            shard,
            tenant: tenant.clone(),
            takes,
        };
        match self.send(&question) {
            true => rx.await.ok(),
            false => None,
        }
    }

    /// Asks the holder of the lease for promotions for the version of the newest record of a term,
    /// which it tells while it holds the lease; `None` where the link ends first.
    pub async fn query_newest_term(&self) -> Option<Option<StoreVersion>> {
        let (tx, rx) = oneshot::channel();
        let exchange = self.register(ReplySender::NewestTerm(tx));
        match self.send(&ToHome::AskNewestTerm { exchange }) {
            true => rx.await.ok(),
            false => None,
        }
    }

    /// Asks the other side to be ready to count `shard` of the rate limits.
    pub fn prepare_counter(&self, shard: Shard) {
        self.send(&ToHome::Want(shard));
    }

    /// Tells the other side of the lease of `shard`, which this process has just written.
    pub fn send_counter_lease(&self, shard: Shard, record: &LeaseRecord) {
        let record = Box::new(record.clone());
        self.send(&ToHome::CounterLease { shard, record });
    }

    /// Tells the other side of the lease for promotions, which this process has just written.
    pub fn send_promotion_lease(&self, record: &LeaseRecord) {
        self.send(&ToHome::PromotionLease(Box::new(record.clone())));
    }

    /// Prefers other links for a while: what is told here is not good enough.
    pub fn deprioritize(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        if state.deprioritized_until.is_some_and(|until| now < until) {
            // Questions that were asked side by side count once.
            return;
        }
        let doublings = state
            .consecutive_stale_answers
            .min(MAX_DEPRIORITIZATION_DOUBLINGS);
        state.deprioritized_until = Some(now + DEPRIORITIZED_FOR * 2_u32.pow(doublings));
        state.consecutive_stale_answers += 1;
    }

    /// Notes that what is told here is good enough.
    pub fn reset_deprioritization(&self) {
        self.lock().consecutive_stale_answers = 0;
    }

    fn register(&self, sender: ReplySender) -> ExchangeId {
        let mut state = self.lock();
        let now = Instant::now();
        if !state.awaits_reply() {
            // Silence counts from the first question.
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

    /// Reads until the link ends, or says what makes no sense.
    async fn read(&self, mut rx: mpsc::Receiver<Bytes>) {
        while let Some(bytes) = rx.recv().await {
            let Some(frame) = decode::<FromHome>(&bytes) else {
                log::warn!("a home said what makes no sense; the link is closed");
                return;
            };
            self.handle_frame(frame);
        }
    }

    /// Takes one part of an answer, and the answer once all parts have come.
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
        match decode::<FromHome>(&bytes.into()) {
            Some(FromHome::Part { .. }) | None => {
                log::warn!("the parts of an answer make no sense together; they are dropped");
            }
            Some(answer) => self.handle_frame(answer),
        }
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
                    // Nobody may be waiting any more.
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

    /// Pings a home that owes an answer and is silent; returns where the link is to end.
    async fn monitor(&self) {
        loop {
            if self.lock().awaits_reply() {
                sleep(CHECK_INTERVAL).await;
            } else {
                // Whichever comes first: a question, or the time to see whether it is used.
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

    /// Whether an answer is due that does not wait for anything to happen.
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
