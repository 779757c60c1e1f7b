//! Outcomes of checks that are applied long after the check.
//!
//! Failure scenario: the data thread or the process is stalled while an outcome waits in the
//! channel.

mod support;

use catalog::{FlowTag, Record, Revision, Row, TargetId};
use support::{Host, NEAR, data, rows};
use tagged::{CheckVerdict, Verdict};

const TARGET: TargetId = TargetId(1);

fn host_with_flow() -> (Host, FlowTag) {
    let mut host = Host::new(&[(1, NEAR)]);
    host.set_rows(rows(&[(1, NEAR)]));
    let tag = host.open(0, 0).1;
    host.send(&data(0, tag, 100, 50));
    host.now_ms += 400;
    (host, tag)
}

fn assert_kept(host: &mut Host, tag: FlowTag) {
    assert!(host.dispatcher.take_resets().is_empty(), "the flow of caller 0 was reset");
    let verdict = host.send(&data(7, tag, 100, 50));
    assert!(matches!(verdict, Verdict::Forward { .. }), "{verdict:?}");
}

#[test]
fn stalled_thread() {
    let (mut host, tag) = host_with_flow();
    let started_at_ms = host.now_ms;
    host.now_ms += 6_000;
    host.dispatcher.on_check(TARGET, CheckVerdict::Failed, started_at_ms, host.now_ms);
    assert_kept(&mut host, tag);
}

/// The outcome for a target's earlier start is applied after the directory with the later one.
#[test]
fn earlier_start() {
    let (mut host, tag) = host_with_flow();
    let started_at_ms = host.now_ms;
    host.now_ms += 100;
    let mut restarted: Vec<Row> = rows(&[(1, NEAR)]);
    for row in &mut restarted {
        if let Record::Target(target) = &mut row.record {
            target.started_at_ms = 2_000;
            row.revision = Revision::new(1, 2);
        }
    }
    host.set_rows(restarted);
    host.dispatcher.take_resets();
    host.now_ms += 50;
    host.dispatcher.on_check(TARGET, CheckVerdict::Failed, started_at_ms, host.now_ms);
    let verdict = host.send(&data(7, tag, 100, 50));
    assert!(matches!(verdict, Verdict::Forward { .. }), "{verdict:?}");
}

/// The process resumes after a pause: the first packet is handled before the periodic work.
#[test]
fn first_packet() {
    let (mut host, tag) = host_with_flow();
    let now_ms = host.now_ms;
    host.dispatcher.on_check(TARGET, CheckVerdict::Failed, now_ms, now_ms);
    host.dispatcher.take_resets();
    host.now_ms += 10_000;
    assert_kept(&mut host, tag);
}
