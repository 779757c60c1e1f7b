//! Broken flows against the stated goals.

use measures::{Disruption, Forwarding, broken_flows};

const SESSIONS: usize = 1_000;

fn check(event: Disruption, seed: u64) {
    let result = broken_flows(Forwarding::Homes, event, SESSIONS, seed);
    assert_eq!((result.broken, result.taken_twice), (0, 0), "seed {seed}: {result:?}");
}

#[test]
fn hosts_replaced() {
    check(Disruption::ReplaceHosts, 1);
}

#[test]
fn targets_moved() {
    for seed in 1..=3 {
        check(Disruption::MoveTargets, seed);
    }
}

#[test]
fn host_killed() {
    // At most 0.1 percent of settled flows may be lost on one death.
    for seed in 1..=3 {
        let result = broken_flows(Forwarding::Homes, Disruption::KillHost, SESSIONS, seed);
        assert!(result.broken * 1_000 <= result.flows, "seed {seed}: {result:?}");
        assert_eq!(result.taken_twice, 0);
    }
}

#[test]
fn two_killed() {
    check(Disruption::KillTwo, 1);
}

#[test]
fn domain_cut() {
    check(Disruption::CutDomain, 1);
}

#[test]
fn hash_breaks_flows() {
    // The baseline loses what the moved targets' share of the table held.
    let result = broken_flows(Forwarding::StatelessHash, Disruption::MoveTargets, SESSIONS, 1);
    assert!(result.broken_per_100000 > 20_000.0, "{result:?}");
}
