//! Construction of TCP segments.

use std::net::{IpAddr, SocketAddr};

use etherparse::PacketBuilder;

/// A TCP segment.
#[derive(Debug, Clone)]
pub(crate) struct Segment {
    pub(crate) source: SocketAddr,
    pub(crate) destination: SocketAddr,
    /// Flags as letters: S (SYN), A (ACK), F (FIN), R (RST).
    pub(crate) flags: &'static str,
    pub(crate) sequence: u32,
    pub(crate) acknowledgement: u32,
    pub(crate) payload_len: usize,
}

impl Segment {
    /// Encodes the segment as an IPv4 packet.
    pub(crate) fn to_bytes(&self) -> Vec<u8> {
        let (IpAddr::V4(from), IpAddr::V4(to)) = (self.source.ip(), self.destination.ip()) else {
            unreachable!("simulated endpoints have IPv4 addresses");
        };
        let ip = PacketBuilder::ipv4(from.octets(), to.octets(), 64);
        let (from, to) = (self.source.port(), self.destination.port());
        let mut tcp = ip.tcp(from, to, self.sequence, 65_535);
        for flag in self.flags.chars() {
            tcp = match flag {
                'S' => tcp.syn(),
                'A' => tcp.ack(self.acknowledgement),
                'F' => tcp.fin(),
                _ => tcp.rst(),
            };
        }
        let payload = vec![b'x'; self.payload_len];
        let mut bytes = Vec::with_capacity(tcp.size(payload.len()));
        if tcp.write(&mut bytes, &payload).is_err() {
            unreachable!("writing to a vector does not fail");
        }
        bytes
    }
}
