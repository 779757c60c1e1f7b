//! Compares the numbers of broken flows with the stated goals.

use measures::{Disruption, Forwarding, broken_flows};

const SESSIONS: usize = 1_000;

fn check(disruption: Disruption, seed: u64) {
    let result = broken_flows(Forwarding::Homes, disruption, SESSIONS, seed);
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
    // At most 0.1 percent of settled flows may break when one host dies.
    for seed in 1..=3 {
        let result = broken_flows(Forwarding::Homes, Disruption::KillHost, SESSIONS, seed);
        assert!(result.broken * 1_000 <= result.flows, "seed {seed}: {result:?}");
        assert_eq!(result.taken_twice, 0);
    }
}

#[test]
fn two_hosts_killed() {
    check(Disruption::KillTwo, 1);
}

#[test]
fn domain_cut() {
    check(Disruption::CutDomain, 1);
}

#[test]
fn hash_breaks_flows() {
    // Without flow state, flows break when the hash moves them to another target.
    let result = broken_flows(Forwarding::StatelessHash, Disruption::MoveTargets, SESSIONS, 1);
    assert!(result.broken_per_100000 > 20_000.0, "{result:?}");
}
