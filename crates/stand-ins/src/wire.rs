//! What stand-ins and hosts say to the fabric besides IP packets: GUE control messages.

use std::net::{IpAddr, Ipv6Addr, SocketAddr, UdpSocket};

/// The first byte of a GUE control message without options.
pub(crate) const GUE_CONTROL: u8 = 0x20;

/// A host takes packets.
pub(crate) const HOST_AVAILABLE: u8 = 1;

/// A host takes no more packets.
pub(crate) const HOST_WITHDRAWN: u8 = 2;

/// An address is reached at the sender.
pub(crate) const ADDRESS_REGISTRATION: u8 = 3;

/// Tells the fabric at `to` that `address` is reached at this socket.
pub(crate) fn register(socket: &UdpSocket, to: SocketAddr, address: IpAddr) {
    let ip = match address {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    let mut message = vec![GUE_CONTROL, ADDRESS_REGISTRATION, 0, 0];
    message.extend_from_slice(&ip.octets());
    // Repeated with every second of the run.
    let _ = socket.send_to(&message, to);
}

/// The address that a registration names.
pub(crate) fn registered_address(message: &[u8]) -> Option<IpAddr> {
    let octets: [u8; 16] = message.get(4..20)?.try_into().ok()?;
    Some(IpAddr::V6(Ipv6Addr::from(octets)).to_canonical())
}

/// The destination of an IP packet.
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
