//! The choice of targets for new flows.

mod support;

use std::collections::HashSet;

use catalog::{Record, Stage, TargetId};
use routing::HostId;
use support::{FAR, Host, NEAR, data, opening, rows};
use tagged::{AnswerStats, CheckVerdict, HostLoad, Reason, TargetLoad, Verdict};

#[test]
fn duplicate_opening() {
    let mut host = Host::new(&[(1, NEAR), (2, NEAR)]);
    let (first, _) = host.open(1, 0);
    host.now_ms += 20;
    // A copy this early is a duplicate or was delayed.
    assert_eq!(host.open(1, 1).0, first);
}

#[test]
fn retried_opening() {
    let mut host = Host::new(&[(1, NEAR), (2, NEAR)]);
    let (first, _) = host.open(1, 0);
    host.now_ms += 200;
    assert_ne!(host.open(1, 1).0, first, "the first target has not answered in time");
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
    assert!(
        targets[..6].iter().all(|target| *target == 1),
        "the own failure domain is preferred while it has capacity"
    );
    assert!(targets.contains(&2), "a full failure domain spills over");
}

/// The load report of another host with the given numbers of flows by target.
fn report(host: u64, is_near: bool, flows: &[(u64, u32)]) -> HostLoad {
    let load = |&(id, flows): &(u64, u32)| TargetLoad {
        target: TargetId(id),
        flows,
        busy: 0,
        is_dead: false,
        answers: AnswerStats::default(),
    };
    HostLoad { host: HostId(host), is_near, targets: flows.iter().map(load).collect() }
}

#[test]
fn mean_load_decides() {
    let targets = [(1, NEAR), (2, NEAR), (3, NEAR), (4, FAR), (5, FAR), (6, FAR)];
    let mut host = Host::new(&targets);
    host.dispatcher.on_report(report(1, true, &[(1, 40), (2, 40), (3, 40)]), host.now_ms);
    // There are no reports from the other failure domain.
    assert!((0..20).all(|caller| host.open(caller, 0).0.0 <= 3));
    // Target 6 is empty, but the mean load is as high as in the own failure domain.
    host.dispatcher.on_report(report(2, false, &[(4, 60), (5, 60)]), host.now_ms);
    assert!((20..40).all(|caller| host.open(caller, 0).0.0 <= 3));
    host.dispatcher.on_report(report(2, false, &[(4, 2), (5, 2), (6, 2)]), host.now_ms);
    assert!(
        (40..60).any(|caller| host.open(caller, 0).0.0 > 3),
        "the other failure domain now has a lower mean load"
    );
}

#[test]
fn unknown_listener() {
    let mut host = Host::new(&[(1, NEAR)]);
    let mut segment = opening(1, 0);
    segment.key.listener.set_port(1);
    assert_eq!(host.send(&segment), Verdict::Reset(Reason::NoListener));
    // With a stale view, the host may not know the latest listeners, so it must not reset.
    host.view_age_ms = 60_000;
    assert_eq!(host.send(&segment), Verdict::Drop(Reason::StaleView));
}

#[test]
fn resumed_host() {
    let mut host = Host::new(&[(1, NEAR), (2, NEAR)]);
    let (target, tag) = host.open(1, 0);
    host.now_ms += 3_000;
    // The view may lack that a target leaves.
    host.can_place_flows = false;
    assert_eq!(host.send(&opening(2, 0)), Verdict::Drop(Reason::StaleView));
    let verdict = host.send(&data(1, tag, 6, 1));
    assert!(matches!(verdict, Verdict::Forward { target: to, .. } if to == target), "{verdict:?}");
    host.now_ms += 200;
    host.can_place_flows = true;
    host.open(2, 1);
}

#[test]
fn silent_target() {
    let mut host = Host::new(&[(1, NEAR), (2, NEAR), (3, NEAR)]);
    let (silent, _) = host.open(1, 0);
    let (answering, tag) = host.open(2, 0);
    host.now_ms += 10;
    host.send(&data(2, tag, 6, 1));
    host.now_ms += 60;
    // A target that refuses the flow tells the caller, not this host. The host only notices that
    // the caller's next packet does not come.
    assert_eq!(host.due_checks(), [silent]);
    assert!(host.due_checks().is_empty(), "one check per opening");
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
    // Opens flows until one goes to the full target, which does not answer it. The other target
    // answers.
    for caller in 100.. {
        let (target, tag) = host.open(caller, 0);
        if target == full {
            break;
        }
        host.send(&data(caller, tag, 6, 1));
    }
    host.now_ms += 60;
    // The target has just answered a check: no new check, but no new flows for a short time.
    assert!(host.due_checks().is_empty());
    let targets: HashSet<TargetId> = (10..30).map(|caller| host.open(caller, 0).0).collect();
    assert!(!targets.contains(&full));
}

#[test]
fn cut_domain() {
    let mut host = Host::new(&[(1, FAR), (2, FAR), (3, FAR), (4, NEAR)]);
    // The near target is full, so openings spill over to the other failure domain, which is cut
    // off.
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
    assert_eq!(host.open(caller, 1).0.0, 4, "the retry avoids the failure domain");
}

#[test]
fn no_target() {
    // No target was announced yet, or all of them lapsed before this host started.
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
