//! Where new flows go.

mod support;

use std::collections::HashSet;

use catalog::{Record, Stage, TargetId};
use routing::HostId;
use support::{FAR, Host, NEAR, data, opening, rows};
use tagged::{CheckVerdict, HostLoad, Reason, TargetLoad, Verdict};

#[test]
fn duplicate_opening() {
    let mut host = Host::new(&[(1, NEAR), (2, NEAR)]);
    let (first, _) = host.open(1, 0);
    host.now_ms += 20;
    // A duplicate or a delayed copy.
    assert_eq!(host.open(1, 1).0, first);
}

#[test]
fn retried_opening() {
    let mut host = Host::new(&[(1, NEAR), (2, NEAR)]);
    let (first, _) = host.open(1, 0);
    host.now_ms += 200;
    assert_ne!(host.open(1, 1).0, first, "the first target had time to answer");
}

#[test]
fn even_counts() {
    let mut host = Host::new(&[(1, NEAR), (2, NEAR), (3, NEAR)]);
    let mut counts = [0; 4];
    for caller in 0..30 {
        counts[host.open(caller, 0).0.0 as usize] += 1;
    }
    assert_eq!(counts, [0, 10, 10, 10]);
}

#[test]
fn near_first() {
    let mut host = Host::new(&[(1, NEAR), (2, FAR)]);
    let targets: Vec<u64> = (0..40).map(|caller| host.open(caller, 0).0.0).collect();
    assert!(targets[..6].iter().all(|target| *target == 1), "the own failure domain has room");
    assert!(targets.contains(&2), "a full failure domain spills over");
}

/// A report of another host with `flows` at each target.
fn report(host: u64, is_near: bool, flows: &[(u64, u32)]) -> HostLoad {
    let load = |&(id, flows): &(u64, u32)| TargetLoad {
        target: TargetId(id),
        flows,
        busy: 0,
        is_dead: false,
    };
    HostLoad { host: HostId(host), is_near, targets: flows.iter().map(load).collect() }
}

#[test]
fn spill_by_mean_load() {
    let targets = [(1, NEAR), (2, NEAR), (3, NEAR), (4, FAR), (5, FAR), (6, FAR)];
    let mut host = Host::new(&targets);
    host.dispatcher.on_report(report(1, true, &[(1, 40), (2, 40), (3, 40)]), host.now_ms);
    // Nothing is known of the other failure domain.
    assert!((0..20).all(|caller| host.open(caller, 0).0.0 <= 3));
    // One of its targets is empty, and all together are as full.
    host.dispatcher.on_report(report(2, false, &[(4, 60), (5, 60)]), host.now_ms);
    assert!((20..40).all(|caller| host.open(caller, 0).0.0 <= 3));
    host.dispatcher.on_report(report(2, false, &[(4, 2), (5, 2), (6, 2)]), host.now_ms);
    assert!((40..60).any(|caller| host.open(caller, 0).0.0 > 3), "now it has room");
}

#[test]
fn unknown_listener() {
    let mut host = Host::new(&[(1, NEAR)]);
    let mut segment = opening(1, 0);
    segment.key.listener.set_port(1);
    assert_eq!(host.send(&segment), Verdict::Reset(Reason::NoListener));
    // A host that may not know the latest listeners refuses nothing.
    host.age_ms = 60_000;
    assert_eq!(host.send(&segment), Verdict::Drop(Reason::StaleView));
}

#[test]
fn silent_target() {
    let mut host = Host::new(&[(1, NEAR), (2, NEAR), (3, NEAR)]);
    let (silent, _) = host.open(1, 0);
    let (answering, tag) = host.open(2, 0);
    host.now_ms += 10;
    host.send(&data(2, tag, 6, 1));
    host.now_ms += 60;
    // A target that refuses tells the caller, not this host; the caller's next packet is missing.
    assert_eq!(host.due_checks(), [silent]);
    assert!(host.due_checks().is_empty(), "one check an opening");
    let others: HashSet<TargetId> = (10..30).map(|caller| host.open(caller, 0).0).collect();
    assert!(!others.contains(&silent) && others.contains(&answering));
}

#[test]
fn full_target() {
    let mut host = Host::new(&[(1, NEAR), (2, NEAR)]);
    let (full, _) = host.open(1, 0);
    host.now_ms += 60;
    assert_eq!(host.due_checks(), [full]);
    host.dispatcher.on_check(full, CheckVerdict::Answered, host.now_ms, host.now_ms);
    // Openings go there until another one is left alone; those to the other target are answered.
    for caller in 100.. {
        let (target, tag) = host.open(caller, 0);
        if target == full {
            break;
        }
        host.send(&data(caller, tag, 6, 1));
    }
    host.now_ms += 60;
    // It lives: no check for every opening that it leaves alone, and no flow for a moment.
    assert!(host.due_checks().is_empty());
    let targets: HashSet<TargetId> = (10..30).map(|caller| host.open(caller, 0).0).collect();
    assert!(!targets.contains(&full));
}

#[test]
fn cut_domain() {
    let mut host = Host::new(&[(1, FAR), (2, FAR), (3, FAR), (4, NEAR)]);
    // The near target is full, so openings go to the other failure domain, which has been cut off.
    for caller in 0..100 {
        host.open(caller, 0);
    }
    let mut far = None;
    for caller in 100..200 {
        if host.open(caller, 0).0.0 != 4 {
            far = Some(caller);
            break;
        }
    }
    let caller = far.expect("a full failure domain spills over");
    host.now_ms += 200;
    assert_eq!(host.open(caller, 1).0.0, 4, "the next try avoids the failure domain");
}

#[test]
fn no_target() {
    // Nothing was announced yet, or all of it lapsed before this host started.
    let mut host = Host::new(&[]);
    assert_eq!(host.send(&opening(1, 0)), Verdict::Drop(Reason::NoTarget));
    let mut leaving = rows(&[(1, NEAR)]);
    for row in &mut leaving {
        if let Record::Target(target) = &mut row.record {
            target.stage = Stage::Draining;
        }
    }
    host.set_rows(leaving);
    assert_eq!(host.send(&opening(1, 0)), Verdict::Reset(Reason::NoTarget));
}
