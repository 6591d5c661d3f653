//! Connections to a member through its homes.

use super::placement::{CANDIDATES_PER_MEMBER, Homes};
use crate::directory::Member;
use crate::link::Link;
use crate::link::frame::{HomeCommand, HomeOutcome, NotSent, RunRequest, UnitId};
use crate::names::TenantName;
use crate::ports::{
    Admission, Answer, BackEnd, BackEndConnection, BackEndConnectionError, Command, ConnectError,
    Control, MemberReport, Refusal, RefusalKind,
};
use crate::residency::{Allowed, Residency};
use crate::statement::{PreparedStatement, TransactionState};
use async_trait::async_trait;
use bytes::Bytes;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

/// Back end that connects to a member through its homes in allowed regions, or directly with a few
/// connections while no such home is reachable.
#[derive(Debug)]
pub struct RemoteBackEnd {
    homes: Arc<Homes>,
    direct: Arc<dyn BackEnd>,
    residency: Residency,
}

impl RemoteBackEnd {
    /// Creates a back end that uses those `homes` that `residency` allows, and `direct` otherwise.
    pub fn new(homes: Arc<Homes>, direct: Arc<dyn BackEnd>, residency: Residency) -> Self {
        Self {
            homes,
            direct,
            residency,
        }
    }
}

#[async_trait]
impl BackEnd for RemoteBackEnd {
    async fn connect(
        &self,
        member: &Member,
        tenant: Option<&TenantName>,
    ) -> Result<Box<dyn BackEndConnection>, ConnectError> {
        if let Some(link) = self
            .homes
            .choose_link(member, tenant, &self.residency)
            .await
        {
            let connection = RemoteConnection::new(Arc::clone(&self.homes), link, member, tenant);
            return Ok(Box::new(connection));
        }
        let permit = self.homes.direct_permits(member).try_acquire_owned();
        let permit = permit.map_err(|_| ConnectError::TooManyConnections)?;
        let connection = self.direct.connect(member, tenant).await?;
        Ok(Box::new(DirectConnection {
            connection,
            _permit: permit,
        }))
    }
}

/// One of the few direct connections of a process that can't reach any home.
#[derive(Debug)]
struct DirectConnection {
    connection: Box<dyn BackEndConnection>,
    _permit: OwnedSemaphorePermit,
}

#[async_trait]
impl BackEndConnection for DirectConnection {
    async fn run(&mut self, command: &Command) -> Result<Answer, BackEndConnectionError> {
        self.connection.run(command).await
    }

    async fn control(&mut self, control: Control) -> Result<MemberReport, BackEndConnectionError> {
        self.connection.control(control).await
    }

    fn is_open(&mut self) -> bool {
        self.connection.is_open()
    }

    async fn pace(&mut self, until: Instant) -> Result<(), Duration> {
        self.connection.pace(until).await
    }
}

/// How a command is processed.
#[derive(Debug)]
enum Plan {
    /// Answered locally, since it doesn't need the member.
    Answer(Answer),
    /// Forwarded to a home.
    Forward(HomeCommand),
}

/// A virtual connection without a counterpart at the home. Session variables and prepared
/// statements are sent along with each command, and the home runs each unit (a statement or a
/// transaction) on any free connection.
#[derive(Debug)]
struct RemoteConnection {
    homes: Arc<Homes>,
    link: Allowed<Arc<Link>>,
    member: Member,
    tenant: Option<TenantName>,
    admission: Admission,
    values: BTreeMap<Bytes, Bytes>,
    prepared: HashMap<Bytes, PreparedStatement>,
    /// Unit that is open at the home.
    unit: Option<UnitId>,
    state: TransactionState,
}

impl RemoteConnection {
    fn new(
        homes: Arc<Homes>,
        link: Allowed<Arc<Link>>,
        member: &Member,
        tenant: Option<&TenantName>,
    ) -> Self {
        Self {
            homes,
            link,
            member: member.clone(),
            tenant: tenant.cloned(),
            admission: Admission::default(),
            values: BTreeMap::new(),
            prepared: HashMap::new(),
            unit: None,
            state: TransactionState::Idle,
        }
    }

    fn link(&self) -> &Arc<Link> {
        self.link.get()
    }

    /// Answers `command` locally if it doesn't need the member; otherwise converts it for a home.
    fn plan(&mut self, command: &Command) -> Plan {
        match command {
            Command::Set { name, value } => {
                self.values.insert(name.clone(), value.clone());
                Plan::Answer(self.empty_answer())
            }
            Command::Prepare { name, prepared } => {
                self.prepared.insert(name.clone(), prepared.clone());
                Plan::Answer(self.empty_answer())
            }
            Command::Reset => {
                self.values.clear();
                self.prepared.clear();
                Plan::Answer(self.empty_answer())
            }
            Command::Rollback if self.unit.is_none() => Plan::Answer(self.empty_answer()),
            Command::Rollback => Plan::Forward(HomeCommand::Rollback),
            Command::Begin { read_only, after } => Plan::Forward(HomeCommand::Begin {
                read_only: *read_only,
                after: *after,
            }),
            Command::Commit { id } => Plan::Forward(HomeCommand::Commit { id: id.clone() }),
            Command::Run {
                id,
                text,
                access,
                after,
            } => Plan::Forward(HomeCommand::Run {
                id: id.clone(),
                text: text.clone(),
                access: *access,
                after: *after,
            }),
            Command::Execute {
                id,
                name,
                arguments,
                after,
            } => {
                let Some(prepared) = self.prepared.get(name).cloned() else {
                    let refused = self.refused(RefusalKind::UnknownPrepared, "not prepared");
                    return Plan::Answer(refused);
                };
                Plan::Forward(HomeCommand::Execute {
                    id: id.clone(),
                    prepared,
                    arguments: arguments.clone(),
                    after: *after,
                })
            }
        }
    }

    fn request(&self, unit: UnitId, command: HomeCommand) -> RunRequest {
        let wait = self.admission.until;
        RunRequest {
            unit,
            exchange: 0,
            member: self.member.id.clone(),
            database: self.admission.database.clone(),
            tenant: self.tenant.clone(),
            rank: self.admission.rank,
            patience: self.admission.patience,
            wait: wait.saturating_duration_since(Instant::now()),
            values: self.values.clone(),
            command,
        }
    }

    /// Runs a command at the home, in the open unit or in a new one.
    async fn forward(
        &mut self,
        command: HomeCommand,
    ) -> Result<HomeOutcome, BackEndConnectionError> {
        let ended = "the link to the home has ended";
        let begins = self.unit.is_none();
        let unit = self.unit.unwrap_or_else(|| self.link().begin_unit());
        let Some(answer) = self.link().run(self.request(unit, command)) else {
            return match begins {
                true => Ok(HomeOutcome::NotSent(NotSent::Unreachable(ended.to_owned()))),
                false => Err(BackEndConnectionError::Closed(ended.to_owned())),
            };
        };
        // Record the unit before waiting, so that it is closed if this future is dropped.
        self.unit = Some(unit);
        metrics::counter!("stilequay_home_forwarded_total").increment(1);
        let outcome = answer.await;
        outcome.map_err(|_| BackEndConnectionError::Closed("the link to the home ended".to_owned()))
    }

    /// Switches away from a home that can't run commands at the member. Returns whether another
    /// home is available.
    async fn switch_home(&mut self) -> bool {
        self.unit = None;
        self.link().deprioritize();
        let (tenant, residency) = (self.tenant.as_ref(), self.link.residency());
        match self
            .homes
            .choose_link(&self.member, tenant, residency)
            .await
        {
            Some(link) if !Arc::ptr_eq(link.get(), self.link()) => {
                self.link = link;
                true
            }
            _ => false,
        }
    }

    /// Updates the state of the connection from the outcome of a command.
    fn apply(&mut self, outcome: HomeOutcome) -> Result<Answer, BackEndConnectionError> {
        match outcome {
            HomeOutcome::Answered(answer) => {
                self.state = answer.state;
                if answer.state == TransactionState::Idle {
                    self.unit = None;
                }
                Ok(answer)
            }
            HomeOutcome::NotSent(reason) => {
                self.unit = None;
                Ok(self.not_sent(reason))
            }
            HomeOutcome::Lost(reason) => Err(BackEndConnectionError::Closed(reason)),
        }
    }

    fn not_sent(&self, reason: NotSent) -> Answer {
        match reason {
            NotSent::Exhausted => {
                self.refused(RefusalKind::Busy, "no connection is free at the home")
            }
            NotSent::Shed { retry_after } => {
                self.refused(RefusalKind::Shed(retry_after), "too many requests wait")
            }
            NotSent::SlowStart { retry_after } => {
                self.refused(RefusalKind::SlowStart(retry_after), "the member is cold")
            }
            NotSent::Unreachable(reason) | NotSent::MayNotSend(reason) => {
                self.refused(RefusalKind::Unreachable, &reason)
            }
            NotSent::OutsideRegions => {
                let text = "the home knows of regions that rule the member out";
                self.refused(RefusalKind::OutsideRegions, text)
            }
            NotSent::UnknownMember => {
                self.refused(RefusalKind::Unreachable, "no home knows the member")
            }
        }
    }

    fn empty_answer(&self) -> Answer {
        Answer {
            rows: Vec::new(),
            outcome: Ok(Bytes::new()),
            state: self.state,
            position: None,
        }
    }

    fn refused(&self, kind: RefusalKind, text: &str) -> Answer {
        let code: &[u8] = match kind {
            RefusalKind::Busy => b"HOME_FULL",
            RefusalKind::Shed(_) => b"HOME_SHED",
            RefusalKind::OutsideRegions => b"HOME_REGIONS",
            RefusalKind::SlowStart(_) => b"SLOW_START",
            _ => b"HOME_UNREACHABLE",
        };
        let refusal = Refusal {
            kind,
            code: Bytes::from_static(code),
            text: Bytes::copy_from_slice(text.as_bytes()),
        };
        Answer {
            outcome: Err(refusal),
            ..self.empty_answer()
        }
    }
}

#[async_trait]
impl BackEndConnection for RemoteConnection {
    async fn run(&mut self, command: &Command) -> Result<Answer, BackEndConnectionError> {
        let command = match self.plan(command) {
            Plan::Forward(command) => command,
            Plan::Answer(answer) => return Ok(answer),
        };
        if self.unit.is_some() {
            let outcome = self.forward(command).await?;
            return self.apply(outcome);
        }
        let mut outcome = self.forward(command.clone()).await?;
        // The home has just started or receives no updates from the store. The next one may know
        // the member and be allowed to send to it.
        for _ in 1..CANDIDATES_PER_MEMBER {
            let passed_on = matches!(
                outcome,
                HomeOutcome::NotSent(NotSent::UnknownMember | NotSent::MayNotSend(_))
            );
            if !passed_on || !self.switch_home().await {
                break;
            }
            outcome = self.forward(command.clone()).await?;
        }
        self.apply(outcome)
    }

    async fn control(&mut self, _: Control) -> Result<MemberReport, BackEndConnectionError> {
        Err(BackEndConnectionError::Refused(
            "orders do not go through homes".to_owned(),
        ))
    }

    fn is_open(&mut self) -> bool {
        match self.unit {
            Some(_) => self.link().is_open(),
            None => self.link().is_usable(),
        }
    }

    fn admit(&mut self, admission: Admission) {
        self.admission = admission;
    }
}

impl Drop for RemoteConnection {
    fn drop(&mut self) {
        if let Some(unit) = self.unit {
            self.link().close_unit(unit);
        }
    }
}
