//! Sliding window limit on the statements sent to one cold member, and the queue for it.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Mutex as AsyncMutex;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Time within which a counted statement must be sent; otherwise it is counted again. Setting
/// session values in between takes some round trips.
pub const SEND_TIME: Duration = Duration::from_millis(100);
/// The second to which a member's limit applies, plus the resolution of timers.
const SECOND: Duration = Duration::from_millis(1_001);
/// Length of the sliding window. It exceeds a second by [`SEND_TIME`], since a statement counted
/// before a second begins may still be sent within it.
pub const WINDOW: Duration = SECOND.saturating_add(SEND_TIME);

/// Number of parts of a window over which statements sent in order are spread. A later statement
/// of an open transaction can then be sent within one part, a quarter of a second.
const WINDOW_PARTS: usize = 4;
const WINDOW_PARTS_U32: u32 = WINDOW_PARTS as u32;

/// How many statements one process may send to a member per [`WINDOW`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Allowance {
    /// No limit, since the member is not cold.
    Unbounded,
    /// At most this many statements.
    Share(usize),
}

/// Priority of a statement, with the time until which it may wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendPriority {
    /// In order of arrival.
    InOrder(Instant),
    /// Before all statements that wait in order.
    First(Instant),
}

/// Statements counted within the last [`WINDOW`]. Any span of that length contains at most
/// `share` of them.
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
    /// Counts one statement, if the share allows it.
    ///
    /// # Errors
    ///
    /// Returns when the share allows the next statement, if nothing else is sent meanwhile.
    pub fn try_take(&mut self, share: usize, now: Instant) -> Result<(), Instant> {
        self.remove_expired(now);
        let free_at = free_at(&self.sent, (share, WINDOW), 0, now);
        self.take_at(free_at, now)
    }

    /// Same as [`SendWindow::try_take`], with the share spread over the window: each part of the
    /// window allows only its part of the share.
    ///
    /// # Errors
    ///
    /// Same as for [`SendWindow::try_take`].
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

    /// Counts a statement that is sent regardless of the share.
    pub fn record(&mut self, now: Instant) {
        self.remove_expired(now);
        self.sent.push_back(now);
    }

    /// When one more statement may be sent after `ahead` others that wait, with the share spread
    /// over the window.
    pub fn spread_free_at(&self, share: usize, ahead: usize, now: Instant) -> Instant {
        let whole = free_at(&self.sent, (share, WINDOW), ahead, now);
        let part = (share.div_ceil(WINDOW_PARTS), WINDOW / WINDOW_PARTS_U32);
        whole.max(free_at(&self.sent, part, ahead, now))
    }

    /// Fraction of `share` that is used; 1 if the share is zero.
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

/// When one more statement may follow `sent` and `ahead` others that wait, if any span of the
/// length `span` may contain at most `most` statements.
fn free_at(
    sent: &VecDeque<Instant>,
    (most, span): (usize, Duration),
    ahead: usize,
    now: Instant,
) -> Instant {
    if most == 0 {
        return now + span;
    }
    // Number of earlier statements that must have left the span by then.
    let leaving = (sent.len() + ahead + 1).saturating_sub(most);
    match leaving.checked_sub(1) {
        None => now,
        Some(last) => match sent.get(last) {
            Some(sent) => now.max(*sent + span),
            // The last of these is still waiting itself.
            None => free_at(sent, (most, span), ahead.saturating_sub(most), now) + span,
        },
    }
}

#[derive(Debug, Default)]
struct GateState {
    window: SendWindow,
    /// Statements that wait in order of arrival.
    waiting: usize,
    /// Statements that wait with [`SendPriority::First`].
    waiting_first: usize,
}

impl GateState {
    /// Counts one statement that waited in order, leaving room for those that go first.
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

/// Admits statements to one member within its allowance, in order of arrival.
#[derive(Debug, Default)]
pub struct StatementGate {
    state: Mutex<GateState>,
    /// Held by the statement at the head of the queue.
    head: AsyncMutex<()>,
}

impl StatementGate {
    /// Waits until a statement may be sent, and counts it. Returns when it was counted, or
    /// `None` if the allowance is unbounded. The `allowance` may change during the wait.
    ///
    /// # Errors
    ///
    /// Returns the time until the statement could be sent, if it can't wait that long. It is not
    /// counted then and must not be sent.
    pub async fn admit(
        &self,
        priority: SendPriority,
        allowance: impl Fn(Instant) -> Allowance,
    ) -> Result<Option<Instant>, Duration> {
        let until = match priority {
            SendPriority::First(until) => {
                let _waiter = WaiterGuard::new(self, |state| &mut state.waiting_first);
                let take = |state: &mut GateState, share, now| state.window.try_take(share, now);
                return self.wait(until, &allowance, take).await;
            }
            SendPriority::InOrder(until) => until,
        };
        let _waiter = self.enqueue(until, allowance(Instant::now()))?;
        match timeout_at(until, self.head.lock()).await {
            Ok(_head) => self.wait(until, &allowance, GateState::take_in_order).await,
            // The statements ahead of it were admitted later than expected.
            Err(_) => Err(WINDOW),
        }
    }

    /// Counts a statement that is sent regardless of the allowance.
    pub fn record(&self) {
        self.lock().window.record(Instant::now());
    }

    /// Fraction of `share` that is used, waiting statements included.
    pub fn utilization(&self, share: usize, now: Instant) -> f64 {
        let state = self.lock();
        let waiting = state.waiting as f64 / share.max(1) as f64;
        state.window.utilization(share, now) + waiting
    }

    /// Joins the queue, unless the statements ahead use up the share until too late.
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

/// Counts one waiting statement in a counter of [`GateState`] until dropped.
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
