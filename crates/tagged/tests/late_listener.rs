//! Open flows to a listener that the host's directory does not contain yet.
//!
//! Failure scenario: a listener is added, and a caller opens a flow through a host that knows it.
//! The routers move the flow to a host that learns of the listener a moment later.

mod support;

use support::{Host, NEAR, data, rows};
use tagged::{Reason, Verdict};

#[test]
fn open_flow() {
    let mut host = Host::new(&[(1, NEAR)]);
    let tag = host.open(0, 0).1;
    let mut segment = data(1, tag, 100, 50);
    segment.key.listener.set_port(444);
    let verdict = host.send(&segment);
    assert!(matches!(verdict, Verdict::Drop(_)), "{verdict:?}: the directory is older");
    let mut with_listener = rows(&[(1, NEAR)]);
    for row in &mut with_listener {
        if let catalog::Record::Listener(listener) = &mut row.record {
            listener.address.set_port(444);
        }
    }
    host.now_ms += 200;
    host.set_rows(with_listener);
    let verdict = host.send(&segment);
    assert!(matches!(verdict, Verdict::Forward { .. }), "{verdict:?}");
}

#[test]
fn removed_listener() {
    let mut host = Host::new(&[(1, NEAR)]);
    let tag = host.open(0, 0).1;
    host.send(&data(0, tag, 100, 50));
    let mut without_listener = rows(&[(1, NEAR)]);
    without_listener.retain(|row| !matches!(row.record, catalog::Record::Listener(_)));
    host.set_rows(without_listener);
    host.send(&data(0, tag, 200, 90));
    host.now_ms += 1_400;
    let verdict = host.send(&data(0, tag, 200, 90));
    assert_eq!(verdict, Verdict::Reset(Reason::NoListener));
}
