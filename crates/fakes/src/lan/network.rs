//! Delivery of datagrams, with delays, losses and partitions.

use std::net::SocketAddr;

use flow::PacketView;
use host::{Destination, Stage};
use rand::RngExt;

use crate::{
    data_plane::{DataPlane, Datagram},
    lan::{InFlight, LATENCY_MS, Lan, START_MS, STEP_MS},
    packet::Segment,
};

impl<P: DataPlane> Lan<P> {
    /// Delivers the datagrams due within the next [`STEP_MS`], then ticks hosts, targets and callers.
    pub(super) fn step(&mut self) {
        let end_ms = self.now_ms + STEP_MS;
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > end_ms {
                break;
            }
            self.now_ms = self.now_ms.max(entry.key().0);
            let datagram = entry.remove();
            self.deliver(datagram);
        }
        self.now_ms = end_ms;
        for host in 0..self.nodes.len() {
            if self.nodes[host].is_active() {
                let datagrams = self.nodes[host].tick(self.now_ms);
                self.send_from_host(host, datagrams);
                self.fetch_settings(host);
                if self.nodes[host].control.stage() == Stage::Done {
                    self.nodes[host].is_running = false;
                }
            }
        }
        for index in 0..self.targets.len() {
            self.tick_target(index);
        }
        let now_ms = self.now_ms;
        for index in 0..self.callers.len() {
            let segments = self.callers[index].tick(now_ms);
            self.send_through_fabric(self.callers[index].domain, segments);
        }
    }

    // Adds a line to the trace if the packet belongs to the traced flow.
    fn trace_packet(&mut self, receiver: &str, bytes: &[u8]) {
        let Some(traced_caller) = self.traced_caller else { return };
        let Ok(view) = PacketView::parse(bytes) else { return };
        if view.source != traced_caller && view.destination != traced_caller {
            return;
        }
        let Some(tcp) = view.tcp else { return };
        let letters = [
            (tcp.flags.syn, 'S'),
            (tcp.flags.ack, 'A'),
            (tcp.flags.fin, 'F'),
            (tcp.flags.rst, 'R'),
        ];
        let flags: String =
            letters.iter().filter(|(is_set, _)| *is_set).map(|(_, letter)| *letter).collect();
        self.trace.push(format!(
            "{} ms {receiver}: {} > {} {flags} seq {} ack {} len {}",
            self.now_ms - START_MS,
            view.source,
            view.destination,
            tcp.sequence,
            tcp.acknowledgement,
            view.payload_len
        ));
    }

    fn trace_datagram(&mut self, datagram: &InFlight) {
        if self.traced_caller.is_none() {
            return;
        }
        match datagram {
            InFlight::ToHost { host, bytes } => self.trace_packet(&format!("host {host}"), bytes),
            InFlight::ToPeer { to, bytes, .. } => {
                let host = self.host_at(*to).unwrap_or(usize::MAX);
                // The second byte of a frame is its kind.
                let kind = bytes.get(1).copied().unwrap_or(0);
                let packet = bytes.get(wire::FRAME_HEADER_BYTES..).unwrap_or(&[]);
                self.trace_packet(&format!("host {host} frame {kind}"), packet);
            }
            InFlight::ToEndpoint { bytes, .. } => self.trace_packet("endpoint", bytes),
            InFlight::AnswerDue { .. } => {}
        }
    }

    fn deliver(&mut self, datagram: InFlight) {
        self.trace_datagram(&datagram);
        match datagram {
            InFlight::ToHost { host, mut bytes } => {
                if self.defer_if_frozen(host, InFlight::ToHost { host, bytes: bytes.clone() }) {
                    return;
                }
                if self.nodes[host].is_active() {
                    let datagrams = self.nodes[host].on_fabric(&mut bytes, self.now_ms);
                    self.send_from_host(host, datagrams);
                }
            }
            InFlight::ToPeer { from, to, mut bytes } => {
                let Some(host) = self.host_at(to) else { return };
                let copy = InFlight::ToPeer { from, to, bytes: bytes.clone() };
                if self.defer_if_frozen(host, copy) {
                    return;
                }
                if self.nodes[host].is_active() {
                    let datagrams = self.nodes[host].on_peer(from, &mut bytes, self.now_ms);
                    self.send_from_host(host, datagrams);
                }
            }
            InFlight::ToEndpoint { from_domain, bytes } => self.deliver_packet(from_domain, &bytes),
            InFlight::AnswerDue { target } => self.tick_target(target),
        }
    }

    fn tick_target(&mut self, target: usize) {
        let segments = self.targets[target].tick(self.now_ms);
        if !segments.is_empty() {
            self.send_through_fabric(self.targets[target].domain, segments);
            self.schedule_answer(target);
        }
    }

    // Sends an answer at its exact due time, not at the next step.
    fn schedule_answer(&mut self, target: usize) {
        let Some(due_ms) = self.targets[target].next_due_ms() else { return };
        if due_ms > self.now_ms && due_ms < self.now_ms + 10 * STEP_MS {
            self.schedule(due_ms - self.now_ms, InFlight::AnswerDue { target });
        }
    }

    // A frozen process receives queued datagrams when it resumes.
    fn defer_if_frozen(&mut self, host: usize, datagram: InFlight) -> bool {
        if !self.nodes[host].is_frozen {
            return false;
        }
        self.schedule(STEP_MS, datagram);
        true
    }

    fn deliver_packet(&mut self, from_domain: usize, bytes: &[u8]) {
        let Ok(view) = PacketView::parse(bytes) else { return };
        let now_ms = self.now_ms;
        let destination = view.destination.ip();
        let found = self.targets.iter().position(|target| target.address == destination);
        if let Some(index) = found {
            let domain = self.targets[index].domain;
            let is_blackholed = self.blackholed_paths.contains(&(destination, view.source));
            if self.domains_connected(from_domain, domain) && !is_blackholed {
                let segments = self.targets[index].receive(&view, now_ms);
                self.send_through_fabric(domain, segments);
                self.schedule_answer(index);
            }
            return;
        }
        if let Some(index) = self.caller_index.get(&view.destination).copied() {
            let domain = self.callers[index].domain;
            if self.domains_connected(from_domain, domain) {
                let segments = self.callers[index].receive(&view, now_ms);
                self.send_through_fabric(domain, segments);
            }
        }
    }

    // The fabric sends each packet to a random host among those that it can reach.
    fn send_through_fabric(&mut self, domain: usize, segments: Vec<Segment>) {
        for segment in segments {
            let hosts: Vec<usize> = (0..self.nodes.len())
                .filter(|host| self.nodes[*host].receives_fabric_packets(self.now_ms))
                .filter(|host| self.domains_connected(domain, self.nodes[*host].domain))
                .collect();
            if hosts.is_empty() {
                continue;
            }
            let host = hosts[self.rng.random_range(0..hosts.len())];
            self.send(InFlight::ToHost { host, bytes: segment.to_bytes() });
        }
    }

    pub(super) fn send_from_host(&mut self, host: usize, datagrams: Vec<Datagram>) {
        let from = self.nodes[host].config.peer_address;
        let from_domain = self.nodes[host].domain;
        for (destination, bytes) in datagrams {
            match destination {
                Destination::Fabric => self.send(InFlight::ToEndpoint { from_domain, bytes }),
                Destination::Peer(to) => {
                    if self.host_can_reach(host, to) {
                        self.send(InFlight::ToPeer { from, to, bytes });
                    }
                }
            }
        }
    }

    fn send(&mut self, datagram: InFlight) {
        if self.draw_percent(self.faults.lost_percent) {
            return;
        }
        if self.draw_percent(self.faults.doubled_percent) {
            let copy = match &datagram {
                InFlight::ToHost { host, bytes } => {
                    InFlight::ToHost { host: *host, bytes: bytes.clone() }
                }
                InFlight::ToPeer { from, to, bytes } => {
                    InFlight::ToPeer { from: *from, to: *to, bytes: bytes.clone() }
                }
                InFlight::ToEndpoint { from_domain, bytes } => {
                    InFlight::ToEndpoint { from_domain: *from_domain, bytes: bytes.clone() }
                }
                InFlight::AnswerDue { target } => InFlight::AnswerDue { target: *target },
            };
            self.schedule(LATENCY_MS, copy);
        }
        let mut delay_ms = LATENCY_MS;
        if self.draw_percent(self.faults.late_percent) {
            delay_ms += self.rng.random_range(0..self.faults.late_ms.max(1));
        }
        self.schedule(delay_ms, datagram);
    }

    fn schedule(&mut self, delay_ms: u64, datagram: InFlight) {
        self.next_datagram_id += 1;
        self.in_flight.insert((self.now_ms + delay_ms, self.next_datagram_id), datagram);
    }

    // Returns true with a probability of `percent`.
    fn draw_percent(&mut self, percent: u32) -> bool {
        percent > 0 && self.rng.random_range(0..100) < percent
    }

    fn domains_connected(&self, left: usize, right: usize) -> bool {
        left == right || !(self.is_cut[left] || self.is_cut[right])
    }

    fn host_can_reach(&self, host: usize, to: SocketAddr) -> bool {
        let Some(other) = self.host_at(to) else { return false };
        let is_cut_pair = |(left, right): &(usize, usize)| {
            (*left, *right) == (host, other) || (*right, *left) == (host, other)
        };
        self.domains_connected(self.nodes[host].domain, self.nodes[other].domain)
            && !self.cut_hosts.iter().any(is_cut_pair)
    }

    fn host_at(&self, address: SocketAddr) -> Option<usize> {
        self.nodes.iter().position(|node| node.config.peer_address == address)
    }

    // Fetches newer settings from the peer that announced them; the daemon does this over TCP.
    fn fetch_settings(&mut self, host: usize) {
        let Some(from) = self.nodes[host].fetch_from.take() else { return };
        let Some(other) = self.host_at(from) else { return };
        if !self.host_can_reach(host, from) || !self.nodes[other].is_active() {
            return;
        }
        if let Some(settings) = self.nodes[other].settings.clone() {
            let datagrams = self.nodes[host].apply_settings(&settings, self.now_ms);
            self.send_from_host(host, datagrams);
        }
    }
}
