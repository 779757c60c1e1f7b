//! A store that rejects some hosts while it serves the others.

mod support;

use relay::Config;
use support::{Fleet, Store};

/// The time within which an announcement has to be in force, in milliseconds.
const IN_FORCE_MS: u64 = 3_000;

/// The time between two reads of a reader, in milliseconds.
const READ_INTERVAL_MS: u64 = 500;

/// A fleet that has run for some seconds. The seed also decides how long the last read was ago.
fn settled_fleet(hosts: usize, domains: u64, seed: u64) -> Fleet {
    let mut fleet = Fleet::with_config(Config::default(), hosts, domains, seed);
    (1..=5).for_each(|id| fleet.announce(id));
    fleet.run(8_000 + seed * 100 % READ_INTERVAL_MS, |_| {});
    fleet
}

fn assert_all_know(fleet: &Fleet, id: u64, context: &str) {
    for index in 0..fleet.len() {
        assert!(fleet.is_leaving(index, id), "{context}: host {index} at {}", fleet.now_ms);
    }
}

/// The store rejects the hosts that call first, a third of the fleet. No other host called it, and all
/// went on by their old views.
fn check(hosts: usize, rejected: usize) {
    for seed in 0..5 {
        let context = format!("seed {seed}, {rejected} of {hosts}");
        let mut fleet = settled_fleet(hosts, 3, seed);
        fleet.rejected_max = rejected;
        fleet.announce_leaving(1);
        fleet.run(IN_FORCE_MS, |_| {});
        assert_all_know(&fleet, 1, &context);
        // The host that took over goes on reading.
        fleet.announce_leaving(2);
        fleet.run(IN_FORCE_MS, |_| {});
        assert_all_know(&fleet, 2, &context);
        fleet.rejected_max = 0;
        fleet.run(2_000, |_| {});
        assert_eq!(fleet.readers().len(), 1, "{context}: {:?}", fleet.readers());
    }
}

#[test]
fn first_callers_rejected() {
    check(24, 8);
    check(36, 12);
    check(100, 35);
}

/// One such outage follows another, each of which begins with the reader.
#[test]
fn outages_in_series() {
    for seed in 0..5 {
        let mut fleet = settled_fleet(24, 3, seed);
        for id in 1..=5 {
            fleet.rejected_max = 0;
            fleet.run(20 + 300 * (id - 1), |_| {});
            fleet.rejected_max = 8;
            fleet.announce_leaving(id);
            fleet.run(IN_FORCE_MS, |_| {});
            assert_all_know(&fleet, id, &format!("seed {seed}, outage {id}"));
        }
    }
}

/// A failure domain is cut off meanwhile, but reaches the store.
#[test]
fn domain_cut_off() {
    for seed in 0..5 {
        let mut fleet = settled_fleet(24, 3, seed);
        for index in 0..fleet.len() {
            fleet.groups[index] = u32::from(fleet.domain(index) == 0);
        }
        fleet.rejected_max = 8;
        fleet.announce_leaving(1);
        fleet.run(IN_FORCE_MS, |_| {});
        // Eight hosts are cut off; if the store rejects them all, they have no way to know.
        let is_lost = |group| {
            let mut hosts = (0..fleet.len()).filter(|index| fleet.groups[*index] == group);
            hosts.all(|index| fleet.is_rejected(index))
        };
        let lost = [is_lost(0), is_lost(1)];
        for index in (0..fleet.len()).filter(|index| !lost[fleet.groups[*index] as usize]) {
            assert!(fleet.is_leaving(index, 1), "seed {seed}: host {index}");
        }
    }
}

#[test]
fn after_full_outage() {
    for seed in 0..5 {
        let mut fleet = settled_fleet(24, 3, seed);
        fleet.store = Store::Down;
        fleet.run(9_000, |_| {});
        fleet.store = Store::Up;
        fleet.rejected_max = 8;
        fleet.announce_leaving(1);
        fleet.run(2 * IN_FORCE_MS, |_| {});
        assert_all_know(&fleet, 1, &format!("seed {seed}"));
    }
}

/// Most hosts lose power at once, those that read the store first among them.
#[test]
fn first_readers_dead() {
    for seed in 0..5 {
        let mut fleet = settled_fleet(24, 3, seed);
        // The hosts that call first while the store rejects them are the first in the reading order.
        fleet.rejected_max = 8;
        fleet.run(4_500, |_| {});
        let dead: Vec<usize> = (0..fleet.len()).filter(|index| fleet.is_rejected(*index)).collect();
        fleet.rejected_max = 0;
        fleet.run(3_000, |_| {});
        dead.iter().for_each(|index| fleet.pause(*index, true));
        fleet.announce_leaving(1);
        fleet.run(IN_FORCE_MS, |_| {});
        for index in (0..fleet.len()).filter(|index| !dead.contains(index)) {
            assert!(fleet.is_leaving(index, 1), "seed {seed}: host {index}");
        }
    }
}

/// A fleet whose store is down sends it no more than some 30 calls a second.
#[test]
fn outage_calls() {
    for hosts in [24, 100] {
        let mut fleet = settled_fleet(hosts, 3, 1);
        let before = fleet.reads;
        fleet.store = Store::Down;
        fleet.run(2_500, |_| {});
        let reads = fleet.reads - before;
        // Each host calls once when its view is stale.
        assert!(reads <= 2 * hosts, "{hosts} hosts: {reads} reads");
        let before = fleet.reads;
        fleet.run(10_000, |_| {});
        let reads = fleet.reads - before;
        assert!(reads <= 10 * 30, "{hosts} hosts: {reads} reads in 10 s");
    }
}
