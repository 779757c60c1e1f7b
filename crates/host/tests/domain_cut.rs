//! Network partitions between failure domains.

use fakes::{CallerKind, Lan, LanConfig, ServiceSpec, tree};

const BUSY: CallerKind = CallerKind::Session { interval_ms: 300 };

#[test]
fn isolated_domain_serves() {
    for seed in 1..=3 {
        let mut lan = Lan::new(LanConfig { seed, ..LanConfig::default() });
        lan.set_cut(0, true);
        lan.run_ms(6_000);
        let first = lan.open(1, BUSY, 60);
        lan.open(1, CallerKind::Request, 60);
        lan.run_ms(8_000);
        let report = lan.report_of(first..first + 120);
        assert_eq!(report.refused + report.broken + report.unanswered, 0, "seed {seed}");
        assert_eq!(report.whole + report.completed, 120, "seed {seed}: {report:?}");
    }
}

#[test]
fn flows_survive_heal() {
    for seed in 1..=3 {
        let mut lan = Lan::new(LanConfig { seed, ..LanConfig::default() });
        lan.set_cut(0, true);
        lan.run_ms(6_000);
        lan.open(1, BUSY, 90);
        lan.run_ms(8_000);
        lan.set_cut(0, false);
        lan.run_ms(20_000);
        let report = lan.report();
        assert_eq!((report.broken, report.taken_twice), (0, 0), "seed {seed}: {report:?}");
        assert_eq!(report.whole, 90, "seed {seed}: {report:?}");
    }
}

#[test]
fn edit_during_cut() {
    let mut lan = Lan::new(LanConfig { seed: 4, ..LanConfig::default() });
    lan.set_cut(0, true);
    lan.run_ms(4_000);
    let spec = ServiceSpec { targets: vec![5, 6, 6], ..ServiceSpec::default() };
    lan.apply(&tree(&[spec]), 3);
    lan.run_ms(4_000);
    let revisions: Vec<u64> = lan.nodes.iter().map(|node| node.control.revision()).collect();
    assert_eq!(revisions, [1, 1, 1, 2, 2, 2, 2, 2, 2]);
    lan.open(1, BUSY, 60);
    lan.run_ms(3_000);
    lan.set_cut(0, false);
    let in_force_ms = lan.run_until(6_000, Lan::all_in_force);
    assert!(in_force_ms <= 6_000, "{in_force_ms}");
    lan.run_ms(10_000);
    let report = lan.report();
    assert_eq!((report.broken, report.taken_twice, report.whole), (0, 0, 60), "{report:?}");
}

#[test]
fn cut_flows_resume() {
    // Flows whose caller and target are on different sides resume after the cut.
    for seed in 1..=3 {
        let mut lan = Lan::new(LanConfig { seed, ..LanConfig::default() });
        lan.open(1, BUSY, 90);
        lan.run_ms(6_000);
        lan.set_cut(2, true);
        lan.run_ms(3_000);
        lan.set_cut(2, false);
        lan.run_ms(30_000);
        let report = lan.report();
        assert_eq!((report.broken, report.taken_twice), (0, 0), "seed {seed}: {report:?}");
        assert_eq!(report.whole, 90, "seed {seed}: {report:?}");
    }
}
