//! In-place address translation.

use std::net::{IpAddr, SocketAddr};

use crate::{PacketView, Protocol, checksum};

// Offsets of fields from the start of their header, in bytes.
const IPV4_CHECKSUM: usize = 10;
const IPV4_SOURCE: usize = 12;
const IPV4_DESTINATION: usize = 16;
const IPV6_SOURCE: usize = 8;
const IPV6_DESTINATION: usize = 24;
const TCP_CHECKSUM: usize = 16;
const UDP_CHECKSUM: usize = 6;
const SOURCE_PORT: usize = 0;
const DESTINATION_PORT: usize = 2;

/// Sets the destination of the packet that `view` was parsed from.
///
/// Returns false and changes nothing if the address families differ.
pub fn rewrite_destination(bytes: &mut [u8], view: &PacketView, destination: SocketAddr) -> bool {
    let offsets = EndpointOffsets {
        ipv4_offset: IPV4_DESTINATION,
        ipv6_offset: IPV6_DESTINATION,
        port_offset: DESTINATION_PORT,
    };
    offsets.rewrite(bytes, view, destination)
}

/// Sets the source of the packet that `view` was parsed from.
///
/// Returns false and changes nothing if the address families differ.
pub fn rewrite_source(bytes: &mut [u8], view: &PacketView, source: SocketAddr) -> bool {
    let offsets = EndpointOffsets {
        ipv4_offset: IPV4_SOURCE,
        ipv6_offset: IPV6_SOURCE,
        port_offset: SOURCE_PORT,
    };
    offsets.rewrite(bytes, view, source)
}

/// The offsets of one endpoint in a packet: of its address from the start of the IP header, and of its
/// port from the start of the transport header.
struct EndpointOffsets {
    ipv4_offset: usize,
    ipv6_offset: usize,
    port_offset: usize,
}

impl EndpointOffsets {
    fn rewrite(&self, bytes: &mut [u8], view: &PacketView, endpoint: SocketAddr) -> bool {
        match (view.source.ip(), endpoint.ip()) {
            (IpAddr::V4(_), IpAddr::V4(ip)) => {
                let mut old = [0; 4];
                old.copy_from_slice(&bytes[self.ipv4_offset..self.ipv4_offset + 4]);
                bytes[self.ipv4_offset..self.ipv4_offset + 4].copy_from_slice(&ip.octets());
                update_checksum(bytes, IPV4_CHECKSUM, &old, &ip.octets());
                update_transport_checksum(bytes, view, &old, &ip.octets());
            }
            (IpAddr::V6(_), IpAddr::V6(ip)) => {
                let mut old = [0; 16];
                old.copy_from_slice(&bytes[self.ipv6_offset..self.ipv6_offset + 16]);
                bytes[self.ipv6_offset..self.ipv6_offset + 16].copy_from_slice(&ip.octets());
                update_transport_checksum(bytes, view, &old, &ip.octets());
            }
            _ => return false,
        }
        let offset = view.transport_offset + self.port_offset;
        let old = [bytes[offset], bytes[offset + 1]];
        let new = endpoint.port().to_be_bytes();
        bytes[offset..offset + 2].copy_from_slice(&new);
        update_transport_checksum(bytes, view, &old, &new);
        true
    }
}

fn update_transport_checksum(bytes: &mut [u8], view: &PacketView, old: &[u8], new: &[u8]) {
    match view.protocol {
        Protocol::Tcp => update_checksum(bytes, view.transport_offset + TCP_CHECKSUM, old, new),
        Protocol::Udp => {
            let offset = view.transport_offset + UDP_CHECKSUM;
            // Zero means that the sender computed no checksum (RFC 768).
            if bytes[offset] == 0 && bytes[offset + 1] == 0 {
                return;
            }
            update_checksum(bytes, offset, old, new);
            // A computed checksum of zero is sent as all ones.
            if bytes[offset] == 0 && bytes[offset + 1] == 0 {
                bytes[offset..offset + 2].copy_from_slice(&[0xff, 0xff]);
            }
        }
    }
}

fn update_checksum(bytes: &mut [u8], offset: usize, old: &[u8], new: &[u8]) {
    let checksum = u16::from_be_bytes([bytes[offset], bytes[offset + 1]]);
    let updated = checksum::update(checksum, old, new);
    bytes[offset..offset + 2].copy_from_slice(&updated.to_be_bytes());
}
