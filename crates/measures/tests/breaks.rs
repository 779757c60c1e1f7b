//! Broken flows against the stated goals.

use measures::{Change, Way, breaks};

const SESSIONS: usize = 1_000;

fn check(change: Change, seed: u64) {
    let result = breaks(Way::Homes, change, SESSIONS, seed);
    assert_eq!((result.broken, result.taken_twice), (0, 0), "seed {seed}: {result:?}");
}

#[test]
fn hosts_replaced() {
    check(Change::ReplaceHosts, 1);
}

#[test]
fn targets_moved() {
    for seed in 1..=3 {
        check(Change::MoveTargets, seed);
    }
}

#[test]
fn host_killed() {
    // At most 0.1 percent of settled flows may be lost on one death.
    for seed in 1..=3 {
        let result = breaks(Way::Homes, Change::KillHost, SESSIONS, seed);
        assert!(result.broken * 1_000 <= result.flows, "seed {seed}: {result:?}");
        assert_eq!(result.taken_twice, 0);
    }
}

#[test]
fn two_killed() {
    check(Change::KillTwo, 1);
}

#[test]
fn domain_cut() {
    check(Change::CutDomain, 1);
}

#[test]
fn table_breaks() {
    // The baseline loses what the moved targets' share of the table held.
    let result = breaks(Way::Table, Change::MoveTargets, SESSIONS, 1);
    assert!(result.broken_per_100000 > 20_000.0, "{result:?}");
}
