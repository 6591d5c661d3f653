//! UDP links, and steering of links over HTTP.

mod support;

use serde_json::{Value, json};
use std::net::SocketAddr;
use stilequay_standin::faults::{
    DatagramFaults, DatagramLinkFaults, FaultsSettings, UdpLink, start,
};
use support::{any_port, patiently};
use tokio::net::UdpSocket;

async fn socket() -> UdpSocket {
    UdpSocket::bind(any_port()).await.expect("bound")
}

fn address(socket: &UdpSocket) -> SocketAddr {
    socket.local_addr().expect("bound")
}

async fn receive(socket: &UdpSocket) -> (Vec<u8>, SocketAddr) {
    let mut buffer = [0; 64];
    let (length, source) = patiently(socket.recv_from(&mut buffer))
        .await
        .expect("received");
    (buffer[..length].to_vec(), source)
}

async fn wait_until_dropped(link: &UdpLink, bytes: u64) {
    patiently(async {
        while link.counters().bytes_dropped < bytes {
            tokio::task::yield_now().await;
        }
    })
    .await;
}

#[tokio::test]
async fn datagrams_and_answers_pass() {
    let target = socket().await;
    let link = UdpLink::start(any_port(), Some(address(&target)))
        .await
        .expect("started");
    let source = socket().await;
    source.send_to(b"ping", link.address()).await.expect("sent");
    let (datagram, back) = receive(&target).await;
    assert_eq!(datagram, b"ping");
    target.send_to(b"pong", back).await.expect("sent");
    assert_eq!(receive(&source).await, (b"pong".to_vec(), link.address()));
}

#[tokio::test]
async fn datagrams_during_a_cut_are_lost() {
    let target = socket().await;
    let link = UdpLink::start(any_port(), Some(address(&target)))
        .await
        .expect("started");
    let source = socket().await;
    let cut = DatagramLinkFaults {
        to_target: DatagramFaults {
            cut: true,
            ..DatagramFaults::default()
        },
        ..DatagramLinkFaults::default()
    };
    link.set_faults(cut);
    source.send_to(b"lost", link.address()).await.expect("sent");
    wait_until_dropped(&link, 4).await;
    link.set_faults(DatagramLinkFaults {
        to_target: DatagramFaults {
            drop_probability: 1.0,
            ..DatagramFaults::default()
        },
        ..DatagramLinkFaults::default()
    });
    source
        .send_to(b"dropped", link.address())
        .await
        .expect("sent");
    wait_until_dropped(&link, 11).await;
    assert_eq!(link.counters().bytes_to_target, 0);
}

#[tokio::test]
async fn links_are_steered_over_http() {
    let proxy = start(FaultsSettings::default()).await.expect("started");
    let base = format!("http://{}", proxy.control_address());
    let client = reqwest::Client::new();
    let target = socket().await;
    let new = json!({"target": address(&target)});
    let added = client
        .post(format!("{base}/udp-links"))
        .json(&new)
        .send()
        .await;
    let added: Value = added.expect("answered").json().await.expect("a status");
    let link = format!("{base}/udp-links/{}", added["id"]);

    let faults = json!({"toSource": {"dropProbability": 0.25, "seed": 3}});
    let set = client
        .put(format!("{link}/faults"))
        .json(&faults)
        .send()
        .await;
    assert_eq!(set.expect("answered").status(), 204);
    let listed = reqwest::get(format!("{base}/links"))
        .await
        .expect("answered");
    let listed: Value = listed.json().await.expect("a list");
    assert_eq!(
        listed["udp"][0]["faults"]["toSource"]["dropProbability"],
        0.25
    );

    let removed = client.delete(&link).send().await.expect("answered");
    assert_eq!(removed.status(), 204);
    let again = client.delete(&link).send().await.expect("answered");
    assert_eq!(again.status(), 404);
    let wrong = client
        .post(format!("{base}/tcp-links"))
        .json(&json!({"to": 1}));
    assert_eq!(wrong.send().await.expect("answered").status(), 422);
}
