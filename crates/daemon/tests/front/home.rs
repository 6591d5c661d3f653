//! Homes that answer as scripted.

use super::messages::{TEXT, decode, error_response, put, row, row_description, rows};
use async_trait::async_trait;
use bytes::BytesMut;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::data::ParameterDescription;
use pgwire::messages::extendedquery::{BindComplete, CloseComplete, ParseComplete};
use pgwire::messages::response::CommandComplete;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use stilequay_coordination::identity::NodeId;
use stilequay_coordination::position::{Floor, LogPosition, Term};
use stilequay_daemon::domain::exchange::{
    Access, FrontMessage, HomeMessage, OpenExchange, RunUnit, ServedBy, TransactionState, UnitDone,
};
use stilequay_daemon::domain::names::{GroupName, RequestId};
use stilequay_daemon::domain::verdict::{FailureKind, RequestFailure};
use stilequay_daemon::ports::exchange::{ExchangeLost, HomeConnector, HomeExchange};
use stilequay_daemon::ports::homes::HomeSelector;
use tokio::sync::watch;

/// Rows of a long answer: more than the front gathers before it writes.
const LONG_ANSWER_ROWS: usize = 2_000;

/// What a home does instead of answering.
#[derive(Debug, Clone)]
pub enum Fault {
    /// Refuses the exchange.
    OpenFails(RequestFailure),
    /// Is lost while the unit is sent.
    LostOnSend,
    /// Is lost once it has the unit.
    LostBeforeAnswer,
    /// Reports a failure before any answer.
    Fails(RequestFailure),
    /// Is lost after many rows.
    LostAfterRows,
    /// Is lost within a message, after many rows.
    LostWithinMessage,
    /// Reports a failure after many rows.
    FailsAfterRows(RequestFailure),
    /// Says that a unit is done whose answer has no end.
    EndsShort,
    /// Answers another request.
    AnswersAnother,
    /// Says nothing.
    Silent,
    /// Says nothing until it is asked to cancel.
    UntilCancelled,
    /// Answers once the test lets it.
    UntilReleased,
    /// Begins COPY.
    BeginsCopy,
}

/// What the homes have been asked.
#[derive(Debug, Clone, Default)]
pub struct Record {
    pub opens: Vec<(NodeId, OpenExchange)>,
    pub runs: Vec<RunUnit>,
    pub cancels: usize,
    pub releases: usize,
    pub drops: usize,
}

/// Three homes, and what they do and have done.
pub struct Homes {
    /// One entry for each unit run, or for an exchange that is refused.
    faults: Mutex<VecDeque<Option<Fault>>>,
    /// A home that no exchange can be opened with.
    down: Mutex<Option<NodeId>>,
    record: watch::Sender<Record>,
    permission: watch::Sender<bool>,
}

impl Homes {
    pub fn new(faults: impl IntoIterator<Item = Option<Fault>>) -> Arc<Self> {
        Arc::new(Self {
            faults: Mutex::new(faults.into_iter().collect()),
            down: Mutex::default(),
            record: watch::Sender::default(),
            permission: watch::Sender::default(),
        })
    }

    pub fn record(&self) -> Record {
        self.record.borrow().clone()
    }

    /// Waits until the record is as wanted.
    pub async fn wait_for(&self, wanted: impl FnMut(&Record) -> bool) -> Record {
        let mut receiver = self.record.subscribe();
        let reached = receiver.wait_for(wanted);
        let limit = std::time::Duration::from_secs(60);
        let record = tokio::time::timeout(limit, reached).await;
        record.expect("the homes are not asked").unwrap().clone()
    }

    /// Takes a home down, or all up again.
    pub fn take_down(&self, home: Option<&str>) {
        *self.down.lock().unwrap() = home.map(NodeId::from);
    }

    /// Lets [`Fault::UntilReleased`] go on.
    pub fn permit(&self) {
        self.permission.send_replace(true);
    }

    fn note(&self, change: impl FnOnce(&mut Record)) {
        self.record.send_modify(change);
    }

    fn next_open_failure(&self) -> Option<RequestFailure> {
        let mut faults = self.faults.lock().unwrap();
        match faults.front() {
            Some(Some(Fault::OpenFails(failure))) => {
                let failure = failure.clone();
                faults.pop_front();
                Some(failure)
            }
            _ => None,
        }
    }
}

impl HomeSelector for Homes {
    fn homes(&self, _: &GroupName, _: &Access) -> Vec<NodeId> {
        ["home-1", "home-2", "home-3"].map(NodeId::from).to_vec()
    }
}

/// Connects to [`Homes`].
pub struct Connector(pub Arc<Homes>);

#[async_trait]
impl HomeConnector for Connector {
    async fn open(
        &self,
        home: &NodeId,
        open: OpenExchange,
    ) -> Result<Box<dyn HomeExchange>, RequestFailure> {
        self.0.note(|it| it.opens.push((home.clone(), open)));
        if self.0.down.lock().unwrap().as_ref() == Some(home) {
            let text = "the home is down";
            return Err(RequestFailure::not_run(FailureKind::HomeUnreachable, text));
        }
        if let Some(failure) = self.0.next_open_failure() {
            return Err(failure);
        }
        Ok(Box::new(Exchange {
            homes: Arc::clone(&self.0),
            reactions: VecDeque::new(),
            transaction: TransactionState::Idle,
            is_released: false,
        }))
    }
}

enum Reaction {
    Message(HomeMessage),
    Lost,
    AwaitCancel,
    AwaitPermission,
}

struct Exchange {
    homes: Arc<Homes>,
    reactions: VecDeque<Reaction>,
    transaction: TransactionState,
    is_released: bool,
}

#[async_trait]
impl HomeExchange for Exchange {
    async fn send(&mut self, message: FrontMessage) -> Result<(), ExchangeLost> {
        match message {
            FrontMessage::Run(unit) => {
                self.homes.note(|it| it.runs.push(unit.clone()));
                let fault = self.homes.faults.lock().unwrap().pop_front().flatten();
                self.react(&unit, fault)
            }
            FrontMessage::Cancel { .. } => {
                self.homes.note(|it| it.cancels += 1);
                if matches!(self.reactions.front(), Some(Reaction::AwaitCancel)) {
                    self.reactions.pop_front();
                }
                Ok(())
            }
            other => panic!("unexpected {other:?}"),
        }
    }

    async fn receive(&mut self) -> Result<HomeMessage, ExchangeLost> {
        if matches!(self.reactions.front(), Some(Reaction::AwaitPermission)) {
            let mut permission = self.homes.permission.subscribe();
            permission.wait_for(|given| *given).await.unwrap();
            self.reactions.pop_front();
        }
        match self.reactions.front() {
            Some(Reaction::Message(message)) => {
                let message = message.clone();
                self.reactions.pop_front();
                Ok(message)
            }
            Some(Reaction::Lost) => Err(ExchangeLost::Closed),
            _ => std::future::pending().await,
        }
    }

    async fn release(mut self: Box<Self>) {
        self.is_released = true;
        self.homes.note(|it| it.releases += 1);
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if !self.is_released {
            self.homes.note(|it| it.drops += 1);
        }
    }
}

impl Exchange {
    fn react(&mut self, unit: &RunUnit, fault: Option<Fault>) -> Result<(), ExchangeLost> {
        let request = unit.request;
        match fault {
            None => self.answer(unit),
            Some(Fault::LostOnSend) => return Err(ExchangeLost::Closed),
            Some(Fault::LostBeforeAnswer) => self.reactions.push_back(Reaction::Lost),
            Some(Fault::Fails(failure)) => self.fail(request, failure),
            Some(Fault::LostAfterRows) => {
                self.chunk(request, &rows(LONG_ANSWER_ROWS));
                self.reactions.push_back(Reaction::Lost);
            }
            Some(Fault::LostWithinMessage) => {
                let rows = rows(LONG_ANSWER_ROWS);
                self.chunk(request, &rows[..rows.len() - 3]);
                self.reactions.push_back(Reaction::Lost);
            }
            Some(Fault::FailsAfterRows(failure)) => {
                self.chunk(request, &rows(LONG_ANSWER_ROWS));
                self.fail(request, failure);
            }
            Some(Fault::EndsShort) => {
                self.chunk(request, &rows(1));
                self.done(request, None);
            }
            Some(Fault::AnswersAnother) => {
                self.chunk(RequestId(request.0.wrapping_add(1)), &rows(1));
            }
            Some(Fault::Silent) => {}
            Some(Fault::UntilCancelled) => {
                self.reactions.push_back(Reaction::AwaitCancel);
                self.chunk(request, &error_response("57014"));
                self.done(request, None);
            }
            Some(Fault::UntilReleased) => {
                self.reactions.push_back(Reaction::AwaitPermission);
                self.answer(unit);
            }
            Some(Fault::BeginsCopy) => self.chunk(request, b"G\0\0\0\x07\0\0\0"),
            Some(Fault::OpenFails(_)) => panic!("the exchange is open already"),
        }
        Ok(())
    }

    fn chunk(&mut self, request: RequestId, payload: &[u8]) {
        let payload = payload.to_vec();
        let message = HomeMessage::Chunk { request, payload };
        self.reactions.push_back(Reaction::Message(message));
    }

    fn fail(&mut self, request: RequestId, failure: RequestFailure) {
        let message = HomeMessage::Failed { request, failure };
        self.reactions.push_back(Reaction::Message(message));
    }

    fn done(&mut self, request: RequestId, floor: Option<Floor>) {
        let message = HomeMessage::Done(UnitDone {
            request,
            transaction: self.transaction,
            floor,
            served_by: ServedBy {
                member: "member-1".into(),
                as_primary: true,
            },
        });
        self.reactions.push_back(Reaction::Message(message));
    }

    /// Answers as a back end would; the answer comes in two parts.
    fn answer(&mut self, unit: &RunUnit) {
        let mut answer = BytesMut::new();
        self.transaction = match self.transaction {
            TransactionState::Unsynced => TransactionState::Idle,
            other => other,
        };
        let mut payload = BytesMut::from(&unit.payload[..]);
        while let Some(message) = decode(&mut payload) {
            let is_error = self.answer_message(message, &mut answer);
            if is_error {
                break;
            }
        }
        let (first, second) = answer.split_at(answer.len() / 2);
        self.chunk(unit.request, first);
        self.chunk(unit.request, second);
        let writes = unit.access == Access::Write && self.transaction == TransactionState::Idle;
        self.done(unit.request, writes.then(|| self.homes.next_floor()));
    }

    fn answer_message(&mut self, message: PgWireFrontendMessage, answer: &mut BytesMut) -> bool {
        match message {
            PgWireFrontendMessage::Query(query) => return self.answer_query(&query.query, answer),
            PgWireFrontendMessage::Parse(parse) if parse.query.contains("syntax error") => {
                answer.extend_from_slice(&error_response("42601"));
                return true;
            }
            PgWireFrontendMessage::Parse(_) => put(answer, &ParseComplete::new()),
            PgWireFrontendMessage::Bind(_) => put(answer, &BindComplete::new()),
            PgWireFrontendMessage::Close(_) => put(answer, &CloseComplete::new()),
            PgWireFrontendMessage::Describe(it) => {
                if it.target_type == b'S' {
                    put(answer, &ParameterDescription::new(vec![TEXT]));
                }
                put(answer, &row_description());
            }
            PgWireFrontendMessage::Execute(_) => {
                put(answer, &row("executed"));
                put(answer, &CommandComplete::new("SELECT 1".to_owned()));
            }
            PgWireFrontendMessage::Sync(_) => answer.extend_from_slice(b"Z\0\0\0\x05I"),
            PgWireFrontendMessage::Flush(_) => self.transaction = TransactionState::Unsynced,
            other => panic!("unexpected {other:?}"),
        }
        false
    }

    fn answer_query(&mut self, text: &str, answer: &mut BytesMut) -> bool {
        let word = text.split_whitespace().next().unwrap_or_default();
        let tag = match word.to_ascii_uppercase().as_str() {
            "BEGIN" => {
                self.transaction = TransactionState::InTransaction;
                "BEGIN"
            }
            "COMMIT" | "ROLLBACK" => {
                self.transaction = TransactionState::Idle;
                "COMMIT"
            }
            "FAIL" => {
                answer.extend_from_slice(&error_response("42P01"));
                return true;
            }
            "SELECT" => {
                put(answer, &row_description());
                put(answer, &row(text));
                "SELECT 1"
            }
            _ => "INSERT 0 1",
        };
        put(answer, &CommandComplete::new(tag.to_owned()));
        false
    }
}

impl Homes {
    /// The floor of the next write.
    fn next_floor(&self) -> Floor {
        let runs = self.record.borrow().runs.len() as u64;
        Floor::new(Term(3), LogPosition(runs))
    }
}
