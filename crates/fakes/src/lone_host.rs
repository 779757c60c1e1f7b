//! A single host without peers, with any number of established flows.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use flow::PacketView;
use host::{Control, ControlOutput, HostConfig, Outbox, Traffic};
use settings::{Snapshot, Tree, name_seed};

use crate::{ServiceSpec, packet::Segment, tree};

/// A host without peers, which makes it the home of every flow.
#[derive(Debug)]
pub struct LoneHost {
    /// The data plane.
    pub traffic: Traffic,
    control: Control,
    /// The simulated time, in milliseconds since the Unix epoch.
    pub now_ms: u64,
    service: SocketAddr,
}

impl LoneHost {
    /// Creates the host and establishes `flows` sessions.
    pub fn new(flows: usize) -> LoneHost {
        let mut tree = tree(&[ServiceSpec { targets: vec![15], ..ServiceSpec::default() }]);
        tree.policy.connections = Some(1_000_000);
        let config = HostConfig { openings_max: 1 << 20, ..HostConfig::default() };
        let mut host = LoneHost::with_tree(&tree, config);
        for number in 0..flows {
            host.establish(number);
        }
        host
    }

    /// Creates the host with the settings `tree`, in failure domain a.
    pub fn with_tree(tree: &Tree, config: HostConfig) -> LoneHost {
        let mut now_ms = 1_000_000_000;
        let config = HostConfig {
            peer_address: SocketAddr::new(Ipv4Addr::new(10, 200, 1, 1).into(), 7_000),
            domain_seed: name_seed("a"),
            ..config
        };
        let mut traffic = Traffic::new(config.clone(), now_ms);
        let mut control = Control::new(config, membership::Config::default(), now_ms);
        let snapshot = std::sync::Arc::new(Snapshot::compile(tree, 1));
        let mut out = ControlOutput::default();
        control.on_settings(snapshot, &mut out);
        let mut outbox = Outbox::default();
        // Two seconds for the host to start before any flow is opened.
        for _ in 0..200 {
            now_ms += 10;
            control.tick(now_ms, &mut out);
            if let Some(view) = out.view.take() {
                traffic.on_view(view, now_ms, &mut outbox);
            }
            traffic.on_tick(now_ms, &mut outbox);
        }
        let service = SocketAddr::new(Ipv4Addr::new(198, 51, 100, 1).into(), 443);
        LoneHost { traffic, control, now_ms, service }
    }

    /// Offers `tree` to the host. Returns whether it is now in force.
    pub fn apply(&mut self, tree: &Tree, revision: u64) -> bool {
        let snapshot = std::sync::Arc::new(Snapshot::compile(tree, revision));
        let mut out = ControlOutput::default();
        let is_taken = self.control.on_settings(snapshot, &mut out);
        if let Some(view) = out.view {
            self.traffic.on_view(view, self.now_ms, &mut Outbox::default());
        }
        is_taken
    }

    /// Handles a packet from the fabric and returns the datagrams that the host sends.
    pub fn handle_packet(&mut self, mut packet: Vec<u8>) -> Vec<Vec<u8>> {
        let mut out = Outbox::default();
        self.traffic.on_fabric(&mut packet, self.now_ms, &mut out);
        out.datagrams().map(|(_, bytes)| bytes.to_vec()).collect()
    }

    /// The opening (SYN) of the flow `number`.
    pub fn opening_packet(&self, number: usize) -> Vec<u8> {
        self.segment(number, "S", 100, 0, 0)
    }

    /// A data packet of the flow `number` to the service.
    pub fn data_packet(&self, number: usize) -> Vec<u8> {
        self.segment(number, "A", 101, 1_001, 64)
    }

    /// A data packet from a target to the caller of the flow `number`.
    pub fn answer_packet(&self, number: usize) -> Vec<u8> {
        let target = SocketAddr::new(Ipv4Addr::new(10, 1, 1, 3).into(), 8_443);
        Segment {
            source: target,
            destination: caller(number),
            flags: "A",
            sequence: 1_001,
            acknowledgement: 101,
            payload_len: 512,
        }
        .to_bytes()
    }

    fn establish(&mut self, number: usize) {
        let mut out = Outbox::default();
        let mut opening = self.opening_packet(number);
        self.traffic.on_fabric(&mut opening, self.now_ms, &mut out);
        let Some(forwarded) = out.datagrams().next().map(|(_, bytes)| bytes.to_vec()) else {
            return;
        };
        let Ok(view) = PacketView::parse(&forwarded) else { return };
        let mut answer = Segment {
            source: view.destination,
            destination: view.source,
            flags: "SA",
            sequence: 1_000,
            acknowledgement: 101,
            payload_len: 0,
        }
        .to_bytes();
        self.traffic.on_fabric(&mut answer, self.now_ms, &mut out);
        let mut data = self.data_packet(number);
        self.traffic.on_fabric(&mut data, self.now_ms, &mut out);
    }

    fn segment(
        &self,
        number: usize,
        flags: &'static str,
        sequence: u32,
        acknowledgement: u32,
        payload_len: usize,
    ) -> Vec<u8> {
        Segment {
            source: caller(number),
            destination: self.service,
            flags,
            sequence,
            acknowledgement,
            payload_len,
        }
        .to_bytes()
    }
}

fn caller(number: usize) -> SocketAddr {
    let ip = Ipv4Addr::new(172, 16, (number >> 24) as u8, (number >> 15) as u8);
    SocketAddr::new(IpAddr::V4(ip), 1_024 + (number & 0x7fff) as u16)
}
