//! Enforces the slow-start limit where statements leave this process.
//!
//! All direct connections of this process to members go through [`SlowStartBackEnd`]: those of
//! its sessions, those it opens as a home on behalf of other processes, those opened because no
//! home was reachable, and those for control commands.

use super::window::{SEND_TIME, SendPriority, WINDOW};
use crate::directory::Member;
use crate::engine::Engine;
use crate::evacuation::Sender;
use crate::names::{MemberId, TenantName, ZoneName};
use crate::ports::{
    Admission, Answer, BackEnd, BackEndConnection, BackEndConnectionError, Command, ConnectError,
    Control, MemberReport, Refusal, RefusalKind,
};
use crate::statement::TransactionState;
use async_trait::async_trait;
use bytes::Bytes;
use std::sync::{Arc, Weak};
use std::time::Duration;
use tokio::time::Instant;

/// Longest wait of a later statement of a transaction. Within this time the share always allows
/// one, unless more transactions are open than the share has statements.
const LATER_STATEMENT_WAIT: Duration = WINDOW;

/// Back end whose connections count their statements while the member is cold.
#[derive(Debug)]
pub struct SlowStartBackEnd {
    engine: Weak<Engine>,
    inner: Arc<dyn BackEnd>,
}

impl SlowStartBackEnd {
    /// Wraps `inner`, through which the process of `engine` connects.
    pub fn new(engine: Weak<Engine>, inner: Arc<dyn BackEnd>) -> Self {
        Self { engine, inner }
    }
}

#[async_trait]
impl BackEnd for SlowStartBackEnd {
    async fn connect(
        &self,
        member: &Member,
        tenant: Option<&TenantName>,
    ) -> Result<Box<dyn BackEndConnection>, ConnectError> {
        let inner = self.inner.connect(member, tenant).await?;
        Ok(Box::new(SlowStartConnection {
            engine: Weak::clone(&self.engine),
            member: member.id.clone(),
            zone: member.zone.clone(),
            inner,
            counted_at: None,
            state: TransactionState::Idle,
        }))
    }
}

/// Connection that counts its statements while the member is cold.
#[derive(Debug)]
struct SlowStartConnection {
    engine: Weak<Engine>,
    member: MemberId,
    zone: ZoneName,
    inner: Box<dyn BackEndConnection>,
    /// When the next statement was counted, if it already was.
    counted_at: Option<Instant>,
    state: TransactionState,
}

impl SlowStartConnection {
    /// The engine, if any group has a slow start.
    fn counting_engine(&self) -> Option<Arc<Engine>> {
        let engine = self.engine.upgrade()?;
        engine.slow_starts().is_enabled().then_some(engine)
    }

    /// Counts a statement that is about to be sent, unless it was counted within [`SEND_TIME`].
    async fn count(&mut self) -> Result<(), Duration> {
        let Some(engine) = self.counting_engine() else {
            return Ok(());
        };
        let counted_at = self.counted_at.take();
        if counted_at.is_some_and(|at| at.elapsed() <= SEND_TIME) {
            return Ok(());
        }
        let until = Instant::now() + LATER_STATEMENT_WAIT;
        super::admit_statement(&engine, &self.member, SendPriority::First(until)).await?;
        // The time by which an evacuation takes effect may have passed during the wait.
        let schedule = engine.evacuation_schedule();
        let may_send = schedule.check(&self.zone, Sender::Home, Instant::now());
        // Reported like an exhausted slow start: nothing was sent, and the statement may be
        // retried.
        may_send.map_err(|_| WINDOW)
    }

    fn refused(&self, retry_after: Duration) -> Answer {
        Answer {
            rows: Vec::new(),
            outcome: Err(Refusal {
                kind: RefusalKind::SlowStart(retry_after),
                code: Bytes::from_static(b"SLOW_START"),
                text: Bytes::from_static(b"the member is cold"),
            }),
            state: self.state,
            position: None,
        }
    }
}

/// Whether `command` counts against the limit. Other commands do not occupy the member.
fn is_counted(command: &Command) -> bool {
    command.is_statement() || matches!(command, Command::Begin { .. })
}

#[async_trait]
impl BackEndConnection for SlowStartConnection {
    async fn run(&mut self, command: &Command) -> Result<Answer, BackEndConnectionError> {
        if is_counted(command)
            && let Err(retry_after) = self.count().await
        {
            return Ok(self.refused(retry_after));
        }
        let answer = self.inner.run(command).await?;
        self.state = answer.state;
        Ok(answer)
    }

    async fn control(&mut self, control: Control) -> Result<MemberReport, BackEndConnectionError> {
        if control == Control::Status
            && let Some(engine) = self.counting_engine()
        {
            super::count_report(&engine, &self.member);
        }
        self.inner.control(control).await
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }

    fn admit(&mut self, admission: Admission) {
        self.inner.admit(admission);
    }

    async fn pace(&mut self, until: Instant) -> Result<(), Duration> {
        self.counted_at = None;
        let Some(engine) = self.counting_engine() else {
            return Ok(());
        };
        self.counted_at =
            super::admit_statement(&engine, &self.member, SendPriority::InOrder(until)).await?;
        Ok(())
    }
}
