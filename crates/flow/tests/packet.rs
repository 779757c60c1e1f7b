//! Parsing and rewriting of packets, and resets.

use std::net::SocketAddr;

use etherparse::{PacketBuilder, SlicedPacket, TransportSlice};
use flow::{PacketView, reset_from_destination, rewrite_destination, rewrite_source};
use proptest::prelude::*;

fn address(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

/// Builds a packet with `payload`: a UDP packet, a TCP SYN, or a TCP ACK for any other `protocol`.
fn packet(protocol: &str, from: SocketAddr, to: SocketAddr, payload: &[u8]) -> Vec<u8> {
    let ip = match (from, to) {
        (SocketAddr::V4(from), SocketAddr::V4(to)) => {
            PacketBuilder::ipv4(from.ip().octets(), to.ip().octets(), 64)
        }
        (SocketAddr::V6(from), SocketAddr::V6(to)) => {
            PacketBuilder::ipv6(from.ip().octets(), to.ip().octets(), 64)
        }
        _ => unreachable!("the address families differ"),
    };
    let mut bytes = Vec::new();
    match protocol {
        "udp" => ip.udp(from.port(), to.port()).write(&mut bytes, payload).unwrap(),
        "syn" => ip.tcp(from.port(), to.port(), 7, 9).syn().write(&mut bytes, payload).unwrap(),
        _ => ip.tcp(from.port(), to.port(), 7, 9).ack(5).write(&mut bytes, payload).unwrap(),
    }
    bytes
}

/// Whether all checksums in `bytes` are correct.
fn has_valid_checksums(bytes: &[u8]) -> bool {
    let sliced = SlicedPacket::from_ip(bytes).unwrap();
    match (sliced.net.as_ref().unwrap(), sliced.transport.as_ref().unwrap()) {
        (etherparse::NetSlice::Ipv4(ip), transport) => {
            let header = ip.header().to_header();
            header.calc_header_checksum() == header.header_checksum
                && match transport {
                    TransportSlice::Tcp(tcp) => {
                        tcp.calc_checksum_ipv4(ip.header().source(), ip.header().destination())
                            == Ok(tcp.checksum())
                    }
                    TransportSlice::Udp(udp) => {
                        udp.to_header().calc_checksum_ipv4(&header, udp.payload())
                            == Ok(udp.checksum())
                    }
                    _ => false,
                }
        }
        (etherparse::NetSlice::Ipv6(ip), transport) => {
            let header = ip.header().to_header();
            match transport {
                TransportSlice::Tcp(tcp) => {
                    tcp.calc_checksum_ipv6(header.source, header.destination) == Ok(tcp.checksum())
                }
                TransportSlice::Udp(udp) => {
                    udp.to_header().calc_checksum_ipv6(&header, udp.payload()) == Ok(udp.checksum())
                }
                _ => false,
            }
        }
        _ => false,
    }
}

fn check_rewrite(protocol: &str, from: &str, to: &str, payload: &[u8]) {
    let mut bytes = packet(protocol, address(from), address(to), payload);
    let view = PacketView::parse(&bytes).unwrap();
    assert!(has_valid_checksums(&bytes));
    let other = match from.starts_with('[') {
        true => address("[2001:db8::77]:8443"),
        false => address("10.77.0.1:8443"),
    };
    assert!(rewrite_destination(&mut bytes, &view, other));
    assert!(has_valid_checksums(&bytes));
    let view = PacketView::parse(&bytes).unwrap();
    assert_eq!((view.source, view.destination), (address(from), other));
    assert!(rewrite_source(&mut bytes, &view, other));
    assert!(has_valid_checksums(&bytes));
    assert_eq!(PacketView::parse(&bytes).unwrap().source, other);
}

#[test]
fn rewrites_tcp() {
    check_rewrite("tcp", "10.0.0.1:1000", "10.0.0.2:443", b"odd");
    check_rewrite("tcp", "[2001:db8::1]:1000", "[2001:db8::2]:443", b"even");
}

#[test]
fn rewrites_udp() {
    check_rewrite("udp", "10.0.0.1:1000", "10.0.0.2:443", b"");
    check_rewrite("udp", "[2001:db8::1]:1000", "[2001:db8::2]:443", b"abc");
}

#[test]
fn resets_openings() {
    let bytes = packet("syn", address("10.0.0.1:1000"), address("10.0.0.2:443"), b"");
    let reset = reset_from_destination(&PacketView::parse(&bytes).unwrap()).unwrap();
    let view = PacketView::parse(&reset).unwrap();
    let tcp = view.tcp.unwrap();
    assert!(tcp.flags.rst && tcp.flags.ack);
    assert_eq!((tcp.sequence, tcp.acknowledgement), (0, 8));
    assert_eq!(view.destination, address("10.0.0.1:1000"));
}

#[test]
fn reports_drop_reasons() {
    let good = packet("tcp", address("10.0.0.1:1000"), address("10.0.0.2:443"), b"abc");
    let reason = |bytes: &[u8]| PacketView::parse(bytes).unwrap_err().code();
    assert_eq!(reason(&[]), 402);
    assert_eq!(reason(&[0x20, 1, 0, 0]), 402);
    assert_eq!(reason(&good[..good.len() - 1]), 401);
    assert_eq!(reason(&[&good[..], b"x"].concat()), 401);
    let mut fragment = good.clone();
    fragment[6] = 0x20;
    assert_eq!(reason(&fragment), 403);
    let mut icmp = good;
    icmp[9] = 1;
    assert_eq!(reason(&icmp), 404);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(4), ..ProptestConfig::default() })]

    #[test]
    fn handles_arbitrary_bytes(mut bytes in proptest::collection::vec(any::<u8>(), 0..200), first in 0..3u8) {
        // Two of three packets start as IPv4 or IPv6, since few random bytes would parse as a header.
        if let Some(byte) = bytes.first_mut() {
            *byte = match first { 0 => 0x45, 1 => 0x60, _ => *byte };
        }
        if let Ok(view) = PacketView::parse(&bytes) {
            rewrite_destination(&mut bytes, &view, address("10.0.0.9:9"));
            rewrite_source(&mut bytes, &view, address("[2001:db8::9]:9"));
        }
    }
}
