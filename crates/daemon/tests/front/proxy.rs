//! A front over scripted homes, and clients of it.

use super::home::{Connector, Fault, Homes};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use pgwire::api::auth::sasl::scram::{ScramSecret, gen_salted_password};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use stilequay_daemon::adapters::postgres::caller::serve;
use stilequay_daemon::app::front::{FrontContext, FrontSettings};
use stilequay_daemon::domain::configuration::Configuration;
use stilequay_daemon::domain::resource::{
    DatabaseGroupSpec, Durability, Secret, ServiceSpec, SessionPolicySpec,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_postgres::{Client, Config, NoTls};
use tokio_util::sync::CancellationToken;

pub const PASSWORD: &str = "grain of rice";
/// Longest wait for something that must come.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// A front that serves one service, `orders`, of the group `shop`.
pub struct Proxy {
    pub address: SocketAddr,
    pub homes: Arc<Homes>,
    pub configuration: watch::Sender<Option<Arc<Configuration>>>,
    pub leaving: CancellationToken,
    pub serving: JoinHandle<()>,
}

/// How a front under test differs from the usual one.
#[derive(Default)]
pub struct Setup {
    pub faults: Vec<Option<Fault>>,
    pub policy: SessionPolicySpec,
    pub settings: FrontSettings,
    pub max_connections: Option<u32>,
}

impl Setup {
    pub fn with_faults(faults: impl IntoIterator<Item = Fault>) -> Self {
        Self {
            faults: faults.into_iter().map(Some).collect(),
            ..Self::default()
        }
    }

    pub fn with_settings(settings: FrontSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    pub async fn start(self) -> Proxy {
        let homes = Homes::new(self.faults);
        let configuration = configuration(self.policy, self.max_connections.unwrap_or(100));
        let (sender, receiver) = watch::channel(Some(Arc::new(configuration)));
        assert_eq!(self.settings.faults(), []);
        let context = FrontContext {
            configuration: receiver,
            homes: homes.clone(),
            connector: Arc::new(Connector(homes.clone())),
            settings: self.settings,
            events: Arc::default(),
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let leaving = CancellationToken::new();
        let serving = tokio::spawn(serve(listener, context, leaving.clone()));
        Proxy {
            address,
            homes,
            configuration: sender,
            leaving,
            serving,
        }
    }
}

impl Proxy {
    pub async fn start() -> Self {
        Setup::default().start().await
    }

    pub fn client_config(&self) -> Config {
        let mut config = Config::new();
        config
            .host("127.0.0.1")
            .port(self.address.port())
            .user("orders")
            .password(PASSWORD)
            .dbname("shop");
        config
    }

    pub async fn connect(&self) -> Client {
        connect(&self.client_config()).await.expect("connects")
    }

    pub async fn raw(&self) -> TcpStream {
        TcpStream::connect(self.address).await.unwrap()
    }
}

pub async fn connect(config: &Config) -> Result<Client, tokio_postgres::Error> {
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

/// Writes bytes and reads until the other side closes.
pub async fn converse(mut stream: TcpStream, bytes: &[u8]) -> Vec<u8> {
    // The other side may close before all has been written.
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    let mut answer = Vec::new();
    let reading = tokio::time::timeout(PATIENCE, stream.read_to_end(&mut answer));
    let _ = reading.await.expect("the connection is closed");
    answer
}

pub fn sqlstate(error: &tokio_postgres::Error) -> &str {
    error.code().map_or("none", |state| state.code())
}

pub fn detail(error: &tokio_postgres::Error) -> &str {
    let database_error = error.as_db_error();
    database_error.and_then(|it| it.detail()).unwrap_or("none")
}

fn configuration(policy: SessionPolicySpec, max_connections: u32) -> Configuration {
    let service = |groups: &[&str]| ServiceSpec {
        verifier: Secret::new(verifier()),
        groups: groups.iter().map(|name| (*name).into()).collect(),
        policy: Some("tested".into()),
        max_connections,
        max_in_flight: 10,
    };
    let mut configuration = Configuration::default();
    for name in ["shop", "stock"] {
        let group = Arc::new(group());
        configuration.groups.insert(name.into(), group);
    }
    let services = &mut configuration.services;
    services.insert("orders".into(), Arc::new(service(&["shop"])));
    let policy = Arc::new(policy);
    configuration.policies.insert("tested".into(), policy);
    configuration
}

fn group() -> DatabaseGroupSpec {
    DatabaseGroupSpec {
        members: Vec::new(),
        database: "shop".to_owned(),
        user: "proxy".to_owned(),
        password: Secret::new("unused"),
        connections_per_member: 10,
        durability: Durability::Majority,
        probe_interval_millis: 100,
    }
}

fn verifier() -> String {
    let salt = b"sixteen bytes 01".to_vec();
    let iterations = 4096;
    let salted = gen_salted_password(PASSWORD, &salt, iterations);
    let secret = ScramSecret::verifier_from_salted_password(salt, salted, iterations);
    let ScramSecret::Verifier {
        salt,
        stored_key,
        server_key,
        ..
    } = secret
    else {
        unreachable!("a verifier was asked for");
    };
    let [salt, stored, server] = [salt, stored_key, server_key].map(|it| STANDARD.encode(it));
    format!("SCRAM-SHA-256${iterations}:{salt}${stored}:{server}")
}
