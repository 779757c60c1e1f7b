//! A process that is paused for a while and resumes with outdated state.

use fakes::{CallerKind, Lan, LanConfig, ServiceSpec, tree};
use host::{Counter, Stage};

const BUSY: CallerKind = CallerKind::Session { interval_ms: 300 };

#[test]
fn rejoins_after_freeze() {
    for seed in 1..=3 {
        let mut lan = Lan::new(LanConfig { seed, ..LanConfig::default() });
        lan.open(1, BUSY, 200);
        lan.run_ms(6_000);
        lan.freeze(4);
        lan.run_ms(6_000);
        lan.open(1, CallerKind::Request, 60);
        lan.run_ms(1_000);
        lan.thaw(4);
        lan.run_ms(50);
        assert_eq!(lan.nodes[4].control.stage(), Stage::Joining, "seed {seed}");
        assert_eq!(lan.count(Counter::Freezes), 1, "seed {seed}");
        lan.run_until(20_000, Lan::all_ready);
        lan.run_ms(15_000);
        let report = lan.report();
        assert_eq!((report.broken, report.taken_twice), (0, 0), "seed {seed}: {report:?}");
        assert_eq!(report.whole, 200, "seed {seed}: {report:?}");
        assert_eq!(report.completed + report.refused, 60, "seed {seed}: {report:?}");
        assert_eq!(report.refused_but_taken, 0, "seed {seed}");
    }
}

#[test]
fn settings_after_freeze() {
    let mut lan = Lan::new(LanConfig { seed: 4, ..LanConfig::default() });
    lan.freeze(0);
    lan.run_ms(3_000);
    let spec = ServiceSpec { targets: vec![6, 6, 6], ..ServiceSpec::default() };
    lan.apply(&tree(&[spec]), 5);
    lan.run_until(2_000, Lan::all_in_force);
    lan.thaw(0);
    let in_force_ms = lan.run_until(6_000, Lan::all_in_force);
    assert!(in_force_ms <= 6_000, "{in_force_ms}");
    // Messages of the resumed host about the old revision change nothing.
    lan.run_ms(5_000);
    assert!(Lan::all_in_force(&lan));
}

#[test]
fn start_without_store() {
    // Without the store, a started host gets the settings from a peer, and never an older revision.
    let mut lan = Lan::new(LanConfig { seed: 5, ..LanConfig::default() });
    let spec = ServiceSpec { targets: vec![6, 6, 6], ..ServiceSpec::default() };
    lan.apply(&tree(&[spec]), 5);
    lan.run_until(2_000, Lan::all_in_force);
    lan.kill(7);
    lan.run_ms(3_000);
    lan.start(7);
    lan.run_until(20_000, Lan::all_ready);
    assert_eq!(lan.nodes[7].control.revision(), lan.revision());
}

#[test]
fn rejoins_without_seeds() {
    // A host that left starts again without seed addresses; the others contact it.
    let mut lan = Lan::new(LanConfig { seed: 6, ..LanConfig::default() });
    lan.stop(2);
    lan.run_until(20_000, |lan| lan.is_stopped(2));
    lan.start(2);
    lan.nodes[2].control.set_seeds(&[]);
    lan.deliver_settings(2);
    lan.run_until(30_000, |lan| lan.nodes[0].control.members().members().all(is_alive));
    assert!(lan.nodes[2].control.members().members().filter(|member| is_alive(member)).count() > 1);
}

fn is_alive(member: &membership::Member) -> bool {
    member.state.is_alive()
}
