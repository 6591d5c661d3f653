//! The session of a caller: its variables, prepared statements, transaction and the lower bound on
//! the freshness of its reads.
//!
//! A session belongs to one connection of a caller. It handles one statement at a time:
//! [`Session::handle`] routes, sends and answers it within a single task.

mod authorization;
mod evacuated;
mod floor;
mod limits;
mod offer;
mod read;
mod target;
mod trace;
mod transaction;
mod write;

pub use limits::StatementDeadlines;

use crate::configuration::Route;
use crate::engine::Engine;
use crate::events::{Event, millis};
use crate::group::Group;
use crate::leadership::access;
use crate::names::{DatabaseName, TenantName};
use crate::pool::{AcquireRequest, SessionStatement, SessionValues};
use crate::rate::{self, Permit};
use crate::statement::{Access, PreparedStatement, Reply, Request, Statement, TransactionState};
use crate::tenant::{Credential, Tenant};
use crate::verdict::{Failure, FailureReason};
use bytes::Bytes;
use floor::SessionFloor;
use limits::max_queue_wait;
use std::collections::HashMap;
use std::sync::Arc;
use target::outside_home_regions;
use tokio::time::Instant;
use trace::RequestTrace;
use transaction::Transaction;

/// Maximum number of session variables and, separately, of prepared statements in one session.
const SESSION_ITEMS_LIMIT: usize = 512;

/// The session of one caller.
#[derive(Debug)]
pub struct Session {
    engine: Arc<Engine>,
    database: DatabaseName,
    credential: Option<Credential>,
    /// The tenant on whose behalf the latest statement was run.
    tenant: Option<Arc<Tenant>>,
    values: SessionValues,
    prepared: HashMap<Bytes, PreparedStatement>,
    floor: SessionFloor,
    transaction: Option<Transaction>,
}

/// The result of a completed statement.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
struct Completion {
    rows: Vec<Bytes>,
    signature: Option<Bytes>,
}

impl Session {
    /// Opens a session on `database` for a caller that has presented `credential`.
    ///
    /// # Errors
    ///
    /// [`Failure`] if the database has no route, the credential is not valid, or the configuration
    /// is not known or possibly outdated.
    pub async fn open(
        engine: Arc<Engine>,
        database: DatabaseName,
        credential: Option<Credential>,
    ) -> Result<Self, Failure> {
        let admitted = authorization::admit(&engine, &database, credential.as_ref());
        if let Err(failure) = admitted.await {
            let proof_age = authorization::proof_age(&engine, Instant::now());
            engine.events().write(&Event::SessionRefused {
                database,
                reason: failure.reason.clone(),
                configuration: engine.configuration().map_or(0, |c| c.version),
                proof_age_ms: proof_age.map(millis),
            });
            metrics::counter!(
                "stilequay_sessions_refused_total", "reason" => failure.reason.name()
            )
            .increment(1);
            return Err(failure);
        }
        Ok(Self {
            engine,
            database,
            credential,
            tenant: None,
            values: SessionValues::default(),
            prepared: HashMap::new(),
            floor: SessionFloor::default(),
            transaction: None,
        })
    }

    /// Returns the transaction state of the session.
    pub fn state(&self) -> TransactionState {
        match &self.transaction {
            None => TransactionState::Idle,
            Some(transaction) => transaction.state(),
        }
    }

    /// Returns when an idle open transaction is to be aborted.
    pub fn idle_deadline(&self) -> Option<Instant> {
        let idle_since = self.transaction.as_ref()?.idle_since()?;
        let limit = self.engine.configuration()?.transaction_idle?;
        Some(idle_since + limit)
    }

    /// Aborts the open transaction with `reason`, for example because it was idle for too long or
    /// the process is shutting down. The next statement of the caller returns the failure.
    pub fn abort_transaction(&mut self, reason: FailureReason) {
        if let Some(transaction) = &mut self.transaction {
            transaction.abort(Failure::not_run(reason));
        }
    }

    /// Runs one request.
    pub async fn handle(&mut self, request: &Request) -> Reply {
        let mut trace = RequestTrace::new(&self.engine, &self.database, request);
        let outcome = self.dispatch(request, &mut trace).await;
        trace.finish(&self.engine, &outcome);
        let state = self.state();
        match outcome {
            Ok(completion) => Reply {
                rows: completion.rows,
                outcome: Ok(completion.signature),
                state,
            },
            Err(failure) => Reply {
                rows: Vec::new(),
                outcome: Err(failure),
                state,
            },
        }
    }

    async fn dispatch(
        &mut self,
        request: &Request,
        trace: &mut RequestTrace,
    ) -> Result<Completion, Failure> {
        match &request.statement {
            Statement::Set { name, value } => self.set(name, value).await,
            Statement::Prepare { name, prepared } => self.prepare(name, prepared),
            Statement::Deallocate { name } => self.deallocate(name),
            Statement::Begin { read_only } => self.begin(*read_only, request.received),
            Statement::Commit => {
                self.authorize(request)?;
                trace.set_tenant(self.tenant_name());
                self.finish_transaction(request, true, trace).await
            }
            Statement::Rollback => self.finish_transaction(request, false, trace).await,
            Statement::Read { text } => self.run_text(request, Access::Read, text, trace).await,
            Statement::Write { text } => self.run_text(request, Access::Write, text, trace).await,
            Statement::Execute { name, arguments } => {
                let prepared = self.prepared.get(name).cloned();
                let unknown = || Failure::rejected(FailureReason::UnknownPrepared);
                let prepared = prepared.ok_or_else(unknown)?;
                let access = prepared.access;
                let arguments = arguments.clone();
                let statement = SessionStatement::Prepared {
                    prepared,
                    arguments,
                };
                self.run(request, access, statement, trace).await
            }
        }
    }

    async fn run_text(
        &mut self,
        request: &Request,
        access: Access,
        text: &Bytes,
        trace: &mut RequestTrace,
    ) -> Result<Completion, Failure> {
        let text = text.clone();
        let statement = SessionStatement::Text { text, access };
        self.run(request, access, statement, trace).await
    }

    async fn run(
        &mut self,
        request: &Request,
        access: Access,
        statement: SessionStatement,
        trace: &mut RequestTrace,
    ) -> Result<Completion, Failure> {
        self.authorize(request)?;
        trace.set_tenant(self.tenant_name());
        if self.transaction.is_some() {
            return self
                .run_in_transaction(request, access, statement, trace)
                .await;
        }
        let route = self.route()?;
        trace.set_route(&self.engine, &route);
        match access {
            Access::Read => self.run_read(request, &route, statement, trace).await,
            Access::Write => self.run_write(request, &route, statement, trace).await,
        }
    }

    /// Determines the tenant of `request`. This is repeated for each statement, since the
    /// credential may have been removed meanwhile. A transaction whose caller is no longer
    /// authorized is aborted, and the statement then fails with the reason.
    fn authorize(&mut self, request: &Request) -> Result<(), Failure> {
        let (engine, credential) = (&self.engine, self.credential.as_ref());
        let now = request.received;
        let Some(transaction) = &mut self.transaction else {
            self.tenant = authorization::authorize(engine, &self.database, credential, now)?;
            return Ok(());
        };
        match authorization::authorize_for_route(engine, transaction.route(), credential, now) {
            Ok(tenant) => self.tenant = tenant,
            Err(failure) => transaction.abort(failure),
        }
        let tenant = self.tenant.as_ref().map(|tenant| &tenant.name);
        if transaction.belongs_to_other_tenant(tenant) {
            transaction.abort(Failure::not_run(FailureReason::TransactionLost));
        }
        self.abort_outside_regions();
        Ok(())
    }

    /// Aborts a transaction that is open at a member outside its current home regions. The
    /// statement then fails with that reason.
    fn abort_outside_regions(&mut self) {
        let Some(transaction) = &self.transaction else {
            return;
        };
        let residency = self.residency(transaction.route());
        let is_allowed = transaction.may_continue(&self.engine, &residency);
        if let (false, Some(transaction)) = (is_allowed, &mut self.transaction) {
            transaction.abort(outside_home_regions());
        }
    }

    async fn set(&mut self, name: &Bytes, value: &Bytes) -> Result<Completion, Failure> {
        let mut values = self.values.as_ref().clone();
        values.insert(name.clone(), value.clone());
        if values.len() > SESSION_ITEMS_LIMIT {
            return Err(Failure::rejected(FailureReason::Overloaded));
        }
        let values = Arc::new(values);
        self.abort_outside_regions();
        if let Some(transaction) = &mut self.transaction {
            transaction.apply_values(&values).await?;
        }
        self.values = values;
        Ok(Completion::default())
    }

    fn prepare(
        &mut self,
        name: &Bytes,
        prepared: &PreparedStatement,
    ) -> Result<Completion, Failure> {
        let known = self.prepared.contains_key(name);
        if !known && self.prepared.len() >= SESSION_ITEMS_LIMIT {
            return Err(Failure::rejected(FailureReason::Overloaded));
        }
        self.prepared.insert(name.clone(), prepared.clone());
        Ok(Completion::default())
    }

    fn deallocate(&mut self, name: &Bytes) -> Result<Completion, Failure> {
        match self.prepared.remove(name) {
            Some(_) => Ok(Completion::default()),
            None => Err(Failure::rejected(FailureReason::UnknownPrepared)),
        }
    }

    /// Returns the deadlines of a statement of `route` that was read at `received`; they are
    /// shorter while this process is cut off from the sources of leadership information.
    fn deadlines(&self, route: &Route, group: &Group, received: Instant) -> StatementDeadlines {
        let deadlines = StatementDeadlines::new(route, received);
        match access::is_cut_off(&self.engine, group, received) {
            true => deadlines.while_cut_off(route, received),
            false => deadlines,
        }
    }

    /// Returns the request with which connections are acquired under `route`.
    fn acquire_request(&self, route: &Route) -> AcquireRequest {
        AcquireRequest {
            database: self.database.clone(),
            tenant: self.tenant_name().cloned(),
            rank: route.priority,
            values: Arc::clone(&self.values),
            patience: max_queue_wait(route),
        }
    }

    fn tenant_name(&self) -> Option<&TenantName> {
        self.tenant.as_ref().map(|tenant| &tenant.name)
    }

    /// Returns a permit to send one operation to a member: `known` while it is valid, otherwise a
    /// new one.
    async fn permit(
        &self,
        known: Option<Permit>,
        deadlines: StatementDeadlines,
    ) -> Result<Permit, Failure> {
        if let Some(permit) = known.filter(|permit| permit.is_valid(Instant::now())) {
            return Ok(permit);
        }
        match &self.tenant {
            Some(tenant) => rate::permit::acquire(&self.engine, tenant, deadlines.acquire).await,
            None => Ok(Permit::UNLIMITED),
        }
    }

    /// Returns the current route of the database. It is looked up again for each statement outside
    /// a transaction.
    fn route(&self) -> Result<Arc<Route>, Failure> {
        let unknown = || authorization::unknown_database(&self.engine);
        self.engine.route(&self.database).ok_or_else(unknown)
    }
}
