//! Targets that start again under the id that they had.
//!
//! Failure scenario: a target dies and starts again. A host that found it dead sees the new start in
//! the store, but keeps its verdict until the next check of the target, and resets flows that other
//! hosts have opened to it since.

mod support;

use catalog::{Presence, Record, Row, TargetId};
use support::{Host, NEAR, data, rows};
use tagged::{CheckVerdict, Verdict};

const TARGET: TargetId = TargetId(1);

/// How long after its death the store stops listing a target: three missed announcements.
const LAPSE_MS: u64 = 3_600;

/// The rows with the target that started at `started_at_ms`.
fn rows_of_start(started_at_ms: u64, revision: u64, presence: Presence) -> Vec<Row> {
    let mut rows = rows(&[(1, NEAR), (2, NEAR)]);
    for row in &mut rows {
        if let Record::Target(target) = &mut row.record
            && target.id == TARGET
        {
            target.started_at_ms = started_at_ms;
            row.revision = revision;
            row.presence = presence;
        }
    }
    rows
}

/// The target fails checks for `down_ms` and starts again. `after_ms` later, a packet of a flow that
/// another host opened to it since then arrives. No check is answered in between.
fn check(down_ms: u64, after_ms: u64) {
    let mut host = Host::new(&[]);
    host.set_rows(rows_of_start(1_000, 1, Presence::Listed));
    let (_, tag) = (0..)
        .map(|caller| host.open(caller, 0))
        .find(|(target, _)| *target == TARGET)
        .expect("openings are spread over both targets");
    let died_at_ms = host.now_ms;
    host.dispatcher.on_check(TARGET, CheckVerdict::Failed, died_at_ms, died_at_ms);
    host.dispatcher.take_resets();
    while host.now_ms < died_at_ms + down_ms {
        host.now_ms += 50;
        if host.now_ms == died_at_ms + LAPSE_MS {
            host.set_rows(rows_of_start(1_000, 2, Presence::Gone));
        }
        for target in host.due_checks() {
            host.dispatcher.on_check(target, CheckVerdict::Failed, host.now_ms, host.now_ms);
        }
    }
    host.set_rows(rows_of_start(host.now_ms, 3, Presence::Listed));
    host.now_ms += after_ms;
    let verdict = host.send(&data(900, tag, 100, 50));
    assert!(
        matches!(verdict, Verdict::Forward { target: TARGET, .. }),
        "{verdict:?} {after_ms} ms after the start, which was {down_ms} ms after the death"
    );
}

#[test]
fn new_start() {
    for (down_ms, after_ms) in [(6_100, 5_500), (6_100, 7_500), (3_000, 2_500), (1_400, 300)] {
        check(down_ms, after_ms);
    }
}
