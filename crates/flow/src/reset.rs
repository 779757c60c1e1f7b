//! TCP resets that a host sends on behalf of one end of a connection.

use std::net::{IpAddr, SocketAddr};

use etherparse::PacketBuilder;

use crate::{PacketView, TcpView};

const RESET_HOP_LIMIT: u8 = 64;

/// Builds the reset by which the destination of `view` would refuse that segment (RFC 9293, 3.10.7).
///
/// Returns `None` for a packet that must not be answered with a reset.
pub fn reset_from_destination(view: &PacketView) -> Option<Vec<u8>> {
    let tcp = view.tcp?;
    if tcp.flags.rst {
        return None;
    }
    let reset = if tcp.flags.ack {
        Reset { sequence: tcp.acknowledgement, acknowledgement: None }
    } else {
        Reset { sequence: 0, acknowledgement: Some(segment_end(view, &tcp)) }
    };
    reset.build(view.destination, view.source)
}

/// Builds a reset to the destination of the segment `view`, as its source would send it: with the
/// segment's sequence number, or the next one after a SYN.
///
/// Returns `None` for a packet that is not TCP.
pub fn reset_to_destination(view: &PacketView) -> Option<Vec<u8>> {
    let tcp = view.tcp?;
    let acknowledgement = tcp.flags.ack.then_some(tcp.acknowledgement);
    let sequence = if tcp.flags.syn { tcp.sequence.wrapping_add(1) } else { tcp.sequence };
    Reset { sequence, acknowledgement }.build(view.source, view.destination)
}

struct Reset {
    sequence: u32,
    acknowledgement: Option<u32>,
}

impl Reset {
    fn build(&self, source: SocketAddr, destination: SocketAddr) -> Option<Vec<u8>> {
        let ip = match (source.ip(), destination.ip()) {
            (IpAddr::V4(from), IpAddr::V4(to)) => {
                PacketBuilder::ipv4(from.octets(), to.octets(), RESET_HOP_LIMIT)
            }
            (IpAddr::V6(from), IpAddr::V6(to)) => {
                PacketBuilder::ipv6(from.octets(), to.octets(), RESET_HOP_LIMIT)
            }
            _ => return None,
        };
        let mut builder = ip.tcp(source.port(), destination.port(), self.sequence, 0).rst();
        if let Some(acknowledgement) = self.acknowledgement {
            builder = builder.ack(acknowledgement);
        }
        let mut bytes = Vec::with_capacity(builder.size(0));
        builder.write(&mut bytes, &[]).ok()?;
        Some(bytes)
    }
}

/// The sequence number after the segment. SYN and FIN take one sequence number each.
fn segment_end(view: &PacketView, tcp: &TcpView) -> u32 {
    let flag_count = u32::from(tcp.flags.syn) + u32::from(tcp.flags.fin);
    tcp.sequence.wrapping_add(view.payload_len as u32).wrapping_add(flag_count)
}
