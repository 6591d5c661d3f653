//! A link from this process to another one, shared by all sessions.

use super::frame::{
    ExchangeId, FollowedVersions, FromHome, HomeOutcome, RequiredFreshness, RunRequest,
    StoreUpdates, ToHome, UnitId, decode, encode,
};
use crate::names::{GroupName, TenantName};
use crate::ports::{GroupSnapshot, PeerLink};
use crate::rate::counter::{Draw, Shard};
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
const DISTRUST: Duration = Duration::from_millis(700);
/// How often that is doubled, at the most.
const DISTRUST_DOUBLINGS: u32 = 3;
/// Interval in which a link is looked after.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Silence after which a home that owes an answer is pinged.
const PING_AFTER: Duration = Duration::from_millis(80);
/// Silence after a ping with which the home counts as lost for the time being.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(200);
/// Silence after a ping that ends the link.
const LOST_AFTER: Duration = Duration::from_secs(3);
/// Time without a word after which a link is tried before a request is given to it: the other
/// side may be lost, and the request would be the one to find out.
const DOUBTED_AFTER: Duration = Duration::from_secs(2);
/// How long a link is kept that nothing is asked on.
const IDLE_LIMIT: Duration = Duration::from_secs(20);

/// What a home owes.
#[derive(Debug)]
enum Waiter {
    Run(oneshot::Sender<HomeOutcome>),
    Ask(oneshot::Sender<Vec<GroupSnapshot>>),
    Follow(oneshot::Sender<StoreUpdates>),
    Draw(oneshot::Sender<Draw>),
    NewestTerm(oneshot::Sender<Option<StoreVersion>>),
}

#[derive(Debug)]
struct LinkState {
    next: u64,
    waiters: HashMap<ExchangeId, Waiter>,
    /// Answers of which parts have come, and when the last of these did.
    partial: HashMap<ExchangeId, (Vec<u8>, Instant)>,
    heard: Instant,
    /// When the last word came; `heard` may count from a question.
    last_word: Instant,
    pinged: Option<Instant>,
    used: Instant,
    /// Whether the other links were told that this one has gone silent.
    told: bool,
    leaving: bool,
    distrusted_until: Option<Instant>,
    /// How often in a row the far end knew too little.
    disappointments: u32,
    closed: bool,
}

/// An open link.
#[derive(Debug)]
pub struct Link {
    tx: mpsc::Sender<Bytes>,
    state: Mutex<LinkState>,
    /// Wakes the task that looks after the link.
    asked: Notify,
    /// Wakes those that wait for a word.
    spoke: Notify,
    /// What is done once it has gone silent.
    on_silence: OnSilence,
}

/// What is done once a link has gone silent.
pub(super) struct OnSilence(pub Box<dyn Fn() + Send + Sync>);

impl fmt::Debug for OnSilence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OnSilence(..)")
    }
}

impl Link {
    /// Takes an open link into use, and reads what comes over it in a task of its own.
    pub(super) fn spawn(link: PeerLink, on_silence: OnSilence) -> Arc<Self> {
        let now = Instant::now();
        let opened = Arc::new(Self {
            tx: link.tx,
            state: Mutex::new(LinkState {
                next: 1,
                waiters: HashMap::new(),
                partial: HashMap::new(),
                heard: now,
                last_word: now,
                pinged: None,
                used: now,
                told: false,
                leaving: false,
                distrusted_until: None,
                disappointments: 0,
                closed: false,
            }),
            asked: Notify::new(),
            spoke: Notify::new(),
            on_silence,
        });
        let reading = Arc::clone(&opened);
        tokio::spawn(async move {
            tokio::select! {
                () = reading.read(link.rx) => {}
                () = reading.look_after() => {}
            }
            let mut state = reading.lock();
            state.closed = true;
            // Whoever waits learns that the link has ended.
            state.waiters.clear();
        });
        opened
    }

    /// Whether the home is expected to answer.
    pub fn is_usable(&self) -> bool {
        let state = self.lock();
        let now = Instant::now();
        let distrusted = state.distrusted_until.is_some_and(|until| now < until);
        !state.leaving && !distrusted && state.is_alive(now)
    }

    /// Whether nothing was heard for so long that another link is to take this one's place.
    pub(super) fn is_silent(&self) -> bool {
        let state = self.lock();
        !state.leaving && !state.is_alive(Instant::now())
    }

    /// Notes that no answer has come to what was asked at `asked`, and should have. Where
    /// nothing else was heard since, the link counts as silent: the next one who needs it opens
    /// another.
    pub fn report_timeout(&self, asked: Instant) {
        let mut state = self.lock();
        if state.heard <= asked {
            state.pinged.get_or_insert(asked);
        }
        drop(state);
        self.asked.notify_one();
        self.tell_silence();
    }

    /// Tells once that the link has gone silent.
    fn tell_silence(&self) {
        let mut state = self.lock();
        if state.told || state.is_alive(Instant::now()) {
            return;
        }
        state.told = true;
        drop(state);
        (self.on_silence.0)();
    }

    /// Asks for a sign, unless one is asked for already.
    pub fn ping(&self) {
        let mut state = self.lock();
        if state.closed || state.pinged.is_some() {
            return;
        }
        state.pinged = Some(Instant::now());
        drop(state);
        self.send(&ToHome::Ping);
    }

    /// Whether the other side has said something lately, or says something by `until`.
    pub(super) async fn is_confirmed(&self, until: Instant) -> bool {
        let began = Instant::now();
        if began < self.lock().last_word + DOUBTED_AFTER {
            return true;
        }
        let mut spoke = pin!(self.spoke.notified());
        spoke.as_mut().enable();
        self.ping();
        timeout_at(until, spoke).await.is_ok()
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
        self.lock().next_number()
    }

    /// Sends a command; `None` where it was not sent. What is returned resolves with an
    /// error where the link ends first.
    pub fn run(&self, mut request: RunRequest) -> Option<oneshot::Receiver<HomeOutcome>> {
        let (tx, rx) = oneshot::channel();
        request.exchange = self.register(Waiter::Run(tx));
        let exchange = request.exchange;
        let sent = self.send(&ToHome::Run(Box::new(request)));
        if !sent {
            self.lock().waiters.remove(&exchange);
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
        let exchange = self.register(Waiter::Ask(tx));
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
        let exchange = self.register(Waiter::Follow(tx));
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
                        .last_part(exchange)
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
        state.partial.values().any(|(_, at)| now < *at + patience)
    }

    fn last_part(&self, exchange: ExchangeId) -> Option<Instant> {
        self.lock().partial.get(&exchange).map(|(_, at)| *at)
    }

    /// Asks for a permit for one operation of `tenant`, or, unless it `takes` one, whether
    /// `shard` is counted there; `None` where the link ends first.
    pub async fn request_permit(
        &self,
        shard: Shard,
        tenant: &TenantName,
        takes: bool,
    ) -> Option<Draw> {
        let (tx, rx) = oneshot::channel();
        let exchange = self.register(Waiter::Draw(tx));
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
        let exchange = self.register(Waiter::NewestTerm(tx));
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
        if state.distrusted_until.is_some_and(|until| now < until) {
            // Questions that were asked side by side count once.
            return;
        }
        let doublings = state.disappointments.min(DISTRUST_DOUBLINGS);
        state.distrusted_until = Some(now + DISTRUST * 2_u32.pow(doublings));
        state.disappointments += 1;
    }

    /// Notes that what is told here is good enough.
    pub fn reset_deprioritization(&self) {
        self.lock().disappointments = 0;
    }

    fn register(&self, waiter: Waiter) -> ExchangeId {
        let mut state = self.lock();
        let now = Instant::now();
        if !state.owes() {
            // Silence counts from the first question.
            state.heard = now;
            self.asked.notify_one();
        }
        state.used = now;
        let exchange = state.next_number();
        state.waiters.insert(exchange, waiter);
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
            self.take(frame);
        }
    }

    /// Takes one part of an answer, and the answer once all parts have come.
    fn take_part(&self, exchange: ExchangeId, bytes: &Bytes, is_last: bool) {
        let whole = {
            let mut state = self.lock();
            if !state.waiters.contains_key(&exchange) {
                state.partial.remove(&exchange);
                return;
            }
            let now = Instant::now();
            let (known, at) = state.partial.entry(exchange).or_insert((Vec::new(), now));
            known.extend_from_slice(bytes);
            *at = now;
            if !is_last {
                return;
            }
            state.partial.remove(&exchange)
        };
        let Some((bytes, _)) = whole else { return };
        match decode::<FromHome>(&bytes.into()) {
            Some(FromHome::Part { .. }) | None => {
                log::warn!("the parts of an answer make no sense together; they are dropped");
            }
            Some(answer) => self.take(answer),
        }
    }

    fn take(&self, frame: FromHome) {
        let mut state = self.lock();
        state.heard = Instant::now();
        state.last_word = state.heard;
        self.spoke.notify_waiters();
        state.pinged = None;
        state.told = false;
        match frame {
            FromHome::Pong => {}
            FromHome::Part {
                exchange,
                bytes,
                is_last,
            } => {
                drop(state);
                self.take_part(exchange, &bytes, is_last);
            }
            FromHome::Leaving => state.leaving = true,
            FromHome::Ran { exchange, outcome } => {
                if let Some(Waiter::Run(waiter)) = state.waiters.remove(&exchange) {
                    // Nobody may be waiting any more.
                    let _ = waiter.send(outcome);
                }
            }
            FromHome::Beliefs { exchange, beliefs } => {
                if let Some(Waiter::Ask(waiter)) = state.waiters.remove(&exchange) {
                    let _ = waiter.send(beliefs);
                }
            }
            FromHome::Drawn { exchange, drawn } => {
                if let Some(Waiter::Draw(waiter)) = state.waiters.remove(&exchange) {
                    let _ = waiter.send(drawn);
                }
            }
            FromHome::NewestTerm { exchange, version } => {
                if let Some(Waiter::NewestTerm(waiter)) = state.waiters.remove(&exchange) {
                    let _ = waiter.send(version);
                }
            }
            FromHome::News { exchange, news } => {
                if let Some(Waiter::Follow(waiter)) = state.waiters.remove(&exchange) {
                    let _ = waiter.send(*news);
                }
            }
        }
    }

    /// Pings a home that owes an answer and is silent; returns where the link is to end.
    async fn look_after(&self) {
        loop {
            if self.lock().owes() {
                sleep(LOOK_INTERVAL).await;
            } else {
                // Whichever comes first: a question, or the time to see whether it is used.
                let _ = timeout(IDLE_LIMIT / 2, self.asked.notified()).await;
            }
            let now = Instant::now();
            let mut state = self.lock();
            state.drop_abandoned();
            let owes = state.owes();
            if state.waiters.is_empty() && now.duration_since(state.used) > IDLE_LIMIT {
                return;
            }
            if state.pinged.is_some_and(|at| now >= at + LOST_AFTER) {
                return;
            }
            let is_due = owes && now >= state.heard + PING_AFTER;
            drop(state);
            if is_due {
                self.ping();
            }
            self.tell_silence();
        }
    }

    fn lock(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LinkState {
    fn next_number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// Whether an answer is due that does not wait for anything to happen.
    fn owes(&self) -> bool {
        let mut waiters = self.waiters.values();
        waiters.any(|waiter| !matches!(waiter, Waiter::Follow(_)))
    }

    fn is_alive(&self, now: Instant) -> bool {
        let suspect = self.pinged.is_some_and(|at| now >= at + SUSPECT_AFTER);
        !self.closed && !suspect
    }

    fn drop_abandoned(&mut self) {
        let waiters = &self.waiters;
        self.partial
            .retain(|exchange, _| waiters.contains_key(exchange));
        self.waiters.retain(|_, waiter| match waiter {
            Waiter::Run(waiter) => !waiter.is_closed(),
            Waiter::Ask(waiter) => !waiter.is_closed(),
            Waiter::Follow(waiter) => !waiter.is_closed(),
            Waiter::Draw(waiter) => !waiter.is_closed(),
            Waiter::NewestTerm(waiter) => !waiter.is_closed(),
        });
    }
}
