//! Flows to targets that die or are no longer listed.
//!
//! Load pattern: many callers keep flows open to one target, which stops answering. Each caller
//! waits for its timeout unless its flow is reset.

mod support;

use catalog::{Presence, Revision, Row, TargetId};
use routing::HostId;
use support::{Host, NEAR, data, key, rows};
use tagged::{AnswerStats, CheckVerdict, HostLoad, Reason, TargetLoad, Verdict};

const TARGET: TargetId = TargetId(1);

/// A host with three flows to one target, each with a request in flight.
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
    assert!(host.due_checks().is_empty(), "a single flow may have lost a packet");
    host.send(&data(1, tag, 100, 50));
    assert_eq!(host.due_checks(), [TARGET]);
    let started_at_ms = host.now_ms;
    host.now_ms += 240;
    host.dispatcher.on_check(TARGET, CheckVerdict::Failed, started_at_ms, host.now_ms);
    // The flow without a retransmission is reset too.
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
    // The third flow makes progress during the check.
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
        let view = tagged::View { directory: &host.directory, age_ms: 100, can_place_flows: true };
        host.dispatcher.on_tick(view, host.now_ms);
    }
    assert!(host.due_checks().is_empty(), "silent callers are no evidence against the target");
    assert!(host.dispatcher.take_resets().is_empty());
}

#[test]
fn reported_dead() {
    let report = HostLoad {
        is_near: true,
        host: HostId(9),
        targets: vec![TargetLoad {
            target: TARGET,
            flows: 0,
            busy: 0,
            is_dead: true,
            answers: AnswerStats::default(),
        }],
    };
    let (mut host, tag) = busy_host();
    host.now_ms += 200;
    host.send(&data(0, tag, 100, 50));
    host.dispatcher.on_report(report.clone(), host.now_ms);
    assert!(host.dispatcher.take_resets().is_empty(), "the other host may be cut off");
    assert_eq!(host.due_checks(), [TARGET], "the report adds to this host's own evidence");
    let now_ms = host.now_ms;
    host.dispatcher.on_check(TARGET, CheckVerdict::Failed, now_ms, now_ms + 130);
    assert_eq!(host.dispatcher.take_resets().len(), 3);

    let (mut host, tag) = busy_host();
    host.send(&data(0, tag, 200, 90));
    host.dispatcher.on_report(report, host.now_ms);
    assert!(
        host.dispatcher.take_resets().is_empty(),
        "the target has just made progress on this host"
    );
}

/// The host of [`busy_host`] after the store has stopped listing the target.
fn unlisted_host() -> (Host, catalog::FlowTag) {
    let (mut host, tag) = busy_host();
    let gone = rows(&[(1, NEAR)])
        .into_iter()
        .map(|row| match row.record {
            catalog::Record::Target(_) => {
                Row { revision: Revision::new(1, 2), presence: Presence::Gone, ..row }
            }
            _ => row,
        })
        .collect();
    host.set_rows(gone);
    (host, tag)
}

#[test]
fn gone_target() {
    let (mut host, tag) = unlisted_host();
    assert_eq!(host.due_checks(), [TARGET], "an unlisted target is checked at once");
    let now_ms = host.now_ms;
    host.dispatcher.on_check(TARGET, CheckVerdict::Failed, now_ms, now_ms + 2);
    assert_eq!(host.due_checks(), [TARGET], "progress during the check, so it is repeated");
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
        "the target is cut off from the store, not from this host"
    );
    assert!(matches!(host.send(&data(0, tag, 100, 50)), Verdict::Forward { .. }));
    assert!(!matches!(host.send(&support::opening(9, 0)), Verdict::Forward { .. }));
    // The target is rechecked while it is unlisted, but not after it is listed again.
    host.now_ms += 1_100;
    assert_eq!(host.due_checks(), [TARGET]);
    host.set_rows(rows(&[(1, NEAR)]));
    host.now_ms += 1_100;
    assert!(host.due_checks().is_empty());
}

#[test]
fn unanswered_opening() {
    let (mut host, _) = busy_host();
    // The target does not answer. The caller's next copy reaches another host, which chooses
    // another target.
    host.open(9, 0);
    let now_ms = host.now_ms + 200;
    host.dispatcher.on_check(TARGET, CheckVerdict::Failed, now_ms, now_ms);
    let resets = host.dispatcher.take_resets();
    assert_eq!(resets.len(), 3, "only the flows established through this host");
    assert!(resets.iter().all(|segment| segment.key != support::key(9)));
}

#[test]
fn idle_when_dead() {
    let (mut host, _) = busy_host();
    // Longer than `flow_idle_ms`, shorter than the idle timeout.
    for _ in 0..18 {
        host.now_ms += 500;
        let view = tagged::View { directory: &host.directory, age_ms: 100, can_place_flows: true };
        host.dispatcher.on_tick(view, host.now_ms);
    }
    assert!(
        host.dispatcher.loads().iter().all(|load| load.flows == 0),
        "idle flows may have moved to another host"
    );
    let now_ms = host.now_ms;
    host.dispatcher.on_check(TARGET, CheckVerdict::Failed, now_ms, now_ms);
    assert_eq!(
        host.dispatcher.take_resets().len(),
        3,
        "callers would send their next requests to the dead target"
    );
    assert_eq!(host.dispatcher.flow_count(), 0);
}

#[test]
fn lapsed_target() {
    let (mut host, tag) = busy_host();
    let lapsed = rows(&[(1, NEAR)])
        .into_iter()
        .map(|row| Row { revision: Revision::new(1, 2), presence: Presence::Lapsed, ..row })
        .collect();
    host.set_rows(lapsed);
    assert!(host.dispatcher.take_resets().is_empty(), "only the store was unavailable");
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
    // Another host may have opened the flow to a target that was announced only just before.
    assert_eq!(host.send(&data(9, unknown, 100, 50)), Verdict::Drop(Reason::UnknownTag));
    host.now_ms += 900;
    assert_eq!(host.send(&data(9, unknown, 100, 50)), Verdict::Drop(Reason::UnknownTag));
    host.now_ms += 300;
    assert_eq!(host.send(&data(9, unknown, 100, 50)), Verdict::Reset(Reason::UnknownTag));
}

#[test]
fn incomplete_directory() {
    let (mut host, _) = busy_host();
    let unknown = catalog::FlowTag(0x1234_5678);
    // The host has just started, and the store did not list the target any more.
    host.directory.is_complete = false;
    for _ in 0..10 {
        assert_eq!(host.send(&data(9, unknown, 100, 50)), Verdict::Drop(Reason::UnknownTag));
        host.now_ms += 300;
    }
    host.directory.is_complete = true;
    assert_eq!(host.send(&data(9, unknown, 100, 50)), Verdict::Reset(Reason::UnknownTag));
}

#[test]
fn unclear_check() {
    let (mut host, tag) = busy_host();
    host.now_ms += 200;
    host.send(&data(0, tag, 100, 50));
    host.send(&data(1, tag, 100, 50));
    // The reference target did not answer either, so the fault is with this host or its link.
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
    // The socket was last empty right after the openings, so the callers' next packets may still be
    // queued in it.
    let due = host.dispatcher.take_due_checks(host.now_ms - 480, host.now_ms);
    assert!(due.is_empty(), "{due:?}");
}
