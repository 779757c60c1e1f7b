//! Evacuations of failure domains, as hosts learn of them.
//!
//! Failure scenario: an evacuation is lost, or comes back after it was taken back, because the store or
//! a host failed meanwhile.

mod support;

use support::{Fleet, Store};

const HOSTS: usize = 12;

/// The time within which a change is known, in milliseconds.
const IN_FORCE_MS: u64 = 1_000;

/// The time within which hosts that were cut off, and a store that was down, are up to date again, in
/// milliseconds.
const RECOVERY_MS: u64 = 8_000;

fn settled_fleet() -> Fleet {
    let mut fleet = Fleet::new(HOSTS, 3, 11);
    (1..=5).for_each(|id| fleet.announce(id));
    fleet.run(6_000, |_| {});
    fleet
}

fn evacuated_fleet() -> Fleet {
    let mut fleet = settled_fleet();
    fleet.evacuate(1);
    fleet.run(IN_FORCE_MS, |_| {});
    check(&fleet, &[1]);
    fleet
}

fn check(fleet: &Fleet, expected: &[u64]) {
    (0..HOSTS).for_each(|index| assert_eq!(fleet.evacuated(index), expected, "host {index}"));
}

#[test]
fn overlapping() {
    let mut fleet = evacuated_fleet();
    // Neither domain 2 nor domain 9 has targets, and no host is in domain 9.
    for (ends, domain_seed, expected) in [
        (false, 2, vec![1, 2]),
        (false, 9, vec![1, 2, 9]),
        (true, 1, vec![2, 9]),
        (false, 1, vec![1, 2, 9]),
        (true, 2, vec![1, 9]),
        (true, 9, vec![1]),
        (true, 1, vec![]),
    ] {
        if ends {
            fleet.end_evacuation(domain_seed)
        } else {
            fleet.evacuate(domain_seed)
        }
        fleet.run(IN_FORCE_MS, |_| {});
        check(&fleet, &expected);
    }
}

#[test]
fn started_host() {
    let mut fleet = evacuated_fleet();
    for index in [0, 5] {
        fleet.restart(index);
        fleet.run(RECOVERY_MS, |fleet| {
            let is_placing = fleet.can_place_flows(index);
            assert!(!is_placing || fleet.evacuated(index) == [1], "host {index}");
        });
    }
    check(&fleet, &[1]);
}

#[test]
fn cut_off() {
    let mut fleet = evacuated_fleet();
    fleet.groups[4] = 1;
    fleet.lose_store(4, true);
    fleet.run(5_000, |fleet| assert_eq!(fleet.evacuated(4), [1]));
    fleet.end_evacuation(1);
    fleet.evacuate(2);
    // The removal is heard late, after the host has lost track of the changes.
    fleet.run(5_000, |fleet| assert_eq!(fleet.evacuated(4), [1]));
    fleet.groups[4] = 0;
    fleet.lose_store(4, false);
    fleet.run(RECOVERY_MS, |_| {});
    check(&fleet, &[2]);
}

#[test]
fn store_down() {
    let mut fleet = evacuated_fleet();
    fleet.store = Store::Down;
    fleet.run(10_000, |fleet| check(fleet, &[1]));
    // It is taken back while hosts cannot see it.
    fleet.end_evacuation(1);
    fleet.evacuate(2);
    fleet.store = Store::Up;
    fleet.run(RECOVERY_MS, |_| {});
    check(&fleet, &[2]);
}

#[test]
fn some_rejected() {
    let mut fleet = evacuated_fleet();
    fleet.rejected_max = HOSTS / 2;
    fleet.run(10_000, |fleet| check(fleet, &[1]));
    fleet.evacuate(2);
    fleet.run(RECOVERY_MS, |_| {});
    check(&fleet, &[1, 2]);
    fleet.end_evacuation(1);
    fleet.run(RECOVERY_MS, |_| {});
    check(&fleet, &[2]);
}

#[test]
fn restored_store() {
    for is_rewritten in [true, false] {
        let mut fleet = settled_fleet();
        fleet.evacuate(3);
        let copy = fleet.copy_store();
        fleet.evacuate(1);
        fleet.end_evacuation(3);
        fleet.run(IN_FORCE_MS, |_| {});
        check(&fleet, &[1]);
        fleet.store = Store::Down;
        fleet.run(2_000, |_| {});
        fleet.store = Store::Up;
        fleet.restore_store(&copy);
        // What the copy lacks holds for as long as its writer needs to write it again.
        fleet.run(2_000, |fleet| {
            (0..HOSTS).for_each(|index| assert!(fleet.evacuated(index).contains(&1)));
        });
        if is_rewritten {
            fleet.rewrite_store();
        }
        fleet.run(2 * RECOVERY_MS, |_| {});
        check(&fleet, if is_rewritten { &[1] } else { &[3] });
    }
}

#[test]
fn lost_history() {
    let mut fleet = evacuated_fleet();
    fleet.follows_changes = true;
    // A removal that is heard as such ends the evacuation at once.
    fleet.end_evacuation(1);
    fleet.run(IN_FORCE_MS, |_| {});
    check(&fleet, &[]);
    for domain_seed in [1, 2] {
        fleet.evacuate(domain_seed);
        fleet.run(IN_FORCE_MS, |_| {});
    }
    // What happens while the history is lost is known from the next listing.
    fleet.evacuate(3);
    fleet.end_evacuation(2);
    fleet.lose_history();
    fleet.run(IN_FORCE_MS, |fleet| {
        (0..HOSTS).for_each(|index| assert!(fleet.evacuated(index).contains(&1)));
    });
    (0..HOSTS).for_each(|index| assert!(fleet.evacuated(index).contains(&3), "host {index}"));
    fleet.run(2 * RECOVERY_MS, |fleet| {
        (0..HOSTS).for_each(|index| assert!(fleet.evacuated(index).contains(&1)));
    });
    check(&fleet, &[1, 3]);
}

/// A change of many targets does not delay an evacuation.
#[test]
fn large_change() {
    let mut fleet = settled_fleet();
    (100..400).for_each(|id| fleet.announce(id));
    fleet.evacuate(1);
    fleet.run(IN_FORCE_MS, |_| {});
    check(&fleet, &[1]);
}
