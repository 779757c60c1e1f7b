//! Random pairs of overlapping failures, in any order and with any gap.

use fakes::{CallerKind, Faults, Lan, LanConfig, Report, ServiceSpec, tree};
use proptest::{prelude::*, test_runner::RngSeed};

const BUSY: CallerKind = CallerKind::Session { interval_ms: 300 };

#[derive(Debug, Clone, Copy)]
enum Event {
    Kill(usize),
    Stop(usize),
    Freeze(usize),
    Cut(usize),
    CutHosts(usize, usize),
    Late,
    Lossy,
    Edit,
}

fn events() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..9usize).prop_map(Event::Kill),
        (0..9usize).prop_map(Event::Stop),
        (0..9usize).prop_map(Event::Freeze),
        (0..3usize).prop_map(Event::Cut),
        (0..9usize, 0..9usize).prop_map(|(left, right)| Event::CutHosts(left, right)),
        Just(Event::Late),
        Just(Event::Lossy),
        Just(Event::Edit),
    ]
}

fn start(lan: &mut Lan, event: Event) {
    match event {
        Event::Kill(host) => lan.kill(host),
        Event::Stop(host) => lan.stop(host),
        Event::Freeze(host) => lan.freeze(host),
        Event::Cut(domain) => lan.set_cut(domain, true),
        Event::CutHosts(left, right) => lan.cut_hosts(left, right),
        Event::Late => {
            lan.set_faults(Faults { late_percent: 10, late_ms: 2_000, ..Faults::default() });
        }
        Event::Lossy => {
            lan.set_faults(Faults { lost_percent: 4, doubled_percent: 4, ..Faults::default() });
        }
        Event::Edit => {
            let spec = ServiceSpec { targets: vec![6, 5, 7], ..ServiceSpec::default() };
            lan.apply(&tree(&[spec]), 4);
        }
    }
}

fn end(lan: &mut Lan, event: Event) {
    match event {
        Event::Freeze(host) => lan.thaw(host),
        Event::Cut(domain) => lan.set_cut(domain, false),
        Event::CutHosts(..) => lan.heal_hosts(),
        Event::Late | Event::Lossy => lan.set_faults(Faults::default()),
        Event::Kill(_) | Event::Stop(_) | Event::Edit => {}
    }
}

/// Runs two events; the second starts `gap_ms` after the first.
fn run(first: Event, second: Event, gap_ms: u64, length_ms: u64, seed: u64) -> Report {
    let mut lan = Lan::new(LanConfig { seed, ..LanConfig::default() });
    lan.open(1, BUSY, 100);
    lan.run_ms(6_000);
    start(&mut lan, first);
    lan.open(1, CallerKind::Request, 20);
    lan.run_ms(gap_ms);
    start(&mut lan, second);
    lan.open(1, CallerKind::Request, 20);
    lan.open(1, BUSY, 20);
    lan.run_ms(length_ms);
    end(&mut lan, first);
    end(&mut lan, second);
    lan.run_ms(60_000);
    lan.report()
}

fn check(first: Event, second: Event, gap_ms: u64, length_ms: u64, seed: u64) {
    let report = run(first, second, gap_ms, length_ms, seed);
    let violations = (report.broken, report.taken_twice, report.refused_but_taken);
    assert_eq!(violations, (0, 0, 0), "{report:?}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 32,
        rng_seed: RngSeed::Fixed(9),
        failure_persistence: None,
        max_shrink_iters: 40,
        ..ProptestConfig::default()
    })]

    #[test]
    fn two_at_once(
        first in events(),
        second in events(),
        gap_ms in 0..3_000u64,
        length_ms in 500..5_000u64,
        seed in 1..1_000u64,
    ) {
        check(first, second, gap_ms, length_ms, seed);
    }
}
