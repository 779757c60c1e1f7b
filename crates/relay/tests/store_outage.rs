//! Announcements that lapse during a store outage.

mod support;

use catalog::Presence;
use support::{Fleet, Store};

fn settled_fleet(hosts: usize) -> Fleet {
    let mut fleet = Fleet::new(hosts, 3, 7);
    (1..=5).for_each(|id| fleet.announce(id));
    fleet.run(6_000, |_| {});
    fleet
}

/// Asserts that no host considers any of the five targets gone.
fn assert_never_gone(fleet: &Fleet) {
    for index in 0..fleet.len() {
        for id in 1..=5 {
            assert_ne!(fleet.presence(index, id), Some(Presence::Gone), "host {index}");
        }
    }
}

#[test]
fn lapsed_then_back() {
    let mut fleet = settled_fleet(9);
    fleet.store = Store::Down;
    fleet.run(3_000, |_| {});
    // All announcements lapsed during the outage; they reappear within two seconds of its end.
    (1..=5).for_each(|id| fleet.remove(id));
    fleet.store = Store::Up;
    fleet.run(1_900, assert_never_gone);
    (1..=5).for_each(|id| fleet.announce(id));
    fleet.run(5_000, assert_never_gone);
}

#[test]
fn lapsed_for_good() {
    let mut fleet = settled_fleet(9);
    fleet.store = Store::Down;
    fleet.run(3_000, |_| {});
    fleet.remove(4);
    fleet.store = Store::Up;
    fleet.run(4_500, |_| {});
    for index in 0..fleet.len() {
        assert_eq!(fleet.presence(index, 4), Some(Presence::Gone), "host {index}");
        assert_eq!(fleet.presence(index, 3), Some(Presence::Listed), "host {index}");
    }
}

#[test]
fn few_store_calls() {
    let mut fleet = settled_fleet(30);
    let before = fleet.reads;
    fleet.store = Store::Down;
    fleet.run(10_000, |_| {});
    // At most three hosts of each of the three failure domains try, twice a second each.
    assert!(fleet.reads - before <= 3 * 3 * 20 + 9, "{} reads", fleet.reads - before);
}

#[test]
fn unnoticed_outage() {
    let mut fleet = settled_fleet(9);
    // The outage was shorter than a blocking read, so no call failed.
    (1..=5).for_each(|id| fleet.remove(id));
    fleet.run(1_900, assert_never_gone);
    (1..=5).for_each(|id| fleet.announce(id));
    fleet.run(5_000, assert_never_gone);
}

#[test]
fn start_in_outage() {
    let mut fleet = settled_fleet(9);
    let started_host = (0..9).find(|index| !fleet.readers().contains(index)).expect("nine hosts");
    (1..=5).for_each(|id| fleet.remove(id));
    fleet.run(200, |_| {});
    // It reads the store while nothing is announced, so it never learns of the lapsed targets.
    fleet.restart(started_host);
    let assert_never_gone = |fleet: &Fleet| {
        for index in (0..fleet.len()).filter(|index| *index != started_host) {
            for id in 1..=5 {
                assert_ne!(fleet.presence(index, id), Some(Presence::Gone), "host {index}");
            }
        }
    };
    fleet.run(1_700, assert_never_gone);
    (1..=5).for_each(|id| fleet.announce(id));
    fleet.run(6_000, assert_never_gone);
}

#[test]
fn lapsed_twice() {
    let mut fleet = settled_fleet(9);
    for _ in 0..2 {
        // Each outage is shorter than a blocking read; announcements reappear two seconds later.
        (1..=5).for_each(|id| fleet.remove(id));
        fleet.run(1_900, assert_never_gone);
        (1..=5).for_each(|id| fleet.announce(id));
        fleet.run(1_800, assert_never_gone);
    }
    (1..=5).for_each(|id| fleet.remove(id));
    fleet.run(1_900, assert_never_gone);
    (1..=5).for_each(|id| fleet.announce(id));
    fleet.run(5_000, assert_never_gone);
}
