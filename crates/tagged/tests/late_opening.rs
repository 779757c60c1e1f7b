//! Copies of an opening that arrive after the flow may have been established.
//!
//! Callers send copies after 200 ms and after 600 ms. A copy may wait in a queue while another one
//! is answered, and routers may send the copies to different hosts.

mod support;

use catalog::{Key, Record, Row, Stage, TargetId};
use support::{Host, NEAR, data, listener, opening, rows};
use tagged::Verdict;

/// Asserts that a late copy of the opening of caller 1, whose flow is open at `target`, reaches no
/// other target and causes no reset.
fn check_copy(host: &mut Host, target: TargetId, copy: u32) {
    let verdict = host.send(&opening(1, copy));
    let is_harmless = match verdict {
        Verdict::Forward { target: other, .. } => other == target,
        Verdict::Reset(_) => false,
        Verdict::Drop(_) => true,
    };
    assert!(is_harmless, "{verdict:?} for copy {copy}; the flow is open at {target:?}");
}

#[test]
fn established_here() {
    for (copy, wait_ms) in [(0, 10), (1, 30), (1, 300), (2, 700)] {
        let mut host = Host::new(&[(1, NEAR), (2, NEAR), (3, NEAR)]);
        let (target, tag) = host.open(1, 0);
        host.now_ms += 10;
        host.send(&data(1, tag, 6, 1));
        host.now_ms += wait_ms;
        check_copy(&mut host, target, copy);
    }
}

#[test]
fn established_elsewhere() {
    for copy in 0..3 {
        let mut host = Host::new(&[(1, NEAR), (2, NEAR), (3, NEAR)]);
        // Another host opened the flow of caller 1, and its packets now come here.
        let (target, tag) = host.open(2, 0);
        host.send(&data(1, tag, 6, 1));
        host.now_ms += 100;
        check_copy(&mut host, target, copy);
    }
}

/// Sends a copy of an opening that this host cannot forward. Another host may have forwarded the
/// first copy, so a reset may hit an open flow.
fn check_refused(rows: Vec<Row>) {
    for copy in 1..3 {
        let mut host = Host::new(&[]);
        host.set_rows(rows.clone());
        let verdict = host.send(&opening(1, copy));
        assert!(matches!(verdict, Verdict::Drop(_)), "{verdict:?} for copy {copy}");
    }
}

#[test]
fn refused_without_target() {
    let mut draining = rows(&[(1, NEAR)]);
    for row in &mut draining {
        if let Record::Target(target) = &mut row.record {
            target.stage = Stage::Draining;
        }
    }
    check_refused(draining);
}

#[test]
fn refused_without_listener() {
    let mut without_listener = rows(&[(1, NEAR)]);
    without_listener.retain(|row| row.record.key() != Key::Listener(listener()));
    check_refused(without_listener);
}
