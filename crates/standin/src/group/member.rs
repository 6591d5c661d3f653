//! A member of the group: its state, its tunables and its condition.

use super::error::GroupError;
use super::settings::{Delays, Limits, MemberSettings, ReplicationLag};
use super::state::{MemberState, Role};
use pgwire::api::{ConnectionManager, RandomPidSecretKeyGenerator};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// What the outside does to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Whether its process runs.
    pub running: bool,
    /// Whether it accepts connections but answers nothing.
    pub frozen: bool,
    /// Whether it is cut off from the other members.
    pub cut: bool,
    /// Whether it is leaving, and neither votes nor is elected.
    pub leaving: bool,
}

impl Condition {
    /// Whether it acts at all.
    pub(crate) fn acts(self) -> bool {
        self.running && !self.frozen
    }
}

/// What can be set while the member runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tunables {
    /// How far it lags when it is a replica.
    pub lag: ReplicationLag,
    /// The delays its clients see.
    pub delays: Delays,
    /// Its limits.
    pub limits: Limits,
}

/// What is known of the others, for the election.
#[derive(Debug, Default)]
pub(crate) struct Watch {
    /// Since when no primary was within reach.
    pub(crate) unreachable_since: Option<Instant>,
    /// How long to wait before an election.
    pub(crate) timeout: Duration,
    /// When the member, having won a vote, begins to accept writes.
    pub(crate) promotion_at: Option<Instant>,
}

/// A member of the group.
pub(crate) struct Member {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    pub(crate) cancels: Arc<ConnectionManager>,
    pub(crate) process_numbers: Arc<RandomPidSecretKeyGenerator>,
    pub(crate) watch: Mutex<Watch>,
    state: Mutex<MemberState>,
    tunables: Mutex<Tunables>,
    condition: watch::Sender<Condition>,
    changes: watch::Sender<()>,
    clients: Mutex<CancellationToken>,
    open_connections: AtomicUsize,
    executed_statements: AtomicU64,
}

impl Member {
    /// A member that is not yet served.
    pub(crate) fn new(
        settings: &MemberSettings,
        address: SocketAddr,
        role: Role,
        term: u32,
    ) -> Result<Self, GroupError> {
        let condition = Condition {
            running: true,
            frozen: false,
            cut: false,
            leaving: false,
        };
        let tunables = Tunables {
            lag: settings.lag,
            delays: settings.delays,
            limits: settings.limits,
        };
        Ok(Self {
            name: settings.name.clone(),
            address,
            cancels: Arc::new(ConnectionManager::new()),
            process_numbers: Arc::new(RandomPidSecretKeyGenerator::default()),
            watch: Mutex::default(),
            state: Mutex::new(MemberState::new(role, term)?),
            tunables: Mutex::new(tunables),
            condition: watch::Sender::new(condition),
            changes: watch::Sender::new(()),
            clients: Mutex::default(),
            open_connections: AtomicUsize::new(0),
            executed_statements: AtomicU64::new(0),
        })
    }

    /// The state; the lock is never held across an await or while another member's is.
    pub(crate) fn state(&self) -> MutexGuard<'_, MemberState> {
        lock(&self.state)
    }

    /// The present tunables.
    pub(crate) fn tunables(&self) -> Tunables {
        *lock(&self.tunables)
    }

    /// Changes the tunables.
    pub(crate) fn tune(&self, change: impl FnOnce(&mut Tunables)) {
        change(&mut lock(&self.tunables));
        self.notify();
    }

    /// The present condition.
    pub(crate) fn condition(&self) -> Condition {
        *self.condition.borrow()
    }

    /// Changes the condition.
    pub(crate) fn set_condition(&self, change: impl FnOnce(&mut Condition)) {
        self.condition.send_modify(change);
        self.notify();
    }

    /// Returns once the member acts.
    pub(crate) async fn acting(&self) {
        let mut condition = self.condition.subscribe();
        // The sender lives as long as the member, so the wait cannot fail.
        let _ = condition.wait_for(|condition| condition.acts()).await;
    }

    /// Tells those who follow the log or the tunables that something changed.
    pub(crate) fn notify(&self) {
        self.changes.send_replace(());
    }

    /// A receiver of [`Self::notify`].
    pub(crate) fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// Is cancelled once the connections open now are to be closed.
    pub(crate) fn clients(&self) -> CancellationToken {
        lock(&self.clients).clone()
    }

    /// Closes the connections open now.
    pub(crate) fn close_clients(&self) {
        std::mem::take(&mut *lock(&self.clients)).cancel();
    }

    /// Takes a place under the connection limit.
    pub(crate) fn admit(self: &Arc<Self>) -> Option<Admission> {
        let limit = self.tunables().limits.max_connections;
        let admission = Admission(self.clone());
        let before = self.open_connections.fetch_add(1, Ordering::SeqCst);
        // Dropping the admission gives the place back.
        (before < limit).then_some(admission)
    }

    /// Counts a statement.
    pub(crate) fn count_statement(&self) {
        self.executed_statements.fetch_add(1, Ordering::Relaxed);
    }

    /// The connections open now.
    pub(crate) fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::SeqCst)
    }

    /// The statements executed so far.
    pub(crate) fn executed_statements(&self) -> u64 {
        self.executed_statements.load(Ordering::Relaxed)
    }
}

/// A place under the connection limit, given back when dropped.
pub(crate) struct Admission(Arc<Member>);

impl Drop for Admission {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Locks what no panic can leave half changed.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
