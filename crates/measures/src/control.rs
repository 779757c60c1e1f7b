//! Costs of control messages and of pins for a host.

use fakes::{CallerKind, Lan, LanConfig, LoneHost};
use host::Counter;
use serde::Serialize;

/// Control traffic of a host, and packets that hosts relay.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ControlCost {
    /// Total number of hosts.
    pub hosts: usize,
    /// Sessions that stay open.
    pub sessions: usize,
    /// Sessions that are opened per second and live for five seconds.
    pub openings_per_s: usize,
    /// Mean bytes of control messages that a host sends per second.
    pub bytes_per_s: f64,
    /// The part of `bytes_per_s` that is membership.
    pub membership_bytes_per_s: f64,
    /// The part of `bytes_per_s` that is pins and reports.
    pub state_bytes_per_s: f64,
    /// The share of packets from callers that took an extra hop through another host.
    pub relayed_share: f64,
}

/// Measures a network of 3 * `hosts_per_domain` hosts without changes for ten seconds.
pub fn control_cost(
    hosts_per_domain: usize,
    sessions: usize,
    openings_per_s: usize,
    seed: u64,
) -> ControlCost {
    const SECONDS: u64 = 10;
    let mut lan = Lan::new(LanConfig { seed, hosts_per_domain, ..LanConfig::default() });
    lan.open(1, CallerKind::Session { interval_ms: 2_000 }, sessions);
    // Gossip about the start of the hosts must have ended.
    lan.run_ms(60_000);
    let before = TrafficTotals::of(&lan);
    for _ in 0..SECONDS * 10 {
        lan.open(1, CallerKind::Session { interval_ms: 0 }, openings_per_s / 10);
        lan.run_ms(100);
    }
    let after = TrafficTotals::of(&lan);
    let hosts = lan.nodes.len();
    let rate = |after: u64, before: u64| (after - before) as f64 / SECONDS as f64 / hosts as f64;
    let membership_bytes_per_s = rate(after.membership, before.membership);
    let state_bytes_per_s = rate(after.state, before.state);
    let relayed = (after.relayed - before.relayed) as f64;
    let forwarded = (after.forwarded - before.forwarded) as f64;
    ControlCost {
        hosts,
        sessions,
        openings_per_s,
        bytes_per_s: membership_bytes_per_s + state_bytes_per_s,
        membership_bytes_per_s,
        state_bytes_per_s,
        relayed_share: relayed / forwarded,
    }
}

struct TrafficTotals {
    membership: u64,
    state: u64,
    relayed: u64,
    forwarded: u64,
}

impl TrafficTotals {
    fn of(lan: &Lan) -> TrafficTotals {
        TrafficTotals {
            membership: lan.nodes.iter().map(|node| node.control_bytes).sum(),
            state: lan.count(Counter::ControlBytes),
            relayed: lan.count(Counter::Relayed),
            forwarded: lan.count(Counter::Forwarded),
        }
    }
}

/// Memory use of pins.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PinMemory {
    /// Number of pinned flows.
    pub flows: usize,
    /// Memory per pin, in bytes, including its share of the index and of spare capacity.
    pub bytes_a_pin: f64,
}

/// Measures the memory use of `flows` pins on one host.
pub fn pin_memory(flows: usize) -> PinMemory {
    let host = LoneHost::new(flows);
    let pins = host.traffic.pin_count();
    PinMemory { flows: pins, bytes_a_pin: host.traffic.pin_memory_bytes() as f64 / pins as f64 }
}
