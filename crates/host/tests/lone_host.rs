//! Tests on a single host: UDP, IPv6, floods of openings, forged resets and settings changes.

use std::net::{IpAddr, SocketAddr};

use etherparse::PacketBuilder;
use fakes::{LoneHost, ServiceSpec, tree};
use flow::{DropReason, PacketView};
use host::HostConfig;
use settings::{Transport, Tree};

fn spec(name: &'static str, number: u8) -> ServiceSpec {
    ServiceSpec { name, number, targets: vec![3], ..ServiceSpec::default() }
}

fn addr(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

fn udp(from: &str, to: &str) -> Vec<u8> {
    let (from, to) = (addr(from), addr(to));
    let ip = match (from.ip(), to.ip()) {
        (IpAddr::V4(from), IpAddr::V4(to)) => PacketBuilder::ipv4(from.octets(), to.octets(), 64),
        (IpAddr::V6(from), IpAddr::V6(to)) => PacketBuilder::ipv6(from.octets(), to.octets(), 64),
        _ => unreachable!("mixed families"),
    };
    let mut bytes = Vec::new();
    ip.udp(from.port(), to.port()).write(&mut bytes, b"question").unwrap();
    bytes
}

fn segment_from(from: &str, to: &str) -> Vec<u8> {
    let (from, to) = (addr(from), addr(to));
    let (IpAddr::V4(source), IpAddr::V4(destination)) = (from.ip(), to.ip()) else { panic!() };
    let mut bytes = Vec::new();
    PacketBuilder::ipv4(source.octets(), destination.octets(), 64)
        .tcp(from.port(), to.port(), 1, 0)
        .ack(1)
        .write(&mut bytes, b"answer")
        .unwrap();
    bytes
}

fn parse(packets: &[Vec<u8>]) -> PacketView {
    assert_eq!(packets.len(), 1);
    PacketView::parse(&packets[0]).unwrap()
}

/// Sends two datagrams to the service and an answer back.
fn check_datagrams(tree: &Tree, caller: &str, service: &str, other_target: &str) {
    let mut host = LoneHost::with_tree(tree, HostConfig::default());
    let first = parse(&host.handle_packet(udp(caller, service)));
    let again = parse(&host.handle_packet(udp(caller, service)));
    assert_eq!(first.destination, again.destination);
    assert_eq!(first.source, addr(caller));
    let answer = udp(&first.destination.to_string(), caller);
    let answered = parse(&host.handle_packet(answer));
    assert_eq!((answered.source, answered.destination), (addr(service), addr(caller)));
    // A datagram to a port without a listener is dropped.
    assert!(host.handle_packet(udp(caller, other_target)).is_empty());
}

#[test]
fn datagrams_ipv4() {
    let mut tree = tree(&[spec("names", 1)]);
    let service = tree.services.get_mut("names").unwrap();
    service.listeners.get_mut("sessions").unwrap().transport = Transport::Udp;
    check_datagrams(&tree, "172.16.0.1:5000", "198.51.100.1:443", "198.51.100.1:9");
}

#[test]
fn datagrams_ipv6() {
    let mut tree = tree(&[spec("names", 1)]);
    let service = tree.services.get_mut("names").unwrap();
    service.listeners.remove("requests");
    let listener = service.listeners.get_mut("sessions").unwrap();
    listener.transport = Transport::Udp;
    listener.address = "2001:db8::10".parse().unwrap();
    let targets = &mut service.upstreams.get_mut("a").unwrap().targets;
    for (number, target) in targets.values_mut().enumerate() {
        target.address = format!("2001:db8:1::{}", number + 1).parse().unwrap();
    }
    assert_eq!(settings::check(&tree), []);
    let service = "[2001:db8::10]:443";
    check_datagrams(&tree, "[2001:db8:9::1]:5000", service, "[2001:db8::10]:9");
}

#[test]
fn flood_of_openings() {
    let config = HostConfig { openings_max: 100, ..HostConfig::default() };
    let mut host = LoneHost::with_tree(&tree(&[spec("board", 1)]), config);
    for number in 0..10_000 {
        host.handle_packet(host.opening_packet(number));
    }
    assert_eq!(host.traffic.pin_count(), 100);
    assert_eq!(host.traffic.counters().dropped(DropReason::Full), 9_900);
}

#[test]
fn target_changes_service() {
    // The address of a pinned target belongs to another service after an edit.
    let mut host = LoneHost::with_tree(&tree(&[spec("board", 1)]), HostConfig::default());
    let target = parse(&host.handle_packet(host.opening_packet(1))).destination.ip();
    let mut edited = tree(&[spec("board", 1), spec("other", 2)]);
    let remove_target = |tree: &mut Tree, service: &str| {
        let upstream = tree.services.get_mut(service).unwrap().upstreams.get_mut("a").unwrap();
        upstream.targets.retain(|_, node| node.address != target);
    };
    remove_target(&mut edited, "board");
    let other = edited.services.get_mut("other").unwrap().upstreams.get_mut("a").unwrap();
    other.targets.values_mut().next().unwrap().address = target;
    assert_eq!(settings::check(&edited), []);
    assert!(host.apply(&edited, 2));
    assert!(host.handle_packet(host.opening_packet(1)).is_empty());
    assert_eq!(host.traffic.counters().dropped(DropReason::WrongTarget), 1);
}

#[test]
fn forged_resets() {
    // Resets outside the window are forwarded, for the receiver to check, and the flow continues.
    let mut host = LoneHost::new(1);
    let data = host.data_packet(0);
    let target = parse(&host.handle_packet(data.clone())).destination;
    let caller = PacketView::parse(&data).unwrap().source;
    let service = PacketView::parse(&data).unwrap().destination;
    for (from, to) in [(caller, service), (target, caller)] {
        let (IpAddr::V4(source), IpAddr::V4(destination)) = (from.ip(), to.ip()) else { panic!() };
        let mut reset = Vec::new();
        PacketBuilder::ipv4(source.octets(), destination.octets(), 64)
            .tcp(from.port(), to.port(), 1 << 30, 0)
            .rst()
            .write(&mut reset, &[])
            .unwrap();
        assert_eq!(host.handle_packet(reset).len(), 1);
        assert_eq!(parse(&host.handle_packet(data.clone())).destination, target);
    }
}

#[test]
fn older_revision_ignored() {
    // An older or equal revision does not replace the one in force.
    let mut host = LoneHost::with_tree(&tree(&[spec("board", 1)]), HostConfig::default());
    assert!(host.apply(&tree(&[spec("board", 1), spec("other", 2)]), 5));
    assert!(!host.apply(&tree(&[spec("board", 1)]), 4));
    assert!(!host.apply(&tree(&[spec("board", 1)]), 5));
    // The target that only the newer revision has is still known, so its answer is forwarded.
    let answer = segment_from("10.2.1.1:8443", "172.16.0.1:5000");
    assert_eq!(host.handle_packet(answer).len(), 1);
}
