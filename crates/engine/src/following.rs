//! Following the store, or another process that does.
//!
//! In a small fleet every process follows the store itself. In a larger one two processes do.
//! The first two of each zone ask one of these for what is newer than what they know, and the
//! others ask the first two of their zone: so what the store is asked does not grow with the
//! fleet, and nobody tells more than a zone. A process that is told nothing recent by these
//! looks further (module `search`), and goes back to the store, within the time in which it has to
//! know.
//!
//! | what happens | what comes of it |
//! | --- | --- |
//! | one that others ask ends, is cut off, or does not answer | they ask the second as soon as its answer is late |
//! | both are | who is asked by others goes to the store at once; any other asks two of other zones, then a few drawn from the whole fleet, then the store |
//! | the store turns one away, or is silent to it | it says so once what it knows is old, and looks further itself |
//! | the network is split | each side has what any of its processes knows |
//! | a process holds the lease for promotions | it follows the store too |
//! | the store is away | all ask it, less and less often |
//! | a process starts | it reads the index of the fleet only, and asks those that are listed for all else |
//! | they have started too, and know nothing yet | they say so, and it waits for them |
//! | a fleet starts for the first time | its processes read each other's records until they know enough to ask |
//! | a process begins to follow the store | it goes on from the version that it was told, and reads whole tables only where the store has forgotten what came after it |
//! | processes disagree on whom to ask | whoever is asked answers with what it knows, and how old that is |

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

/// Processes that may follow the store themselves, each.
const MAX_DIRECT_FLEET: usize = 16;
/// How long one question waits for news.
const UPDATE_WAIT: Duration = Duration::from_millis(900);
/// The same as a share of the time within which a removed credential, or an evacuation, must
/// be known everywhere.
/// A process proves its configuration by way of two others: this share for each of these, and
/// two waits at the store, leave three fifths of that time for a source that is lost.
const PROOF_WAIT_SHARE: f64 = 0.1;
/// Age of a proof of the configuration, as a share of the time within which a removed
/// credential must be known, from which on a process looks for a better one. A proof that was
/// just told is three waits old at most where nothing is amiss, three tenths of that time; what
/// is left suffices for the search and a silent call at the store.
const RECENT_PROOF_SHARE: f64 = 0.4;
/// What the knowledge of a process that follows the store may be older than one of its waits
/// there.
const AGE_MARGIN: Duration = Duration::from_millis(600);
/// Longest time after the start in which a fleet that starts for the first time comes to know
/// itself: each process writes a record, and the store takes some hundred a second.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without another process after which such a fleet counts as known.
const DISCOVERY_QUIET_PERIOD: Duration = Duration::from_millis(400);
/// Pause between two readings of its processes; a random part of as much is added.
const DISCOVERY_PAUSE: Duration = Duration::from_millis(150);
/// Interval in which a process that starts looks whether it has taken the fleet in.
const FLEET_CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// How long after its start a process may wait for others that are starting too, as a share of the
/// time within which a change must be known; then it turns to the store itself.
const STARTING_PROPAGATION_SHARE: f64 = 0.6;
/// Pause before one that is starting is asked again: its answer was held for a wait before.
const STARTING_PAUSE: Duration = Duration::from_millis(20);
/// Pause after nobody told anything, and of a process that follows by itself.
const ROUND_PAUSE: Duration = Duration::from_millis(250);
/// Pause after an answer with changes, in a large fleet, before more is asked for: changes that
/// come close together are told at once.
const MIN_FEED_PAUSE: Duration = Duration::from_millis(25);
/// The same while changes go on and on, as thousands of entries do that are written at a start:
/// each answer wakes whoever asks here. Well below the time in which a change must be known.
const MAX_FEED_PAUSE: Duration = Duration::from_millis(250);

/// Time over which processes turn to the store that others don't ask, when nobody tells them
/// anything recent: hundreds would begin in one moment, and most find one that was quicker.
const STORE_FALLBACK_SPREAD: Duration = Duration::from_millis(400);

/// Pause before the store is asked again after a failure; a random part of as much is added.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// How often that pause doubles while the store goes on failing, at the most.
const MAX_DOUBLINGS: u32 = 6;
/// Longest pause, as a share of the time within which a change must be known.
const RETRY_PROPAGATION_SHARE: f64 = 0.15;

/// What is followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Feed {
    /// The operator's configuration.
    Configuration,
    /// The servers' entries.
    Directory,
    /// The records of the fleet.
    Records,
}

/// Number of [`Feed`]s.
const FEEDS: usize = 3;

/// How far one feed is known.
#[derive(Debug, Clone, Copy, Default)]
struct FeedState {
    /// As of when the store had told everything.
    current_as_of: Option<Instant>,
    /// The store's version as of which everything is known; zero where nothing is. Whoever
    /// begins to follow the store goes on from here, as long as it remembers that far back.
    version: u64,
    /// Whether the store has failed to answer lately.
    failing: bool,
    /// When the answer before came that brought changes, and the pause after it.
    last_change: Option<(Instant, Duration)>,
}

impl FeedState {
    fn advance(&mut self, at: Instant, version: u64) {
        self.current_as_of = self.current_as_of.max(Some(at));
        self.version = self.version.max(version);
    }
}

/// Where this process learns what the store holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    /// Not known yet: the process has just started.
    Discovering,
    /// From the store itself.
    Direct,
    /// From other processes.
    Relayed,
}

/// Whether this process follows the store itself, and how recent what it knows is.
#[derive(Debug)]
pub struct Following {
    mode: watch::Sender<Mode>,
    started: Instant,
    feeds: Mutex<[FeedState; FEEDS]>,
    /// As of when the configuration in use was the newest.
    proof: watch::Sender<Option<Instant>>,
    /// Whether the store has told this process all feeds; wakes those that wait for that here.
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
    /// Whether this process follows the store itself.
    pub fn is_direct(&self) -> bool {
        *self.mode.borrow() == Mode::Direct
    }

    /// Returns once this process is to follow the store itself; whether it has learned from
    /// others before, so that it goes on from what they have told.
    pub async fn wait_until_direct(&self) -> bool {
        let mut mode = self.mode.subscribe();
        let mut has_learned = false;
        loop {
            match *mode.borrow_and_update() {
                Mode::Direct => return has_learned,
                Mode::Relayed => has_learned = true,
                Mode::Discovering => {}
            }
            // The sender lives as long as this does.
            let _ = mode.changed().await;
        }
    }

    /// Notes that the store has told everything that `feed` holds as of `at`, and as of its
    /// `version`, and that it has been taken.
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

    /// The same of what another process has told of all feeds. Whether the store fails to
    /// answer this one stays as it is: it does not tell others what it may not know for long.
    fn mark_current_from_peer(&self, at: Instant, versions: FeedVersions) {
        let mut feeds = self.lock();
        feeds[Feed::Configuration as usize].advance(at, versions.configuration);
        feeds[Feed::Directory as usize].advance(at, versions.directory);
        feeds[Feed::Records as usize].advance(at, versions.records);
    }

    /// Notes that the store has failed to tell of `feed`, for the `failures`th time in a row.
    /// One failure says little; the next call may be answered.
    pub fn mark_failed(&self, feed: Feed, failures: u32) {
        self.lock()[feed as usize].failing = failures > 1;
    }

    /// Notes that the configuration in use was the newest at `at`: the moment before the
    /// question was sent whose answer has shown it, or what another process tells of such a
    /// moment. To be called once the configuration is in use.
    pub fn prove_configuration(&self, at: Instant) {
        self.proof.send_if_modified(|proof| {
            let later = proof.is_none_or(|known| known < at);
            if later {
                *proof = Some(at);
            }
            later
        });
    }

    /// As of when the configuration in use is known to have been the newest. Ages of what
    /// others tell only grow on the way, so this is never too late, whatever stood still.
    pub fn configuration_complete_as_of(&self) -> Option<Instant> {
        *self.proof.borrow()
    }

    /// Tells of later proofs.
    pub fn subscribe_proof(&self) -> watch::Receiver<Option<Instant>> {
        self.proof.subscribe()
    }

    fn is_failing(&self) -> bool {
        self.lock().iter().any(|feed| feed.failing)
    }

    /// Since when something may have changed that this process does not know.
    pub fn current_as_of(&self) -> Option<Instant> {
        let feeds = *self.lock();
        feeds
            .into_iter()
            .map(|feed| feed.current_as_of)
            .min()
            .flatten()
    }

    /// The version from which on the store is to be asked for changes of `feed`; `None`
    /// where it has to be read in whole.
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

    /// How long to wait after an answer with changes of `feed`, which was taken `now`: longer while
    /// one comes right after the other.
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
            // It does not ask the store any more.
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

/// Whether the fleet is so large that most of it follows the store through a few.
pub fn uses_relays(engine: &Engine) -> bool {
    engine.homes().fleet_len() > MAX_DIRECT_FLEET
}

/// Learns from other processes, where there are some to learn from, until the process ends.
///
/// Whoever holds `lease` follows the store itself: what others report there must reach it soon.
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

/// Returns once the fleet is known, or so much of it that others are asked. Until then only its
/// index is read, or where there is none the records of its processes: whole tables, read by
/// hundreds that start in one moment, are more than the store can send.
async fn discover_fleet(engine: &Engine) {
    let until = engine.following().started + DISCOVERY_TIMEOUT;
    let (mut known, mut since) = (0, Instant::now());
    let mut is_restart = None;
    let mut has_index = None;
    loop {
        // A failure is told by the tasks that follow the store from here on.
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

/// Returns once the processes that were read count as the fleet.
async fn wait_until_fleet_applied(engine: &Engine) {
    let read = fleet::count(engine);
    while engine.processes() < read {
        sleep(FLEET_CHECK_INTERVAL).await;
    }
}

/// One round of a process that follows the store for others: while the store turns it away,
/// others may know more.
async fn follow_store(engine: &Engine, search: &mut Search) {
    engine.following().set_mode(Mode::Direct);
    if needs_peer_updates(engine) {
        // That the store does not answer is told by the tasks that ask it.
        let _ = search.widen_search(engine, true).await;
    }
    sleep(ROUND_PAUSE).await;
}

/// One round of any other process: it asks `peers`, looks further where they tell nothing
/// recent, and goes to the store itself where nobody does. One that others ask goes there at
/// once: they wait for it.
///
/// # Errors
///
/// The reason why nothing recent was learned.
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
        // It answers as soon as it knows everything.
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
    let with_scouts = !following.is_direct() || needs_peer_updates(engine);
    let learned = search.widen_search(engine, with_scouts).await;
    match learned {
        Ok(Step::Elsewhere) => {
            following.set_mode(Mode::Relayed);
            return Ok(());
        }
        // What happens to know something recent now need not know it for long.
        _ if search.is_store_due() => following.set_mode(Mode::Direct),
        _ => {}
    }
    let pause = ROUND_PAUSE.mul_f64(0.5 + rand::random::<f64>());
    sleep(search.pause(pause)).await;
    learned.map(|_| ())
}

/// Whether a process that follows the store should ask others too.
fn needs_peer_updates(engine: &Engine) -> bool {
    engine.following().is_failing() || !is_recent(engine, Instant::now())
}

/// Waits after an answer with changes of `feed`, in a large fleet, before more is asked for.
pub async fn pause_after_changes(engine: &Engine, feed: Feed) {
    if engine.processes() > MAX_DIRECT_FLEET {
        sleep(engine.following().next_feed_pause(feed, Instant::now())).await;
    }
}

/// How long to wait before the store is asked again after it has failed `failures` times in
/// a row. In a large fleet the wait grows: what is refused costs the store too.
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

/// Whether what this process knows at `now` is as recent as it is while nothing is amiss.
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

/// Whether this process has not heard of the store for longer than it should, at `now`.
pub fn is_out_of_date(engine: &Engine, now: Instant) -> bool {
    let as_of = engine.following().current_as_of();
    as_of.is_none_or(|at| now > at + age_limit(engine))
}

/// Greatest age of what a process knows of the store, while it is told: one wait of who
/// follows the store, and one of who asks that one for others.
pub fn age_limit(engine: &Engine) -> Duration {
    let relayed = match uses_relays(engine) {
        true => update_wait(engine),
        false => Duration::ZERO,
    };
    engine.watch_timeout() + AGE_MARGIN + relayed
}

/// How long one question waits for news here.
fn update_wait(engine: &Engine) -> Duration {
    proof_wait(engine).map_or(UPDATE_WAIT, |wait| UPDATE_WAIT.min(wait))
}

/// How old the proof of what is in use may be; `None` where none is needed.
fn proof_bound(engine: &Engine) -> Option<Duration> {
    let settings = engine.settings();
    let revocation = settings.tenants.as_ref().map(|policy| policy.revocation);
    revocation
        .into_iter()
        .chain(settings.evacuation_bound)
        .min()
}

/// Longest wait for news where what is in use must be proven.
fn proof_wait(engine: &Engine) -> Option<Duration> {
    proof_bound(engine).map(|bound| bound.mul_f64(PROOF_WAIT_SHARE))
}

/// How long one call waits for changes of the configuration at the store.
pub fn configuration_watch_timeout(engine: &Engine) -> Duration {
    let wait = engine.watch_timeout();
    proof_wait(engine).map_or(wait, |longest| wait.min(longest))
}

/// How long one call waits for changes at the store that usually waits for `wait`. One that
/// follows after the process has `turned` to the store, or after `failures`, does not wait:
/// what it answers tells at once that nothing was missed, half a second or more sooner.
pub fn initial_watch_timeout(turned: bool, failures: u32, wait: Duration) -> Duration {
    match turned || failures > 0 {
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

fn apply_updates(engine: &Engine, updates: StoreUpdates, asked: Instant) {
    declared::apply(engine, updates.declared, asked);
    if updates.records_version > engine.terms().version() {
        let changes = RecordChanges {
            written: updates.records,
            version: updates.records_version,
        };
        engine.terms().apply_changes(engine, &changes);
    }
}

/// Whether this process has started a short while ago, is learning all that the store holds, and
/// has not failed to. After a loss of all power hundreds ask it meanwhile. They wait for it: if
/// they all read whole tables, the store would be as slow as to keep it from learning, too.
fn is_starting(engine: &Engine) -> bool {
    let following = engine.following();
    let longest = engine
        .settings()
        .propagation_bound
        .mul_f64(STARTING_PROPAGATION_SHARE);
    let is_young = following.started.elapsed() < longest;
    is_young && following.current_as_of().is_none() && !following.is_failing()
}

/// What this process knows that is newer than `known`; waits up to `wait` for something
/// newer, while what it knows is recent. One that is starting answers once it knows everything.
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
    let asked = Instant::now();
    let until = asked + wait;
    loop {
        directory.mark_unchanged();
        configuration.mark_unchanged();
        evacuations.mark_unchanged();
        records.mark_unchanged();
        completeness.mark_unchanged();
        let now = Instant::now();
        if !(is_starting(engine) && now < until) {
            let updates = collect_updates(engine, known, asked);
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

/// What is newer than `known`, for a question that came at `asked`.
fn collect_updates(engine: &Engine, known: FollowedVersions, asked: Instant) -> StoreUpdates {
    // Before what is known is gathered: it must hold no less than these tell.
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
        age: as_of.map(|at| Duration::from_millis(millis(asked.saturating_duration_since(at)) + 1)),
        feeds,
        declared: declared::newer(engine, known.declared, asked),
        records,
        records_version,
        records_complete_after_ms: records_as_of.map(|at| declared::signed_millis(asked, at)),
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
