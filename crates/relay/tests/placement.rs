//! When hosts may place new flows by the catalog that they have.

mod support;

use support::{Fleet, Store};

/// A fleet that knows target 1, and one of its hosts that does not read the store.
fn settled_fleet() -> (Fleet, usize) {
    let mut fleet = Fleet::new(12, 3, 2);
    fleet.announce(1);
    fleet.run(6_000, |_| {});
    let listener = (0..fleet.len()).find(|index| !fleet.readers().contains(index));
    let listener = listener.expect("12 hosts");
    (fleet, listener)
}

fn assert_all_place(fleet: &Fleet) {
    for index in 0..fleet.len() {
        assert!(fleet.can_place_flows(index), "host {index} at {}", fleet.now_ms);
    }
}

#[test]
fn resumed_host() {
    let (mut fleet, paused) = settled_fleet();
    fleet.pause(paused, true);
    fleet.announce_leaving(1);
    fleet.run(1_500, |_| {});
    // Its peers know more than the paused host, although the store fails when it resumes.
    fleet.store = Store::Down;
    fleet.run(1_700, |_| {});
    fleet.pause(paused, false);
    fleet.run(200, |fleet| {
        let can_place = fleet.can_place_flows(paused);
        assert!(!can_place || fleet.is_leaving(paused, 1), "at {}", fleet.now_ms);
    });
    assert!(fleet.is_leaving(paused, 1));
    // Callers give up 1.4 s after their first opening.
    fleet.run(400, |_| {});
    assert!(fleet.can_place_flows(paused));
}

#[test]
fn resumed_in_outage() {
    let (mut fleet, paused) = settled_fleet();
    fleet.store = Store::Down;
    fleet.run(4_000, assert_all_place);
    fleet.pause(paused, true);
    fleet.run(3_000, |_| {});
    fleet.pause(paused, false);
    // Nobody has a newer catalog.
    fleet.run(600, |_| {});
    fleet.run(4_000, assert_all_place);
}

#[test]
fn long_outage() {
    let (mut fleet, lone) = settled_fleet();
    fleet.store = Store::Down;
    fleet.groups[lone] = 1;
    fleet.run(30_000, assert_all_place);
}

#[test]
fn started_in_outage() {
    let (mut fleet, started) = settled_fleet();
    fleet.store = Store::Down;
    fleet.run(10_000, |_| {});
    fleet.restart(started);
    fleet.run(700, |_| {});
    fleet.run(4_000, assert_all_place);
}
