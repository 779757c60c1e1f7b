//! Hosts whose views differ for several seconds.

use fakes::{CallerKind, Faults, Lan, LanConfig, Report};

const BUSY: CallerKind = CallerKind::Session { interval_ms: 300 };

/// Opens flows while one host is cut off from some others, so that views differ.
fn run(seed: u64, faults: Faults) -> (Lan, Report) {
    let mut lan = Lan::new(LanConfig { seed, ..LanConfig::default() });
    lan.set_faults(faults);
    for other in 1..5 {
        lan.cut_hosts(0, other);
    }
    for _ in 0..40 {
        lan.open(1, BUSY, 5);
        lan.open(1, CallerKind::Request, 5);
        lan.run_ms(100);
    }
    lan.heal_hosts();
    lan.run_ms(2_000);
    lan.set_faults(Faults::default());
    lan.run_ms(40_000);
    let report = lan.report();
    (lan, report)
}

fn check(seed: u64, faults: Faults) {
    let (_, report) = run(seed, faults);
    assert_eq!((report.taken_twice, report.refused_but_taken), (0, 0), "seed {seed}: {report:?}");
    assert_eq!((report.broken, report.unanswered), (0, 0), "seed {seed}: {report:?}");
}

#[test]
fn partial_cut() {
    for seed in 1..=5 {
        check(seed, Faults::default());
    }
}

#[test]
fn cut_with_faults() {
    for seed in 1..=5 {
        check(
            seed,
            Faults { lost_percent: 5, doubled_percent: 10, late_percent: 10, late_ms: 1_500 },
        );
    }
}
