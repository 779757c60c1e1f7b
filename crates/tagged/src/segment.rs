//! The header of a caller's packet as the dispatcher sees it, and the verdict on the packet.

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

/// The effect of a packet on its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SegmentKind {
    /// Opens the flow.
    Open {
        /// How many times the caller has sent this opening before.
        copy: u32,
    },
    /// Carries data, an acknowledgement or both.
    Data,
    /// Ends the caller's side of the flow, like a TCP FIN.
    Close,
    /// Aborts the flow, like a TCP RST from the caller.
    Abort,
}

/// The header fields of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// The flow.
    pub key: FlowKey,
    /// The effect on the flow.
    pub kind: SegmentKind,
    /// The tag that the caller echoes; none in an opening.
    pub tag: Option<FlowTag>,
    /// The sequence number of the first byte of data.
    pub sequence: u32,
    /// The sequence number of the next byte that the caller expects.
    pub acknowledged: u32,
    /// The length of the data.
    pub data_bytes: u16,
}

impl Segment {
    /// Whether it repeats an opening that the caller has sent before.
    pub fn is_copy(&self) -> bool {
        matches!(self.kind, SegmentKind::Open { copy } if copy > 0)
    }
}

/// What to do with a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Forward it to a target.
    Forward {
        /// The target.
        target: TargetId,
        /// The address at which the target receives packets.
        address: SocketAddrV4,
        /// The tag to write into the packet.
        tag: FlowTag,
    },
    /// Reset the flow towards the caller.
    Reset(Reason),
    /// Drop it; the caller retransmits it.
    Drop(Reason),
}
