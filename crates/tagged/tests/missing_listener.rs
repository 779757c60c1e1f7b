//! Packets of open flows whose listener this host does not know yet.
//!
//! Failure scenario: a listener is added, a host that knows it opens a flow, and the flow's next
//! packet reaches a host to which the change has not been sent yet.

mod support;

use catalog::{Key, Row};
use support::{Host, NEAR, data, listener, rows};
use tagged::Verdict;

/// A host whose view is `view_age_ms` old gets packets of such a flow, the last of them `wait_ms`
/// after the first. None may be answered with a reset: the view may be older than the listener.
fn check(view_age_ms: u64, wait_ms: u64) {
    let mut host = Host::new(&[(1, NEAR)]);
    let (_, tag) = host.open(1, 0);
    let without_listener: Vec<Row> = rows(&[(1, NEAR)])
        .into_iter()
        .filter(|row| row.record.key() != Key::Listener(listener()))
        .collect();
    host.set_rows(without_listener);
    host.view_age_ms = view_age_ms;
    for _ in 0..2 {
        let verdict = host.send(&data(2, tag, 100, 50));
        assert!(
            !matches!(verdict, Verdict::Reset(_)),
            "{verdict:?} with a view {view_age_ms} ms old, {wait_ms} ms after the first packet"
        );
        host.now_ms += wait_ms;
    }
}

#[test]
fn open_flow() {
    for view_age_ms in [100, 800, 1_900] {
        check(view_age_ms, 0);
    }
    check(1_900, 200);
}
