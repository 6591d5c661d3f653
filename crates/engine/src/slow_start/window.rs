//! Counting what is sent to one cold member, and whose turn it is.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Mutex as AsyncMutex;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Time in which a statement that is counted must be sent, else it is counted anew: session
/// values are put in place between, which takes some round trips.
pub const SEND_TIME: Duration = Duration::from_millis(100);
/// The span for which it is told what a member takes, and the resolution of timers.
const SECOND: Duration = Duration::from_millis(1_001);
/// The span in which statements are counted: what is counted before a second begins may be sent
/// within it.
pub const WINDOW: Duration = SECOND.saturating_add(SEND_TIME);

/// Parts of a window over which statements that wait in order are spread: a later statement of
/// an open transaction then finds a place within one part, a quarter of a second.
const WINDOW_PARTS: usize = 4;
const WINDOW_PARTS_U32: u32 = WINDOW_PARTS as u32;

/// What one process may send to a member in each [`WINDOW`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Allowance {
    /// As much as any member is sent: it is not cold.
    Unbounded,
    /// So many statements.
    Share(usize),
}

/// When a statement may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendPriority {
    /// In order of arrival, by a moment.
    InOrder(Instant),
    /// Before those that wait in order, by a moment.
    First(Instant),
}

/// The statements that were counted in a window: any such span holds no more than the share.
///
/// ```
/// use std::time::Duration;
/// use stilequay_engine::slow_start::window::{SendWindow, WINDOW};
/// use tokio::time::Instant;
/// let mut window = SendWindow::default();
/// let now = Instant::now();
/// assert_eq!(window.try_take(2, now), Ok(()));
/// assert_eq!(window.try_take(2, now), Ok(()));
/// assert_eq!(window.try_take(2, now), Err(now + WINDOW));
/// assert_eq!(window.try_take(2, now + WINDOW), Ok(()));
/// ```
#[derive(Debug, Default)]
pub struct SendWindow {
    /// Oldest first.
    sent: VecDeque<Instant>,
}

impl SendWindow {
    /// Counts one statement.
    ///
    /// # Errors
    ///
    /// When there will be a place for one, if nothing else is sent meanwhile.
    pub fn try_take(&mut self, share: usize, now: Instant) -> Result<(), Instant> {
        self.remove_expired(now);
        let free_at = free_at(&self.sent, (share, WINDOW), 0, now);
        self.take_at(free_at, now)
    }

    /// As [`SendWindow::try_take`], with the share spread over the window: in each of its parts
    /// only a part of the share is sent.
    ///
    /// # Errors
    ///
    /// As for [`SendWindow::try_take`].
    pub fn try_take_spread(&mut self, share: usize, now: Instant) -> Result<(), Instant> {
        self.remove_expired(now);
        let free_at = self.spread_free_at(share, 0, now);
        self.take_at(free_at, now)
    }

    fn take_at(&mut self, free_at: Instant, now: Instant) -> Result<(), Instant> {
        if free_at > now {
            return Err(free_at);
        }
        self.sent.push_back(now);
        Ok(())
    }

    /// Counts what is sent whether there is a place or not.
    pub fn record(&mut self, now: Instant) {
        self.remove_expired(now);
        self.sent.push_back(now);
    }

    /// When there is a place for one behind `ahead` others that wait, the share spread over the
    /// window.
    pub fn spread_free_at(&self, share: usize, ahead: usize, now: Instant) -> Instant {
        let whole = free_at(&self.sent, (share, WINDOW), ahead, now);
        let part = (share.div_ceil(WINDOW_PARTS), WINDOW / WINDOW_PARTS_U32);
        whole.max(free_at(&self.sent, part, ahead, now))
    }

    /// Part of `share` that is used.
    pub fn utilization(&self, share: usize, now: Instant) -> f64 {
        let sent = self.sent.iter().filter(|at| **at + WINDOW > now);
        match share {
            0 => 1.0,
            share => sent.count() as f64 / share as f64,
        }
    }

    fn remove_expired(&mut self, now: Instant) {
        while self.sent.front().is_some_and(|at| *at + WINDOW <= now) {
            self.sent.pop_front();
        }
    }
}

/// When one more may follow `sent` behind `ahead` others that wait, where each span of a length
/// holds so many at the most.
fn free_at(
    sent: &VecDeque<Instant>,
    (most, span): (usize, Duration),
    ahead: usize,
    now: Instant,
) -> Instant {
    if most == 0 {
        return now + span;
    }
    // Those that must have left the span before.
    let leaving = (sent.len() + ahead + 1).saturating_sub(most);
    match leaving.checked_sub(1) {
        None => now,
        Some(last) => match sent.get(last) {
            Some(sent) => now.max(*sent + span),
            // One of those that wait themselves.
            None => free_at(sent, (most, span), ahead.saturating_sub(most), now) + span,
        },
    }
}

#[derive(Debug, Default)]
struct GateState {
    window: SendWindow,
    /// Statements that wait in order.
    waiting: usize,
    /// Statements that go before these.
    waiting_first: usize,
}

impl GateState {
    /// Counts one statement of those that wait in order: the others have places before it.
    fn take_in_order(&mut self, share: usize, now: Instant) -> Result<(), Instant> {
        match share {
            0 | 1 => self.window.try_take(share, now),
            _ => {
                let left = share.saturating_sub(self.waiting_first).max(1);
                self.window.try_take_spread(left, now)
            }
        }
    }
}

/// Lets statements to one member pass, in order of arrival.
#[derive(Debug, Default)]
pub struct StatementGate {
    state: Mutex<GateState>,
    turn: AsyncMutex<()>,
}

impl StatementGate {
    /// Waits until a statement may be sent, and counts it: returns as of when, or `None` where
    /// nothing is to be counted. What `allowance` tells may change while it waits.
    ///
    /// # Errors
    ///
    /// The time until there is a place, where that comes too late: it has not been sent.
    pub async fn admit(
        &self,
        turn: SendPriority,
        allowance: impl Fn(Instant) -> Allowance,
    ) -> Result<Option<Instant>, Duration> {
        let until = match turn {
            SendPriority::First(until) => {
                let _waiter = WaiterGuard::new(self, |state| &mut state.waiting_first);
                let take = |state: &mut GateState, share, now| state.window.try_take(share, now);
                return self.wait(until, &allowance, take).await;
            }
            SendPriority::InOrder(until) => until,
        };
        let _waiter = self.enqueue(until, allowance(Instant::now()))?;
        match timeout_at(until, self.turn.lock()).await {
            Ok(_turn) => self.wait(until, &allowance, GateState::take_in_order).await,
            // Those before it were let pass later than was expected.
            Err(_) => Err(WINDOW),
        }
    }

    /// Counts what is sent in any case.
    pub fn record(&self) {
        self.lock().window.record(Instant::now());
    }

    /// Share of `share` that is used, those that wait included.
    pub fn utilization(&self, share: usize, now: Instant) -> f64 {
        let state = self.lock();
        let waiting = state.waiting as f64 / share.max(1) as f64;
        state.window.utilization(share, now) + waiting
    }

    /// Takes a place in the queue, unless those before it leave none in time.
    fn enqueue(&self, until: Instant, allowance: Allowance) -> Result<WaiterGuard<'_>, Duration> {
        let now = Instant::now();
        let state = self.lock();
        if let Allowance::Share(share) = allowance {
            let free_at = state.window.spread_free_at(share, state.waiting, now);
            if free_at > now && (share == 0 || free_at > until) {
                return Err(free_at.duration_since(now));
            }
        }
        drop(state);
        Ok(WaiterGuard::new(self, |state| &mut state.waiting))
    }

    async fn wait(
        &self,
        until: Instant,
        allowance: &impl Fn(Instant) -> Allowance,
        take: impl Fn(&mut GateState, usize, Instant) -> Result<(), Instant>,
    ) -> Result<Option<Instant>, Duration> {
        loop {
            let now = Instant::now();
            let Allowance::Share(share) = allowance(now) else {
                return Ok(None);
            };
            let taken = take(&mut self.lock(), share, now);
            match taken {
                Ok(()) => return Ok(Some(now)),
                Err(free_at) if share == 0 || free_at > until => {
                    return Err(free_at.duration_since(now));
                }
                Err(free_at) => sleep_until(free_at).await,
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts one that waits, until it is dropped.
struct WaiterGuard<'a> {
    gate: &'a StatementGate,
    counter: fn(&mut GateState) -> &mut usize,
}

impl<'a> WaiterGuard<'a> {
    fn new(gate: &'a StatementGate, counter: fn(&mut GateState) -> &mut usize) -> Self {
        *counter(&mut gate.lock()) += 1;
        Self { gate, counter }
    }
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        *(self.counter)(&mut self.gate.lock()) -= 1;
    }
}
