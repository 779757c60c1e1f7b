//! A read-only view of one IP packet.

use std::net::SocketAddr;

use etherparse::{IpNumber, IpSlice, TcpSlice, UdpSlice};

use crate::{DropReason, Protocol};

/// The length of the fixed IPv6 header, in bytes.
const IPV6_HEADER_BYTES: usize = 40;

/// The TCP flags that are used to make decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TcpFlags {
    /// Synchronize sequence numbers.
    pub syn: bool,
    /// The acknowledgement number is valid.
    pub ack: bool,
    /// The sender has finished sending.
    pub fin: bool,
    /// Reset the connection.
    pub rst: bool,
}

/// The TCP fields that are used to make decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TcpView {
    /// The flags.
    pub flags: TcpFlags,
    /// The sequence number of the first payload byte.
    pub sequence: u32,
    /// The acknowledgement number.
    pub acknowledgement: u32,
}

impl TcpView {
    /// Whether this segment opens a connection (SYN without ACK).
    pub fn is_opening(&self) -> bool {
        self.flags.syn && !self.flags.ack
    }

    /// Whether this segment accepts a connection (SYN-ACK).
    pub fn is_syn_ack(&self) -> bool {
        self.flags.syn && self.flags.ack
    }

    /// Whether this segment opens, closes or resets a connection.
    pub fn is_control(&self) -> bool {
        self.flags.syn || self.flags.fin || self.flags.rst
    }
}

/// The parsed headers of one IP packet. Offsets are in bytes from the start of the packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PacketView {
    /// The transport protocol.
    pub protocol: Protocol,
    /// The sender.
    pub source: SocketAddr,
    /// The receiver.
    pub destination: SocketAddr,
    /// The TCP fields, for TCP.
    pub tcp: Option<TcpView>,
    /// Where the transport header starts, in bytes.
    pub transport_offset: usize,
    /// The length of the transport payload, in bytes.
    pub payload_len: usize,
}

impl PacketView {
    /// Parses `bytes` as one complete IP packet.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the packet must be dropped.
    pub fn parse(bytes: &[u8]) -> Result<PacketView, DropReason> {
        let ip = IpSlice::from_slice(bytes).map_err(|_| parse_failure_reason(bytes))?;
        let length = match &ip {
            IpSlice::Ipv4(ip) => usize::from(ip.header().total_len()),
            IpSlice::Ipv6(ip) => IPV6_HEADER_BYTES + usize::from(ip.header().payload_length()),
        };
        // The length in the headers must match: the checksums that are updated would not cover
        // trailing bytes.
        if length != bytes.len() {
            return Err(DropReason::Truncated);
        }
        let payload = ip.payload();
        if payload.fragmented {
            return Err(DropReason::Fragment);
        }
        let transport_offset = payload.payload.as_ptr() as usize - bytes.as_ptr() as usize;
        let (source, destination) = (ip.source_addr(), ip.destination_addr());
        match payload.ip_number {
            IpNumber::TCP => {
                let tcp =
                    TcpSlice::from_slice(payload.payload).map_err(|_| DropReason::Truncated)?;
                Ok(PacketView {
                    protocol: Protocol::Tcp,
                    source: SocketAddr::new(source, tcp.source_port()),
                    destination: SocketAddr::new(destination, tcp.destination_port()),
                    tcp: Some(TcpView {
                        flags: TcpFlags {
                            syn: tcp.syn(),
                            ack: tcp.ack(),
                            fin: tcp.fin(),
                            rst: tcp.rst(),
                        },
                        sequence: tcp.sequence_number(),
                        acknowledgement: tcp.acknowledgment_number(),
                    }),
                    transport_offset,
                    payload_len: tcp.payload().len(),
                })
            }
            IpNumber::UDP => {
                let udp =
                    UdpSlice::from_slice(payload.payload).map_err(|_| DropReason::Truncated)?;
                Ok(PacketView {
                    protocol: Protocol::Udp,
                    source: SocketAddr::new(source, udp.source_port()),
                    destination: SocketAddr::new(destination, udp.destination_port()),
                    tcp: None,
                    transport_offset,
                    payload_len: udp.payload().len(),
                })
            }
            _ => Err(DropReason::Protocol),
        }
    }
}

fn parse_failure_reason(bytes: &[u8]) -> DropReason {
    match bytes.first().map(|byte| byte >> 4) {
        Some(4 | 6) => DropReason::Truncated,
        _ => DropReason::NotIp,
    }
}
