//! A simulated target with a minimal TCP: it accepts, refuses, resets and answers.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
};

use flow::PacketView;

use crate::packet::Segment;

/// The retransmission timeout of an answer, in milliseconds.
const RETRANSMIT_MS: u64 = 300;

/// The target port of the session listener; all other ports serve requests.
const SESSION_PORT: u16 = 8_443;

/// Slots of a target: the requests that it runs at the same time.
const SLOTS: usize = 3;

/// How a target reacts to packets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum TargetBehavior {
    /// Accepts flows and answers requests.
    #[default]
    Serving,
    /// Refuses every opening with a reset.
    Shedding,
    /// Drops every packet and sends nothing.
    Dead,
    /// Accepts requests and never answers them.
    Hanging,
}

#[derive(Debug)]
struct Connection {
    initial_sequence: u32,
    /// The next expected sequence number.
    receive_next: u32,
    /// The sequence number of the next byte; the final answer does not advance it.
    send_next: u32,
    is_established: bool,
    /// The arrival number of the request, while it waits for a slot.
    queue_number: Option<u64>,
    /// When the answer to a request is due, or due for retransmission.
    answer_at_ms: Option<u64>,
    is_answered: bool,
}

/// A simulated target.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) address: IpAddr,
    /// The index of the failure domain.
    pub(crate) domain: usize,
    pub(crate) behavior: TargetBehavior,
    /// The mean time that a request takes, in milliseconds.
    pub(crate) work_ms: u64,
    connections: BTreeMap<(SocketAddr, u16), Connection>,
    /// The flows whose data this target accepted, as caller and target port.
    pub(crate) flows_with_data: Vec<(SocketAddr, u16)>,
    seed: u64,
    accepted_openings: u64,
    /// The most requests that were open at a time, running or waiting for a slot.
    pub(crate) most_requests: usize,
    /// Requests received so far.
    arrivals: u64,
}

impl Target {
    pub(crate) fn new(address: IpAddr, domain: usize, seed: u32) -> Target {
        Target {
            address,
            domain,
            behavior: TargetBehavior::Serving,
            work_ms: 100,
            connections: BTreeMap::new(),
            flows_with_data: Vec::new(),
            seed: u64::from(seed),
            accepted_openings: 0,
            most_requests: 0,
            arrivals: 0,
        }
    }

    /// The number of open flows.
    pub(crate) fn open_flows(&self) -> usize {
        self.connections.len()
    }

    /// The number of requests that occupy a slot.
    pub(crate) fn running(&self) -> usize {
        let is_running =
            |connection: &&Connection| connection.answer_at_ms.is_some() && !connection.is_answered;
        self.connections.values().filter(is_running).count()
    }

    // Starts waiting requests in order of arrival while there are free slots.
    fn start_queued_requests(&mut self, now_ms: u64) {
        while self.running() < SLOTS {
            let waiting =
                self.connections.iter_mut().filter(|(_, entry)| entry.queue_number.is_some());
            let Some(((caller, _), next)) = waiting.min_by_key(|(_, entry)| entry.queue_number)
            else {
                return;
            };
            next.queue_number = None;
            next.answer_at_ms = Some(now_ms + request_work_ms(*caller, self.work_ms));
        }
    }

    /// Whether the target has an open flow of `caller`.
    pub(crate) fn has_connection(&self, caller: SocketAddr) -> bool {
        self.connections.keys().any(|(other, _)| *other == caller)
    }

    /// Handles a packet and returns the segments sent in reply.
    pub(crate) fn receive(&mut self, view: &PacketView, now_ms: u64) -> Vec<Segment> {
        let Some(tcp) = view.tcp else { return Vec::new() };
        if self.behavior == TargetBehavior::Dead {
            return Vec::new();
        }
        let key = (view.source, view.destination.port());
        if tcp.flags.rst {
            let is_valid = self
                .connections
                .get(&key)
                .is_some_and(|connection| connection.receive_next == tcp.sequence);
            if is_valid {
                self.connections.remove(&key);
            }
            return Vec::new();
        }
        if tcp.flags.syn {
            return self.accept(view, key, tcp.sequence);
        }
        let Some(connection) = self.connections.get_mut(&key) else {
            return vec![reply(view, "R", tcp.acknowledgement, 0, 0)];
        };
        if !connection.is_established {
            if tcp.acknowledgement != connection.initial_sequence.wrapping_add(1) {
                return vec![reply(view, "R", tcp.acknowledgement, 0, 0)];
            }
            connection.is_established = true;
        }
        if tcp.flags.fin {
            let after_fin = connection.receive_next.wrapping_add(1);
            let send_next = connection.send_next;
            self.connections.remove(&key);
            return vec![reply(view, "FA", send_next, after_fin, 0)];
        }
        self.receive_data(view, key, now_ms)
    }

    /// The time at which the next answer is due, in milliseconds.
    pub(crate) fn next_due_ms(&self) -> Option<u64> {
        self.connections.values().filter_map(|connection| connection.answer_at_ms).min()
    }

    /// Returns the answers that are due.
    pub(crate) fn tick(&mut self, now_ms: u64) -> Vec<Segment> {
        if matches!(self.behavior, TargetBehavior::Dead | TargetBehavior::Hanging) {
            return Vec::new();
        }
        self.start_queued_requests(now_ms);
        let address = self.address;
        let mut segments = Vec::new();
        for ((caller, port), connection) in &mut self.connections {
            if connection.answer_at_ms.is_none_or(|at_ms| at_ms > now_ms) {
                continue;
            }
            connection.answer_at_ms = Some(now_ms + RETRANSMIT_MS);
            connection.is_answered = true;
            segments.push(Segment {
                source: SocketAddr::new(address, *port),
                destination: *caller,
                flags: "FA",
                sequence: connection.send_next,
                acknowledgement: connection.receive_next,
                payload_len: 20,
            });
        }
        segments
    }

    fn accept(&mut self, view: &PacketView, key: (SocketAddr, u16), sequence: u32) -> Vec<Segment> {
        let expected = sequence.wrapping_add(1);
        if self.behavior == TargetBehavior::Shedding {
            return vec![reply(view, "RA", 0, expected, 0)];
        }
        if let Some(connection) = self.connections.get(&key) {
            if connection.is_established {
                return vec![reply(view, "A", connection.send_next, connection.receive_next, 0)];
            }
            return vec![reply(view, "SA", connection.initial_sequence, expected, 0)];
        }
        self.accepted_openings += 1;
        let initial_sequence = routing::mix(self.accepted_openings, self.seed) as u32;
        let connection = Connection {
            initial_sequence,
            receive_next: expected,
            send_next: initial_sequence.wrapping_add(1),
            is_established: false,
            queue_number: None,
            answer_at_ms: None,
            is_answered: false,
        };
        self.connections.insert(key, connection);
        vec![reply(view, "SA", initial_sequence, expected, 0)]
    }

    fn receive_data(
        &mut self,
        view: &PacketView,
        key: (SocketAddr, u16),
        now_ms: u64,
    ) -> Vec<Segment> {
        let (Some(tcp), Some(connection)) = (view.tcp, self.connections.get_mut(&key)) else {
            return Vec::new();
        };
        // The acknowledgement covers the answer: 20 bytes and a FIN.
        if connection.is_answered && tcp.acknowledgement == connection.send_next.wrapping_add(21) {
            self.connections.remove(&key);
            return Vec::new();
        }
        if view.payload_len == 0 {
            return Vec::new();
        }
        if tcp.sequence != connection.receive_next {
            return vec![reply(view, "A", connection.send_next, connection.receive_next, 0)];
        }
        connection.receive_next = connection.receive_next.wrapping_add(view.payload_len as u32);
        if !self.flows_with_data.contains(&key) {
            self.flows_with_data.push(key);
        }
        if key.1 != SESSION_PORT {
            self.arrivals += 1;
            connection.queue_number = Some(self.arrivals);
            let segment = reply(view, "A", connection.send_next, connection.receive_next, 0);
            self.start_queued_requests(now_ms);
            let is_open = |connection: &&Connection| {
                connection.queue_number.is_some()
                    || (connection.answer_at_ms.is_some() && !connection.is_answered)
            };
            let open = self.connections.values().filter(is_open).count();
            self.most_requests = self.most_requests.max(open);
            return vec![segment];
        }
        let segment = reply(view, "A", connection.send_next, connection.receive_next, 5);
        connection.send_next = connection.send_next.wrapping_add(5);
        vec![segment]
    }
}

/// The time that the request of `caller` takes, in milliseconds: exponentially distributed with a
/// mean of `mean_ms`, and at most eight times that. It is derived from the caller's address, so
/// that it is the same in every run.
fn request_work_ms(caller: SocketAddr, mean_ms: u64) -> u64 {
    let IpAddr::V4(ip) = caller.ip() else { return mean_ms };
    let seed = u64::from(u32::from(ip)) << 16 | u64::from(caller.port());
    let uniform = (routing::mix(seed, 77) >> 11) as f64 / (1u64 << 53) as f64;
    let factor = -(uniform.max(1e-9)).ln();
    (mean_ms as f64 * factor.min(8.0)).round() as u64
}

fn reply(
    view: &PacketView,
    flags: &'static str,
    sequence: u32,
    acknowledgement: u32,
    payload_len: usize,
) -> Segment {
    Segment {
        source: view.destination,
        destination: view.source,
        flags,
        sequence,
        acknowledgement,
        payload_len,
    }
}
