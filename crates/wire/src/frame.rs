//! The frame of a datagram between hosts.
//!
//! The header has 56 bytes, with integers in network byte order: version (1), kind (1), hops (1),
//! reserved (1), listener key (4), sender (8), origin (8), sent at (8), target as IPv6 (16),
//! authentication tag (8). The IP packet or control message follows.

use std::{
    fmt,
    hash::Hasher,
    net::{IpAddr, Ipv6Addr},
};

use flow::DropReason;
use routing::HostId;
use siphasher::sip::SipHasher24;

/// The length of the frame header, in bytes.
pub const FRAME_HEADER_BYTES: usize = 56;

const VERSION: u8 = 1;
const TAG_OFFSET: usize = 48;

/// The authentication key that all hosts of a deployment share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerKey(pub [u8; 16]);

/// Why a text is not a valid key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseKeyError(String);

impl fmt::Display for ParseKeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ParseKeyError {}

impl PeerKey {
    /// Parses a key of 32 hexadecimal digits.
    ///
    /// # Errors
    ///
    /// Fails if the text has another length or is not hexadecimal.
    pub fn parse(text: &str) -> Result<PeerKey, ParseKeyError> {
        let length = text.chars().count();
        if length != 32 {
            let cause = format!("the key has {length} characters, not 32 hexadecimal digits");
            return Err(ParseKeyError(cause));
        }
        let key = u128::from_str_radix(text, 16)
            .map_err(|_| ParseKeyError("the key is not hexadecimal".to_owned()))?;
        Ok(PeerKey(key.to_be_bytes()))
    }

    /// Computes the authentication tag of the concatenated `parts`.
    pub fn tag(&self, parts: &[&[u8]]) -> u64 {
        let mut hasher = SipHasher24::new_with_key(&self.0);
        for part in parts {
            hasher.write(part);
        }
        hasher.finish()
    }
}

/// The kind of a frame: what it carries and what the receiver does with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum FrameKind {
    /// A packet for the home of its flow.
    ToHome = 1,
    /// A packet for a host that may still hold the flow's pin, since the flow's bucket has moved.
    AskHolder = 2,
    /// The answer to [`FrameKind::AskHolder`]: there is no pin. The packet is returned.
    NoPin = 3,
    /// An opening for the opener, the host that assigns targets.
    AskOpener = 4,
    /// The answer to [`FrameKind::AskOpener`]: the assigned target. The opening is returned.
    Granted = 5,
    /// The answer to [`FrameKind::AskOpener`]: no target is assigned. The opening is returned.
    Refused = 6,
    /// A target's closing packet. The receiver frees the slot and forwards the packet.
    Close = 7,
    /// A target failed to accept the opening. The receiver frees the slot and may assign another.
    Failed = 8,
    /// A flow ended without a packet to forward. The body is the flow's hash.
    Released = 9,
    /// A control message.
    Control = 10,
}

impl FrameKind {
    const ALL: [FrameKind; 10] = [
        FrameKind::ToHome,
        FrameKind::AskHolder,
        FrameKind::NoPin,
        FrameKind::AskOpener,
        FrameKind::Granted,
        FrameKind::Refused,
        FrameKind::Close,
        FrameKind::Failed,
        FrameKind::Released,
        FrameKind::Control,
    ];
}

/// A datagram between hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Frame<'a> {
    /// What the frame carries.
    pub kind: FrameKind,
    /// How many times hosts have relayed the packet. In [`FrameKind::AskOpener`], how many openers
    /// were asked before, or 255 after all of them; in [`FrameKind::Refused`], the number that
    /// encodes the reason.
    pub hops: u8,
    /// The key of the flow's listener, in frames about slots.
    pub listener_key: u32,
    /// The host that sent the frame.
    pub sender: HostId,
    /// The home that an opening came from, in frames about slots.
    pub origin: HostId,
    /// When the frame was sent, in milliseconds since 1970. With tagged affinity it is a sequence
    /// number instead, which starts at the sender's start time.
    pub sent_at_ms: u64,
    /// The address of the target that the frame concerns, or the unspecified address.
    pub target: IpAddr,
    /// The IP packet or the control message.
    pub body: &'a [u8],
}

impl<'a> Frame<'a> {
    /// Appends the frame with its authentication tag to `buffer`. The frame is not encrypted.
    pub fn seal(&self, key: &PeerKey, buffer: &mut Vec<u8>) {
        let start = buffer.len();
        buffer.extend_from_slice(&[VERSION, self.kind as u8, self.hops, 0]);
        buffer.extend_from_slice(&self.listener_key.to_be_bytes());
        buffer.extend_from_slice(&self.sender.0.to_be_bytes());
        buffer.extend_from_slice(&self.origin.0.to_be_bytes());
        buffer.extend_from_slice(&self.sent_at_ms.to_be_bytes());
        buffer.extend_from_slice(&to_ipv6(self.target).octets());
        let tag = key.tag(&[&buffer[start..], self.body]);
        buffer.extend_from_slice(&tag.to_be_bytes());
        buffer.extend_from_slice(self.body);
    }

    /// Verifies the tag of a datagram and decodes its header.
    ///
    /// # Errors
    ///
    /// Fails with [`DropReason::BadPeerDatagram`] if the length, version, kind or tag is not valid.
    pub fn open(datagram: &'a [u8], key: &PeerKey) -> Result<Frame<'a>, DropReason> {
        if datagram.len() < FRAME_HEADER_BYTES || datagram[0] != VERSION {
            return Err(DropReason::BadPeerDatagram);
        }
        let (header, body) = datagram.split_at(FRAME_HEADER_BYTES);
        let tag = key.tag(&[&header[..TAG_OFFSET], body]);
        if header[TAG_OFFSET..] != tag.to_be_bytes() {
            return Err(DropReason::BadPeerDatagram);
        }
        let kind = FrameKind::ALL.iter().copied().find(|kind| *kind as u8 == header[1]);
        Ok(Frame {
            kind: kind.ok_or(DropReason::BadPeerDatagram)?,
            hops: header[2],
            listener_key: u32::from_be_bytes(read_field(header, 4)),
            sender: HostId(u64::from_be_bytes(read_field(header, 8))),
            origin: HostId(u64::from_be_bytes(read_field(header, 16))),
            sent_at_ms: u64::from_be_bytes(read_field(header, 24)),
            target: from_ipv6(Ipv6Addr::from(read_field::<16>(header, 32))),
            body,
        })
    }
}

/// Converts an address to IPv6, with IPv4 addresses mapped.
pub(crate) fn to_ipv6(address: IpAddr) -> Ipv6Addr {
    match address {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    }
}

/// The inverse of [`to_ipv6`].
pub(crate) fn from_ipv6(address: Ipv6Addr) -> IpAddr {
    IpAddr::V6(address).to_canonical()
}

fn read_field<const N: usize>(header: &[u8], offset: usize) -> [u8; N] {
    let mut bytes = [0; N];
    bytes.copy_from_slice(&header[offset..offset + N]);
    bytes
}
