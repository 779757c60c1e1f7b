//! Unlisted targets by a view that was not confirmed for long.
//!
//! Failure scenario: a target is cut off from the store and from this host, which finds it dead and
//! unlisted. The cut ends, but the store is unavailable, so that the target cannot be listed again.

mod support;

use catalog::{Presence, Record, Revision, Row, TargetId};
use support::{Host, NEAR, data, rows};
use tagged::{CheckVerdict, Verdict};

const TARGET: TargetId = TargetId(1);

#[test]
fn old_view() {
    let (mut host, tag) = Host::after_failed_check();
    host.now_ms += 1_000;
    // Flows that come here are reset, so that this host has none when the target is unlisted.
    let unlisted = rows(&[(1, NEAR)]).into_iter().map(|row| match row.record {
        Record::Target(_) => Row { revision: Revision::new(1, 2), presence: Presence::Gone, ..row },
        _ => row,
    });
    host.set_rows(unlisted.collect());
    host.dispatcher.take_resets();
    // A recheck after the cut is answered, but another target may have started at the address.
    host.now_ms += 10_000;
    host.due_checks();
    let now_ms = host.now_ms;
    host.dispatcher.on_check(TARGET, CheckVerdict::Answered, now_ms - 5, now_ms);
    host.now_ms += 10_000;
    host.view_age_ms = 20_000;
    host.due_checks();
    let verdict = host.send(&data(7, tag, 100, 50));
    assert!(
        !matches!(verdict, Verdict::Reset(_)),
        "{verdict:?}: the failed check is 21 s old, the last one was answered, the view is 20 s old"
    );
}
