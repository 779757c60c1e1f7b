//! Rows that the store does not list, on hosts that started after it stopped listing them.
//!
//! Failure scenario: announcements lapse in an outage of the store while their targets serve. A
//! host that starts before they reappear reads the store itself. It does not know the targets, so
//! it takes their flows for flows to targets that are gone.

mod support;

use std::net::SocketAddr;

use catalog::{Presence, Revision};
use relay::{
    Config, Heartbeat, KeyRange, Message, Peer, Pull, Relay, RowBatch, Scope, StoreUpdate,
};
use routing::HostId;
use support::{Fleet, Store, listed, target};

const HOSTS: usize = 30;
/// The targets whose announcements lapse.
const TARGETS: std::ops::RangeInclusive<u64> = 1..=5;
/// How long gone rows are kept: shorter than by default, so that hosts soon know them all.
const GONE_TTL_MS: u64 = 8_000;
/// A target whose announcement does not lapse.
const OTHER_TARGET: u64 = 6;

/// Hosts that have run long enough to know all unlisted rows.
fn experienced_fleet(seed: u64) -> Fleet {
    let config =
        Config { rows_per_batch: 3, fanout: 2, gone_ttl_ms: GONE_TTL_MS, ..Config::default() };
    let mut fleet = Fleet::with_config(config, HOSTS, 3, seed);
    TARGETS.for_each(|id| fleet.announce(id));
    fleet.announce(OTHER_TARGET);
    fleet.run(6_000, |_| {});
    fleet.store = Store::Down;
    fleet.run(4_000, |_| {});
    let is_complete = |index| fleet.relay(index).catalog().is_complete();
    assert!((0..HOSTS).all(is_complete), "seed {seed}: the hosts have run for {GONE_TTL_MS} ms");
    fleet
}

/// A host starts `start_ms` after the store has returned without announcements; they reappear 2 s
/// after its return. It asks `seeds` hosts for their rows; the other seeds in its settings are down.
/// Asserts that the host knows the targets whenever its view could prove that they are gone, and
/// that it learns of them before it has run for as long as gone rows are kept, unless most
/// transfers lose a part.
fn check(seeds: usize, loss_percent: u32, start_ms: u64, seed: u64) {
    let mut fleet = experienced_fleet(seed);
    TARGETS.for_each(|id| fleet.remove(id));
    fleet.store = Store::Up;
    fleet.run(start_ms, |_| {});
    let is_listener = |index: &usize| !fleet.readers().contains(index);
    let started = (0..HOSTS).find(is_listener).expect("most hosts do not read the store");
    fleet.loss_percent = loss_percent;
    fleet.restart_alone(started);
    (HOSTS - seeds..HOSTS).for_each(|index| fleet.ask_seed(started, index));
    let first_packet_ms = fleet.now_ms + 50;
    fleet.run(200, |_| {});
    fleet.find_peers(started);
    fleet.run(1_800 - start_ms, |fleet| {
        let confirmed_at_ms = fleet.relay(started).confirmed_at_ms();
        // The data path resets flows whose target is unknown 1 s after their first packet, if the
        // catalog is complete.
        if !fleet.relay(started).catalog().is_complete() {
            return;
        }
        if confirmed_at_ms.is_none_or(|at_ms| at_ms < first_packet_ms + 1_000) {
            return;
        }
        for id in TARGETS {
            assert!(
                matches!(fleet.presence(started, id), Some(Presence::Listed | Presence::Lapsed)),
                "seed {seed}: target {id} is unknown to the host that started {start_ms} ms after \
                 the outage with {seeds} seeds and {loss_percent} % loss; it claims a view current \
                 at {confirmed_at_ms:?}, and a packet arrived at {first_packet_ms}"
            );
        }
    });
    if loss_percent > 5 {
        return;
    }
    fleet.run(GONE_TTL_MS - 2_000, |_| {});
    assert!(fleet.relay(started).catalog().is_complete(), "seed {seed}: no history");
    TARGETS.for_each(|id| assert!(fleet.presence(started, id).is_some(), "seed {seed}: {id}"));
}

#[test]
fn seeds_answer() {
    for start_ms in [200, 500, 700] {
        (0..8).for_each(|seed| check(3, 0, start_ms, seed));
    }
}

#[test]
fn seeds_down() {
    for start_ms in [200, 500, 700] {
        (0..8).for_each(|seed| check(0, 0, start_ms, seed));
    }
}

#[test]
fn seeds_lossy() {
    for (seeds, loss_percent) in [(1, 5), (3, 25)] {
        (0..30).for_each(|seed| check(seeds, loss_percent, 200, seed));
    }
}

#[test]
fn all_started() {
    let mut fleet = experienced_fleet(1);
    fleet.store = Store::Up;
    (0..HOSTS).for_each(|index| fleet.restart(index));
    let complete_hosts = |fleet: &Fleet| {
        (0..HOSTS).filter(|index| fleet.relay(*index).catalog().is_complete()).count()
    };
    // No host remembers what the store does not list, so none may claim it because of another.
    fleet.run(GONE_TTL_MS - 100, |fleet| assert_eq!(complete_hosts(fleet), 0));
    fleet.run(1_000, |_| {});
    assert_eq!(complete_hosts(&fleet), HOSTS);
}

fn peer_address() -> SocketAddr {
    ([127, 0, 0, 1], 2).into()
}

/// A host with one peer that has read the store at `revision`.
fn started_host(revision: u64) -> Relay {
    let mut relay = Relay::new(Config::default(), HostId(1), 1, 0, 7);
    relay.set_peers(vec![Peer { id: HostId(2), address: peer_address(), domain_seed: 1 }]);
    let update = StoreUpdate {
        revision: Revision::new(1, revision),
        settings: vec![],
        rows: vec![listed(20, target(1))],
        removed: vec![],
        valid_at_ms: 100,
    };
    relay.on_store_update(update, 100);
    relay
}

/// Whether the catalog is complete after a transfer of all changes up to `revision`.
fn is_complete_after(relay: &mut Relay, revision: u64) -> bool {
    let heartbeat = Heartbeat {
        root: HostId(0),
        revision: Revision::new(1, revision),
        settings_version: 0,
        digest: relay.catalog().digest(),
        age_ms: 10,
        reader: HostId(2),
    };
    let rows = relay.catalog().rows().to_vec();
    let (scope, range) = (Scope::All, KeyRange::ALL);
    let batch =
        RowBatch { heartbeat, scope, after: Revision::ZERO, range, ends_window: true, rows };
    relay.on_message(peer_address(), Message::Rows(batch), 200);
    relay.catalog().is_complete()
}

#[test]
fn older_transfer() {
    let mut relay = started_host(140);
    // A target may have announced itself and lapsed between the two revisions.
    assert!(!is_complete_after(&mut relay, 130));
    assert!(is_complete_after(&mut relay, 140));
}

#[test]
fn few_pulls() {
    let mut relay = started_host(140);
    let pulls: usize = (1..1_500)
        .map(|step| relay.tick(step * 100))
        .map(|out| out.iter().filter(|sent| sent.message == Message::Pull(Pull::HISTORY)).count())
        .sum();
    assert!((5..=16).contains(&pulls), "{pulls} pulls without an answer");
}
