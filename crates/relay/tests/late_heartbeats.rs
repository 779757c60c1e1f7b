//! Heartbeats that wait in a queue before a host handles them.
//!
//! Load pattern: a large configuration is rewritten in quick succession. A host with little
//! processor time is a second or more behind with its messages, although it never pauses.

mod support;

use support::Fleet;

/// Messages to one host wait `queue_ms` from now on. A target announces itself. Asserts that the
/// host never claims that a view without the target was current after the announcement.
fn check(queue_ms: u64, seed: u64) {
    let mut fleet = Fleet::new(12, 3, seed);
    fleet.announce(1);
    fleet.run(6_000, |_| {});
    let slow = (0..12).find(|index| !fleet.readers().contains(index)).expect("one of 12 reads");
    fleet.queue_ms[slow] = queue_ms;
    fleet.run(2 * queue_ms, |_| {});
    fleet.announce(2);
    let announced_at_ms = fleet.now_ms;
    fleet.run(3 * queue_ms, |fleet| {
        let confirmed_at_ms = fleet.relay(slow).confirmed_at_ms().unwrap_or(0);
        assert!(
            fleet.presence(slow, 2).is_some() || confirmed_at_ms <= announced_at_ms,
            "seed {seed}, {queue_ms} ms in the queue: at {} the host claims that its view without \
             the target announced at {announced_at_ms} was current at {confirmed_at_ms}",
            fleet.now_ms
        );
    });
}

#[test]
fn growing_queue() {
    for queue_ms in [400, 1_500] {
        (0..4).for_each(|seed| check(queue_ms, seed));
    }
}
