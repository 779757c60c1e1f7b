//! Unlisted targets that failed a check long ago and that the store lists again.
//!
//! Failure scenario: a target is cut off from the store and from this host, which finds it dead. It
//! is listed again once it can reach the store.

mod support;

use catalog::{FlowTag, Presence, Record, Revision, Row, TargetId};
use support::{Host, NEAR, data, rows};
use tagged::Verdict;

const TARGET: TargetId = TargetId(1);

fn with_presence(revision: u64, presence: Presence) -> Vec<Row> {
    let mut rows = rows(&[(1, NEAR)]);
    for row in rows.iter_mut().filter(|row| matches!(row.record, Record::Target(_))) {
        (row.revision, row.presence) = (Revision::new(1, revision), presence);
    }
    rows
}

/// A host that found the target dead and unlisted 20 s before the store lists it again.
fn host_after_return() -> (Host, FlowTag) {
    let (mut host, tag) = Host::after_failed_check();
    host.now_ms += 3_000;
    host.due_checks();
    host.send(&data(2, tag, 100, 50));
    host.set_rows(with_presence(2, Presence::Gone));
    host.now_ms += 20_000;
    host.due_checks();
    // The outcome of that check is lost.
    host.now_ms += 1_000;
    host.set_rows(with_presence(3, Presence::Listed));
    host.dispatcher.take_resets();
    (host, tag)
}

/// A flow that another host opened moves here before the check that the return triggers has ended.
#[test]
fn before_check() {
    let (mut host, tag) = host_after_return();
    host.now_ms += 20;
    let verdict = host.send(&data(7, tag, 100, 50));
    assert!(matches!(verdict, Verdict::Forward { .. }), "{verdict:?}: the check is 24 s old");
}

/// The request for the check, or its outcome, is lost because a channel is full.
#[test]
fn lost_check() {
    let (mut host, tag) = host_after_return();
    assert_eq!(host.due_checks(), [TARGET]);
    let mut checks = 0;
    for _ in 0..600 {
        host.now_ms += 50;
        checks += host.due_checks().len();
    }
    let verdict = host.send(&data(7, tag, 100, 50));
    let is_reported = host.dispatcher.loads().iter().any(|load| load.is_dead);
    assert!(
        checks > 0 && !is_reported && matches!(verdict, Verdict::Forward { .. }),
        "30 s after the return: {verdict:?}, reported dead: {is_reported}, {checks} checks"
    );
}
