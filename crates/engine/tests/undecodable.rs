//! Bytes of other processes and of the store that can't be decoded: each is counted, and told with
//! where it came from.

mod support;

use async_trait::async_trait;
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use rstest::rstest;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use stilequay_engine::engine::{Engine, EngineRecords, EngineSettings};
use stilequay_engine::events::EventLog;
use stilequay_engine::leadership;
use stilequay_engine::link::Links;
use stilequay_engine::link::frame::{FromHome, RequiredFreshness, ToHome, decode_frame, encode};
use stilequay_engine::names::GroupName;
use stilequay_engine::peers::{TcpPeers, query, serve};
use stilequay_engine::ports::{
    DeclaredState, DeclaredVersions, GroupSnapshot, PeerError, PeerLink, PeerNetwork, RecordStore,
};
use stilequay_engine::topology::Topology;
use support::servers::{WorldBackEnd, WorldPromoter};
use support::telemetry::{Counters, capture_log, events};
use support::{Fleet, GROUP, until};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Malformed in any format.
const GARBAGE: &[u8] = b"\xc1nonsense";
/// The frame that turns a connection into a link.
const LINK: &[u8] = b"\xa4Link";
const UNDECODABLE: &str = "stilequay_undecodable_total";

type Frames = Framed<TcpStream, LengthDelimitedCodec>;

/// Listens for links and sends on them what `answer` returns for each received frame.
async fn peer_that_sends(answer: fn(&ToHome) -> Bytes) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.expect("a connection");
            let mut frames = Frames::new(stream, LengthDelimitedCodec::new());
            let link = frames.next().await.expect("a frame").expect("a frame");
            assert_eq!(link, LINK);
            while let Some(Ok(frame)) = frames.next().await {
                let frame = frame.freeze();
                let request = decode_frame(&frame).expect("a request");
                let _ = frames.send(answer(&request)).await;
            }
        }
    });
    address
}

/// Sends a query on a link to a peer that sends `answer`, until an undecodable frame was told.
async fn query_over_link(answer: fn(&ToHome) -> Bytes) -> SocketAddr {
    let address = peer_that_sends(answer).await;
    let links = Links::new(Arc::new(TcpPeers), Arc::new(EventLog::default()));
    let link = links.first_usable(&[address]).await.expect("a link");
    let group = GroupName::from(GROUP);
    let query = link.query_group(&group, RequiredFreshness::Evidence);
    tokio::select! {
        answer = query => assert_eq!(answer, None),
        () = until_told(|| async {}) => {}
    }
    address
}

/// An answer whose beliefs are no list.
fn wrong_beliefs() -> Bytes {
    Bytes::from_static(b"\x81\xa7Beliefs\x92\x07\xa6secret")
}

fn with_wrong_beliefs(request: &ToHome) -> Bytes {
    match request {
        ToHome::Ping => encode(&FromHome::Pong),
        _ => wrong_beliefs(),
    }
}

fn with_malformed_parts(request: &ToHome) -> Bytes {
    match request {
        ToHome::Ask { exchange, .. } => encode(&FromHome::Part {
            exchange: *exchange,
            bytes: Bytes::from_static(GARBAGE),
            is_last: true,
        }),
        _ => encode(&FromHome::Pong),
    }
}

fn with_garbage(_: &ToHome) -> Bytes {
    Bytes::from_static(GARBAGE)
}

fn with_another_answer(_: &ToHome) -> Bytes {
    encode(&FromHome::NewestTerm {
        exchange: 1,
        version: None,
    })
}

#[tokio::test]
async fn undecodable_answer_on_a_link_is_told_with_the_peer_and_the_kind_of_frame() {
    capture_log();
    let counters = Counters::default();
    let _captured = counters.capture();
    let address = query_over_link(with_wrong_beliefs).await;
    let told = events("undecodable");
    assert_eq!(told.len(), 1, "{told:?}");
    assert_eq!(told[0]["what"], "link_answer");
    assert_eq!(told[0]["from"], address.to_string());
    assert_eq!(told[0]["frame"], "Beliefs");
    assert_eq!(told[0]["bytes"], wrong_beliefs().len());
    let error = told[0]["error"].as_str().expect("a text");
    assert!(!error.contains("secret"), "{error}");
    let labels = [("what", "link_answer"), ("reason", "type_mismatch")];
    assert_eq!(counters.sum(UNDECODABLE, &labels), 1);
}

#[rstest]
#[case::malformed(with_garbage)]
#[case::no_answer_to_a_ping(with_another_answer)]
#[tokio::test]
async fn wrong_first_answer_of_a_link_is_told(#[case] answer: fn(&ToHome) -> Bytes) {
    capture_log();
    let address = peer_that_sends(answer).await;
    let links = Links::new(Arc::new(TcpPeers), Arc::new(EventLog::default()));
    let addresses = [address];
    until_told(|| links.first_usable(&addresses)).await;
    let told = events("undecodable");
    assert_eq!(told[0]["what"], "link_first_answer");
    assert_eq!(told[0]["from"], address.to_string());
}

/// Repeats `action` until an undecodable frame was told.
async fn until_told<F: Future>(action: impl Fn() -> F) {
    let told = async {
        while events("undecodable").is_empty() {
            action().await;
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(Duration::from_secs(5), told).await.expect("told");
}

#[tokio::test]
async fn undecodable_parts_of_an_answer_are_told() {
    capture_log();
    let address = query_over_link(with_malformed_parts).await;
    let told = events("undecodable");
    assert_eq!(told[0]["what"], "link_answer_parts");
    assert_eq!(told[0]["from"], address.to_string());
}

/// A process that serves its peers over TCP.
async fn serving_process() -> (Fleet, SocketAddr) {
    tokio::time::pause();
    let fleet = Fleet::start(1).await;
    tokio::time::resume();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let engine = Arc::clone(&fleet.nodes[0].engine);
    tokio::spawn(serve(engine, listener));
    (fleet, address)
}

async fn connect(address: SocketAddr) -> Frames {
    let stream = TcpStream::connect(address).await.expect("connected");
    Frames::new(stream, LengthDelimitedCodec::new())
}

#[rstest]
#[case::query(&[GARBAGE], "peer_query")]
#[case::frame_of_a_link(&[LINK, GARBAGE], "link_request")]
#[tokio::test]
async fn undecodable_request_is_told_with_its_sender(
    #[case] sent: &[&'static [u8]],
    #[case] what: &str,
) {
    let (_fleet, address) = serving_process().await;
    capture_log();
    let mut frames = connect(address).await;
    for frame in sent {
        frames.send(Bytes::from_static(frame)).await.expect("sent");
    }
    until_told(|| async {}).await;
    let told = events("undecodable");
    let sender = frames.get_ref().local_addr().expect("an address");
    assert_eq!(told[0]["what"], what);
    assert_eq!(told[0]["from"], sender.to_string());
}

#[rstest]
#[case::query(&[], "peer_query")]
#[case::frame_of_a_link(&[LINK], "link_request")]
#[tokio::test]
async fn too_long_request_is_told(#[case] sent: &[&'static [u8]], #[case] what: &str) {
    let (_fleet, address) = serving_process().await;
    capture_log();
    let counters = Counters::default();
    let _captured = counters.capture();
    let mut frames = connect(address).await;
    frames.codec_mut().set_max_frame_length(8 << 20);
    for frame in sent {
        frames.send(Bytes::from_static(frame)).await.expect("sent");
    }
    // The connection may be closed before all of it was sent.
    let _ = frames.send(Bytes::from(vec![0; 5 << 20])).await;
    until_told(|| async {}).await;
    assert_eq!(events("undecodable")[0]["what"], what);
    let labels = [("what", what), ("reason", "too_long")];
    assert_eq!(counters.sum(UNDECODABLE, &labels), 1);
}

#[tokio::test]
async fn storm_of_undecodable_requests_does_not_flood_the_log() {
    const SENT: u64 = 300;
    let (_fleet, address) = serving_process().await;
    capture_log();
    let counters = Counters::default();
    let _captured = counters.capture();
    let labels = [("what", "peer_query"), ("reason", "type_mismatch")];
    for count in 1..=SENT {
        let mut frames = connect(address).await;
        frames
            .send(Bytes::from_static(GARBAGE))
            .await
            .expect("sent");
        let counted = async {
            while counters.sum(UNDECODABLE, &labels) < count {
                sleep(Duration::from_millis(1)).await;
            }
        };
        timeout(Duration::from_secs(5), counted)
            .await
            .expect("counted");
    }
    let told = events("undecodable").len();
    assert!((1..100).contains(&told), "{told}");
}

#[derive(Debug, Clone, Copy)]
enum Outcome {
    Answers,
    IsUnreachable,
    SendsGarbage,
    IsSilent,
}

/// Peers that all behave in one way.
#[derive(Debug)]
struct UniformPeers {
    outcome: Outcome,
}

impl UniformPeers {
    async fn answer<T>(&self, answer: T) -> Result<T, PeerError> {
        match self.outcome {
            Outcome::Answers => Ok(answer),
            Outcome::IsUnreachable => Err(PeerError::Unreachable("refused".to_owned())),
            Outcome::SendsGarbage => Err(PeerError::Protocol("no map".to_owned())),
            Outcome::IsSilent => std::future::pending().await,
        }
    }
}

#[async_trait]
impl PeerNetwork for UniformPeers {
    async fn query_groups(
        &self,
        _: SocketAddr,
        _: &[GroupName],
    ) -> Result<Vec<GroupSnapshot>, PeerError> {
        self.answer(Vec::new()).await
    }

    async fn query_declared(
        &self,
        _: SocketAddr,
        _: DeclaredVersions,
    ) -> Result<DeclaredState, PeerError> {
        Err(PeerError::Unreachable("refused".to_owned()))
    }

    async fn open_link(&self, _: SocketAddr) -> Result<PeerLink, PeerError> {
        Err(PeerError::Unreachable("refused".to_owned()))
    }
}

/// Starts a process of the fleet whose peers all behave in one way, and waits until it knows them.
async fn process_with_peers(fleet: &Fleet, outcome: Outcome) -> Arc<Engine> {
    const NAME: &str = "front-9";
    let node = &fleet.nodes[0].engine.settings().clone();
    let settings = EngineSettings {
        node: NAME.into(),
        topology: Topology::new(node.zone.clone(), HashMap::new()),
        peer_address: None,
        ..node.clone()
    };
    let back_end = WorldBackEnd {
        world: Arc::clone(&fleet.world),
        node: NAME.to_owned(),
    };
    let records = EngineRecords {
        shared: fleet.records.for_node(NAME),
        leases: fleet.records.for_node(NAME),
    };
    let peers = Arc::new(UniformPeers { outcome });
    let engine = Engine::new(settings, Arc::new(back_end), records, peers);
    let world = Arc::clone(&fleet.world);
    let promoter = Arc::new(WorldPromoter { world });
    tokio::spawn(leadership::run(Arc::clone(&engine), promoter));
    until(|| !leadership::fleet::peers(&engine).is_empty()).await;
    engine
}

#[rstest]
#[case::answered(Outcome::Answers, "answered")]
#[case::unreachable(Outcome::IsUnreachable, "unreachable")]
#[case::undecodable(Outcome::SendsGarbage, "undecodable")]
#[case::unanswered(Outcome::IsSilent, "unanswered")]
#[tokio::test(start_paused = true)]
async fn query_to_peers_is_counted_by_outcome(#[case] peers: Outcome, #[case] outcome: &str) {
    let fleet = Fleet::start(1).await;
    let engine = process_with_peers(&fleet, peers).await;
    capture_log();
    let counters = Counters::default();
    let _captured = counters.capture();
    query(&engine, &[GROUP.into()]).await;
    let counted = |labels: &[_]| counters.sum("stilequay_peer_queries_total", labels);
    assert_eq!(counted(&[]), 1);
    assert_eq!(counted(&[("outcome", outcome)]), 1);
    let told = events("undecodable");
    assert_eq!(
        told.len(),
        usize::from(outcome == "undecodable"),
        "{told:?}"
    );
    if let Some(told) = told.first() {
        let peer = fleet.nodes[0].engine.settings().peer_address;
        assert_eq!(told["what"], "peer_answer");
        assert_eq!(told["from"], peer.expect("an address").to_string());
        assert_eq!(told["error"], "no map");
    }
}

#[rstest]
#[case("term/ledger", "term_record")]
#[case("roster/ledger", "roster_record")]
#[case("node/front-9", "node_record")]
#[case("suspicion/ledger/front-9", "suspicion_record")]
#[case("lease/promotion", "lease_record")]
#[tokio::test(start_paused = true)]
async fn undecodable_record_is_told_with_its_key(#[case] key: &str, #[case] what: &str) {
    let fleet = Fleet::start(1).await;
    sleep(Duration::from_secs(5)).await;
    capture_log();
    let counters = Counters::default();
    let _captured = counters.capture();
    let known = fleet.records.get(key).map_or(0, |record| record.version);
    let store = fleet.records.for_node("front-9");
    let put = store.put_if(key, known, Bytes::from_static(GARBAGE)).await;
    put.expect("stored");
    until(|| counters.sum(UNDECODABLE, &[("what", what)]) > 0).await;
    let told = events("undecodable");
    assert_eq!(
        (&told[0]["what"], &told[0]["from"]),
        (&what.into(), &key.into())
    );
}
