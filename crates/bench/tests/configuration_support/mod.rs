//! A fleet of real processes without database groups, and an operator's view of it.

use bytes::Bytes;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use stilequay_bench::launch::operator::Operator;
use stilequay_bench::launch::wait::until;
use stilequay_bench::launch::{Deployment, LaunchError, Topology};
use stilequay_daemon::adapters::platform::S3SnapshotStore;
use stilequay_daemon::domain::names::Revision;
use stilequay_daemon::domain::resource::{ResourceSpec, SessionPolicySpec};
use stilequay_daemon::ports::platform::{Snapshot, SnapshotStore};
use stilequay_standin::platform::faults::{
    AnswerLoss, LossMoment, LossSelection, Outage, ServiceFaults,
};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// The operation that commits a change.
const COMMIT: &str = "TransactWriteItems";

/// Pause between two looks for reversions.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);

/// What an operator was told of a change.
pub enum Told {
    /// It is accepted as this version.
    Accepted(u64),
    /// The resource is there already.
    Conflict,
    /// It was not made.
    Refused(String),
    /// It may have been made.
    Unknown(String),
}

impl Told {
    /// The kind alone.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Accepted(_) => "accepted",
            Self::Conflict => "conflict",
            Self::Refused(_) => "refused",
            Self::Unknown(_) => "unknown",
        }
    }
}

impl fmt::Display for Told {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted(version) => write!(formatter, "accepted as {version}"),
            Self::Conflict => formatter.write_str("conflict"),
            Self::Refused(reason) => write!(formatter, "refused: {reason}"),
            Self::Unknown(reason) => write!(formatter, "unknown: {reason}"),
        }
    }
}

/// Creates a session policy and tells what the operator is told.
pub async fn create(operator: &Operator, name: &str) -> Told {
    let policy = SessionPolicySpec::default();
    let spec = ResourceSpec::SessionPolicy(policy.into());
    match operator.create(name, &spec).await {
        Ok(version) => Told::Accepted(version),
        Err(LaunchError::Request(_, reason)) => told_failure(reason),
        Err(other) => panic!("no answer: {other}"),
    }
}

fn told_failure(reason: String) -> Told {
    if reason.contains(r#""AlreadyExists""#) {
        return Told::Conflict;
    }
    if reason.contains(r#""Unavailable""#) || reason.contains(r#""Throttled""#) {
        return Told::Refused(reason);
    }
    Told::Unknown(reason)
}

/// Three daemons in three zones, and the revision that is in force on all.
pub async fn fleet() -> (Topology, u64) {
    let mut deployment = Deployment::small(3);
    deployment.groups.clear();
    let topology = Topology::start(deployment).await.expect("started");
    let Told::Accepted(base) = create(&topology.operator(), "base").await else {
        panic!("a change without faults is accepted");
    };
    settled_revision(&topology, base).await;
    (topology, base)
}

/// Waits until every daemon has caught up and is at `revision` at least.
pub async fn settled_revision(topology: &Topology, revision: u64) {
    for daemon in &topology.daemons {
        let operator = daemon.operator();
        let settled = until("a daemon has the revision", || async {
            (revision_in_force(&operator).await? >= revision).then_some(())
        });
        settled.await.expect("it has the revision");
    }
}

/// The revision in force at a daemon; `None` where it does not answer or serve.
async fn revision_in_force(operator: &Operator) -> Option<u64> {
    let status = operator.status().await.ok()?;
    let caught_up = status["caughtUp"].as_bool()?;
    let revision = status["resourceVersion"].as_str()?.parse().ok()?;
    caught_up.then_some(revision)
}

/// Looks all the time whether a daemon goes back to an older revision.
pub struct ReversionWatch {
    stop: CancellationToken,
    watching: JoinHandle<u64>,
}

impl ReversionWatch {
    /// How often a daemon went back.
    pub async fn stop(self) -> u64 {
        self.stop.cancel();
        self.watching.await.expect("it watched to the end")
    }
}

/// Begins to watch all daemons of `topology`.
pub fn watch_for_reversions(topology: &Topology) -> ReversionWatch {
    let addresses: Vec<_> = topology
        .daemons
        .iter()
        .map(|daemon| daemon.api_address())
        .collect();
    let stop = CancellationToken::new();
    let watching = tokio::spawn(watch(addresses, stop.clone()));
    ReversionWatch { stop, watching }
}

async fn watch(addresses: Vec<SocketAddr>, stop: CancellationToken) -> u64 {
    let mut reversions = 0;
    let mut highest: BTreeMap<SocketAddr, u64> = BTreeMap::new();
    while !stop.is_cancelled() {
        for address in &addresses {
            let operator = Operator::new(*address);
            let look = tokio::time::timeout(Duration::from_secs(1), revision_in_force(&operator));
            let Ok(Some(revision)) = look.await else {
                continue;
            };
            let before = highest.entry(*address).or_default();
            reversions += u64::from(revision < *before);
            *before = revision.max(*before);
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    reversions
}

/// Puts an empty configuration as of the first revision into the object store.
pub async fn offer_old_snapshot(topology: &Topology) {
    const EMPTY_LIST: &[u8] = &[0x90];
    let settings = topology.platform.daemon_settings();
    let url = settings
        .iter()
        .find_map(|setting| setting.strip_prefix("platform.objects="))
        .expect("the object store has a URL");
    let store = S3SnapshotStore::new(url, Duration::from_secs(30)).expect("valid");
    let snapshot = Snapshot {
        revision: Revision(1),
        body: Bytes::from_static(EMPTY_LIST),
    };
    store.store(snapshot).await.expect("stored");
}

/// A service that is out of order as a whole.
pub fn outage(outage: Outage) -> ServiceFaults {
    ServiceFaults {
        outage: Some(outage),
        ..ServiceFaults::default()
    }
}

/// Calls wait before their effect and answers after it.
pub fn slow(before_millis: u64, after_millis: u64) -> ServiceFaults {
    ServiceFaults {
        latency_millis: before_millis,
        answer_latency_millis: after_millis,
        ..ServiceFaults::default()
    }
}

/// The next commits lose their answers.
pub fn answers_lost(count: u32, moment: LossMoment) -> ServiceFaults {
    loss(LossSelection::Next(count), moment)
}

/// Commits lose their answers with a probability, after their effect.
pub fn answers_lost_at_random(probability: f64) -> ServiceFaults {
    let selection = LossSelection::Random {
        probability,
        seed: 5,
    };
    loss(selection, LossMoment::AfterEffect)
}

fn loss(selection: LossSelection, moment: LossMoment) -> ServiceFaults {
    ServiceFaults {
        answer_loss: Some(AnswerLoss {
            selection,
            moment,
            operations: vec![COMMIT.to_owned()],
        }),
        ..ServiceFaults::default()
    }
}

/// Lost answers of one and slowness of the other.
pub fn merged(loss: ServiceFaults, slow: ServiceFaults) -> ServiceFaults {
    ServiceFaults {
        answer_loss: loss.answer_loss,
        ..slow
    }
}
