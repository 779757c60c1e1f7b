//! Targets that accept requests but do not answer them.

mod support;

use std::collections::HashMap;

use catalog::{FlowTag, TargetId};
use support::{Host, NEAR, data};
use tagged::{Segment, View};

fn advance(host: &mut Host, duration_ms: u64) {
    for _ in 0..duration_ms / 100 {
        host.now_ms += 100;
        let view = View { directory: &host.directory, age_ms: 100, can_place_flows: true };
        host.dispatcher.on_tick(view, host.now_ms);
    }
}

/// Acknowledges an answer on the flow of `caller`.
fn acknowledge(host: &mut Host, caller: u16, tag: FlowTag) {
    host.send(&Segment { data_bytes: 0, ..data(caller, tag, 110, 500) });
}

/// Opens a flow for each caller and sends a request on it.
fn send_requests(host: &mut Host, callers: std::ops::Range<u16>) -> Vec<(u16, TargetId, FlowTag)> {
    callers
        .map(|caller| {
            let (target, tag) = host.open(caller, 0);
            host.send(&data(caller, tag, 10, 10));
            (caller, target, tag)
        })
        .collect()
}

#[test]
fn overdue_requests() {
    let mut host = Host::new(&[(1, NEAR), (2, NEAR), (3, NEAR)]);
    let hanging = TargetId(2);
    for (caller, target, tag) in send_requests(&mut host, 0..30) {
        if target != hanging {
            acknowledge(&mut host, caller, tag);
        }
    }
    // Longer than twice the aim of 250 ms, plus the interval between sweeps.
    advance(&mut host, 1_200);
    let mut counts: HashMap<TargetId, usize> = HashMap::new();
    for (_, target, _) in send_requests(&mut host, 100..130) {
        *counts.entry(target).or_default() += 1;
    }
    assert_eq!(counts.get(&hanging), None, "{counts:?}");
    let load = host.dispatcher.loads().into_iter().find(|load| load.target == hanging);
    assert!(
        load.is_some_and(|load| load.busy > 100),
        "the load reported to other hosts includes the overdue requests"
    );
}

#[test]
fn initial_sequence_number() {
    let mut host = Host::new(&[(1, NEAR)]);
    let (target, tag) = host.open(1, 0);
    // The target's initial sequence number is in the upper half of the number space, so it would be
    // less than the opening's by serial number arithmetic.
    host.send(&data(1, tag, 10, 0xf000_0000));
    host.now_ms += 40;
    host.send(&Segment { data_bytes: 0, ..data(1, tag, 110, 0xf000_0fa0) });
    let samples = host.dispatcher.take_samples();
    assert_eq!(samples.iter().map(|sample| sample.answer_ms).collect::<Vec<u64>>(), [40]);
    let load = host.dispatcher.loads().into_iter().find(|load| load.target == target);
    assert_eq!(load.map(|load| load.busy), Some(0));
}

#[test]
fn recovered_target() {
    let mut host = Host::new(&[(1, NEAR), (2, NEAR)]);
    let flows = send_requests(&mut host, 0..20);
    advance(&mut host, 1_200);
    for (caller, _, tag) in flows {
        acknowledge(&mut host, caller, tag);
    }
    advance(&mut host, 600);
    assert!(host.dispatcher.loads().iter().all(|load| load.busy <= 10), "nothing is overdue");
    let targets = send_requests(&mut host, 100..110).into_iter().map(|flow| flow.1);
    assert_eq!(targets.filter(|target| target.0 == 1).count(), 5);
}
