//! Where new flows go.

mod support;

use std::collections::HashSet;

use support::{FAR, Host, NEAR, opening};
use tagged::{Reason, Verdict};

#[test]
fn same_target() {
    let mut host = Host::new(&[(1, NEAR), (2, NEAR)]);
    let (first, _) = host.open(1, 0);
    host.now_ms += 20;
    // A duplicate or a delayed copy.
    assert_eq!(host.open(1, 1).0, first);
}

#[test]
fn second_target() {
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

#[test]
fn unlisted_address() {
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
    let mut silent = HashSet::new();
    for caller in 0..2 {
        silent.insert(host.open(caller, 0).0);
    }
    host.now_ms += 250;
    for caller in 0..2 {
        host.open(caller, 1);
    }
    // One opening without an answer may be a lost packet, two at one target are not.
    assert!(host.traffic.take_due_checks(host.now_ms).len() <= silent.len());
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
