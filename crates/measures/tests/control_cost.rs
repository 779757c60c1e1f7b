//! Compares the costs of control messages, edits and placement changes with the stated goals.

use measures::{control_cost, placement_cost, settings_spread};

/// The goal for a host at the users' current deployment size, in bytes per second.
const GOAL_BYTES_PER_S: f64 = 4_000.0;

#[test]
fn cost_below_goal() {
    let cost = control_cost(5, 2_000, 400, 1);
    assert!(cost.bytes_per_s < GOAL_BYTES_PER_S, "{cost:?}");
}

#[test]
fn flat_in_hosts() {
    // The cost per host must not grow with the number of hosts.
    let few = control_cost(3, 0, 0, 1);
    let many = control_cost(16, 0, 0, 1);
    assert!(many.bytes_per_s < few.bytes_per_s * 1.1, "{few:?} {many:?}");
}

#[test]
fn edits_spread() {
    // The goal is 2 s at the current deployment size and 6 s at the target size.
    for hosts_per_domain in [2, 5, 21] {
        let settings_spread = settings_spread(hosts_per_domain, 1);
        assert!(settings_spread.in_force_ms <= 2_000, "{settings_spread:?}");
    }
}

#[test]
fn placement_moves_little() {
    for (hosts, domains) in [(16, 3), (540, 11)] {
        let cost = placement_cost(hosts, domains, 4_096);
        assert!(cost.moved_over_minimum < 1.3, "{cost:?}");
    }
}
