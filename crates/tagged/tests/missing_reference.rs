//! Checks without a second target to compare with.
//!
//! Failure scenario: the link of a host is busy, and its checks fail. Without a reference, every
//! target that it checks seems dead.

mod support;

use support::{Host, NEAR, data, opening, rows};
use tagged::DueCheck;

/// A host that has just got its first directory, with two targets.
fn new_host() -> Host {
    let mut host = Host::new(&[]);
    host.set_rows(rows(&[(1, NEAR), (2, NEAR)]));
    host
}

fn check(name: &str, host: &mut Host) {
    host.now_ms += 60;
    let due = host.dispatcher.take_due_checks(host.now_ms, host.now_ms);
    assert!(!due.is_empty(), "{name}: no check");
    for DueCheck { target, reference } in due {
        assert!(reference.is_some_and(|reference| reference != target), "{name}: {reference:?}");
    }
}

#[test]
fn no_answer_yet() {
    let mut host = new_host();
    host.send(&opening(0, 0));
    check("no target has answered yet", &mut host);
}

#[test]
fn single_flow() {
    let mut host = new_host();
    let (target, tag) = host.open(0, 0);
    host.send(&data(0, tag, 100, 50));
    assert!((100..120).any(|caller| host.open(caller, 0).0 == target));
    check("only the checked target has answered", &mut host);
}

#[test]
fn all_suspect() {
    let mut host = new_host();
    for caller in 0..20 {
        let tag = host.open(caller, 0).1;
        host.send(&data(caller, tag, 100, 50));
    }
    for caller in 100..120 {
        host.open(caller, 0);
    }
    check("each target leaves an opening unanswered", &mut host);
}
