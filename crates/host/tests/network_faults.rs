//! Lost, duplicated, reordered and delayed datagrams, silent flows, and targets that fail openings.

use fakes::{CallerKind, Faults, Lan, LanConfig, TargetBehavior};
use host::Counter;

const BUSY: CallerKind = CallerKind::Session { interval_ms: 300 };

fn check(seed: u64, faults: Faults) {
    let mut lan = Lan::new(LanConfig { seed, ..LanConfig::default() });
    lan.set_faults(faults);
    lan.open(1, BUSY, 200);
    for _ in 0..20 {
        lan.open(1, CallerKind::Request, 3);
        lan.run_ms(500);
    }
    lan.set_faults(Faults::default());
    lan.run_ms(40_000);
    let report = lan.report();
    assert_eq!((report.broken, report.taken_twice), (0, 0), "seed {seed}: {report:?}");
    assert_eq!(report.refused_but_taken, 0, "seed {seed}: {report:?}");
    let finished = report.whole + report.completed + report.refused;
    assert_eq!(finished, report.started, "seed {seed}: {report:?}");
}

#[test]
fn duplicated_packets() {
    check(1, Faults { doubled_percent: 30, ..Faults::default() });
}

#[test]
fn delayed_packets() {
    for seed in 2..5 {
        check(seed, Faults { late_percent: 5, late_ms: 3_000, ..Faults::default() });
    }
}

#[test]
fn packet_loss() {
    check(5, Faults { lost_percent: 3, ..Faults::default() });
}

#[test]
fn silent_flow() {
    // The network drops one flow while others of the same target continue.
    let mut lan = Lan::new(LanConfig { seed: 6, ..LanConfig::default() });
    lan.open(1, BUSY, 100);
    lan.open(1, CallerKind::Session { interval_ms: 0 }, 50);
    lan.run_ms(5_000);
    let target = lan.blackhole_target_path(7);
    lan.run_ms(60_000);
    let report = lan.report();
    assert_eq!(lan.count(Counter::Silent), 1, "{target}");
    assert_eq!((report.broken, report.whole), (1, 149), "{report:?}");
}

#[test]
fn idle_not_silent() {
    let mut lan = Lan::new(LanConfig { seed: 7, ..LanConfig::default() });
    lan.open(1, CallerKind::Session { interval_ms: 0 }, 100);
    lan.run_ms(120_000);
    lan.send_on_all_sessions();
    lan.run_ms(5_000);
    assert_eq!((lan.report().whole, lan.count(Counter::Silent)), (100, 0));
}

#[test]
fn shedding_target() {
    let mut lan = Lan::new(LanConfig { seed: 8, ..LanConfig::default() });
    lan.set_target_behavior("10.1.1.1".parse().unwrap(), TargetBehavior::Shedding);
    lan.set_target_behavior("10.1.2.1".parse().unwrap(), TargetBehavior::Dead);
    for _ in 0..40 {
        lan.open(1, CallerKind::Request, 3);
        lan.run_ms(200);
    }
    lan.run_ms(20_000);
    let report = lan.report();
    assert_eq!((report.completed, report.refused), (120, 0), "{report:?}");
    assert!(lan.count(Counter::Retried) > 0);
}

#[test]
fn loss_without_refusals() {
    // Packet loss must not lead to refusals when each domain has one healthy target.
    let spec = fakes::ServiceSpec { targets: vec![1, 1, 1], ..fakes::ServiceSpec::default() };
    let tree = fakes::tree(&[spec]);
    let mut lan = Lan::new(LanConfig { seed: 9, tree, ..LanConfig::default() });
    lan.set_faults(Faults { lost_percent: 5, ..Faults::default() });
    for _ in 0..100 {
        lan.open(1, CallerKind::Request, 1);
        lan.run_ms(100);
    }
    // An opening crosses eight lossy hops and is retransmitted five times in half a minute, so one
    // may still be pending here. Without loss the next retransmission completes it.
    lan.set_faults(Faults::default());
    lan.run_ms(40_000);
    let report = lan.report();
    assert_eq!((report.completed, report.refused), (100, 0), "{report:?}");
}
