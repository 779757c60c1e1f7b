//! Messages of the SWIM protocol.

use std::net::SocketAddr;

use routing::HostId;

use crate::Member;

/// The type of a probe message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ProbeKind {
    /// Answer with [`ProbeKind::Ack`].
    Ping = 0,
    /// The subject is alive.
    Ack = 1,
    /// Probe the subject on the sender's behalf.
    PingRequest = 2,
    /// Answer with [`ProbeKind::Ack`]s that carry all members.
    Join = 3,
}

impl ProbeKind {
    const ALL: [ProbeKind; 4] =
        [ProbeKind::Ping, ProbeKind::Ack, ProbeKind::PingRequest, ProbeKind::Join];

    /// The kind with this number.
    pub fn from_number(number: u8) -> Option<ProbeKind> {
        ProbeKind::ALL.get(usize::from(number)).copied()
    }
}

/// A message of the protocol.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Probe {
    /// The type of the message.
    pub kind: ProbeKind,
    /// Matches an ack to its probe.
    pub sequence: u64,
    /// The host that a probe or an ack is about.
    pub subject: HostId,
    /// The settings revision in force on the sender.
    pub revision: u64,
    /// Gossiped reports, starting with the sender's report about itself.
    pub members: Vec<Member>,
}

/// A message to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver's peer address.
    pub to: SocketAddr,
    /// The message.
    pub probe: Probe,
}
