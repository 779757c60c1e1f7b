//! A store that returns from a copy: a new era, in which revisions are given out again.
//!
//! Failure scenario: what was written after the copy was made is gone until its writers write it
//! again. Meanwhile the copy shows older settings, shows leaving targets as ready, and lacks targets.

mod support;

use catalog::{Presence, Record, Revision, Row, Stage, Target};
use proptest::{prelude::*, test_runner::RngSeed};
use support::{Fleet, Store, listed, listener, target};

const HOSTS: usize = 12;

/// The time within which settings and announcements have to be in force, in milliseconds.
const IN_FORCE_MS: u64 = 3_000;

/// How long after the return writers need to write again, in milliseconds.
const REWRITE_MS: u64 = 2_000;

/// A route whose flows go to the service with this number.
fn route(service: u64) -> Vec<Record> {
    vec![listener(80, service)]
}

fn settled_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(HOSTS, 3, seed);
    (1..=5).for_each(|id| fleet.announce(id));
    fleet.write_settings(&route(1));
    fleet.run(6_000, |_| {});
    fleet
}

/// Writes that a copy made before them lacks: later settings, a leaving target and a new one.
fn write_later(fleet: &mut Fleet) {
    fleet.write_settings(&route(2));
    fleet.announce_leaving(1);
    fleet.announce(6);
    // Many more revisions are lost than are given out again.
    (0..20).for_each(|_| fleet.announce(2));
    fleet.run(IN_FORCE_MS, |_| {});
}

/// The store fails for two seconds.
fn interrupt(fleet: &mut Fleet) {
    fleet.store = Store::Down;
    fleet.run(2_000, |_| {});
    fleet.store = Store::Up;
}

/// A fleet whose store has just returned from a copy without the later writes.
fn returned_fleet(seed: u64) -> Fleet {
    let mut fleet = settled_fleet(seed);
    let copy = fleet.copy_store();
    write_later(&mut fleet);
    interrupt(&mut fleet);
    fleet.restore_store(&copy);
    fleet
}

fn assert_later(fleet: &Fleet, index: usize) {
    let at_ms = fleet.now_ms;
    assert!(fleet.knows(index, &route(2)[0]), "host {index} has older settings at {at_ms}");
    assert!(fleet.is_leaving(index, 1), "target 1 is ready again for host {index} at {at_ms}");
    let presence = fleet.presence(index, 6);
    assert!(
        matches!(presence, Some(Presence::Listed | Presence::Lapsed)),
        "target 6 is {presence:?} for host {index} at {at_ms}"
    );
}

fn assert_all_later(fleet: &Fleet) {
    (0..HOSTS).for_each(|index| assert_later(fleet, index));
}

/// Asserts that changes are in force in time, and that all hosts agree.
fn assert_follows(fleet: &mut Fleet) {
    fleet.write_settings(&route(3));
    fleet.announce_leaving(3);
    fleet.run(IN_FORCE_MS, |_| {});
    for index in 0..HOSTS {
        assert!(fleet.knows(index, &route(3)[0]), "host {index} has older settings");
        assert!(fleet.is_leaving(index, 3), "host {index} does not know that target 3 leaves");
        let digest = fleet.relay(index).catalog().digest();
        assert_eq!(digest, fleet.relay(0).catalog().digest(), "host {index}");
    }
}

#[test]
fn copy_without_writes() {
    for seed in 0..8 {
        let mut fleet = returned_fleet(seed);
        fleet.run(REWRITE_MS, assert_all_later);
        fleet.rewrite_store();
        fleet.run(IN_FORCE_MS, assert_all_later);
        assert_follows(&mut fleet);
    }
}

#[test]
fn two_returns() {
    let mut fleet = settled_fleet(1);
    let copy = fleet.copy_store();
    write_later(&mut fleet);
    for _ in 0..2 {
        interrupt(&mut fleet);
        fleet.restore_store(&copy);
        fleet.run(500, assert_all_later);
    }
    fleet.run(REWRITE_MS - 500, assert_all_later);
    fleet.rewrite_store();
    fleet.run(IN_FORCE_MS, assert_all_later);
    assert_follows(&mut fleet);
}

/// A host that knows nothing of the lost writes reads the copy, and may spread it.
#[test]
fn started_reader() {
    for seed in 0..8 {
        let mut fleet = returned_fleet(seed);
        let started = fleet.readers()[0];
        fleet.restart(started);
        let assert_others_later = |fleet: &Fleet| {
            let others = (0..HOSTS).filter(|index| *index != started);
            others.for_each(|index| assert_later(fleet, index));
        };
        fleet.run(REWRITE_MS, assert_others_later);
        // By then it has heard of the later settings from the others.
        assert!(fleet.knows(started, &route(2)[0]), "seed {seed}: host {started}");
        fleet.rewrite_store();
        fleet.run(IN_FORCE_MS, assert_others_later);
        assert_follows(&mut fleet);
    }
}

/// Hosts that are cut off follow the old era, and meet the others in the new one.
#[test]
fn cut_off_hosts() {
    for seed in 0..8 {
        let mut fleet = settled_fleet(seed);
        let copy = fleet.copy_store();
        write_later(&mut fleet);
        for index in 0..3 {
            fleet.groups[index] = 1;
            fleet.lose_store(index, true);
        }
        interrupt(&mut fleet);
        fleet.restore_store(&copy);
        fleet.run(REWRITE_MS, assert_all_later);
        fleet.rewrite_store();
        fleet.announce_leaving(2);
        fleet.run(IN_FORCE_MS, assert_all_later);
        for index in 0..3 {
            fleet.groups[index] = 0;
            fleet.lose_store(index, false);
        }
        fleet.run(IN_FORCE_MS, |fleet| {
            assert_all_later(fleet);
            (3..HOSTS).for_each(|index| assert!(fleet.is_leaving(index, 2), "host {index}"));
        });
        assert_follows(&mut fleet);
    }
}

/// A target that never writes again is gone in the end.
#[test]
fn lost_target() {
    let mut fleet = returned_fleet(3);
    fleet.end_silently(6);
    fleet.run(REWRITE_MS, |_| {});
    fleet.rewrite_store();
    fleet.run(8_000, |_| {});
    for index in 0..HOSTS {
        assert_eq!(fleet.presence(index, 6), Some(Presence::Gone), "host {index}");
        assert!(fleet.is_leaving(index, 1), "host {index}");
    }
    assert_follows(&mut fleet);
}

fn row(era: u64, number: u64, edition: u64, presence: Presence, started_at_ms: u64) -> Row {
    let Record::Target(target) = target(1) else { panic!("a target is a target") };
    let stage = if edition > 4 { Stage::Draining } else { Stage::Ready };
    let record = Record::Target(Target { stage, started_at_ms, ..target });
    Row { presence, ..Row::written(Revision::new(era, number), edition, record) }
}

#[test]
fn newer_rows() {
    let known = row(1, 90, 5, Presence::Listed, 7);
    let newer = [
        ("written in the new era", row(2, 40, 6, Presence::Listed, 7)),
        ("of a later start", row(2, 40, 1, Presence::Listed, 8)),
        ("not listed in the new era", row(2, 40, 5, Presence::Lapsed, 7)),
        ("written again", row(2, 40, 5, Presence::Listed, 7)),
    ];
    for (case, row) in newer {
        assert!(row.supersedes(&known) && !known.supersedes(&row), "{case}");
    }
    let gone = row(1, 95, 5, Presence::Gone, 7);
    let older = [
        ("from before the copy", row(2, 40, 4, Presence::Listed, 7), &known),
        ("of an earlier start", row(2, 40, 9, Presence::Listed, 6), &known),
        ("as it was before its end", row(2, 40, 5, Presence::Listed, 7), &gone),
    ];
    for (case, row, known) in older {
        assert!(!row.supersedes(known) && known.supersedes(&row), "{case}");
    }
    let settings = listed(20, listener(80, 1));
    let earlier = Row { revision: Revision::new(2, 30), edition: 19, ..settings.clone() };
    assert!(settings.supersedes(&earlier) && !earlier.supersedes(&settings));
}

/// Applies one random write, cut, pause, start or return of the store per step. No host that keeps
/// running may go back to earlier settings or take a leaving target for ready, and all must agree in
/// the end.
fn check(seed: u64, loss_percent: u32, steps: &[u8]) -> Result<(), TestCaseError> {
    let mut fleet = settled_fleet(seed);
    fleet.loss_percent = loss_percent;
    let mut service = 1;
    let mut copy = fleet.copy_store();
    let mut leaving = Vec::new();
    // The highest version that each host knew, and the leaving targets that it knew of.
    let mut known: Vec<(u64, Vec<u64>)> = vec![(0, Vec::new()); HOSTS];
    let mut is_restored = false;
    for step in steps {
        let host = usize::from(*step) % HOSTS;
        match step % 9 {
            0 => copy = fleet.copy_store(),
            1 => {
                service += 1;
                fleet.write_settings(&route(service));
            }
            2 if leaving.len() < 4 => {
                let id = leaving.len() as u64 + 1;
                leaving.push(id);
                fleet.announce_leaving(id);
            }
            3 => fleet.groups[host] ^= 1,
            4 => fleet.pause(host, true),
            5 => (0..HOSTS).for_each(|index| fleet.pause(index, false)),
            6 => {
                fleet.restart(host);
                known[host] = (0, Vec::new());
            }
            7 => {
                if is_restored {
                    fleet.rewrite_store();
                } else {
                    fleet.restore_store(&copy);
                }
                is_restored = !is_restored;
            }
            _ => fleet.store = if fleet.store == Store::Up { Store::Down } else { Store::Up },
        }
        let mut failure = None;
        fleet.run(u64::from(*step) * 8 + 40, |fleet| {
            for (index, (version, leaving_before)) in known.iter_mut().enumerate() {
                let catalog = fleet.relay(index).catalog();
                if catalog.settings_version() < *version {
                    failure = Some(format!("host {index} went back from version {version}"));
                }
                *version = catalog.settings_version();
                if let Some(id) = leaving_before.iter().find(|id| !fleet.is_leaving(index, **id)) {
                    failure = Some(format!("target {id} is ready again for host {index}"));
                }
                leaving_before.clear();
                leaving_before.extend(leaving.iter().filter(|id| fleet.is_leaving(index, **id)));
            }
        });
        prop_assert!(failure.is_none(), "{failure:?}");
    }
    if is_restored {
        fleet.rewrite_store();
    }
    fleet.store = Store::Up;
    fleet.loss_percent = 0;
    fleet.groups = vec![0; HOSTS];
    (0..HOSTS).for_each(|index| fleet.pause(index, false));
    fleet.write_settings(&route(99));
    (1..=5).for_each(|id| fleet.announce_leaving(id));
    fleet.run(8_000, |_| {});
    for index in 0..HOSTS {
        prop_assert!(fleet.knows(index, &route(99)[0]), "host {} has older settings", index);
        let digest = fleet.relay(index).catalog().digest();
        prop_assert_eq!(digest, fleet.relay(0).catalog().digest(), "host {}", index);
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn writes_never_undone(
        seed in any::<u64>(),
        loss_percent in 0..20u32,
        steps in prop::collection::vec(any::<u8>(), 1..16),
    ) {
        check(seed, loss_percent, &steps)?;
    }
}
