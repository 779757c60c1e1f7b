//! Targets that start again under the id that they had.
//!
//! What the host knows of the earlier start says nothing about the later one: its flows are new.

mod support;

use catalog::{FlowTag, Presence, Record, Revision, Row, TargetId};
use support::{Host, NEAR, data, rows};
use tagged::{CheckVerdict, Verdict};

const TARGET: TargetId = TargetId(1);

/// The rows of the target's start at `started_at_ms`.
fn start(revision: u64, started_at_ms: u64, presence: Presence) -> Vec<Row> {
    let mut rows = rows(&[(1, NEAR)]);
    for row in &mut rows {
        if let Record::Target(target) = &mut row.record {
            target.started_at_ms = started_at_ms;
            (row.revision, row.presence) = (Revision::new(1, revision), presence);
        }
    }
    rows
}

/// A host with a flow to the first start of the target, which has failed a check.
fn host_after_death() -> (Host, FlowTag) {
    let mut host = Host::new(&[(1, NEAR)]);
    host.set_rows(start(1, 1_000, Presence::Listed));
    let tag = host.open(0, 0).1;
    host.send(&data(0, tag, 100, 50));
    host.now_ms += 400;
    let now_ms = host.now_ms;
    host.dispatcher.on_check(TARGET, CheckVerdict::Failed, now_ms, now_ms);
    assert_eq!(host.dispatcher.take_resets().len(), 1);
    (host, tag)
}

/// A flow to the second start, opened at another host, comes here.
fn check(name: &str, steps: &[Vec<Row>]) {
    let (mut host, tag) = host_after_death();
    for rows in steps {
        host.now_ms += 500;
        host.set_rows(rows.clone());
    }
    let verdict = host.send(&data(7, tag, 100, 50));
    assert!(matches!(verdict, Verdict::Forward { .. }), "{name}: {verdict:?}");
    assert!(host.dispatcher.loads().iter().all(|load| !load.is_dead), "{name}: reported dead");
}

#[test]
fn entry_replaced() {
    check("before the entry lapsed", &[start(2, 2_000, Presence::Listed)]);
}

#[test]
fn entry_renewed() {
    let gone = start(2, 1_000, Presence::Gone);
    check("after the entry was removed", &[gone, start(3, 2_000, Presence::Listed)]);
}

#[test]
fn entry_lapsed() {
    let lapsed = start(2, 1_000, Presence::Lapsed);
    check("after an outage of the store", &[lapsed, start(3, 2_000, Presence::Listed)]);
}
