//! A packet of a caller in the form that decisions need, and what is to be done with it.

use std::net::SocketAddrV4;

use catalog::{FlowTag, TargetId};

use crate::Reason;

/// The two ends of a flow as callers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlowKey {
    /// The caller's address and port.
    pub caller: SocketAddrV4,
    /// The listener's address and port.
    pub listener: SocketAddrV4,
}

/// What a packet does to its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SegmentKind {
    /// Opens the flow.
    Open {
        /// How many times the opening was sent before.
        copy: u32,
    },
    /// Carries data or acknowledges.
    Data,
    /// The caller sends nothing after this.
    Close,
    /// The caller gives the flow up.
    Abort,
}

/// The header of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// The flow.
    pub key: FlowKey,
    /// What the packet does.
    pub kind: SegmentKind,
    /// The tag that the caller repeats; none in an opening.
    pub tag: Option<FlowTag>,
    /// The number of the first byte of data.
    pub sequence: u32,
    /// The number of the next byte that the caller expects.
    pub acknowledged: u32,
    /// How many bytes of data there are.
    pub data_bytes: u16,
}

/// What is to be done with a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Send it to a target.
    Forward {
        /// The target.
        target: TargetId,
        /// Where it receives packets.
        address: SocketAddrV4,
        /// The tag to write into the packet.
        tag: FlowTag,
    },
    /// Reset the flow towards the caller.
    Reset(Reason),
    /// Drop it; the caller sends it again.
    Drop(Reason),
}
