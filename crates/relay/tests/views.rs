//! Views under message loss, delay, duplication and reordering, partitions and pauses.

mod support;

use catalog::{Presence, Revision};
use proptest::{prelude::*, test_runner::RngSeed};
use support::{Fleet, Store};

#[test]
fn one_reader() {
    let mut fleet = Fleet::new(12, 3, 1);
    fleet.announce(1);
    fleet.run(5_000, |_| {});
    assert_eq!(fleet.readers().len(), 1, "one reader for all, not {:?}", fleet.readers());
}

#[test]
fn simultaneous_start() {
    let mut fleet = Fleet::new(60, 3, 1);
    // All hosts start at once and know no peers until membership has converged.
    fleet.set_known_peers(0..0);
    (1..=5).for_each(|id| fleet.announce(id));
    fleet.run(2_500, |_| {});
    fleet.set_known_peers(0..60);
    fleet.run(5_000, |_| {});
    for index in 0..fleet.len() {
        assert_eq!(fleet.presence(index, 5), Some(Presence::Listed), "host {index}");
    }
    assert_eq!(fleet.readers().len(), 1, "one reader for all, not {:?}", fleet.readers());
    // Each host reads when it starts and at most once more; the reader reads every 500 ms.
    assert!(fleet.reads <= 2 * 60 + 20, "{} reads", fleet.reads);
}

#[test]
fn leaving_after_start() {
    let mut fleet = Fleet::new(12, 3, 1);
    fleet.set_known_peers(0..0);
    fleet.announce(1);
    fleet.run(300, |_| {});
    fleet.set_known_peers(0..12);
    fleet.run(2_300, |_| {});
    fleet.announce_leaving(1);
    // The store fails before the views of the hosts are old enough for another read.
    fleet.run(600, |_| {});
    fleet.store = Store::Down;
    fleet.run(100, |_| {});
    for index in 0..fleet.len() {
        assert!(fleet.is_leaving(index, 1), "host {index}");
    }
    // Each host reads when it starts and at most once more; the reader reads every 500 ms.
    assert!(fleet.reads <= 2 * 12 + 6, "{} reads", fleet.reads);
}

/// All hosts start at once and read; then a target announces that it leaves, before any of them is due to
/// read again, and the store fails.
#[test]
fn leaving_while_starting() {
    for seed in 0..8 {
        let mut fleet = Fleet::new(24, 3, seed);
        fleet.set_known_peers(0..0);
        fleet.announce(1);
        fleet.run(300, |_| {});
        fleet.set_known_peers(0..24);
        fleet.run(200, |_| {});
        fleet.announce_leaving(1);
        fleet.run(1_300, |_| {});
        fleet.store = Store::Down;
        fleet.run(1_500, |_| {});
        for index in 0..fleet.len() {
            assert!(fleet.is_leaving(index, 1), "seed {seed}: host {index}");
        }
        // Each host reads when it starts; one follows the store every 500 ms, the others hear of it.
        assert!(fleet.reads <= 24 + 24 / 3 + 6, "seed {seed}: {} reads", fleet.reads);
    }
}

#[test]
fn few_known_peers() {
    let mut fleet = Fleet::new(60, 3, 1);
    // Each host knows only three peers, which have just started too and do not know it yet.
    fleet.set_known_peers(0..3);
    (1..=5).for_each(|id| fleet.announce(id));
    // Callers retransmit openings after 200 ms.
    fleet.run(100, |_| {});
    for index in 0..fleet.len() {
        assert_eq!(fleet.presence(index, 5), Some(Presence::Listed), "host {index}");
    }
}

#[test]
fn gradual_start() {
    for seed in 0..8 {
        let mut fleet = Fleet::new(40, 4, seed);
        fleet.loss_percent = 5;
        fleet.set_known_peers(0..0);
        // Targets announce themselves while hosts start, each host knows only some of its peers,
        // and the hosts read the store at different times.
        for id in 1..=60 {
            fleet.announce(id);
            fleet.run(60, |_| {});
            if id % 8 == 0 {
                fleet.set_known_peers(0..id as usize * 40 / 60);
            }
        }
        fleet.set_known_peers(0..40);
        fleet.run(15_000, |fleet| {
            for (index, id) in (0..fleet.len()).zip((1..=60).cycle().skip(fleet.len())) {
                assert_ne!(fleet.presence(index, id), Some(Presence::Gone), "seed {seed}: {index}");
            }
        });
        for index in 0..fleet.len() {
            for id in 1..=60 {
                let presence = fleet.presence(index, id);
                assert_eq!(presence, Some(Presence::Listed), "seed {seed}: {id} at {index}");
            }
        }
    }
}

#[test]
fn partitioned_domains() {
    let mut fleet = Fleet::new(12, 3, 4);
    fleet.announce(1);
    fleet.run(5_000, |_| {});
    for index in 0..fleet.len() {
        fleet.groups[index] = fleet.domain(index) as u32;
    }
    fleet.run(500, |_| {});
    fleet.announce(2);
    fleet.run(3_000, |_| {});
    for index in 0..fleet.len() {
        assert_eq!(fleet.presence(index, 2), Some(Presence::Listed), "host {index}");
    }
    assert_eq!(fleet.readers().len(), 3, "one reader per domain, not {:?}", fleet.readers());
}

#[test]
fn paused_readers() {
    let mut fleet = Fleet::new(12, 3, 2);
    fleet.announce(1);
    fleet.run(5_000, |_| {});
    for reader in fleet.readers() {
        fleet.pause(reader, true);
    }
    let paused: Vec<usize> = fleet.readers();
    fleet.announce(2);
    // Settings have to be in force within 3 s, whichever hosts stop responding.
    fleet.run(3_000, |_| {});
    for index in (0..fleet.len()).filter(|index| !paused.contains(index)) {
        assert_eq!(fleet.presence(index, 2), Some(Presence::Listed), "host {index}");
    }
}

#[test]
fn lone_host() {
    let mut fleet = Fleet::new(12, 3, 3);
    fleet.announce(1);
    fleet.run(5_000, |_| {});
    // A host that is cut off from all peers reads the store itself.
    let lone = (0..fleet.len()).find(|index| !fleet.readers().contains(index)).expect("12 hosts");
    fleet.groups[lone] = 1;
    fleet.run(500, |_| {});
    fleet.announce(2);
    fleet.run(3_000, |_| {});
    assert_eq!(fleet.presence(lone, 2), Some(Presence::Listed));
}

/// Applies one random write, partition, pause or resumption per step. No host may go back to an
/// earlier revision or confirm a catalog that lacks a write, and all must converge in the end.
fn check(seed: u64, loss_percent: u32, steps: &[u8]) -> Result<(), TestCaseError> {
    let mut fleet = Fleet::new(8, 2, seed);
    fleet.loss_percent = loss_percent;
    let mut revisions = vec![Revision::ZERO; fleet.len()];
    // Time and revision of each write: a view that claims to be current must include it.
    let mut written: Vec<(u64, Revision)> = Vec::new();
    for step in steps {
        match step % 6 {
            0 | 1 => fleet.announce(u64::from(*step) % 5 + 1),
            2 => fleet.remove(u64::from(*step) % 5 + 1),
            3 => {
                let host = usize::from(*step) % fleet.len();
                fleet.groups[host] ^= 1;
            }
            4 => fleet.pause(usize::from(*step) % 8, true),
            _ => (0..8).for_each(|index| fleet.pause(index, false)),
        }
        written.push((fleet.now_ms, fleet.revision()));
        let mut failure = None;
        fleet.run(u64::from(*step) * 8 + 40, |fleet| {
            for (index, highest) in revisions.iter_mut().enumerate() {
                let relay = fleet.relay(index);
                let revision = relay.catalog().revision();
                if revision < *highest {
                    failure = Some(format!("host {index} went back to revision {revision}"));
                }
                *highest = revision;
                let Some(confirmed_at_ms) = relay.confirmed_at_ms() else { continue };
                let newest = written.iter().filter(|write| write.0 < confirmed_at_ms).map(|w| w.1);
                if newest.max().is_some_and(|newest| revision < newest) {
                    failure = Some(format!(
                        "at {} host {index} claims that revision {revision} was current at \
                         {confirmed_at_ms}; writes: {written:?}",
                        fleet.now_ms
                    ));
                }
            }
        });
        prop_assert!(failure.is_none(), "{failure:?}");
    }
    fleet.loss_percent = 0;
    fleet.groups = vec![0; fleet.len()];
    (0..8).for_each(|index| fleet.pause(index, false));
    fleet.run(8_000, |_| {});
    let first = fleet.relay(0).catalog();
    for index in 1..fleet.len() {
        let other = fleet.relay(index).catalog();
        prop_assert_eq!(first.digest(), other.digest(), "host {}", index);
        prop_assert_eq!(first.revision(), other.revision(), "host {}", index);
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn revision_never_decreases(
        seed in any::<u64>(),
        loss_percent in 0..30u32,
        steps in prop::collection::vec(any::<u8>(), 1..14),
    ) {
        check(seed, loss_percent, &steps)?;
    }
}
