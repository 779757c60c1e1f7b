//! What traffic wants to be sent and told.

use std::{net::SocketAddr, ops::Range};

use routing::HostId;
use wire::Control;

/// Where a datagram goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Destination {
    /// The fabric, which routes the packet by its own destination.
    Fabric,
    /// The peer port of another host.
    Peer(SocketAddr),
}

/// Something that others than the packet's receiver have to know.
#[derive(Debug, Clone, PartialEq)]
pub enum TrafficEvent {
    /// A control message for [`crate::Control`].
    Control {
        /// The sender's peer address.
        from: SocketAddr,
        /// The sender.
        sender: HostId,
        /// The message.
        message: Control,
    },
    /// The process was paused; this host no longer decides about flows.
    Frozen {
        /// How long, in milliseconds.
        gap_ms: u64,
    },
    /// Every pin that others need was stored by them.
    HandedOver,
    /// A flow got its target.
    Opened {
        /// The listener.
        listener_key: u32,
        /// How long the opening waited, in milliseconds.
        waited_ms: u64,
    },
    /// A flow was refused.
    Refused {
        /// The listener.
        listener_key: u32,
        /// The result code.
        code: u16,
    },
    /// A flow ended.
    Closed {
        /// The listener.
        listener_key: u32,
        /// How long it was open, in milliseconds.
        open_ms: u64,
    },
}

/// Datagrams to be sent, in one buffer that is used again, and events.
#[derive(Debug, Default)]
pub struct Outbox {
    bytes: Vec<u8>,
    datagrams: Vec<(Destination, Range<usize>)>,
    /// The events, in order.
    pub events: Vec<TrafficEvent>,
}

impl Outbox {
    /// Forgets everything but keeps the memory.
    pub fn clear(&mut self) {
        self.bytes.clear();
        self.datagrams.clear();
        self.events.clear();
    }

    /// The datagrams, in order.
    pub fn datagrams(&self) -> impl Iterator<Item = (Destination, &[u8])> {
        self.datagrams.iter().map(|(to, range)| (*to, &self.bytes[range.clone()]))
    }

    /// Adds the datagram that `write` appends to the buffer.
    pub fn push(&mut self, to: Destination, write: impl FnOnce(&mut Vec<u8>)) {
        let start = self.bytes.len();
        write(&mut self.bytes);
        self.datagrams.push((to, start..self.bytes.len()));
    }

    /// Adds a copy of `packet` for the fabric.
    pub fn push_fabric(&mut self, packet: &[u8]) {
        self.push(Destination::Fabric, |bytes| bytes.extend_from_slice(packet));
    }
}
