//! Entries of the store that name no usable target, at the address of a sound one.

mod support;

use catalog::{FlowTag, Record};
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
