//! Entries of the store that name no usable target, at the address of a sound one.

mod support;

use catalog::{FlowTag, Record, Revision, TargetId};
use support::{Host, NEAR, SERVICE, data, rows};
use tagged::Verdict;

#[test]
fn unknown_service() {
    let mut host = Host::new(&[(1, NEAR)]);
    let tag: FlowTag = host.open(0, 0).1;
    host.send(&data(0, tag, 100, 50));
    let mut all = rows(&[(1, NEAR), (2, NEAR)]);
    for row in &mut all {
        if let Record::Target(target) = &mut row.record
            && target.id.0 == 2
        {
            target.service_seed = SERVICE + 1;
            target.address.set_ip([10, 0, 0, 1].into());
            target.started_at_ms = 1_000;
        }
    }
    host.set_rows(all);
    assert!(host.dispatcher.take_resets().is_empty(), "no listener and no service is named so");
    let verdict = host.send(&data(0, tag, 200, 90));
    assert!(matches!(verdict, Verdict::Forward { .. }), "{verdict:?}");
}

/// Hosts reset the flows of a target when an entry without a start time named its address.
#[test]
fn start_not_stated() {
    let with_start = |id: u64, started_at_ms: u64| {
        let mut rows = rows(&[(id, NEAR)]);
        for row in &mut rows {
            if let Record::Target(target) = &mut row.record {
                target.address.set_ip([10, 0, 0, 1].into());
                target.started_at_ms = started_at_ms;
                row.created = Revision::new(1, id);
            }
        }
        rows
    };
    let mut host = Host::new(&[(1, NEAR)]);
    host.set_rows(with_start(1, 1_000));
    let tag: FlowTag = host.open(0, 0).1;
    host.send(&data(0, tag, 100, 50));
    let mut all = with_start(1, 1_000);
    all.extend(with_start(2, 0).into_iter().filter(|row| !row.record.is_settings()));
    host.set_rows(all);
    assert!(host.dispatcher.take_resets().is_empty(), "the running target states its start");
    let verdict = host.send(&data(0, tag, 200, 90));
    assert!(matches!(verdict, Verdict::Forward { .. }), "{verdict:?}");
    assert_eq!(host.open(1, 0).0, TargetId(1), "the running target takes new flows");
}
