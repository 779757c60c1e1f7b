//! GUE control messages that hosts and stand-ins send to the fabric besides IP packets.

use std::net::{IpAddr, Ipv6Addr, SocketAddr, UdpSocket};

/// The first byte of a GUE control message: version 0, the control bit set, no optional fields.
pub(crate) const GUE_CONTROL: u8 = 0x20;

/// Message type by which a host announces that it accepts packets.
pub(crate) const HOST_AVAILABLE: u8 = 1;

/// Message type by which a host announces that it no longer accepts packets.
pub(crate) const HOST_WITHDRAWN: u8 = 2;

/// Message type by which a stand-in asks for the packets to an address; the address follows.
pub(crate) const ADDRESS_REGISTRATION: u8 = 3;

/// Asks the fabric at `to` to send packets for `address` to this socket.
pub(crate) fn register(socket: &UdpSocket, to: SocketAddr, address: IpAddr) {
    let ip = match address {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    let mut message = vec![GUE_CONTROL, ADDRESS_REGISTRATION, 0, 0];
    message.extend_from_slice(&ip.octets());
    // A lost message does no harm, as callers and upstreams register again every 500 ms.
    let _ = socket.send_to(&message, to);
}

/// Returns the address in a registration message, or `None` if the message is too short.
pub(crate) fn registered_address(message: &[u8]) -> Option<IpAddr> {
    let octets: [u8; 16] = message.get(4..20)?.try_into().ok()?;
    Some(IpAddr::V6(Ipv6Addr::from(octets)).to_canonical())
}

/// Returns the destination address of an IPv4 or IPv6 packet, or `None` for other input.
pub(crate) fn destination(packet: &[u8]) -> Option<IpAddr> {
    match packet.first()? >> 4 {
        4 => {
            let octets: [u8; 4] = packet.get(16..20)?.try_into().ok()?;
            Some(IpAddr::from(octets))
        }
        6 => {
            let octets: [u8; 16] = packet.get(24..40)?.try_into().ok()?;
            Some(IpAddr::from(octets))
        }
        _ => None,
    }
}
