//! Bytes from outside that are not what the protocol allows.

use super::proxy::{PASSWORD, PATIENCE, Proxy, Setup, converse};
use bytes::BytesMut;
use pgwire::api::auth::sasl::scram::ScramClientAuth;
use pgwire::messages::response::ErrorResponse;
use pgwire::messages::startup::{Authentication, SASLInitialResponse, SASLResponse, Startup};
use pgwire::messages::{DecodeContext, Message, PgWireBackendMessage};
use proptest::prelude::*;
use rstest::rstest;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, LazyLock};
use stilequay_daemon::app::front::FrontSettings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Reads the next message of the proxy.
async fn read_message(stream: &mut TcpStream, buffer: &mut BytesMut) -> PgWireBackendMessage {
    loop {
        let context = DecodeContext::default();
        if let Some(message) = PgWireBackendMessage::decode(buffer, &context).unwrap() {
            return message;
        }
        let reading = tokio::time::timeout(PATIENCE, stream.read_buf(buffer));
        assert_ne!(
            reading.await.unwrap().unwrap(),
            0,
            "the connection is closed"
        );
    }
}

async fn write<M: Message>(stream: &mut TcpStream, message: &M) {
    let mut bytes = BytesMut::new();
    message.encode(&mut bytes).unwrap();
    stream.write_all(&bytes).await.unwrap();
}

/// A connection that has logged in.
async fn logged_in(proxy: &Proxy) -> TcpStream {
    let mut stream = proxy.raw().await;
    let mut buffer = BytesMut::new();
    let mut startup = Startup::new();
    for (name, value) in [("user", "orders"), ("database", "shop")] {
        startup.parameters.insert(name.into(), value.into());
    }
    write(&mut stream, &startup).await;
    let scram = ScramClientAuth::new("orders".to_owned(), PASSWORD.to_owned());
    let (first, waiting) = scram.build_client_first().unwrap();
    loop {
        match read_message(&mut stream, &mut buffer).await {
            PgWireBackendMessage::Authentication(Authentication::SASL(_)) => {
                let data = Some(first.clone().into());
                let mechanism = "SCRAM-SHA-256".to_owned();
                write(&mut stream, &SASLInitialResponse::new(mechanism, data)).await;
            }
            PgWireBackendMessage::Authentication(Authentication::SASLContinue(data)) => {
                let (last, _) = waiting.build_client_final(&data).unwrap();
                write(&mut stream, &SASLResponse::new(last.into())).await;
            }
            PgWireBackendMessage::ReadyForQuery(_) => return stream,
            _ => {}
        }
    }
}

/// The last error in an answer: severity and SQLSTATE.
fn last_error(answer: &[u8]) -> Option<(String, String)> {
    let mut buffer = BytesMut::from(answer);
    let mut last = None;
    let context = DecodeContext::default();
    while let Ok(Some(message)) = PgWireBackendMessage::decode(&mut buffer, &context) {
        if let PgWireBackendMessage::ErrorResponse(ErrorResponse { fields, .. }) = message {
            let field = |code| fields.iter().find(|(it, _)| *it == code).unwrap().1.clone();
            last = Some((field(b'S'), field(b'C')));
        }
    }
    last
}

fn frame(message_type: u8, body: &[u8]) -> Vec<u8> {
    let length = (body.len() as u32 + 4).to_be_bytes();
    [&[message_type], &length[..], body].concat()
}

#[rstest]
#[case::unknown_type(frame(b'!', b""), "08P01")]
#[case::length_too_small(b"Q\0\0\0\x03".to_vec(), "08P01")]
#[case::length_negative(b"Q\xff\xff\xff\xff".to_vec(), "54000")]
#[case::over_the_limit(b"Q\x02\0\0\0".to_vec(), "54000")]
#[case::query_without_end(frame(b'Q', b"SELECT 1"), "08P01")]
#[case::query_with_more_behind(frame(b'Q', b"SELECT 1\0more"), "08P01")]
#[case::query_not_utf8(frame(b'Q', b"SELECT '\xe9'\0"), "08P01")]
#[case::parse_without_types(frame(b'P', b"s\0SELECT 1\0\0\x02\0\0"), "08P01")]
#[case::bind_beyond_its_end(frame(b'B', b"\0\0\0\0\0\x01\x7f\xff\xff\xff"), "08P01")]
#[case::bind_with_negative_length(frame(b'B', b"\0\0\0\0\0\x01\xff\xff\xff\xfe\0\0"), "08P01")]
#[case::describe_of_nothing(frame(b'D', b""), "08P01")]
#[case::execute_without_rows(frame(b'E', b"\0\0\0"), "08P01")]
#[case::password_too_late(frame(b'p', b"secret\0"), "08P01")]
#[case::query_before_sync([frame(b'P', b"s\0SELECT 1\0\0\0"), frame(b'Q', b"\0")].concat(), "08P01")]
#[tokio::test]
async fn a_malformed_frame_ends_only_its_connection(#[case] bytes: Vec<u8>, #[case] state: &str) {
    let proxy = Proxy::start().await;
    let neighbour = proxy.connect().await;
    let stream = logged_in(&proxy).await;
    let answer = converse(stream, &bytes).await;
    let expected = ("FATAL".to_owned(), state.to_owned());
    assert_eq!(last_error(&answer), Some(expected));
    neighbour.batch_execute("SELECT 1").await.unwrap();
}

#[rstest]
#[case::too_long(b"\x7f\xff\xff\xff\0\x03\0\0".to_vec(), Some("54000"))]
#[case::too_short(b"\0\0\0\x04".to_vec(), Some("08P01"))]
#[case::old_protocol(b"\0\0\0\x0a\0\x02\0\0\0\0".to_vec(), Some("08P01"))]
#[case::no_user(b"\0\0\0\x09\0\x03\0\0\0".to_vec(), Some("28000"))]
#[case::short_cancel(b"\0\0\0\x0c\x04\xd2\x16\x2e\0\0\0\0".to_vec(), Some("08P01"))]
#[case::unknown_cancel(b"\0\0\0\x10\x04\xd2\x16\x2e\0\0\0\x01\0\0\0\x01".to_vec(), None)]
#[tokio::test]
async fn a_malformed_start_is_refused(#[case] bytes: Vec<u8>, #[case] state: Option<&str>) {
    let proxy = Proxy::start().await;
    let answer = converse(proxy.raw().await, &bytes).await;
    let told = last_error(&answer).map(|(_, told)| told);
    assert_eq!(told.as_deref(), state);
    proxy.connect().await;
}

#[tokio::test]
async fn encryption_is_declined_and_the_start_goes_on() {
    let proxy = Proxy::start().await;
    let requests = b"\0\0\0\x08\x04\xd2\x16\x30\0\0\0\x08\x04\xd2\x16\x2f\0\0\0\x09\0\x03\0\0\0";
    let answer = converse(proxy.raw().await, requests).await;
    assert_eq!(&answer[..2], b"NN");
    let told = last_error(&answer[2..]).map(|(_, state)| state);
    assert_eq!(told.as_deref(), Some("28000"));
}

#[tokio::test]
async fn a_caller_that_does_not_start_is_closed() {
    let settings = FrontSettings {
        startup_timeout_millis: 50,
        ..FrontSettings::default()
    };
    let proxy = Setup::with_settings(settings).start().await;
    let mut stream = proxy.raw().await;
    let mut byte = [0; 1];
    let reading = tokio::time::timeout(PATIENCE, stream.read(&mut byte));
    assert_eq!(reading.await.expect("the connection is closed").unwrap(), 0);
}

fn frames() -> impl Strategy<Value = Vec<u8>> {
    let message_type = prop_oneof![prop::sample::select(b"QPBDECSHXdcfp".to_vec()), any::<u8>()];
    let body = prop_oneof![
        prop::collection::vec(any::<u8>(), 0..40),
        prop::collection::vec(prop::sample::select(b"\0\x01\xff\x7fSP ".to_vec()), 0..40),
    ];
    let one = (message_type, body).prop_map(|(kind, body)| frame(kind, &body));
    prop::collection::vec(one, 1..6).prop_map(|frames| frames.concat())
}

/// Counts panics of all threads: the runtime catches those of a caller's task.
static PANICS: LazyLock<Arc<AtomicUsize>> = LazyLock::new(|| {
    let panics = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&panics);
    let usual = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        counter.fetch_add(1, Ordering::SeqCst);
        usual(info);
    }));
    panics
});

async fn send_and_go_on(bytes: &[u8], logs_in: bool) {
    let proxy = Proxy::start().await;
    let stream = match logs_in {
        true => logged_in(&proxy).await,
        false => proxy.raw().await,
    };
    converse(stream, bytes).await;
    proxy.connect().await;
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 80, ..ProptestConfig::default() })]

    #[test]
    fn random_frames_never_harm_the_proxy(bytes in frames(), logs_in in any::<bool>()) {
        let panics_before = PANICS.load(Ordering::SeqCst);
        let runtime = tokio::runtime::Runtime::new().unwrap();
        runtime.block_on(send_and_go_on(&bytes, logs_in));
        prop_assert_eq!(PANICS.load(Ordering::SeqCst), panics_before);
    }
}
