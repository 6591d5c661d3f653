//! Following the store, or another process that does.
//!
//! In a small fleet every process follows the store itself. In a larger one the first few of
//! each zone do, and the others ask one of these for what is newer than what they know: so
//! what the store is asked does not grow with the fleet. A process goes back to the store
//! whenever none of them tells it, within the time in which it has to know.

use crate::engine::Engine;
use crate::events::{DependencyMonitor, millis};
use crate::home::placement::Peer;
use crate::link::frame::{FollowedVersions, News};
use crate::peers::declared;
use crate::ports::{Record, RecordChanges};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use xxhash_rust::xxh3::xxh3_64;

/// Processes that may follow the store themselves, each.
const DIRECT_FLEET: usize = 16;
/// Processes of each zone that follow it in a larger fleet.
const FOLLOWERS: usize = 2;
/// How long one question waits for news.
const NEWS_WAIT: Duration = Duration::from_millis(900);
/// What an answer may take longer than that.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);
/// What the knowledge of a follower may be older than one of its waits at the store.
const AGE_MARGIN: Duration = Duration::from_millis(600);
/// Time after the start within which a fleet that starts as a whole comes to know itself.
const SETTLING: Duration = Duration::from_millis(800);
/// Pause after nobody told anything, and of a process that follows by itself.
const PAUSE: Duration = Duration::from_millis(250);

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

/// Whether this process follows the store itself, and how recent what it knows is.
#[derive(Debug)]
pub struct Following {
    direct: watch::Sender<bool>,
    began: Instant,
    heard: Mutex<[Option<Instant>; FEEDS]>,
}

impl Default for Following {
    fn default() -> Self {
        Self {
            direct: watch::Sender::new(true),
            began: Instant::now(),
            heard: Mutex::default(),
        }
    }
}

impl Following {
    /// Whether this process follows the store itself.
    pub fn is_direct(&self) -> bool {
        *self.direct.borrow()
    }

    /// Returns once this process is to follow the store itself; whether it had to wait, so
    /// that what it knew of the store before is old. What is `known` already may wait a
    /// moment after the start, until the fleet is known too.
    pub async fn until_direct(&self, known: bool) -> bool {
        let mut direct = self.direct.subscribe();
        // The sender lives as long as this does.
        if known {
            let indirect = direct.wait_for(|direct| !*direct);
            let _ = timeout_at(self.began + SETTLING, indirect).await;
        }
        if self.is_direct() {
            return false;
        }
        let _ = direct.wait_for(|direct| *direct).await;
        true
    }

    /// Notes that the store has told everything that `feed` holds, as of `at`.
    pub fn heard(&self, feed: Feed, at: Instant) {
        let heard = &mut self.lock()[feed as usize];
        *heard = (*heard).max(Some(at));
    }

    /// Since when something may have changed that this process does not know.
    pub fn known_as_of(&self) -> Option<Instant> {
        let heard = *self.lock();
        heard.into_iter().min().flatten()
    }

    fn set_direct(&self, direct: bool) {
        self.direct.send_if_modified(|current| {
            let changed = *current != direct;
            *current = direct;
            changed
        });
    }

    fn lock(&self) -> MutexGuard<'_, [Option<Instant>; FEEDS]> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The processes of `zone` that follow the store themselves.
fn followers(fleet: &[Peer], zone: &str) -> Vec<Peer> {
    let mut peers: Vec<&Peer> = fleet.iter().filter(|peer| &*peer.zone == zone).collect();
    peers.sort_by_key(|peer| xxh3_64(peer.node.as_bytes()));
    peers.into_iter().take(FOLLOWERS).cloned().collect()
}

/// Where this process learns from; `None` where it follows the store itself.
fn sources(engine: &Engine) -> Option<Vec<SocketAddr>> {
    let fleet = engine.homes().fleet();
    let settings = engine.settings();
    if fleet.len() <= DIRECT_FLEET {
        return None;
    }
    let mut followers = followers(&fleet, &settings.zone);
    if followers.iter().any(|peer| peer.node == settings.node) {
        return None;
    }
    if xxh3_64(settings.node.as_bytes()) % 2 == 1 {
        followers.reverse();
    }
    Some(followers.into_iter().map(|peer| peer.address).collect())
}

/// Learns from other processes, where there are some to learn from, until the process ends.
pub async fn follow(engine: &Engine) {
    let following = engine.following();
    let mut dependency = DependencyMonitor::new("followers");
    loop {
        let Some(sources) = sources(engine) else {
            following.set_direct(true);
            sleep(PAUSE).await;
            continue;
        };
        match learn(engine, &sources).await {
            Ok(()) => {
                dependency.note(engine.events(), None);
                following.set_direct(false);
            }
            Err(reason) => {
                dependency.note(engine.events(), Some(reason));
                following.set_direct(true);
                sleep(PAUSE).await;
            }
        }
    }
}

/// Asks the first process of `sources` that answers for news, and takes them.
async fn learn(engine: &Engine, sources: &[SocketAddr]) -> Result<(), String> {
    let link = engine.homes().links().first_usable(sources).await;
    let link = link.ok_or("no process of the zone that follows the store is reached")?;
    let known = known_versions(engine);
    let asked = Instant::now();
    let answer = timeout(NEWS_WAIT + ANSWER_MARGIN, link.follow(known, NEWS_WAIT)).await;
    let Ok(Some(news)) = answer else {
        link.distrust();
        return Err("no news in time".to_owned());
    };
    let age = news.age;
    take(engine, news, asked);
    if let Some(at) = age.and_then(|age| asked.checked_sub(age)) {
        [Feed::Configuration, Feed::Directory, Feed::Records]
            .into_iter()
            .for_each(|feed| engine.following().heard(feed, at));
    }
    if age.is_none_or(|age| age > age_limit(engine)) {
        link.distrust();
        return Err(format!("what was told may be {age:?} old"));
    }
    Ok(())
}

/// Whether this process has not heard of the store for longer than it should, at `now`.
pub fn is_out_of_date(engine: &Engine, now: Instant) -> bool {
    let as_of = engine.following().known_as_of();
    as_of.is_none_or(|at| now > at + age_limit(engine))
}

/// Greatest age of what a process that follows the store knows of it, while it is told.
pub fn age_limit(engine: &Engine) -> Duration {
    engine.feed_wait() + AGE_MARGIN
}

fn known_versions(engine: &Engine) -> FollowedVersions {
    FollowedVersions {
        declared: declared::known_versions(engine),
        records: engine.terms().version(),
    }
}

fn take(engine: &Engine, news: News, asked: Instant) {
    declared::take(engine, news.declared, asked);
    if news.records_version > engine.terms().version() {
        let changes = RecordChanges {
            written: news.records,
            version: news.records_version,
        };
        engine.terms().take_changes(engine, &changes);
    }
}

/// What this process knows that is newer than `known`; waits up to `wait` for something
/// newer, while what it knows is recent.
pub async fn news(engine: &Engine, known: FollowedVersions, wait: Duration) -> News {
    let mut directory = engine.subscribe_directory();
    let mut configuration = engine.subscribe_configuration();
    let mut records = engine.terms().subscribe_version();
    let until = Instant::now() + wait;
    loop {
        directory.mark_unchanged();
        configuration.mark_unchanged();
        records.mark_unchanged();
        let news = news_now(engine, known);
        let recent = news.age.is_some_and(|age| age <= age_limit(engine));
        if news.is_any(known) || !recent || Instant::now() >= until {
            return news;
        }
        tokio::select! {
            _ = directory.changed() => {}
            _ = configuration.changed() => {}
            _ = records.changed() => {}
            () = tokio::time::sleep_until(until) => {}
        }
    }
}

fn news_now(engine: &Engine, known: FollowedVersions) -> News {
    let now = Instant::now();
    let as_of = engine.following().known_as_of();
    let records_version = engine.terms().version();
    let records: Vec<Record> = match records_version > known.records {
        true => engine.terms().records_after(known.records),
        false => Vec::new(),
    };
    News {
        age: as_of.map(|at| Duration::from_millis(millis(now.duration_since(at)) + 1)),
        declared: declared::newer(engine, known.declared),
        records,
        records_version,
    }
}

impl News {
    fn is_any(&self, known: FollowedVersions) -> bool {
        let declared = &self.declared;
        declared.configuration.is_some()
            || declared.directory.is_some()
            || self.records_version > known.records
    }
}
