//! A reader that gives way to a host that has just started and does not go on reading.

mod support;

use support::{Fleet, Store};

/// All hosts have just started, and the store fails for a moment. The first host in the reading order was
/// paused meanwhile; it reads once, the reader gives way to it, and for up to 1.9 s nobody reads.
#[test]
fn gives_way_to_one_read() {
    for seed in 0..8 {
        let mut settled = Fleet::new(9, 3, seed);
        settled.run(6_000, |_| {});
        let first = settled.readers()[0];
        let mut fleet = Fleet::new(9, 3, seed);
        fleet.announce(1);
        fleet.pause(first, true);
        fleet.run(1_400, |_| {});
        fleet.store = Store::Down;
        fleet.run(1_200, |_| {});
        fleet.store = Store::Up;
        fleet.pause(first, false);
        fleet.run(400, |_| {});
        fleet.announce_leaving(1);
        fleet.run(600, |_| {});
        fleet.store = Store::Down;
        fleet.run(2_400, |_| {});
        for index in 0..fleet.len() {
            assert!(fleet.is_leaving(index, 1), "seed {seed}: host {index}");
        }
    }
}
