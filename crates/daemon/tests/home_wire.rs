//! What a home does with connections that do not keep to the protocol.

mod home_support;

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use home_support::{Harness, PATIENCE, insert};
use rstest::rstest;
use stilequay_daemon::domain::exchange::{EXCHANGE_VERSION, FrontMessage, HomeMessage};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

type Frames = Framed<TcpStream, LengthDelimitedCodec>;

async fn connect(harness: &Harness) -> Frames {
    let stream = TcpStream::connect(&harness.address).await;
    Framed::new(
        stream.expect("the home listens"),
        LengthDelimitedCodec::new(),
    )
}

fn encode(message: &FrontMessage) -> Bytes {
    rmp_serde::to_vec(message).expect("it encodes").into()
}

fn hello(version: u16) -> Bytes {
    encode(&FrontMessage::Hello { version })
}

/// The messages that the home sends before it closes the connection.
async fn until_closed(mut frames: Frames) -> Vec<HomeMessage> {
    let mut messages = vec![];
    while let Some(Ok(frame)) = timeout(PATIENCE, frames.next())
        .await
        .expect("it is closed")
    {
        messages.push(rmp_serde::from_slice(&frame).expect("it is a message"));
    }
    messages
}

#[rstest]
#[case::another_version(hello(EXCHANGE_VERSION + 1), true)]
#[case::no_hello(encode(&FrontMessage::Release), true)]
#[case::not_a_message(Bytes::from_static(b"\xc1\xc1\xc1"), false)]
#[case::empty(Bytes::new(), false)]
#[tokio::test]
async fn a_connection_that_begins_wrongly_is_closed(#[case] first: Bytes, #[case] answered: bool) {
    let harness = Harness::start().await;
    let mut frames = connect(&harness).await;
    frames.send(first).await.expect("it is sent");
    let ours = HomeMessage::Hello {
        version: EXCHANGE_VERSION,
    };
    let expected = if answered { vec![ours] } else { vec![] };
    assert_eq!(until_closed(frames).await, expected);
    harness.run(insert("others go on")).await.done();
}

#[tokio::test]
async fn a_unit_without_an_exchange_is_not_run() {
    let harness = Harness::start().await;
    let mut frames = connect(&harness).await;
    frames
        .send(hello(EXCHANGE_VERSION))
        .await
        .expect("it is sent");
    let unit = encode(&FrontMessage::Run(insert("value")));
    frames.send(unit).await.expect("it is sent");
    frames
        .send(hello(EXCHANGE_VERSION))
        .await
        .expect("it is sent");
    let messages = until_closed(frames).await;
    assert!(
        matches!(messages[1], HomeMessage::Failed { .. }),
        "{messages:?}"
    );
    assert_eq!(harness.entries().await, [""; 0]);
}
