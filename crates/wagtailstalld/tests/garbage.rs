//! Malformed packets, messages and requests at every port of a host, against the real program.
//!
//! Failure scenario: one malformed message ends a process, or keeps it from serving.

use std::{
    io::Write,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream, UdpSocket},
    path::Path,
    thread,
    time::Duration,
};

use platform_stand_ins::{Layout, Testbed};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use relay::{Message, Pull};
use routing::HostId;
use wire::{Control, Frame, FrameKind, PeerKey};

/// The number of datagrams to each port, and of requests to each page.
const DATAGRAMS: usize = 400;
const REQUESTS: usize = 20;

/// The key that the hosts of the test bed share.
const KEY: &str = "000102030405060708090a0b0c0d0e0f";

fn random_bytes(rng: &mut StdRng, length_max: usize) -> Vec<u8> {
    let length = rng.random_range(0..length_max);
    (0..length).map(|_| rng.random()).collect()
}

/// A frame with the right key around any content.
fn sealed(rng: &mut StdRng, body: &[u8]) -> Vec<u8> {
    let frame = Frame {
        kind: FrameKind::Control,
        hops: 0,
        listener_key: 0,
        sender: HostId(rng.random()),
        origin: HostId(0),
        sent_at_ms: rng.random(),
        target: IpAddr::from(Ipv4Addr::UNSPECIFIED),
        body,
    };
    let mut datagram = Vec::new();
    frame.seal(&PeerKey::parse(KEY).expect("a key"), &mut datagram);
    datagram
}

/// Malformed messages between hosts: without the key, with it around arbitrary bytes, and cut short.
fn peer_datagram(rng: &mut StdRng) -> Vec<u8> {
    let body = random_bytes(rng, 600);
    match rng.random_range(0..3) {
        0 => body,
        1 => sealed(rng, &body),
        _ => {
            let whole = wire::encode(&Control::Relay(Message::Pull(Pull::HISTORY)));
            let length = rng.random_range(0..whole.len());
            sealed(rng, &whole[..length])
        }
    }
}

/// Requests that are cut short, arbitrary, or larger than a page accepts.
fn send_request(rng: &mut StdRng, to: SocketAddr) {
    let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else { return };
    let request = match rng.random_range(0..4) {
        0 => random_bytes(rng, 2_000),
        1 => b"GET /status HTT".to_vec(),
        2 => format!("GET /{} HTTP/1.1\r\n\r\n", "a".repeat(200_000)).into_bytes(),
        _ => b"POST /flows?caller=%ff&service= HTTP/1.1\r\nContent-Length: -1\r\n\r\n".to_vec(),
    };
    // The host may close the connection at any time.
    let _ = stream.write_all(&request);
}

#[test]
fn every_port() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let folder = folder.join(format!("garbage-{}", std::process::id()));
    let program = Path::new(env!("CARGO_BIN_EXE_wagtailstalld"));
    let mut bed = Testbed::start(program, &folder, Layout::default()).expect("the bed starts");
    let mut rng = StdRng::seed_from_u64(28);
    let socket = UdpSocket::bind(("127.0.0.1", 0)).expect("a free port");
    for index in 0..bed.host_count() {
        for _ in 0..DATAGRAMS {
            let packet = random_bytes(&mut rng, 1_400);
            socket.send_to(&packet, bed.data_address(index)).expect("the packet is sent");
            let message = peer_datagram(&mut rng);
            socket.send_to(&message, bed.peer_address(index)).expect("the message is sent");
        }
        for _ in 0..REQUESTS {
            send_request(&mut rng, bed.ready_address(index));
            send_request(&mut rng, bed.admin_address(index));
        }
    }
    thread::sleep(Duration::from_millis(500));
    for index in 0..bed.host_count() {
        let status = store::get_text(bed.admin_address(index), "/status", Duration::from_secs(2));
        assert_eq!(smol::block_on(status).expect("the host answers").0, 200, "host {index}");
    }
    // Malformed messages must not keep the hosts from hearing that a target leaves.
    bed.drain_target(0);
    thread::sleep(Duration::from_millis(5_000));
    bed.recorder().take_request_counts();
    thread::sleep(Duration::from_millis(1_000));
    let counts = bed.recorder().take_request_counts();
    assert!(counts.answered > 0 && counts.answered == counts.total(), "{counts:?}");
    assert_eq!(bed.recorder().violations(), Vec::<String>::new());
}
