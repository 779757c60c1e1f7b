//! Rows that the store does not list, on hosts that started after it stopped listing them.
//!
//! Failure scenario: announcements lapse in an outage of the store while their targets serve. A
//! host that starts before they reappear reads the store itself. It does not know the targets, so
//! it takes their flows for flows to targets that are gone.

mod support;

use catalog::Presence;
use support::{Fleet, Store};

const HOSTS: usize = 30;
/// The targets whose announcements lapse.
const TARGETS: std::ops::RangeInclusive<u64> = 1..=5;
/// A target whose announcement does not lapse.
const OTHER_TARGET: u64 = 6;

/// A host starts `start_ms` after the store has returned without announcements; they reappear 2 s
/// after its return. It asks `seeds` hosts for their rows; the other seeds in its settings are down.
/// Asserts that the host knows the targets whenever its view could prove that they are gone.
fn check(seeds: usize, loss_percent: u32, start_ms: u64, seed: u64) {
    let mut fleet = Fleet::new(HOSTS, 3, seed);
    TARGETS.for_each(|id| fleet.announce(id));
    fleet.announce(OTHER_TARGET);
    fleet.run(6_000, |_| {});
    fleet.store = Store::Down;
    fleet.run(4_000, |_| {});
    TARGETS.for_each(|id| fleet.remove(id));
    fleet.store = Store::Up;
    fleet.run(start_ms, |_| {});
    let is_listener = |index: &usize| !fleet.readers().contains(index);
    let started = (0..HOSTS).find(is_listener).expect("most hosts do not read the store");
    fleet.loss_percent = loss_percent;
    fleet.restart_alone(started);
    (HOSTS - seeds..HOSTS).for_each(|index| fleet.ask_seed(started, index));
    let first_packet_ms = fleet.now_ms + 50;
    fleet.run(200, |_| {});
    fleet.find_peers(started);
    fleet.run(1_800 - start_ms, |fleet| {
        let confirmed_at_ms = fleet.relay(started).confirmed_at_ms();
        // The data path resets flows whose target is unknown 1 s after their first packet.
        if confirmed_at_ms.is_none_or(|at_ms| at_ms < first_packet_ms + 1_000) {
            return;
        }
        for id in TARGETS {
            assert!(
                matches!(fleet.presence(started, id), Some(Presence::Listed | Presence::Lapsed)),
                "seed {seed}: target {id} is unknown to the host that started {start_ms} ms after \
                 the outage with {seeds} seeds and {loss_percent} % loss; it claims a view current \
                 at {confirmed_at_ms:?}, and a packet arrived at {first_packet_ms}"
            );
        }
    });
}

#[test]
fn seeds_answer() {
    for start_ms in [200, 500, 700] {
        (0..8).for_each(|seed| check(3, 0, start_ms, seed));
    }
}

#[test]
fn seeds_down() {
    for start_ms in [200, 500, 700] {
        (0..8).for_each(|seed| check(0, 0, start_ms, seed));
    }
}

#[test]
fn seeds_lossy() {
    for (seeds, loss_percent) in [(1, 5), (3, 25)] {
        (0..30).for_each(|seed| check(seeds, loss_percent, 200, seed));
    }
}
