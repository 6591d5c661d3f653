//! Runs one unit from admission to the confirmed answer.

use super::HomeService;
use super::acquire::acquire_connection;
use super::confirmation::{confirm_write, replaced};
use super::group::Group;
use super::link::{FrontLink, LinkClosed};
use super::pool::PooledConnection;
use super::routing::{Choice, Router};
use super::unit::{UnitAnswer, UnitFailure, UnitFailureCause, UnitRun, Unsynced};
use crate::domain::exchange::{
    Access, FrontMessage, HomeMessage, RunUnit, ServedBy, TransactionState, UnitDone,
};
use crate::domain::names::{MemberName, ServiceName};
use crate::domain::verdict::{FailureKind, RequestFailure};
use bytes::BytesMut;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use stilequay_coordination::position::Floor;
use tokio::time::{Instant, timeout_at};

/// Size of the chunks in which a held-back answer is sent.
const HELD_BACK_CHUNK_BYTES: usize = 32 << 10;

/// How long after a unit's deadline a front may still take in a confirmed answer.
const SLOW_FRONT_TIME: Duration = Duration::from_secs(10);

/// A connection that an exchange keeps between units.
pub struct HeldConnection {
    /// The connection.
    pub connection: PooledConnection,
    /// Why it was chosen.
    choice: Choice,
    /// Whether a unit on it may have written.
    may_have_written: bool,
    /// What earlier units have left open.
    unsynced: Unsynced,
}

/// A unit whose answer was sent, and the connection if the exchange keeps it.
pub struct FinishedUnit {
    /// What to tell the front.
    pub done: UnitDone,
    /// The connection kept for the exchange.
    pub held: Option<HeldConnection>,
}

/// An outcome that the front is told, or that it is no longer there to be told.
type Outcome<T> = Result<Result<T, RequestFailure>, LinkClosed>;

/// Why a unit ended without an answer.
enum RunError {
    FrontLost,
    Failed(RequestFailure),
    /// The unit may go to another member, because it only reads and the front has
    /// seen nothing of an answer.
    TryAnother(RequestFailure),
}

impl From<LinkClosed> for RunError {
    fn from(_: LinkClosed) -> Self {
        Self::FrontLost
    }
}

/// Runs one unit of an exchange.
pub struct UnitRunner<'a, L> {
    home: &'a HomeService,
    group: &'a Arc<Group>,
    link: &'a mut L,
    service: &'a ServiceName,
    unit: &'a RunUnit,
    arrived: Instant,
    deadline: Instant,
}

impl<'a, L: FrontLink> UnitRunner<'a, L> {
    /// A runner for a unit that has just arrived.
    pub fn new(
        home: &'a HomeService,
        group: &'a Arc<Group>,
        link: &'a mut L,
        service: &'a ServiceName,
        unit: &'a RunUnit,
    ) -> Self {
        let arrived = Instant::now();
        Self {
            home,
            group,
            link,
            service,
            unit,
            arrived,
            deadline: arrived + unit.time_left,
        }
    }

    /// Runs the unit on the connection that the exchange holds, or on a shared one.
    pub async fn run(&mut self, held: Option<HeldConnection>) -> Outcome<FinishedUnit> {
        let result = match held {
            Some(held) => self.run_held(held).await,
            None => self.run_admitted().await,
        };
        match result {
            Ok(finished) => Ok(Ok(finished)),
            Err(RunError::Failed(failure) | RunError::TryAnother(failure)) => Ok(Err(failure)),
            Err(RunError::FrontLost) => Err(LinkClosed),
        }
    }

    fn writes(&self) -> bool {
        self.unit.access == Access::Write
    }

    async fn run_admitted(&mut self) -> Result<FinishedUnit, RunError> {
        let admission = self.home.admission().admit(self.service, self.deadline);
        let _admitted = unless_given_up(self.link, self.unit, admission).await?;
        self.run_shared().await
    }

    /// Runs the unit on the connection that the exchange holds. It needs no admission:
    /// those who wait for admission may be waiting for this very connection.
    async fn run_held(&mut self, mut held: HeldConnection) -> Result<FinishedUnit, RunError> {
        if !held.connection.back_end.is_quiet() {
            let reason = "the connection that held the transaction was lost";
            let failure = RequestFailure::not_run(FailureKind::BackEndUnreachable, reason);
            return Err(RunError::Failed(failure));
        }
        held.may_have_written |= self.writes();
        self.run_on(held).await
    }

    /// Runs the unit on a shared connection, and on another member's if a read
    /// fails before the front has seen anything of an answer.
    async fn run_shared(&mut self) -> Result<FinishedUnit, RunError> {
        let mut excluded = BTreeSet::new();
        loop {
            let held = self.acquire(&mut excluded).await?;
            let member = held.choice.member.clone();
            match self.run_on(held).await {
                Err(RunError::TryAnother(failure)) => {
                    log::info!(request:% = self.unit.request; "trying another member: {failure}");
                    self.group.hint();
                    if !self.writes() {
                        excluded.insert(member);
                    }
                }
                outcome => return outcome,
            }
        }
    }

    /// Finds a member and a connection to it, unless the front gives up meanwhile.
    async fn acquire(
        &mut self,
        excluded: &mut BTreeSet<MemberName>,
    ) -> Result<HeldConnection, RunError> {
        let router = Router {
            group: self.group,
            own_zone: self.home.zone(),
            arrived: self.arrived,
            deadline: self.deadline,
            skip_barrier: self.home.settings().mutants.skip_barrier,
        };
        let acquiring = acquire_connection(&router, self.service, self.unit.access, excluded);
        let (connection, choice) = unless_given_up(self.link, self.unit, acquiring).await?;
        Ok(HeldConnection {
            connection,
            choice,
            may_have_written: self.writes(),
            unsynced: Unsynced::default(),
        })
    }

    async fn run_on(&mut self, mut held: HeldConnection) -> Result<FinishedUnit, RunError> {
        let watches_term = held.choice.as_primary && held.may_have_written;
        let run = UnitRun {
            primary: watches_term.then(|| held.choice.as_primary()),
            state: self.group.watch_state(),
            link: &mut *self.link,
            connection: &mut held.connection,
            unit: self.unit,
            deadline: self.deadline,
            unsynced: held.unsynced,
            held_back_bytes: self.home.settings().held_back_bytes,
        };
        match run.run().await {
            Ok(answer) => self.finish(held, answer).await,
            Err(failure) => Err(self.abandon(held, failure)),
        }
    }

    async fn finish(
        &mut self,
        mut held: HeldConnection,
        mut answer: UnitAnswer,
    ) -> Result<FinishedUnit, RunError> {
        held.connection.makes_session_state |= self.unit.makes_session_state;
        held.unsynced = answer.unsynced;
        let choice = held.choice.clone();
        let must_confirm = choice.as_primary && held.may_have_written && answer.may_have_committed;
        let held = keep_or_give_back(held, answer.transaction);
        let mut floor = None;
        if must_confirm && !self.home.settings().mutants.skip_confirmation {
            floor = Some(self.confirm(&choice, answer.answered).await?);
        }
        self.send_rest(&mut answer.held_back).await?;
        count_unit(self.writes(), choice.as_primary);
        Ok(FinishedUnit {
            done: UnitDone {
                request: self.unit.request,
                transaction: answer.transaction,
                floor,
                served_by: ServedBy {
                    member: choice.member,
                    as_primary: choice.as_primary,
                },
            },
            held,
        })
    }

    async fn confirm(&self, choice: &Choice, answered: Instant) -> Result<Floor, RunError> {
        let primary = choice.as_primary();
        confirm_write(self.group, &primary, answered, self.deadline)
            .await
            .map_err(RunError::Failed)
    }

    async fn send_rest(&mut self, rest: &mut BytesMut) -> Result<(), LinkClosed> {
        let until = self.deadline + SLOW_FRONT_TIME;
        while !rest.is_empty() {
            let length = rest.len().min(HELD_BACK_CHUNK_BYTES);
            let chunk = HomeMessage::Chunk {
                request: self.unit.request,
                payload: rest.split_to(length).to_vec(),
            };
            let sent = timeout_at(until, self.link.send(chunk)).await;
            sent.unwrap_or(Err(LinkClosed))?;
        }
        Ok(())
    }

    /// Closes the connection of a unit that has no whole answer, and judges whether
    /// the unit may have run.
    fn abandon(&self, held: HeldConnection, failure: UnitFailure) -> RunError {
        if matches!(
            failure.cause,
            UnitFailureCause::FrontLost | UnitFailureCause::FrontProtocol
        ) {
            cancel_and_close(held.connection);
            return RunError::FrontLost;
        }
        self.group.hint();
        let told = describe(&failure, &held.choice);
        let lost = matches!(failure.cause, UnitFailureCause::BackEndLost(_));
        if failure.sent && !lost {
            cancel_and_close(held.connection);
        }
        let may_repeat = !self.writes() || self.home.settings().mutants.retry_unsafe;
        if lost && may_repeat && !failure.forwarded {
            return RunError::TryAnother(told);
        }
        RunError::Failed(told)
    }
}

/// Waits for `work`, unless the front cancels the unit or goes away. Nothing of the
/// unit has been sent to a back end before `work` is done.
async fn unless_given_up<T>(
    link: &mut impl FrontLink,
    unit: &RunUnit,
    work: impl Future<Output = Result<T, RequestFailure>>,
) -> Result<T, RunError> {
    tokio::pin!(work);
    loop {
        let message = tokio::select! {
            biased;
            outcome = &mut work => return outcome.map_err(RunError::Failed),
            message = link.receive() => message?,
        };
        match message {
            FrontMessage::Cancel { request } if request == unit.request => {
                let failure = RequestFailure::not_run(FailureKind::Cancelled, "cancelled");
                return Err(RunError::Failed(failure));
            }
            FrontMessage::Cancel { .. } => {}
            _ => return Err(RunError::FrontLost),
        }
    }
}

/// Counts a unit by what it needed and by the role of the member that ran it.
fn count_unit(writes: bool, as_primary: bool) {
    let access = if writes { "write" } else { "read" };
    let role = if as_primary { "primary" } else { "replica" };
    metrics::counter!("stilequay_home_units_total", "access" => access, "role" => role)
        .increment(1);
}

/// Returns a connection that others can use, and keeps one that has a transaction,
/// an open pipeline or session state.
fn keep_or_give_back(
    held: HeldConnection,
    transaction: TransactionState,
) -> Option<HeldConnection> {
    let is_clean = transaction == TransactionState::Idle && !held.connection.has_session_state();
    if !is_clean {
        return Some(held);
    }
    held.connection.give_back();
    None
}

/// Asks the back end to stop what it is doing, and closes the connection.
fn cancel_and_close(connection: PooledConnection) {
    tokio::spawn(async move { connection.back_end.cancel().await });
}

/// What to tell the front of a unit that has no whole answer.
fn describe(failure: &UnitFailure, choice: &Choice) -> RequestFailure {
    let (kind, message) = match &failure.cause {
        UnitFailureCause::Malformed(reason) => (FailureKind::ProtocolViolation, reason.clone()),
        UnitFailureCause::BackEndLost(reason) => {
            let message = format!("the connection to {} was lost: {reason}", choice.member);
            (FailureKind::BackEndUnreachable, message)
        }
        UnitFailureCause::Replaced(later) => return replaced(&choice.as_primary(), *later),
        UnitFailureCause::DeadlineExceeded => {
            let message = format!("{} did not answer in time", choice.member);
            (FailureKind::DeadlineExceeded, message)
        }
        UnitFailureCause::TooLongToHoldBack => {
            let reason = "the answer is too long to hold back until the write is confirmed";
            (FailureKind::Overloaded, reason.to_owned())
        }
        UnitFailureCause::FrontLost | UnitFailureCause::FrontProtocol => {
            (FailureKind::Cancelled, "the front is gone".to_owned())
        }
    };
    if failure.sent {
        RequestFailure::may_have_run(kind, message)
    } else {
        RequestFailure::not_run(kind, message)
    }
}
