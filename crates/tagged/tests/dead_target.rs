//! Flows of targets that die or are gone.
//!
//! Load pattern: many callers keep flows open to one target, it falls silent, and each caller waits
//! for its time limit unless it is told.

mod support;

use catalog::{Presence, Row, TargetId};
use routing::HostId;
use support::{Host, NEAR, data, key, rows};
use tagged::{CheckVerdict, HostLoad, Reason, TargetLoad, Verdict};

const TARGET: TargetId = TargetId(1);

/// Three flows to one target, each with a request under way.
fn busy_host() -> (Host, catalog::FlowTag) {
    let mut host = Host::new(&[(1, NEAR)]);
    let mut tags = Vec::new();
    for caller in 0..3 {
        tags.push(host.open(caller, 0).1);
        host.send(&data(caller, tags[0], 100, 50));
    }
    (host, tags[0])
}

#[test]
fn stalled_flows() {
    let (mut host, tag) = busy_host();
    host.now_ms += 200;
    host.send(&data(0, tag, 100, 50));
    assert!(host.due_checks().is_empty(), "one flow may have lost a packet");
    host.send(&data(1, tag, 100, 50));
    assert_eq!(host.due_checks(), [TARGET]);
    let started_at_ms = host.now_ms;
    host.now_ms += 240;
    host.dispatcher.on_check(TARGET, CheckVerdict::Failed, started_at_ms, host.now_ms);
    // Also the caller that has sent nothing again is told.
    let mut reset: Vec<_> = host.dispatcher.take_resets().iter().map(|reset| reset.key).collect();
    reset.sort_unstable();
    assert_eq!(reset, [key(0), key(1), key(2)]);
    assert_eq!(host.send(&data(2, tag, 100, 50)), Verdict::Reset(Reason::TargetDead));
}

#[test]
fn answer_during_check() {
    let (mut host, tag) = busy_host();
    host.now_ms += 200;
    host.send(&data(0, tag, 100, 50));
    host.send(&data(1, tag, 100, 50));
    let started_at_ms = host.now_ms;
    host.now_ms += 100;
    // The third flow gets its answer while the check is under way.
    host.send(&data(2, tag, 200, 90));
    host.now_ms += 140;
    host.dispatcher.on_check(TARGET, CheckVerdict::Failed, started_at_ms, host.now_ms);
    assert!(host.dispatcher.take_resets().is_empty());
    assert!(matches!(host.send(&data(0, tag, 100, 50)), Verdict::Forward { .. }));
}

#[test]
fn idle_flows() {
    let (mut host, _) = busy_host();
    for _ in 0..20 {
        host.now_ms += 250;
        let view = tagged::View { directory: &host.directory, age_ms: 100 };
        host.dispatcher.on_tick(view, host.now_ms);
    }
    assert!(host.due_checks().is_empty(), "silence of callers is no sign");
    assert!(host.dispatcher.take_resets().is_empty());
}

#[test]
fn reported_dead() {
    let report = HostLoad {
        is_near: true,
        host: HostId(9),
        targets: vec![TargetLoad { target: TARGET, flows: 0, busy: 0, is_dead: true }],
    };
    let (mut host, tag) = busy_host();
    host.now_ms += 200;
    host.send(&data(0, tag, 100, 50));
    host.dispatcher.on_report(report.clone(), host.now_ms);
    assert_eq!(host.dispatcher.take_resets().len(), 3, "the report confirms what this host sees");

    let (mut host, tag) = busy_host();
    host.send(&data(0, tag, 200, 90));
    host.dispatcher.on_report(report, host.now_ms);
    assert!(host.dispatcher.take_resets().is_empty(), "the target has just answered here");
}

/// The same host after the store has stopped listing the target.
fn unlisted_host() -> (Host, catalog::FlowTag) {
    let (mut host, tag) = busy_host();
    let gone = rows(&[(1, NEAR)])
        .into_iter()
        .map(|row| match row.record {
            catalog::Record::Target(_) => Row { revision: 2, presence: Presence::Gone, ..row },
            _ => row,
        })
        .collect();
    host.set_rows(gone);
    (host, tag)
}

#[test]
fn gone_target() {
    let (mut host, tag) = unlisted_host();
    assert_eq!(host.due_checks(), [TARGET], "it is asked at once whether it is there");
    let now_ms = host.now_ms;
    host.dispatcher.on_check(TARGET, CheckVerdict::Failed, now_ms, now_ms + 2);
    assert_eq!(host.due_checks(), [TARGET], "a last answer came during the check");
    let now_ms = host.now_ms + 20;
    host.dispatcher.on_check(TARGET, CheckVerdict::Failed, now_ms, now_ms + 5);
    assert_eq!(host.dispatcher.take_resets().len(), 3);
    assert_eq!(host.send(&data(0, tag, 100, 50)), Verdict::Reset(Reason::TargetGone));
    assert_eq!(host.send(&data(7, tag, 100, 50)), Verdict::Reset(Reason::TargetGone));
}

#[test]
fn gone_but_serving() {
    let (mut host, tag) = unlisted_host();
    host.due_checks();
    let now_ms = host.now_ms;
    host.dispatcher.on_check(TARGET, CheckVerdict::Answered, now_ms, now_ms + 5);
    assert!(
        host.dispatcher.take_resets().is_empty(),
        "a cut took it from the store, not from here"
    );
    assert!(matches!(host.send(&data(0, tag, 100, 50)), Verdict::Forward { .. }));
    assert!(!matches!(host.send(&support::opening(9, 0)), Verdict::Forward { .. }));
    // It is asked again while it is not listed, and no more once it is.
    host.now_ms += 1_100;
    assert_eq!(host.due_checks(), [TARGET]);
    host.set_rows(rows(&[(1, NEAR)]));
    host.now_ms += 1_100;
    assert!(host.due_checks().is_empty());
}

#[test]
fn unanswered_opening() {
    let (mut host, _) = busy_host();
    // The target does not answer; the caller's copy comes to another host, which takes another target.
    host.open(9, 0);
    let now_ms = host.now_ms + 200;
    host.dispatcher.on_check(TARGET, CheckVerdict::Failed, now_ms, now_ms);
    let resets = host.dispatcher.take_resets();
    assert_eq!(resets.len(), 3, "the flows that were open here");
    assert!(resets.iter().all(|segment| segment.key != support::key(9)));
}

#[test]
fn idle_when_dead() {
    let (mut host, _) = busy_host();
    // No packet for longer than flows count as load, less than their idle time-out.
    for _ in 0..18 {
        host.now_ms += 500;
        let view = tagged::View { directory: &host.directory, age_ms: 100 };
        host.dispatcher.on_tick(view, host.now_ms);
    }
    assert!(host.dispatcher.loads().iter().all(|load| load.flows == 0), "they may have moved");
    let now_ms = host.now_ms;
    host.dispatcher.on_check(TARGET, CheckVerdict::Failed, now_ms, now_ms);
    assert_eq!(
        host.dispatcher.take_resets().len(),
        3,
        "callers would send their next requests there"
    );
    assert_eq!(host.dispatcher.flow_count(), 0);
}

#[test]
fn lapsed_target() {
    let (mut host, tag) = busy_host();
    let lapsed = rows(&[(1, NEAR)])
        .into_iter()
        .map(|row| Row { revision: 2, presence: Presence::Lapsed, ..row })
        .collect();
    host.set_rows(lapsed);
    assert!(host.dispatcher.take_resets().is_empty(), "the store was away, not the target");
    assert!(matches!(host.send(&data(0, tag, 100, 50)), Verdict::Forward { .. }));
}

#[test]
fn reused_address() {
    let (mut host, tag) = busy_host();
    let mut all = rows(&[(1, NEAR), (2, NEAR)]);
    for row in &mut all {
        if let catalog::Record::Target(target) = &mut row.record {
            target.started_at_ms = target.id.0;
            target.address.set_ip([10, 0, 0, 1].into());
        }
    }
    host.set_rows(all);
    assert_eq!(host.send(&data(0, tag, 100, 50)), Verdict::Reset(Reason::TargetGone));
}

#[test]
fn unknown_tag() {
    let (mut host, _) = busy_host();
    let unknown = catalog::FlowTag(0x1234_5678);
    // Another host may have opened the flow to a target that was announced a moment ago.
    assert_eq!(host.send(&data(9, unknown, 100, 50)), Verdict::Drop(Reason::UnknownTag));
    host.now_ms += 900;
    assert_eq!(host.send(&data(9, unknown, 100, 50)), Verdict::Drop(Reason::UnknownTag));
    host.now_ms += 300;
    assert_eq!(host.send(&data(9, unknown, 100, 50)), Verdict::Reset(Reason::UnknownTag));
}

#[test]
fn unclear_check() {
    let (mut host, tag) = busy_host();
    host.now_ms += 200;
    host.send(&data(0, tag, 100, 50));
    host.send(&data(1, tag, 100, 50));
    // The other target did not answer either: it is this host or its link that is slow.
    host.dispatcher.on_check(TARGET, CheckVerdict::Unclear, host.now_ms, host.now_ms + 140);
    assert!(host.dispatcher.take_resets().is_empty());
    assert!(matches!(host.send(&data(2, tag, 100, 50)), Verdict::Forward { .. }));
}

#[test]
fn recheck_backoff() {
    let (mut host, tag) = busy_host();
    host.now_ms += 200;
    host.send(&data(0, tag, 100, 50));
    host.send(&data(1, tag, 100, 50));
    let mut checked_at = Vec::new();
    for _ in 0..300 {
        host.now_ms += 50;
        for target in host.due_checks() {
            checked_at.push(host.now_ms);
            host.dispatcher.on_check(target, CheckVerdict::Failed, host.now_ms, host.now_ms);
        }
    }
    let pauses: Vec<u64> = checked_at.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert_eq!(pauses, [2_000, 4_000, 8_000]);
}

#[test]
fn queued_packets() {
    let (mut host, _) = busy_host();
    host.now_ms += 500;
    // The callers' next packets may wait in the socket: it was not empty since the openings.
    let due = host.dispatcher.take_due_checks(host.now_ms - 480, host.now_ms);
    assert!(due.is_empty(), "{due:?}");
}
