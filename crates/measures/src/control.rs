//! What control costs a host.

use fakes::{CallerKind, Lan, LanConfig, LoneHost};
use host::Counter;
use serde::Serialize;

/// The result.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ControlCost {
    /// Hosts in all.
    pub hosts: usize,
    /// Sessions that stay open.
    pub sessions: usize,
    /// Sessions that are opened a second and live for five.
    pub openings_per_s: usize,
    /// Bytes of control messages that a host sends a second, in the mean.
    pub bytes_per_s: f64,
    /// The part of it that is membership.
    pub membership_bytes_per_s: f64,
    /// The part of it that is pins and reports.
    pub state_bytes_per_s: f64,
    /// The share of packets from callers that took an extra hop.
    pub relayed_share: f64,
}

/// Measures a quiet network of 3 times `hosts_per_domain` hosts over ten seconds.
pub fn control_cost(
    hosts_per_domain: usize,
    sessions: usize,
    openings_per_s: usize,
    seed: u64,
) -> ControlCost {
    const SECONDS: u64 = 10;
    let mut lan = Lan::new(LanConfig { seed, hosts_per_domain, ..LanConfig::default() });
    lan.open(1, CallerKind::Session { interval_ms: 2_000 }, sessions);
    // News of the start has to have died down.
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

/// The memory of pins.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PinMemory {
    /// Pinned flows.
    pub flows: usize,
    /// The memory of a pin, in bytes, its share of index and reserve included.
    pub bytes_a_pin: f64,
}

/// Measures the memory of `flows` pins on one host.
pub fn pin_memory(flows: usize) -> PinMemory {
    let host = LoneHost::new(flows);
    let pins = host.traffic.pin_count();
    PinMemory { flows: pins, bytes_a_pin: host.traffic.pin_memory_bytes() as f64 / pins as f64 }
}
