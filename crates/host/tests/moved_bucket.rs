//! The behaviour of one host while another one has a different view of a bucket's home.

use std::net::{IpAddr, SocketAddr};

use etherparse::PacketBuilder;
use fakes::{Lan, LanConfig};
use flow::{FlowKey, PacketView, Protocol};
use host::{Destination, HostConfig, Outbox};
use routing::HostId;
use wire::{Frame, FrameKind};

const TARGET_SEQUENCE: u32 = 5_000;

fn addr(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

fn segment(from: SocketAddr, to: SocketAddr, flags: &str, ack: u32, payload: &[u8]) -> Vec<u8> {
    let (IpAddr::V4(source), IpAddr::V4(destination)) = (from.ip(), to.ip()) else { panic!() };
    let sequence = if flags == "SA" { TARGET_SEQUENCE } else { 100 };
    let mut tcp = PacketBuilder::ipv4(source.octets(), destination.octets(), 64).tcp(
        from.port(),
        to.port(),
        sequence,
        1_000,
    );
    tcp = if flags.contains('S') { tcp.syn() } else { tcp };
    tcp = if flags.contains('A') { tcp.ack(ack) } else { tcp };
    let mut bytes = Vec::new();
    tcp.write(&mut bytes, payload).unwrap();
    bytes
}

/// A network, and a caller whose flow has host 0 as its home.
struct Fixture {
    lan: Lan,
    caller: SocketAddr,
    service: SocketAddr,
    now_ms: u64,
}

impl Fixture {
    fn new() -> Fixture {
        let mut lan = Lan::new(LanConfig { seed: 1, ..LanConfig::default() });
        let service = addr("198.51.100.1:443");
        let me = config(&lan, 0).id();
        let is_home = |lan: &mut Lan, caller: SocketAddr| {
            let key = FlowKey { protocol: Protocol::Tcp, caller, service };
            let report = lan.nodes[0].data_plane.explain(&key).unwrap();
            report.home == Some(me)
        };
        let callers =
            (1_000..60_000).map(|port| SocketAddr::new("172.20.0.1".parse().unwrap(), port));
        let caller = callers.into_iter().find(|caller| is_home(&mut lan, *caller)).unwrap();
        let now_ms = 1_000_000_000 + lan.elapsed_ms();
        Fixture { lan, caller, service, now_ms }
    }

    /// Delivers the packet to host 0, and returns the datagrams that it sends.
    fn deliver(&mut self, mut packet: Vec<u8>) -> Vec<(Destination, Vec<u8>)> {
        let mut out = Outbox::default();
        self.lan.nodes[0].data_plane.on_fabric(&mut packet, self.now_ms, &mut out);
        out.datagrams().map(|(to, bytes)| (to, bytes.to_vec())).collect()
    }

    fn deliver_frame(
        &mut self,
        from: usize,
        kind: FrameKind,
        body: &[u8],
    ) -> Vec<(Destination, Vec<u8>)> {
        let sender = config(&self.lan, from);
        let frame = Frame {
            kind,
            hops: 1,
            listener_key: 0,
            sender: sender.id(),
            origin: HostId(0),
            sent_at_ms: self.now_ms,
            target: "::".parse().unwrap(),
            body,
        };
        let mut datagram = Vec::new();
        frame.seal(&sender.peer_key, &mut datagram);
        let mut out = Outbox::default();
        let data_plane = &mut self.lan.nodes[0].data_plane;
        data_plane.on_peer(sender.peer_address, &mut datagram, self.now_ms, &mut out);
        out.datagrams().map(|(to, bytes)| (to, bytes.to_vec())).collect()
    }
}

fn config(lan: &Lan, host: usize) -> HostConfig {
    let member = lan.nodes[host].control.me();
    HostConfig { peer_address: member.address, ..HostConfig::default() }
}

/// Opens the flow and returns its target. Grants one if host 0 is not the opener itself.
fn open(fixture: &mut Fixture) -> SocketAddr {
    let syn = segment(fixture.caller, fixture.service, "S", 0, b"");
    let sent = fixture.deliver(syn.clone());
    let granted = match sent.first() {
        // Host 0 assigns the target itself.
        Some((Destination::Fabric, bytes)) => PacketView::parse(bytes).unwrap().destination,
        _ => {
            let target: IpAddr = "10.1.1.3".parse().unwrap();
            let sender = config(&fixture.lan, 1);
            let frame = Frame {
                kind: FrameKind::Granted,
                hops: 0,
                listener_key: 0,
                sender: sender.id(),
                origin: sender.id(),
                sent_at_ms: fixture.now_ms,
                target,
                body: &syn,
            };
            let mut datagram = Vec::new();
            frame.seal(&sender.peer_key, &mut datagram);
            let mut out = Outbox::default();
            let data_plane = &mut fixture.lan.nodes[0].data_plane;
            data_plane.on_peer(sender.peer_address, &mut datagram, fixture.now_ms, &mut out);
            SocketAddr::new(target, 8_443)
        }
    };
    let answer = segment(granted, fixture.caller, "SA", 101, b"");
    assert_eq!(fixture.deliver(answer).len(), 1);
    granted
}

#[test]
fn mismatched_ack() {
    // The data acknowledges an answer that the pinned target never sent.
    let mut fixture = Fixture::new();
    let target = open(&mut fixture);
    let data = segment(fixture.caller, fixture.service, "A", 900_000, b"appraise");
    let sent = fixture.deliver(data);
    let receivers: Vec<SocketAddr> =
        sent.iter().map(|(_, bytes)| PacketView::parse(bytes).unwrap().destination).collect();
    // The search starts at another target than the pinned one.
    assert!(!receivers.contains(&target), "{receivers:?}");
}

#[test]
fn matching_ack() {
    let mut fixture = Fixture::new();
    let target = open(&mut fixture);
    let data = segment(fixture.caller, fixture.service, "A", TARGET_SEQUENCE + 1, b"appraise");
    let sent = fixture.deliver(data);
    assert_eq!(PacketView::parse(&sent[0].1).unwrap().destination, target);
}

#[test]
fn asker_becomes_home() {
    // Host 1 asks as the new home, under a newer view. Host 0 then relays openings to it.
    let mut fixture = Fixture::new();
    let syn = segment(fixture.caller, fixture.service, "S", 0, b"");
    let answer = fixture.deliver_frame(1, FrameKind::AskHolder, &syn);
    let asker = Destination::Peer(config(&fixture.lan, 1).peer_address);
    assert_eq!(answer.len(), 1);
    assert_eq!(answer[0].0, asker);
    let relayed = fixture.deliver(syn);
    assert_eq!(relayed.iter().map(|(to, _)| *to).collect::<Vec<_>>(), [asker]);
    assert_eq!(relayed[0].1[1], FrameKind::ToHome as u8);
}

#[test]
fn forged_frame() {
    let mut fixture = Fixture::new();
    let mut datagram = vec![1; 80];
    let mut out = Outbox::default();
    let from = addr("10.200.1.2:7000");
    let data_plane = &mut fixture.lan.nodes[0].data_plane;
    data_plane.on_peer(from, &mut datagram, fixture.now_ms, &mut out);
    assert_eq!(out.datagrams().count(), 0);
    assert_eq!(data_plane.counters().dropped(flow::DropReason::BadPeerDatagram), 1);
}
