//! The output of traffic: datagrams to be sent, and events.

use std::{net::SocketAddr, ops::Range};

use routing::HostId;
use wire::Control;

/// The destination of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Destination {
    /// The fabric, which routes the packet by its IP destination.
    Fabric,
    /// The peer port of another host, by address.
    Peer(SocketAddr),
}

/// An event for the control plane, or for logs and metrics.
#[derive(Debug, Clone, PartialEq)]
pub enum TrafficEvent {
    /// A control message for [`crate::Control`].
    Control {
        /// The sender's peer address.
        from: SocketAddr,
        /// The identity of the sender.
        sender: HostId,
        /// The message.
        message: Control,
    },
    /// The process was paused; this host stops acting as home and opener until it has rejoined.
    Frozen {
        /// How long the process was paused, in milliseconds.
        gap_ms: u64,
    },
    /// All pins that other hosts need were stored by them.
    HandedOver,
    /// A target was assigned to a flow.
    Opened {
        /// The key of the listener.
        listener_key: u32,
        /// How long the opening waited for a target, in milliseconds.
        waited_ms: u64,
    },
    /// A flow was refused.
    Refused {
        /// The key of the listener.
        listener_key: u32,
        /// The result code.
        code: u16,
    },
    /// A flow ended.
    Closed {
        /// The key of the listener.
        listener_key: u32,
        /// How long the flow was open, in milliseconds.
        open_ms: u64,
    },
}

/// Datagrams to be sent, stored in one reusable buffer, and events.
#[derive(Debug, Default)]
pub struct Outbox {
    bytes: Vec<u8>,
    datagrams: Vec<(Destination, Range<usize>)>,
    /// The events, in order.
    pub events: Vec<TrafficEvent>,
}

impl Outbox {
    /// Removes all datagrams and events but keeps the allocated memory.
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

    /// Adds a copy of `packet`, to be sent to the fabric.
    pub fn push_fabric(&mut self, packet: &[u8]) {
        self.push(Destination::Fabric, |bytes| bytes.extend_from_slice(packet));
    }
}
