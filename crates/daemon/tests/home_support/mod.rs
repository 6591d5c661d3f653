//! A group of stand-in servers, a home before it, and a front that reaches the home
//! over TCP or within the process.
#![allow(dead_code)]

use bytes::BytesMut;
use pgwire::messages::simplequery::Query;
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use stilequay_coordination::identity::{Incarnation, NodeId};
use stilequay_daemon::adapters::exchange::{ExchangeConnector, listen};
use stilequay_daemon::adapters::postgres::back_end::PostgresBackEnd;
use stilequay_daemon::app::home::{HomeContext, HomeService, HomeSettings};
use stilequay_daemon::domain::configuration::Configuration;
use stilequay_daemon::domain::exchange::{
    Access, Freshness, FrontMessage, HomeMessage, OpenExchange, RunUnit, UnitDone,
};
use stilequay_daemon::domain::membership::{FleetMember, FleetView, Liveness};
use stilequay_daemon::domain::names::RequestId;
use stilequay_daemon::domain::resource::{
    DatabaseGroupSpec, Durability, GroupMemberSpec, Secret, ServiceSpec,
};
use stilequay_daemon::domain::verdict::{RequestFailure, Verdict};
use stilequay_daemon::ports::exchange::{ExchangeLost, HomeConnector, HomeExchange};
use stilequay_standin::group::{GroupHandle, GroupSettings, start};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

/// Long enough for any condition under load.
pub const PATIENCE: Duration = Duration::from_secs(60);
/// The group that the tests use.
pub const GROUP: &str = "orders";
/// The service that the tests use.
pub const SERVICE: &str = "storefront";
/// The node whose home side is under test.
const HOME: &str = "home";
/// The node that the front runs on.
const FRONT: &str = "front";

/// How the front reaches the home.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// Over TCP.
    Network,
    /// Within the process.
    Local,
}

/// What a test may change before the start.
pub struct Setup {
    /// The stand-in group.
    pub group: GroupSettings,
    /// The home.
    pub home: HomeSettings,
    /// The resource of the group; members are filled in.
    pub spec: DatabaseGroupSpec,
    /// The resource of the service.
    pub service: ServiceSpec,
    /// How the front reaches the home.
    pub path: Path,
}

impl Default for Setup {
    fn default() -> Self {
        let group = GroupSettings::default();
        Self {
            spec: DatabaseGroupSpec {
                members: vec![],
                database: GROUP.into(),
                user: group.user.clone(),
                password: Secret::new(group.password.clone()),
                connections_per_member: 20,
                durability: Durability::Majority,
                probe_interval_millis: 50,
            },
            service: ServiceSpec {
                verifier: Secret::new(""),
                groups: vec![GROUP.into()],
                policy: None,
                max_connections: 100,
                max_in_flight: 64,
            },
            group,
            home: HomeSettings::default(),
            path: Path::Network,
        }
    }
}

/// Everything that runs for one test.
pub struct Harness {
    /// The stand-in group.
    pub group: GroupHandle,
    /// The configuration in force at the home.
    pub configuration: watch::Sender<Option<Arc<Configuration>>>,
    /// Where the home accepts exchanges.
    pub address: String,
    /// Cancelled to have the home leave.
    pub leaving: CancellationToken,
    connector: ExchangeConnector,
    home: NodeId,
    _fleet: watch::Sender<Arc<FleetView>>,
}

impl Harness {
    /// Starts with defaults and an empty table `entries`.
    pub async fn start() -> Self {
        Self::start_with(Setup::default()).await
    }

    /// Starts as `setup` says, with an empty table `entries`.
    pub async fn start_with(mut setup: Setup) -> Self {
        let group = start(setup.group.clone()).await.expect("the group starts");
        setup.spec.members = members_of(&group);
        let configuration = watch::Sender::new(Some(Arc::new(configuration(&setup))));
        let home = home_service(HOME, &configuration, &setup);
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("it is bound").to_string();
        let leaving = CancellationToken::new();
        tokio::spawn(listen(listener, home.clone(), leaving.clone()));
        let fleet = watch::Sender::new(Arc::new(fleet_of(&address)));
        let (own, local) = match setup.path {
            Path::Network => (FRONT, home_service(FRONT, &configuration, &setup)),
            Path::Local => (HOME, home),
        };
        let harness = Self {
            connector: ExchangeConnector::new(own.into(), fleet.subscribe(), local),
            group,
            configuration,
            address,
            leaving,
            home: HOME.into(),
            _fleet: fleet,
        };
        harness.write("CREATE TABLE entries (value TEXT)").await;
        harness
    }

    /// Begins an exchange.
    pub async fn open(&self) -> Exchange {
        self.open_as(GROUP, SERVICE).await
    }

    /// Begins an exchange of `service` with `group`.
    pub async fn open_as(&self, group: &str, service: &str) -> Exchange {
        let open = OpenExchange {
            group: group.into(),
            service: service.into(),
            session: None,
        };
        let exchange = self.connector.open(&self.home, open).await;
        Exchange(exchange.expect("the home is reached"))
    }

    /// Runs one unit in an exchange of its own.
    pub async fn run(&self, unit: RunUnit) -> Answer {
        let mut exchange = self.open().await;
        let answer = exchange.run(unit).await;
        exchange.0.release().await;
        answer
    }

    /// A write that must be acknowledged.
    pub async fn write(&self, sql: &str) -> UnitDone {
        self.run(write(sql)).await.done()
    }

    /// The texts of the first column that a read with a barrier returns.
    pub async fn read(&self, sql: &str) -> Vec<String> {
        let answer = self.run(read(sql, Freshness::Barrier)).await;
        answer.outcome.as_ref().expect("the read is answered");
        answer.first_column()
    }

    /// The entries that a read with a barrier sees, in order.
    pub async fn entries(&self) -> Vec<String> {
        self.read("SELECT value FROM entries ORDER BY value").await
    }

    /// The failure of a unit that must not be run within a short time.
    pub async fn refused(&self, unit: RunUnit) -> RequestFailure {
        let unit = RunUnit {
            time_left: Duration::from_secs(2),
            ..unit
        };
        let failure = self.run(unit).await.failure();
        assert_eq!(failure.verdict, Verdict::NotRun, "{failure}");
        assert!(failure.retry_after.is_some(), "{failure}");
        failure
    }

    /// Changes the group's resource.
    pub fn change_spec(&self, change: impl FnOnce(&mut DatabaseGroupSpec)) {
        self.configuration.send_modify(|configuration| {
            let mut changed = (**configuration.as_ref().expect("there is one")).clone();
            let mut spec = (*changed.groups[&GROUP.into()]).clone();
            change(&mut spec);
            changed.groups.insert(GROUP.into(), Arc::new(spec));
            *configuration = Some(Arc::new(changed));
        });
    }

    /// The stand-in's present primary.
    pub fn primary(&self) -> String {
        self.group.primary().expect("the group has a primary")
    }

    /// The members that are not the primary.
    pub fn replicas(&self) -> Vec<String> {
        let primary = self.primary();
        let names = self.group.names().into_iter();
        names.filter(|name| *name != primary).collect()
    }

    /// Waits until another member than `former` leads.
    pub async fn wait_for_primary_after(&self, former: &str) -> String {
        eventually(|| self.group.primary().filter(|name| name != former)).await
    }
}

/// Waits until `look` finds something.
pub async fn eventually<T>(mut look: impl FnMut() -> Option<T>) -> T {
    let looking = async {
        loop {
            if let Some(found) = look() {
                return found;
            }
            sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(PATIENCE, looking)
        .await
        .expect("the condition comes true")
}

fn members_of(group: &GroupHandle) -> Vec<GroupMemberSpec> {
    let names = group.names().into_iter();
    let member = |name: String| GroupMemberSpec {
        address: group.address(&name).expect("it is a member").to_string(),
        zone: format!("zone-{name}").as_str().into(),
        name: name.as_str().into(),
        leaving: false,
    };
    names.map(member).collect()
}

fn configuration(setup: &Setup) -> Configuration {
    Configuration {
        groups: BTreeMap::from([(GROUP.into(), Arc::new(setup.spec.clone()))]),
        services: BTreeMap::from([(SERVICE.into(), Arc::new(setup.service.clone()))]),
        ..Configuration::default()
    }
}

fn home_service(
    node: &str,
    configuration: &watch::Sender<Option<Arc<Configuration>>>,
    setup: &Setup,
) -> HomeService {
    HomeService::new(HomeContext {
        node: node.into(),
        zone: "zone-two".into(),
        configuration: configuration.subscribe(),
        back_end: Arc::new(PostgresBackEnd {
            prepared_statements: setup.home.prepared_statements_per_connection,
        }),
        settings: setup.home.clone(),
        events: Arc::default(),
    })
}

fn fleet_of(address: &str) -> FleetView {
    let member = FleetMember {
        node: HOME.into(),
        incarnation: Incarnation(1),
        zone: "zone-two".into(),
        region: "region".into(),
        peer_address: address.into(),
        control_address: address.into(),
        liveness: Liveness::Alive,
    };
    FleetView {
        members: BTreeMap::from([(HOME.into(), member)]),
    }
}

/// An exchange, seen from the front.
pub struct Exchange(pub Box<dyn HomeExchange>);

impl Exchange {
    /// Sends a unit and collects its whole answer.
    pub async fn run(&mut self, unit: RunUnit) -> Answer {
        self.send(unit).await;
        self.answer().await
    }

    /// Sends a unit.
    pub async fn send(&mut self, unit: RunUnit) {
        let sent = self.0.send(FrontMessage::Run(unit)).await;
        sent.expect("the exchange stands");
    }

    /// Collects the whole answer of the unit sent last.
    pub async fn answer(&mut self) -> Answer {
        let answer = timeout(PATIENCE, self.try_answer()).await;
        answer
            .expect("an answer comes")
            .expect("the exchange stands")
    }

    /// Collects the whole answer, if the exchange stands until then.
    pub async fn try_answer(&mut self) -> Result<Answer, ExchangeLost> {
        let mut payload = BytesMut::new();
        loop {
            let outcome = match self.0.receive().await? {
                HomeMessage::Chunk { payload: part, .. } => {
                    payload.extend_from_slice(&part);
                    continue;
                }
                HomeMessage::Done(done) => Ok(done),
                HomeMessage::Failed { failure, .. } => Err(failure),
                HomeMessage::Hello { .. } => panic!("Hello comes once"),
            };
            let messages = decode(payload);
            return Ok(Answer { messages, outcome });
        }
    }
}

/// The whole answer to a unit.
#[derive(Debug)]
pub struct Answer {
    /// The back end's messages.
    pub messages: Vec<PgWireBackendMessage>,
    /// How the unit ended.
    pub outcome: Result<UnitDone, RequestFailure>,
}

impl Answer {
    /// The end of a unit that must have been answered without an error.
    pub fn done(self) -> UnitDone {
        assert_eq!(self.error_code(), None, "{:?}", self.messages);
        self.outcome.expect("the unit is answered")
    }

    /// The failure of a unit that must have failed outside of the back end.
    pub fn failure(self) -> RequestFailure {
        self.outcome.expect_err("the unit fails")
    }

    /// The SQLSTATE of the back end's error.
    pub fn error_code(&self) -> Option<String> {
        self.messages.iter().find_map(|message| match message {
            PgWireBackendMessage::ErrorResponse(error) => {
                let code = error.fields.iter().find(|(field, _)| *field == b'C');
                code.map(|(_, text)| text.clone())
            }
            _ => None,
        })
    }

    /// The texts of the first column.
    pub fn first_column(&self) -> Vec<String> {
        let rows = self.messages.iter().filter_map(|message| match message {
            PgWireBackendMessage::DataRow(row) => {
                let length = i32::from_be_bytes(row.data[..4].try_into().expect("four bytes"));
                let length = usize::try_from(length).expect("the value is not null");
                Some(String::from_utf8_lossy(&row.data[4..4 + length]).into_owned())
            }
            _ => None,
        });
        rows.collect()
    }
}

fn decode(mut payload: BytesMut) -> Vec<PgWireBackendMessage> {
    let context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    let mut messages = Vec::new();
    while !payload.is_empty() {
        let message = PgWireBackendMessage::decode(&mut payload, &context);
        let message = message.expect("a message").expect("a whole message");
        messages.push(message);
    }
    messages
}

/// A unit of one simple query, with much time.
pub fn unit(sql: &str, access: Access) -> RunUnit {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let mut payload = BytesMut::new();
    let query = PgWireFrontendMessage::Query(Query::new(sql.into()));
    query.encode(&mut payload).expect("a query encodes");
    RunUnit {
        request: RequestId(NEXT.fetch_add(1, Ordering::Relaxed)),
        access,
        time_left: PATIENCE / 2,
        makes_session_state: false,
        statements: vec![],
        payload: payload.to_vec(),
    }
}

/// A unit that writes.
pub fn write(sql: &str) -> RunUnit {
    unit(sql, Access::Write)
}

/// A unit that reads.
pub fn read(sql: &str, freshness: Freshness) -> RunUnit {
    unit(sql, Access::Read(freshness))
}

/// A write of one entry.
pub fn insert(value: &str) -> RunUnit {
    write(&insert_sql(value))
}

/// The statement that writes one entry.
pub fn insert_sql(value: &str) -> String {
    format!("INSERT INTO entries VALUES ('{value}')")
}
