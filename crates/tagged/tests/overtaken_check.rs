//! Checks that end after a later one has been answered.

mod support;

use catalog::TargetId;
use support::{Host, NEAR, data};
use tagged::{CheckVerdict, Verdict};

const TARGET: TargetId = TargetId(1);

#[test]
fn answered_meanwhile() {
    let mut host = Host::new(&[(1, NEAR)]);
    let tag = host.open(0, 0).1;
    host.send(&data(0, tag, 100, 50));
    // The first check starts while the target is unreachable, the second one when it no longer is.
    let first_ms = host.now_ms + 400;
    let second_ms = first_ms + 50;
    host.dispatcher.on_check(TARGET, CheckVerdict::Answered, second_ms, second_ms + 3);
    host.now_ms = first_ms + 130;
    host.dispatcher.on_check(TARGET, CheckVerdict::Failed, first_ms, host.now_ms);
    assert!(host.dispatcher.take_resets().is_empty(), "the target has answered since");
    let verdict = host.send(&data(0, tag, 200, 50));
    assert!(matches!(verdict, Verdict::Forward { .. }), "{verdict:?}");
}
