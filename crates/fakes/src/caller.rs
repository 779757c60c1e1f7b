//! A simulated caller that opens one flow and detects when it breaks.

use std::net::SocketAddr;

use flow::PacketView;

use crate::packet::Segment;

/// The initial retransmission timeout of an opening, in milliseconds; it doubles each time.
const OPENING_RETRANSMIT_MS: u64 = 1_000;

/// The initial retransmission timeout of data, in milliseconds; it doubles each time.
const DATA_RETRANSMIT_MS: u64 = 200;

/// Retransmissions of one segment before the caller gives up.
const MAX_RETRANSMISSIONS: u32 = 8;

/// The payload of a message, in bytes.
const MESSAGE_BYTES: usize = 10;

/// How a caller uses its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerKind {
    /// Sends a message to the session listener at a fixed interval.
    Session {
        /// The time between messages, in milliseconds; 0 to send only the first.
        interval_ms: u64,
    },
    /// Sends one message to the default request listener and waits for the answer.
    Request,
    /// Like `Request`, to another request listener.
    RequestTo {
        /// The port of the listener.
        port: u16,
    },
}

impl CallerKind {
    /// The port of the listener.
    pub(crate) fn port(self) -> u16 {
        match self {
            CallerKind::Session { .. } => 443,
            CallerKind::Request => 444,
            CallerKind::RequestTo { port } => port,
        }
    }
}

/// How a flow ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowOutcome {
    /// The whole answer was received.
    Completed,
    /// The opening was refused.
    Refused,
    /// The flow was reset or closed after it was established, or retransmissions went unanswered.
    Broken,
}

/// A caller with one flow.
#[derive(Debug)]
pub(crate) struct Caller {
    pub(crate) address: SocketAddr,
    pub(crate) service: SocketAddr,
    /// The index of the failure domain.
    pub(crate) domain: usize,
    pub(crate) outcome: Option<FlowOutcome>,
    pub(crate) opened_at_ms: u64,
    pub(crate) established_at_ms: Option<u64>,
    /// Whether a message was sent since the flow was established or [`Caller::send_now`] was called.
    pub(crate) has_sent_data: bool,
    /// When the flow ended, in milliseconds.
    pub(crate) ended_at_ms: u64,
    kind: CallerKind,
    is_established: bool,
    /// The sequence number of the next new byte (SND.NXT of RFC 9293).
    send_next: u32,
    /// The first unacknowledged sequence number (SND.UNA).
    send_unacknowledged: u32,
    /// The next expected sequence number (RCV.NXT).
    receive_next: u32,
    next_send_at_ms: u64,
    /// How often the current segment was sent.
    transmissions: u32,
}

impl Caller {
    pub(crate) fn new(
        address: SocketAddr,
        service: SocketAddr,
        domain: usize,
        kind: CallerKind,
        now_ms: u64,
    ) -> Caller {
        let sequence = u32::from(address.port()).wrapping_mul(0x0101_0101);
        Caller {
            address,
            service,
            domain,
            outcome: None,
            opened_at_ms: now_ms,
            established_at_ms: None,
            has_sent_data: false,
            ended_at_ms: 0,
            kind,
            is_established: false,
            send_next: sequence,
            send_unacknowledged: sequence,
            receive_next: 0,
            next_send_at_ms: now_ms,
            transmissions: 0,
        }
    }

    /// Returns the segments that are due now.
    pub(crate) fn tick(&mut self, now_ms: u64) -> Vec<Segment> {
        if self.outcome.is_some() || now_ms < self.next_send_at_ms {
            return Vec::new();
        }
        if self.transmissions > MAX_RETRANSMISSIONS {
            self.finish(FlowOutcome::Broken, now_ms);
            return Vec::new();
        }
        if !self.is_established {
            self.next_send_at_ms = now_ms + (OPENING_RETRANSMIT_MS << self.transmissions);
            self.transmissions += 1;
            return vec![self.segment("S", self.send_next, 0)];
        }
        let is_acknowledged = self.send_unacknowledged == self.send_next;
        if is_acknowledged && self.has_sent_data && !self.sends_periodically() {
            self.next_send_at_ms = u64::MAX;
            return Vec::new();
        }
        if is_acknowledged {
            self.send_next = self.send_next.wrapping_add(MESSAGE_BYTES as u32);
            self.has_sent_data = true;
            self.transmissions = 0;
        }
        self.next_send_at_ms = now_ms + (DATA_RETRANSMIT_MS << self.transmissions);
        self.transmissions += 1;
        let start = self.send_next.wrapping_sub(MESSAGE_BYTES as u32);
        vec![self.segment("A", start, MESSAGE_BYTES)]
    }

    /// Handles a packet and returns the segments sent in reply.
    pub(crate) fn receive(&mut self, view: &PacketView, now_ms: u64) -> Vec<Segment> {
        let Some(tcp) = view.tcp else { return Vec::new() };
        if self.outcome == Some(FlowOutcome::Completed) {
            return Vec::new();
        }
        if self.outcome.is_some() {
            // The flow is closed, so the segment is answered with a reset (RFC 9293, 3.10.7.1).
            let reset =
                Segment { flags: "R", sequence: tcp.acknowledgement, ..self.segment("R", 0, 0) };
            return if tcp.flags.rst { Vec::new() } else { vec![reset] };
        }
        if !self.is_established {
            return self.receive_opening_answer(view, now_ms);
        }
        if tcp.flags.rst {
            if tcp.sequence == self.receive_next {
                self.finish(FlowOutcome::Broken, now_ms);
            }
            return Vec::new();
        }
        if tcp.flags.syn {
            // A repeated SYN-ACK is answered with an ACK of the current state (RFC 5961, 4.2).
            return vec![self.segment("A", self.send_next, 0)];
        }
        if tcp.acknowledgement == self.send_next && self.send_unacknowledged != self.send_next {
            self.send_unacknowledged = self.send_next;
            self.transmissions = 0;
            self.next_send_at_ms = match self.kind {
                CallerKind::Session { interval_ms } if interval_ms > 0 => now_ms + interval_ms,
                _ => u64::MAX,
            };
        }
        if tcp.sequence != self.receive_next {
            return Vec::new();
        }
        let length = view.payload_len as u32 + u32::from(tcp.flags.fin);
        self.receive_next = self.receive_next.wrapping_add(length);
        if tcp.flags.fin {
            let outcome = match self.kind {
                CallerKind::Request | CallerKind::RequestTo { .. } => FlowOutcome::Completed,
                CallerKind::Session { .. } => FlowOutcome::Broken,
            };
            self.finish(outcome, now_ms);
        }
        if length == 0 { Vec::new() } else { vec![self.segment("A", self.send_next, 0)] }
    }

    /// Makes the next tick send a message, unless earlier data is still unacknowledged.
    pub(crate) fn send_now(&mut self, now_ms: u64) {
        if self.is_established && self.send_unacknowledged == self.send_next {
            self.has_sent_data = false;
            self.next_send_at_ms = now_ms;
            self.transmissions = 0;
        }
    }

    /// Whether the flow is open and all data is acknowledged, except a segment sent only once so far.
    pub(crate) fn is_whole(&self) -> bool {
        let is_current = self.send_unacknowledged == self.send_next || self.transmissions <= 1;
        self.outcome.is_none() && self.is_established && is_current
    }

    fn receive_opening_answer(&mut self, view: &PacketView, now_ms: u64) -> Vec<Segment> {
        let Some(tcp) = view.tcp else { return Vec::new() };
        let expected = self.send_next.wrapping_add(1);
        if tcp.flags.rst {
            if tcp.acknowledgement == expected {
                self.finish(FlowOutcome::Refused, now_ms);
            }
            return Vec::new();
        }
        if !tcp.is_syn_ack() || tcp.acknowledgement != expected {
            return Vec::new();
        }
        self.is_established = true;
        self.established_at_ms = Some(now_ms);
        self.send_next = expected;
        self.send_unacknowledged = expected;
        self.receive_next = tcp.sequence.wrapping_add(1);
        self.transmissions = 0;
        self.next_send_at_ms = now_ms;
        let mut segments = vec![self.segment("A", self.send_next, 0)];
        segments.extend(self.tick(now_ms));
        segments
    }

    fn sends_periodically(&self) -> bool {
        matches!(self.kind, CallerKind::Session { interval_ms } if interval_ms > 0)
    }

    fn finish(&mut self, outcome: FlowOutcome, now_ms: u64) {
        self.outcome = Some(outcome);
        self.ended_at_ms = now_ms;
    }

    fn segment(&self, flags: &'static str, sequence: u32, payload_len: usize) -> Segment {
        Segment {
            source: self.address,
            destination: self.service,
            flags,
            sequence,
            acknowledgement: self.receive_next,
            payload_len,
        }
    }
}
