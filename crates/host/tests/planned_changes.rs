//! Planned changes of hosts and targets must not break any flow.

use fakes::{CallerKind, Lan, LanConfig, ServiceSpec, tree};
use host::Counter;
use settings::{Policy, TargetState};

const BUSY: CallerKind = CallerKind::Session { interval_ms: 300 };
const IDLE: CallerKind = CallerKind::Session { interval_ms: 0 };

/// Opens busy and idle sessions, runs `change`, and checks that no flow broke.
fn check(seed: u64, change: impl FnOnce(&mut Lan)) {
    let mut lan = Lan::new(LanConfig { seed, ..LanConfig::default() });
    lan.open(1, BUSY, 150);
    lan.open(1, IDLE, 150);
    lan.run_ms(4_000);
    change(&mut lan);
    lan.run_ms(2_000);
    lan.send_on_all_sessions();
    lan.run_ms(8_000);
    let report = lan.report();
    assert_eq!((report.broken, report.unanswered), (0, 0), "seed {seed}: {report:?}");
    assert_eq!((report.taken_twice, report.refused), (0, 0), "seed {seed}: {report:?}");
    assert_eq!(report.whole + report.completed, report.started, "seed {seed}: {report:?}");
    // Pins are found at their previous holder. The only exception is the last acknowledgement of a
    // completed request, which may arrive too late for that, in 1 of 100 requests at most.
    let searched = lan.count(Counter::Searched) as usize;
    assert!(searched * 100 <= report.completed, "seed {seed}: {searched} searched, {report:?}");
}

fn replace(lan: &mut Lan, hosts: &[usize]) {
    for host in hosts {
        lan.stop(*host);
    }
    while !hosts.iter().all(|host| lan.is_stopped(*host)) {
        assert!(lan.elapsed_ms() < 600_000, "a planned stop does not end");
        lan.open(1, CallerKind::Request, 2);
        lan.run_ms(50);
    }
    for host in hosts {
        lan.start(*host);
        lan.deliver_settings(*host);
    }
    while !Lan::all_ready(lan) {
        assert!(lan.elapsed_ms() < 600_000, "a host does not get ready");
        lan.open(1, CallerKind::Request, 2);
        lan.run_ms(50);
    }
}

#[test]
fn rolling_replacement() {
    for seed in 1..=3 {
        check(seed, |lan| {
            for host in 0..lan.nodes.len() {
                replace(lan, &[host]);
            }
        });
    }
}

#[test]
fn pairwise_replacement() {
    for seed in 1..=3 {
        check(seed, |lan| {
            for host in (0..lan.nodes.len()).step_by(2) {
                let second = (host + 1) % lan.nodes.len();
                replace(lan, &[host, second]);
            }
        });
    }
}

#[test]
fn targets_drained() {
    check(4, |lan| {
        let mut edited = tree(&[ServiceSpec::default()]);
        for upstream in ["a", "b", "c"] {
            for target in ["t01", "t02", "t03"] {
                set_state(&mut edited, upstream, target, TargetState::Leaving);
                lan.apply(&edited, 0);
                lan.run_until(2_000, Lan::all_in_force);
                lan.open(1, BUSY, 20);
                lan.run_ms(500);
            }
        }
    });
}

#[test]
fn leaving_target_avoided() {
    let mut lan = Lan::new(LanConfig { seed: 5, ..LanConfig::default() });
    let mut edited = tree(&[ServiceSpec::default()]);
    set_state(&mut edited, "a", "t01", TargetState::Leaving);
    lan.apply(&edited, 3);
    let in_force_ms = lan.run_until(2_000, Lan::all_in_force);
    assert!(in_force_ms <= 2_000, "in force after {in_force_ms} ms");
    lan.open(1, BUSY, 300);
    lan.run_ms(3_000);
    let leaving = "10.1.1.1".parse().unwrap();
    let flows = lan.open_flows();
    let found = flows.iter().find(|(target, _)| *target == leaving);
    assert_eq!(found, Some(&(leaving, 0)));
    assert_eq!(lan.report().whole, 300);
}

#[test]
fn targets_added() {
    check(6, |lan| {
        let spec = ServiceSpec { targets: vec![7, 6, 5], ..ServiceSpec::default() };
        lan.apply(&tree(&[spec]), 1);
        lan.run_until(2_000, Lan::all_in_force);
        lan.open(1, BUSY, 60);
        lan.run_ms(1_000);
    });
}

#[test]
fn weights_changed() {
    check(7, |lan| {
        let mut edited = tree(&[ServiceSpec::default()]);
        for (number, target) in edited
            .services
            .values_mut()
            .flat_map(|service| service.upstreams.values_mut())
            .flat_map(|upstream| upstream.targets.values_mut())
            .enumerate()
        {
            target.policy.weight = Some(10 + 40 * number as u32);
        }
        lan.apply(&edited, 2);
        lan.run_until(2_000, Lan::all_in_force);
        replace(lan, &[0]);
    });
}

fn set_state(tree: &mut settings::Tree, upstream: &str, target: &str, state: TargetState) {
    let service = tree.services.get_mut("board").unwrap();
    let node = service.upstreams.get_mut(upstream).unwrap().targets.get_mut(target).unwrap();
    node.policy = Policy { state: Some(state), ..Policy::default() };
}
