//! Following changes in the store, directly or through relays.
//!
//! In a small fleet every process watches the store itself. In a larger one only two processes do.
//! The first two processes of each zone poll one of these two for updates, and the other processes
//! poll the first two of their zone. The load on the store therefore doesn't grow with the fleet,
//! and no process serves more than one zone. A process that gets no recent updates from its
//! sources widens the search (module `search`) and falls back to the store, within the time in
//! which it must learn of changes.
//!
//! | event | behavior |
//! | --- | --- |
//! | a relay ends, is cut off, or doesn't answer | its clients ask the second relay as soon as the answer is late |
//! | both relays fail | a process that is itself a relay goes to the store at once; any other asks two relays of other zones, then a few random processes of the fleet, then the store |
//! | the store refuses a relay or doesn't answer it | the relay reports that once its data is old, and widens the search itself |
//! | the network is partitioned | each side has the newest data of any of its processes |
//! | a process holds the promotion lease | it watches the store too |
//! | the store is down | all processes retry with increasing pauses |
//! | a process starts | it reads only the fleet index from the store, and everything else from the processes listed there |
//! | these have just started too and have no data yet | they say so, and the process waits for them |
//! | a fleet starts for the first time | its processes read each other's records until they know enough peers to ask |
//! | a process begins to watch the store | it resumes from the version that it got from relays, and reads whole tables only if the store no longer has the changes since then |
//! | processes disagree about who the relays are | any process that is asked answers with the data that it has and its age |

mod search;

use crate::engine::Engine;
use crate::events::{DependencyMonitor, millis};
use crate::home::placement::StoreSource;
use crate::leadership::fleet;
use crate::leadership::promotion_lease::PromotionLease;
use crate::link::frame::{FeedVersions, FollowedVersions, StoreUpdates};
use crate::peers::declared;
use crate::ports::{Record, RecordChanges};
use search::{NoUpdates, Search, Step};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// Largest fleet in which every process watches the store itself.
const MAX_DIRECT_FLEET: usize = 16;
/// How long a relay holds a long poll for updates.
const UPDATE_WAIT: Duration = Duration::from_millis(900);
/// Upper bound of the same wait, as a share of the time within which a removed credential, or an
/// evacuation, must be known everywhere. A process proves that its configuration is current
/// through two relays. One wait at each of them and two waits at the store leave three fifths of
/// that time to recover from the loss of a source.
const PROOF_WAIT_SHARE: f64 = 0.1;
/// Age of a configuration proof from which on a process looks for a newer one, as a share of the
/// time within which a removed credential must be known. In normal operation a proof is at most
/// three waits old on arrival, three tenths of that time. The remaining time is enough for the
/// search and for one store call that gets no answer.
const RECENT_PROOF_SHARE: f64 = 0.4;
/// How much older than one watch timeout the data of a process that watches the store may be.
const AGE_MARGIN: Duration = Duration::from_millis(600);
/// Upper bound of fleet discovery after the first start of a fleet. Each process writes a record,
/// and the store accepts about a hundred per second.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without newly discovered processes after which discovery ends.
const DISCOVERY_QUIET_PERIOD: Duration = Duration::from_millis(400);
/// Pause between two reads of the process records; up to the same time is added at random.
const DISCOVERY_PAUSE: Duration = Duration::from_millis(150);
/// Interval at which a starting process checks whether the fleet that it read was applied.
const FLEET_CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// How long after its start a process may wait for others that are starting too, as a share of
/// the propagation bound; then it goes to the store itself.
const STARTING_PROPAGATION_SHARE: f64 = 0.6;
/// Pause before a starting process is asked again. It can be short, because the process already
/// held the previous request for a full wait.
const STARTING_PAUSE: Duration = Duration::from_millis(20);
/// Pause between rounds that learned nothing, and between rounds of a process that watches the
/// store itself.
const ROUND_PAUSE: Duration = Duration::from_millis(250);
/// Pause after an answer with changes, in a large fleet, before the next request, so that changes
/// in quick succession are batched.
const MIN_FEED_PAUSE: Duration = Duration::from_millis(25);
/// Upper bound of that pause, which grows while changes continue, such as when thousands of
/// entries are written at a start. Each answer wakes all clients of a relay. Well below the
/// propagation bound.
const MAX_FEED_PAUSE: Duration = Duration::from_millis(250);

/// Time over which processes that aren't relays spread their fallback to the store. Otherwise
/// hundreds would go there at once; with the spread, most find a process that was faster.
const STORE_FALLBACK_SPREAD: Duration = Duration::from_millis(400);

/// Initial pause before a failed store call is retried; up to the same time is added at random.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Maximum number of doublings of that pause while the store keeps failing.
const MAX_DOUBLINGS: u32 = 6;
/// Upper bound of that pause, as a share of the propagation bound.
const RETRY_PROPAGATION_SHARE: f64 = 0.15;

/// A stream of changes in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Feed {
    /// The operator's configuration.
    Configuration,
    /// The servers' directory entries.
    Directory,
    /// The fleet's records.
    Records,
}

/// Number of variants of [`Feed`].
const FEEDS: usize = 3;

/// How current this process is with one feed.
#[derive(Debug, Clone, Copy, Default)]
struct FeedState {
    /// The time as of which this process has all changes of the feed.
    current_as_of: Option<Instant>,
    /// The store version up to which this process has all changes; zero if it has none. Watching
    /// the store resumes from here if the store's history still reaches back that far.
    version: u64,
    /// Whether recent store calls failed.
    failing: bool,
    /// The time of the last answer with changes, and the pause after it.
    last_change: Option<(Instant, Duration)>,
}

impl FeedState {
    fn advance(&mut self, at: Instant, version: u64) {
        self.current_as_of = self.current_as_of.max(Some(at));
        self.version = self.version.max(version);
    }
}

/// Where this process gets its updates from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    /// Undecided, because the process has just started and doesn't know the fleet.
    Discovering,
    /// The store itself.
    Direct,
    /// Other processes.
    Relayed,
}

/// Where this process gets its updates from, and how current its data is.
#[derive(Debug)]
pub struct Following {
    mode: watch::Sender<Mode>,
    started: Instant,
    feeds: Mutex<[FeedState; FEEDS]>,
    /// The time as of which the configuration in use was known to be the newest.
    proof: watch::Sender<Option<Instant>>,
    /// Whether this process has read all feeds from the store.
    is_complete: watch::Sender<bool>,
}

impl Default for Following {
    fn default() -> Self {
        Self {
            mode: watch::Sender::new(Mode::Discovering),
            started: Instant::now(),
            feeds: Mutex::default(),
            proof: watch::Sender::new(None),
            is_complete: watch::Sender::new(false),
        }
    }
}

impl Following {
    /// Whether this process watches the store itself.
    pub fn is_direct(&self) -> bool {
        *self.mode.borrow() == Mode::Direct
    }

    /// Waits until this process should watch the store itself. Returns whether it got updates from
    /// relays before, so that it can resume from them.
    pub async fn wait_until_direct(&self) -> bool {
        let mut mode = self.mode.subscribe();
        let mut was_relayed = false;
        loop {
            match *mode.borrow_and_update() {
                Mode::Direct => return was_relayed,
                Mode::Relayed => was_relayed = true,
                Mode::Discovering => {}
            }
            // Can't fail: `self` owns the sender.
            let _ = mode.changed().await;
        }
    }

    /// Records that all changes of `feed` up to the store's `version`, as of `at`, were received
    /// from the store and applied.
    pub fn mark_current(&self, feed: Feed, at: Instant, version: u64) {
        let is_complete = {
            let mut feeds = self.lock();
            let state = &mut feeds[feed as usize];
            state.advance(at, version);
            state.failing = false;
            feeds.iter().all(|feed| feed.current_as_of.is_some())
        };
        if is_complete {
            self.is_complete
                .send_if_modified(|known| !std::mem::replace(known, true));
        }
    }

    /// Like [`Following::mark_current`], for updates of all feeds from a peer. Keeps the failing
    /// state: a process with a failing store must not act as a relay, because its data may soon be
    /// outdated.
    fn mark_current_from_peer(&self, at: Instant, versions: FeedVersions) {
        let mut feeds = self.lock();
        feeds[Feed::Configuration as usize].advance(at, versions.configuration);
        feeds[Feed::Directory as usize].advance(at, versions.directory);
        feeds[Feed::Records as usize].advance(at, versions.records);
    }

    /// Records that a store call for `feed` failed for the `failures`th time in a row. A single
    /// failure doesn't count, because the next call may succeed.
    pub fn mark_failed(&self, feed: Feed, failures: u32) {
        self.lock()[feed as usize].failing = failures > 1;
    }

    /// Records that the configuration in use was the newest at `at`. That is the time at which the
    /// store call that showed it was sent, as measured here or reported by a peer. Must be called
    /// after the configuration was taken into use.
    pub fn prove_configuration(&self, at: Instant) {
        self.proof.send_if_modified(|proof| {
            let later = proof.is_none_or(|known| known < at);
            if later {
                *proof = Some(at);
            }
            later
        });
    }

    /// The time as of which the configuration in use is known to have been the newest. Transit and
    /// stalls only make ages of relayed data larger, so this time is never too late.
    pub fn configuration_complete_as_of(&self) -> Option<Instant> {
        *self.proof.borrow()
    }

    /// Subscribes to newer proofs.
    pub fn subscribe_proof(&self) -> watch::Receiver<Option<Instant>> {
        self.proof.subscribe()
    }

    fn is_failing(&self) -> bool {
        self.lock().iter().any(|feed| feed.failing)
    }

    /// The time as of which this process has all changes of all feeds.
    pub fn current_as_of(&self) -> Option<Instant> {
        let feeds = *self.lock();
        feeds
            .into_iter()
            .map(|feed| feed.current_as_of)
            .min()
            .flatten()
    }

    /// The version from which to watch the store for changes of `feed`; `None` if the whole table
    /// has to be read.
    pub fn resume_from(&self, feed: Feed) -> Option<u64> {
        Some(self.lock()[feed as usize].version).filter(|version| *version > 0)
    }

    fn versions(&self) -> FeedVersions {
        let feeds = *self.lock();
        FeedVersions {
            configuration: feeds[Feed::Configuration as usize].version,
            directory: feeds[Feed::Directory as usize].version,
            records: feeds[Feed::Records as usize].version,
        }
    }

    /// The pause after an answer with changes of `feed` that was applied at `now`. Doubles while
    /// answers follow each other closely.
    fn next_feed_pause(&self, feed: Feed, now: Instant) -> Duration {
        let state = &mut self.lock()[feed as usize];
        let before = state
            .last_change
            .filter(|(at, pause)| now < *at + *pause * 2);
        let pause = before.map_or(MIN_FEED_PAUSE, |(_, pause)| pause * 2);
        let pause = pause.min(MAX_FEED_PAUSE);
        state.last_change = Some((now, pause));
        pause
    }

    fn set_mode(&self, mode: Mode) {
        if mode == Mode::Relayed {
            // It no longer calls the store.
            self.lock().iter_mut().for_each(|feed| feed.failing = false);
        }
        self.mode.send_if_modified(|current| {
            let changed = *current != mode;
            *current = mode;
            changed
        });
    }

    fn lock(&self) -> MutexGuard<'_, [FeedState; FEEDS]> {
        self.feeds.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether the fleet is so large that most processes get updates through relays.
pub fn uses_relays(engine: &Engine) -> bool {
    engine.homes().fleet_len() > MAX_DIRECT_FLEET
}

/// Chooses between the store and relays, and polls the relays, until the process ends.
///
/// The process that holds `lease` watches the store itself, because it must see the reports of
/// others there without delay.
pub async fn follow(engine: &Engine, lease: &PromotionLease) {
    let mut dependency = DependencyMonitor::new("followers");
    let mut search = Search::default();
    discover_fleet(engine).await;
    loop {
        if !uses_relays(engine) {
            engine.following().set_mode(Mode::Direct);
            sleep(ROUND_PAUSE).await;
            continue;
        }
        let source = match lease.check() {
            Some(_) => StoreSource::Store,
            None => engine.homes().store_source(&engine.settings().zone),
        };
        match source {
            StoreSource::Store => follow_store(engine, &mut search).await,
            StoreSource::Peers(peers) => {
                let learned = follow_peers(engine, &peers, &mut search).await;
                dependency.record_outcome(engine.events(), learned.err());
            }
        }
    }
}

/// Waits until the fleet is known, or at least enough of it to use relays. Until then only the
/// fleet index is read, or the process records if there is no index. If hundreds of processes that
/// start at once read whole tables, the store couldn't keep up.
async fn discover_fleet(engine: &Engine) {
    let until = engine.following().started + DISCOVERY_TIMEOUT;
    let (mut known, mut since) = (0, Instant::now());
    let mut is_restart = None;
    let mut has_index = None;
    loop {
        // Failures are reported by the tasks that watch the store afterwards.
        if has_index.is_none() {
            has_index = engine.terms().read_index().await.ok();
        }
        if has_index == Some(true) {
            wait_until_fleet_applied(engine).await;
            return;
        }
        if has_index.is_some() && engine.terms().read_processes().await.is_ok() {
            is_restart.get_or_insert_with(|| fleet::is_registered(engine));
            wait_until_fleet_applied(engine).await;
        }
        if uses_relays(engine) || is_restart == Some(true) {
            return;
        }
        let processes = engine.homes().fleet_len();
        if processes != known {
            (known, since) = (processes, Instant::now());
        }
        if since.elapsed() >= DISCOVERY_QUIET_PERIOD || Instant::now() >= until {
            return;
        }
        sleep(DISCOVERY_PAUSE.mul_f64(1.0 + rand::random::<f64>())).await;
    }
}

/// Waits until the processes that were read are applied as the fleet.
async fn wait_until_fleet_applied(engine: &Engine) {
    let read = fleet::count(engine);
    while engine.processes() < read {
        sleep(FLEET_CHECK_INTERVAL).await;
    }
}

/// One round of a process that watches the store itself. Asks peers while its store calls fail,
/// because they may have newer data.
async fn follow_store(engine: &Engine, search: &mut Search) {
    engine.following().set_mode(Mode::Direct);
    if needs_peer_updates(engine) {
        // Store failures are reported by the tasks that watch it.
        let _ = search.widen_search(engine, true).await;
    }
    sleep(ROUND_PAUSE).await;
}

/// One round of a process that uses relays. Polls `peers`, widens the search if they have nothing
/// recent, and falls back to the store if no process has. A relay goes to the store at once,
/// because its clients wait for it.
///
/// # Errors
///
/// Returns the reason why nothing recent was learned.
async fn follow_peers(
    engine: &Engine,
    peers: &[SocketAddr],
    search: &mut Search,
) -> Result<(), String> {
    let following = engine.following();
    let known = known_versions(engine);
    let learned = search.ask_sources(engine, peers).await;
    let learned = match learned {
        Ok(()) => {
            following.set_mode(Mode::Relayed);
            if known != known_versions(engine) {
                pause_after_changes(engine, Feed::Directory).await;
            }
            return Ok(());
        }
        // The peer will answer as soon as it has loaded everything.
        Err(NoUpdates::Starting) if is_starting(engine) => {
            sleep(STARTING_PAUSE).await;
            return Ok(());
        }
        Err(reason) => Err(reason.to_string()),
    };
    if engine.homes().is_follower(&engine.settings().zone) {
        follow_store(engine, search).await;
        return learned;
    }
    let with_random_peers = !following.is_direct() || needs_peer_updates(engine);
    let learned = search.widen_search(engine, with_random_peers).await;
    match learned {
        Ok(Step::OtherZones) => {
            following.set_mode(Mode::Relayed);
            return Ok(());
        }
        // A random process that has recent data now won't necessarily stay up to date.
        _ if search.is_store_due() => following.set_mode(Mode::Direct),
        _ => {}
    }
    let pause = ROUND_PAUSE.mul_f64(0.5 + rand::random::<f64>());
    sleep(search.pause(pause)).await;
    learned.map(|_| ())
}

/// Whether a process that watches the store should ask peers too.
fn needs_peer_updates(engine: &Engine) -> bool {
    engine.following().is_failing() || !is_recent(engine, Instant::now())
}

/// Pauses after an answer with changes of `feed`, in a large fleet, to batch further changes.
pub async fn pause_after_changes(engine: &Engine, feed: Feed) {
    if engine.processes() > MAX_DIRECT_FLEET {
        sleep(engine.following().next_feed_pause(feed, Instant::now())).await;
    }
}

/// The pause before the next store call after `failures` failures in a row. In a large fleet it
/// grows with the failures, because refused calls cost the store as well.
pub fn retry_backoff(engine: &Engine, failures: u32) -> Duration {
    let doublings = match engine.processes() > MAX_DIRECT_FLEET {
        true => failures.saturating_sub(1).min(MAX_DOUBLINGS),
        false => 0,
    };
    let longest = engine
        .settings()
        .propagation_bound
        .mul_f64(RETRY_PROPAGATION_SHARE);
    let pause = (RETRY_PAUSE * 2_u32.pow(doublings)).min(longest.max(RETRY_PAUSE));
    pause.mul_f64(1.0 + rand::random::<f64>())
}

/// Whether the data of this process at `now` is as recent as in normal operation.
pub fn is_recent(engine: &Engine, now: Instant) -> bool {
    !is_out_of_date(engine, now) && is_proof_recent(engine, now)
}

fn is_proof_recent(engine: &Engine, now: Instant) -> bool {
    let Some(bound) = proof_bound(engine) else {
        return true;
    };
    let limit = bound.mul_f64(RECENT_PROOF_SHARE);
    let proof = engine.following().configuration_complete_as_of();
    proof.is_some_and(|at| now.saturating_duration_since(at) < limit)
}

/// Whether the data of this process at `now` is older than [`age_limit`].
pub fn is_out_of_date(engine: &Engine, now: Instant) -> bool {
    let as_of = engine.following().current_as_of();
    as_of.is_none_or(|at| now > at + age_limit(engine))
}

/// Maximum age of a process's data in normal operation: one watch timeout of the process that
/// watches the store, and one wait of the relay that polls it.
pub fn age_limit(engine: &Engine) -> Duration {
    let relayed = match uses_relays(engine) {
        true => update_wait(engine),
        false => Duration::ZERO,
    };
    engine.watch_timeout() + AGE_MARGIN + relayed
}

/// How long a relay may hold a long poll of this process.
fn update_wait(engine: &Engine) -> Duration {
    proof_wait(engine).map_or(UPDATE_WAIT, |wait| UPDATE_WAIT.min(wait))
}

/// Maximum age of the proof that the data in use is current; `None` if no proof is needed.
fn proof_bound(engine: &Engine) -> Option<Duration> {
    let settings = engine.settings();
    let revocation = settings.tenants.as_ref().map(|policy| policy.revocation);
    revocation
        .into_iter()
        .chain(settings.evacuation_bound)
        .min()
}

/// Upper bound of long polls if a proof is needed.
fn proof_wait(engine: &Engine) -> Option<Duration> {
    proof_bound(engine).map(|bound| bound.mul_f64(PROOF_WAIT_SHARE))
}

/// The timeout of one store call that watches the configuration.
pub fn configuration_watch_timeout(engine: &Engine) -> Duration {
    let wait = engine.watch_timeout();
    proof_wait(engine).map_or(wait, |longest| wait.min(longest))
}

/// The timeout of the next store call that watches for changes, usually `wait`. The first call
/// after the process `became_direct`, or after `failures`, returns at once: its answer shows half a
/// second or more earlier that nothing was missed.
pub fn initial_watch_timeout(became_direct: bool, failures: u32, wait: Duration) -> Duration {
    match became_direct || failures > 0 {
        true => Duration::ZERO,
        false => wait,
    }
}

fn known_versions(engine: &Engine) -> FollowedVersions {
    FollowedVersions {
        declared: declared::known_versions(engine),
        records: engine.terms().version(),
    }
}

fn apply_updates(engine: &Engine, updates: StoreUpdates, requested_at: Instant) {
    declared::apply(engine, updates.declared, requested_at);
    if updates.records_version > engine.terms().version() {
        let changes = RecordChanges {
            written: updates.records,
            version: updates.records_version,
        };
        engine.terms().apply_changes(engine, &changes);
    }
}

/// Whether this process has recently started and is loading its state without failures. After a
/// power loss of the whole fleet, hundreds of processes ask it meanwhile and wait for it. If they
/// all read whole tables instead, the store would become too slow even for this process.
fn is_starting(engine: &Engine) -> bool {
    let following = engine.following();
    let longest = engine
        .settings()
        .propagation_bound
        .mul_f64(STARTING_PROPAGATION_SHARE);
    let is_young = following.started.elapsed() < longest;
    is_young && following.current_as_of().is_none() && !following.is_failing()
}

/// Serves a long poll: returns updates newer than `known`, waiting up to `wait` for some while the
/// data of this process is recent. A process that is starting answers once it has loaded
/// everything.
pub async fn updates_since(
    engine: &Engine,
    known: FollowedVersions,
    wait: Duration,
) -> StoreUpdates {
    let mut directory = engine.subscribe_directory();
    let mut configuration = engine.subscribe_configuration();
    let mut evacuations = engine.subscribe_evacuations();
    let mut records = engine.terms().subscribe_version();
    let mut completeness = engine.following().is_complete.subscribe();
    let arrived_at = Instant::now();
    let until = arrived_at + wait;
    loop {
        directory.mark_unchanged();
        configuration.mark_unchanged();
        evacuations.mark_unchanged();
        records.mark_unchanged();
        completeness.mark_unchanged();
        let now = Instant::now();
        if !(is_starting(engine) && now < until) {
            let updates = collect_updates(engine, known, arrived_at);
            let stale = updates.age.is_none() || !is_recent(engine, now);
            if updates.has_updates(known) || stale || now >= until {
                return updates;
            }
        }
        tokio::select! {
            _ = directory.changed() => {}
            _ = configuration.changed() => {}
            _ = evacuations.changed() => {}
            _ = records.changed() => {}
            _ = completeness.changed() => {}
            () = tokio::time::sleep_until(until) => {}
        }
    }
}

/// Collects the updates newer than `known`, for a request received at `arrived_at`.
fn collect_updates(engine: &Engine, known: FollowedVersions, arrived_at: Instant) -> StoreUpdates {
    // Must be read before the data, which must be at least as new as these claim.
    let (as_of, feeds) = (
        engine.following().current_as_of(),
        engine.following().versions(),
    );
    let records_as_of = engine.slow_starts().records_as_of();
    let records_version = engine.terms().version();
    let records: Vec<Record> = match records_version > known.records {
        true => engine.terms().records_after(known.records),
        false => Vec::new(),
    };
    let as_of = as_of.filter(|_| !engine.following().is_failing());
    StoreUpdates {
        is_starting: as_of.is_none() && is_starting(engine),
        age: as_of
            .map(|at| Duration::from_millis(millis(arrived_at.saturating_duration_since(at)) + 1)),
        feeds,
        declared: declared::newer(engine, known.declared, arrived_at),
        records,
        records_version,
        records_complete_after_ms: records_as_of.map(|at| declared::signed_millis(arrived_at, at)),
    }
}

impl StoreUpdates {
    fn has_updates(&self, known: FollowedVersions) -> bool {
        let declared = &self.declared;
        declared.configuration.is_some()
            || declared.directory.is_some()
            || declared.evacuations.is_some()
            || self.records_version > known.records
    }
}
