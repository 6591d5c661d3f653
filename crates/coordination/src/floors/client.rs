//! Stores and reads floors at a majority of the homes.

use super::port::FloorTransport;
use super::{Epoch, FloorPlacement, FloorRefusal, FloorReply, FloorRequest, SessionKey, majority};
use crate::identity::NodeId;
use crate::position::Floor;
use futures::stream::{FuturesUnordered, StreamExt};
use quick_error::quick_error;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// How the client calls homes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FloorClientSettings {
    /// Longest time for a majority to answer.
    pub timeout: Duration,
    /// Time after which a further home is called although none has failed.
    pub hedge_after: Duration,
}

impl Default for FloorClientSettings {
    fn default() -> Self {
        Self {
            timeout: Duration::from_secs(1),
            hedge_after: Duration::from_millis(20),
        }
    }
}

quick_error! {
    /// No majority of the homes served the call. For a read, use a barrier instead. A
    /// floor that could not be stored must not be relied on: the write that it is
    /// for may have run, and a later read of its session may not see it.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum FloorError {
        /// Too few homes answered in time.
        NoMajority(served: usize, needed: usize) {
            display("{served} homes answered, {needed} are needed")
        }
        /// A home has heard of a later epoch: the placement used is out of date.
        Superseded(current: Epoch) {
            display("the set of homes was replaced; the epoch is now {current}")
        }
        /// The placement names no homes.
        NoHomes {
            display("there are no homes")
        }
    }
}

/// Calls the homes of a group on behalf of sessions.
///
/// Calls as many homes as make a majority, in the order in which the placement names
/// them (put the node itself and near homes first), and further ones only where those
/// fail or are slow.
#[derive(Clone)]
pub struct FloorClient {
    transport: Arc<dyn FloorTransport>,
    settings: FloorClientSettings,
}

impl FloorClient {
    /// A client that calls over `transport`.
    pub fn new(transport: Arc<dyn FloorTransport>, settings: FloorClientSettings) -> Self {
        Self {
            transport,
            settings,
        }
    }

    /// Stores the floor of a commit that **has happened**; may run in parallel with its
    /// confirmation. Once it returns `Ok`, no [`FloorClient::load`] that begins
    /// later returns a lower floor for the session.
    ///
    /// # Errors
    ///
    /// [`FloorError`]: homes may or may not have kept the floor.
    pub async fn store(
        &self,
        placement: &FloorPlacement,
        session: SessionKey,
        floor: Floor,
    ) -> Result<(), FloorError> {
        let request = FloorRequest::Store {
            epoch: placement.epoch,
            session,
            floor,
        };
        let is_stored = |reply| (reply == FloorReply::Stored).then_some(());
        self.call_majority(placement, request, is_stored).await?;
        Ok(())
    }

    /// The session's floor, or a higher one: the highest that a majority tells.
    ///
    /// # Errors
    ///
    /// [`FloorError`]: use a barrier instead.
    pub async fn load(
        &self,
        placement: &FloorPlacement,
        session: SessionKey,
    ) -> Result<Floor, FloorError> {
        let request = FloorRequest::Load {
            epoch: placement.epoch,
            session,
        };
        let floor_of = |reply| match reply {
            FloorReply::Floor(floor) => Some(floor),
            _ => None,
        };
        let floors = self.call_majority(placement, request, floor_of).await?;
        floors.into_iter().max().ok_or(FloorError::NoHomes)
    }

    /// The accepted answers of a majority.
    async fn call_majority<A>(
        &self,
        placement: &FloorPlacement,
        request: FloorRequest,
        accept: impl Fn(FloorReply) -> Option<A>,
    ) -> Result<Vec<A>, FloorError> {
        if placement.homes.is_empty() {
            return Err(FloorError::NoHomes);
        }
        let needed = majority(placement.homes.len());
        let deadline = Instant::now() + self.settings.timeout;
        let mut further_homes = placement.homes.iter();
        let mut calls = FuturesUnordered::new();
        for home in further_homes.by_ref().take(needed) {
            calls.push(self.call(home, request));
        }
        let mut accepted = Vec::with_capacity(needed);
        while accepted.len() < needed {
            let hedges = further_homes.len() > 0;
            let answer = match self.next_answer(&mut calls, hedges, deadline).await {
                Next::Reply(reply) => accept(check_epoch(reply, placement.epoch)?),
                Next::NoReply => None,
                Next::End => return Err(FloorError::NoMajority(accepted.len(), needed)),
            };
            match answer {
                Some(answer) => accepted.push(answer),
                None => calls.extend(further_homes.next().map(|home| self.call(home, request))),
            }
        }
        Ok(accepted)
    }

    /// The next thing that comes of `calls`. Where there are further homes to call
    /// (`hedges`), a silence of the hedging time counts as no reply.
    async fn next_answer(
        &self,
        calls: &mut FuturesUnordered<impl Future<Output = Option<FloorReply>>>,
        hedges: bool,
        deadline: Instant,
    ) -> Next {
        let hedge_at = Instant::now() + self.settings.hedge_after;
        let until = if hedges {
            hedge_at.min(deadline)
        } else {
            deadline
        };
        match timeout_at(until, calls.next()).await {
            Ok(Some(Some(reply))) => Next::Reply(reply),
            Ok(Some(None)) => Next::NoReply,
            Ok(None) => Next::End,
            Err(_) if until == deadline => Next::End,
            Err(_) => Next::NoReply,
        }
    }

    async fn call(&self, home: &NodeId, request: FloorRequest) -> Option<FloorReply> {
        match self.transport.call(home, request).await {
            Ok(reply) => Some(reply),
            Err(error) => {
                log::debug!(home:% = home, error:% = error; "no answer about a session's floor");
                None
            }
        }
    }
}

/// What came of calls in flight.
enum Next {
    Reply(FloorReply),
    NoReply,
    /// All calls have ended, or the time is over.
    End,
}

/// Passes `reply` on unless it tells of an epoch later than `epoch`.
fn check_epoch(reply: FloorReply, epoch: Epoch) -> Result<FloorReply, FloorError> {
    match reply {
        FloorReply::Refused(FloorRefusal::OtherEpoch { current }) if current > epoch => {
            Err(FloorError::Superseded(current))
        }
        reply => Ok(reply),
    }
}

impl fmt::Debug for FloorClient {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("FloorClient")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}
