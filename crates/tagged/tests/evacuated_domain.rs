//! Openings while a failure domain is being evacuated.

mod support;

use catalog::{Evacuation, Record, Revision, Row, TargetId};
use support::{FAR, Host, NEAR, data, opening, rows};
use tagged::{Counter, Reason, Verdict};

const TARGETS: [(u64, u64); 2] = [(1, NEAR), (2, FAR)];

fn evacuate(host: &mut Host, targets: &[(u64, u64)], domains: &[u64]) {
    let mut rows = rows(targets);
    rows.extend(domains.iter().map(|domain_seed| {
        let domain = format!("domain-{domain_seed}");
        let record = Record::Evacuation(Evacuation { domain_seed: *domain_seed, domain });
        Row::written(Revision::new(1, 2), 0, record)
    }));
    host.set_rows(rows);
}

#[test]
fn sent_elsewhere() {
    for (evacuated, other) in [(NEAR, 2), (FAR, 1)] {
        let mut host = Host::new(&TARGETS);
        evacuate(&mut host, &TARGETS, &[evacuated, 99]);
        for caller in 0..50 {
            assert_eq!(host.open(caller, 0).0, TargetId(other));
        }
        evacuate(&mut host, &TARGETS, &[]);
        let taken = (50..150).map(|caller| host.open(caller, 0).0);
        assert!(taken.into_iter().any(|target| target != TargetId(other)), "taken back");
    }
}

#[test]
fn nothing_left() {
    let mut host = Host::new(&TARGETS);
    evacuate(&mut host, &TARGETS, &[NEAR, FAR]);
    assert_eq!(host.send(&opening(0, 0)), Verdict::Reset(Reason::Evacuated));
}

#[test]
fn open_flow() {
    let mut host = Host::new(&TARGETS);
    let (target, tag) = host.open(0, 0);
    host.send(&data(0, tag, 100, 50));
    evacuate(&mut host, &TARGETS, &[NEAR, FAR]);
    for sequence in [200, 300] {
        let verdict = host.send(&data(0, tag, sequence, 60));
        assert!(matches!(verdict, Verdict::Forward { target: found, .. } if found == target));
    }
    // The target takes a late copy for part of its flow; any other would open a second one.
    assert_eq!(host.open(0, 1).0, target);
    assert_eq!(host.dispatcher.counters().get(Counter::SentToEvacuated), 1);
}

#[test]
fn copies() {
    for wait_ms in [20, 200, 600] {
        let mut host = Host::new(&TARGETS);
        let first = host.open(0, 0).0;
        let domain_seed = if first == TargetId(1) { NEAR } else { FAR };
        evacuate(&mut host, &TARGETS, &[domain_seed]);
        host.now_ms += wait_ms;
        assert_ne!(host.open(0, 1).0, first, "copy after {wait_ms} ms");
        assert_eq!(host.dispatcher.counters().get(Counter::SentToEvacuated), 0);
    }
}
