//! TCP links: what each fault does to a connection.

mod support;

use rstest::rstest;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::num::NonZeroU32;
use stilequay_standin::faults::{StreamFaults, StreamLinkFaults, TcpLink};
use support::{any_port, patiently};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Sends back what it receives.
async fn echo_server() -> SocketAddr {
    let listener = TcpListener::bind(any_port()).await.expect("bound");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut reader, mut writer) = stream.split();
                tokio::io::copy(&mut reader, &mut writer).await
            });
        }
    });
    address
}

async fn link() -> TcpLink {
    TcpLink::start(any_port(), Some(echo_server().await)).expect("started")
}

async fn connect(link: &TcpLink) -> TcpStream {
    TcpStream::connect(link.address()).await.expect("accepted")
}

async fn echo(stream: &mut TcpStream, text: &[u8]) -> std::io::Result<Vec<u8>> {
    stream.write_all(text).await?;
    let mut answer = vec![0; text.len()];
    patiently(stream.read_exact(&mut answer)).await?;
    Ok(answer)
}

fn cut() -> StreamFaults {
    StreamFaults {
        cut: true,
        ..StreamFaults::default()
    }
}

fn freeze() -> StreamFaults {
    StreamFaults {
        freeze: true,
        ..StreamFaults::default()
    }
}

#[rstest]
#[case::none(StreamFaults::default())]
#[case::delay(StreamFaults { delay_micros: 2000, jitter_micros: 1000, ..StreamFaults::default() })]
#[case::slow(StreamFaults { bytes_per_second: NonZeroU32::new(1_000_000), ..StreamFaults::default() })]
#[tokio::test]
async fn bytes_pass_in_order(#[case] direction: StreamFaults) {
    let link = link().await;
    let faults = StreamLinkFaults {
        to_target: direction,
        to_source: direction,
        ..StreamLinkFaults::default()
    };
    link.set_faults(faults).await;
    let mut stream = connect(&link).await;
    for part in [&b"first"[..], b"second", &[7; 10_000]] {
        assert_eq!(echo(&mut stream, part).await.expect("echoed"), part);
    }
    assert_eq!(link.counters().bytes_to_source, 10_011);
}

#[rstest]
#[case::to_target(StreamLinkFaults { to_target: cut(), ..StreamLinkFaults::default() })]
#[case::to_source(StreamLinkFaults { to_source: cut(), ..StreamLinkFaults::default() })]
#[tokio::test]
async fn a_connection_that_lost_bytes_is_reset_after_the_cut(#[case] faults: StreamLinkFaults) {
    let link = link().await;
    let mut stream = connect(&link).await;
    echo(&mut stream, b"before").await.expect("echoed");
    link.set_faults(faults).await;
    stream.write_all(b"lost").await.expect("buffered");
    patiently(async {
        while link.counters().bytes_dropped < 4 {
            tokio::task::yield_now().await;
        }
    })
    .await;
    link.set_faults(StreamLinkFaults::default()).await;
    let mut buffer = [0; 16];
    let error = patiently(stream.read(&mut buffer))
        .await
        .expect_err("reset");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    echo(&mut connect(&link).await, b"after")
        .await
        .expect("a new connection works");
}

#[tokio::test]
async fn an_idle_connection_outlives_a_cut() {
    let link = link().await;
    let mut stream = connect(&link).await;
    echo(&mut stream, b"before").await.expect("echoed");
    link.set_faults(StreamLinkFaults::cut_both_ways()).await;
    let mut waiting = connect(&link).await;
    link.set_faults(StreamLinkFaults::default()).await;
    echo(&mut stream, b"after").await.expect("echoed");
    echo(&mut waiting, b"after").await.expect("echoed");
}

#[tokio::test]
async fn frozen_bytes_arrive_later() {
    let link = link().await;
    let mut stream = connect(&link).await;
    echo(&mut stream, b"before").await.expect("echoed");
    let frozen = StreamLinkFaults {
        to_target: freeze(),
        ..StreamLinkFaults::default()
    };
    link.set_faults(frozen).await;
    stream.write_all(b"later").await.expect("buffered");
    assert_eq!(link.counters().bytes_to_target, 6);
    let mut answer = [0; 5];
    link.set_faults(StreamLinkFaults::default()).await;
    patiently(stream.read_exact(&mut answer))
        .await
        .expect("arrives");
    assert_eq!(&answer, b"later");
}

#[tokio::test]
async fn refusing_spares_connections() {
    let link = link().await;
    let mut stream = connect(&link).await;
    echo(&mut stream, b"before").await.expect("echoed");
    let refusing = StreamLinkFaults {
        refuse: true,
        ..StreamLinkFaults::default()
    };
    link.set_faults(refusing).await;
    let error = TcpStream::connect(link.address())
        .await
        .expect_err("refused");
    assert_eq!(error.kind(), ErrorKind::ConnectionRefused);
    echo(&mut stream, b"still").await.expect("echoed");
    link.set_faults(StreamLinkFaults::default()).await;
    echo(&mut connect(&link).await, b"after")
        .await
        .expect("echoed");
}

#[tokio::test]
async fn a_half_open_link_never_answers() {
    let link = link().await;
    let half_open = StreamLinkFaults {
        half_open: true,
        ..StreamLinkFaults::default()
    };
    link.set_faults(half_open).await;
    let mut stream = connect(&link).await;
    stream.write_all(b"anybody?").await.expect("buffered");
    patiently(async {
        while link.counters().open == 0 {
            tokio::task::yield_now().await;
        }
    })
    .await;
    let mut buffer = [0; 16];
    link.set_faults(StreamLinkFaults::default()).await;
    patiently(stream.read(&mut buffer))
        .await
        .expect_err("reset");
    assert_eq!(link.counters().bytes_to_target, 0);
}

#[tokio::test]
async fn a_reset_reaches_the_source() {
    let link = link().await;
    let mut stream = connect(&link).await;
    echo(&mut stream, b"before").await.expect("echoed");
    link.reset();
    let error = patiently(stream.read(&mut [0; 1]))
        .await
        .expect_err("reset");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
}

#[tokio::test]
async fn a_connection_closes_after_its_bytes() {
    let link = link().await;
    let faults = StreamLinkFaults {
        to_source: StreamFaults {
            close_after_bytes: Some(8),
            ..StreamFaults::default()
        },
        ..StreamLinkFaults::default()
    };
    link.set_faults(faults).await;
    let mut stream = connect(&link).await;
    stream
        .write_all(b"eight bytes and more")
        .await
        .expect("buffered");
    let mut answer = Vec::new();
    // The close may show as a reset, since the link leaves bytes unread.
    let _ = patiently(stream.read_to_end(&mut answer)).await;
    assert_eq!(answer, b"eight by");
}
