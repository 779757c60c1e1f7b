//! A target starts whose id gives the tag that the flows of another one carry.

mod support;

use std::collections::HashMap;

use catalog::{FlowTag, Presence, Record, Revision, Row, TargetId};
use support::{Host, NEAR, data, rows};
use tagged::{Reason, Verdict};

/// Two ids from which the first salt gives the same tag.
fn shared_ids() -> [u64; 2] {
    let mut seen: HashMap<u32, u64> = HashMap::new();
    let mut ids = (1..).map(|number: u64| number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 16);
    ids.find_map(|id| Some([seen.insert(FlowTag::derive(TargetId(id), 0).0, id)?, id]))
        .expect("some ids share a tag")
}

/// The rows of targets, each with its id, and the revision at which it was created.
fn started(targets: &[(u64, u64)]) -> Vec<Row> {
    let mut all = rows(&targets.iter().map(|(id, _)| (*id, NEAR)).collect::<Vec<_>>());
    for row in &mut all {
        if let Record::Target(target) = &row.record {
            let (_, created) = targets.iter().find(|(id, _)| *id == target.id.0).expect("a target");
            row.created = Revision::new(1, *created);
        }
    }
    all
}

/// Hosts reset the flows of a running target once another one with its tag had started.
#[test]
fn newcomer() {
    let [first, second] = shared_ids();
    let mut host = Host::new(&[(first, NEAR)]);
    let (target, tag) = host.open(0, 0);
    assert_eq!(target, TargetId(first));
    host.send(&data(0, tag, 100, 50));
    host.set_rows(started(&[(first, 1), (second, 2)]));
    // This flow, and one that moves here from another host, repeat their packets for some seconds.
    for step in 1..40 {
        host.now_ms += 100;
        for caller in [0, 1] {
            let verdict = host.send(&data(caller, tag, 100 * step, 50 * step));
            let is_kept = matches!(verdict, Verdict::Forward { target, .. } if target.0 == first);
            assert!(is_kept, "caller {caller}: {verdict:?}");
        }
    }
    assert!(host.dispatcher.take_resets().is_empty());
    for caller in 10..30 {
        assert_ne!(host.open(caller, 0).1, tag, "new flows carry other tags");
    }
}

/// Where the entries do not tell which target was first, a host keeps the flows that it remembers and
/// drops the packets of others.
#[test]
fn unknown_order() {
    let [first, second] = shared_ids();
    let mut host = Host::new(&[(first, NEAR)]);
    let (_, tag) = host.open(0, 0);
    host.send(&data(0, tag, 100, 50));
    host.set_rows(started(&[(first, 1), (second, 1)]));
    for step in 2..40 {
        host.now_ms += 100;
        let verdict = host.send(&data(0, tag, 100 * step, 50 * step));
        assert!(matches!(verdict, Verdict::Forward { target, .. } if target.0 == first));
        assert_eq!(host.send(&data(1, tag, 100, 50)), Verdict::Drop(Reason::UnknownTag));
    }
}

/// The first target ends; its flows are not taken for those of the second.
#[test]
fn first_one_ends() {
    let [first, second] = shared_ids();
    let mut host = Host::new(&[(first, NEAR)]);
    let (_, tag) = host.open(0, 0);
    let mut all = started(&[(first, 1), (second, 2)]);
    for row in &mut all {
        if matches!(&row.record, Record::Target(target) if target.id.0 == first) {
            (row.revision, row.presence) = (Revision::new(1, 3), Presence::Gone);
        }
    }
    host.set_rows(all);
    let verdict = host.send(&data(1, tag, 100, 50));
    assert!(
        !matches!(verdict, Verdict::Forward { target, .. } if target.0 == second),
        "{verdict:?}"
    );
}
