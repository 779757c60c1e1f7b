//! Targets that another host reports as lapsed although the store lists them.

mod support;

use std::net::SocketAddr;

use catalog::{Digest, Key, Presence, Revision, Row, TargetId};
use relay::{
    Config, Heartbeat, KeyRange, Message, Peer, Relay, Role, RowBatch, Scope, StoreUpdate,
};
use routing::HostId;
use support::{listed, target};

const ME: HostId = HostId(1);
const OTHER: HostId = HostId(2);
const REVISION: u64 = 140;

/// A read of the store at the revision with this number of the first era.
fn read(
    number: u64,
    rows: Vec<Row>,
    removed: Vec<(Revision, Key)>,
    valid_at_ms: u64,
) -> StoreUpdate {
    let revision = Revision::new(1, number);
    StoreUpdate { revision, settings: Vec::new(), rows, removed, valid_at_ms }
}

fn full_listing(now_ms: u64) -> StoreUpdate {
    let targets = (1..=3).map(|id| listed(20 + id, target(id))).collect();
    read(REVISION, targets, Vec::new(), now_ms)
}

/// A host without peers that has followed the store long enough to stay reader.
fn reader() -> (Relay, u64) {
    let mut relay = Relay::new(Config::default(), ME, 1, 0, 7);
    let mut now_ms = 0;
    while now_ms < 8_000 {
        now_ms += 500;
        relay.tick(now_ms);
        if relay.role() == Role::Reader {
            relay.on_store_update(full_listing(now_ms), now_ms);
        }
    }
    relay.tick(now_ms);
    assert_eq!(relay.role(), Role::Reader);
    (relay, now_ms)
}

/// Another host reports that the target `id` lapsed at `revision`.
fn report_lapsed(relay: &mut Relay, id: u64, number: u64, now_ms: u64) {
    let revision = Revision::new(1, number);
    let row = Row { revision, presence: Presence::Lapsed, ..listed(20 + id, target(id)) };
    let heartbeat = Heartbeat {
        root: HostId(0),
        revision,
        settings_version: 0,
        digest: Digest(5),
        age_ms: 10,
        reader: OTHER,
    };
    let (scope, range) = (Scope::Changes, KeyRange::ALL);
    let batch = RowBatch {
        heartbeat,
        scope,
        after: Revision::ZERO,
        range,
        ends_window: true,
        rows: vec![row],
    };
    let from: SocketAddr = ([127, 0, 0, 1], 2).into();
    relay.on_message(from, Message::Rows(batch), now_ms);
}

fn presence(relay: &Relay, id: u64) -> Option<Presence> {
    relay.catalog().get(Key::Target(TargetId(id))).map(|row| row.presence)
}

#[test]
fn listed_again() {
    let (mut relay, now_ms) = reader();
    report_lapsed(&mut relay, 2, REVISION - 6, now_ms);
    assert_eq!(presence(&relay, 2), Some(Presence::Lapsed));
    assert!(relay.take_relist_request(), "the reader has to do a full listing");
    assert!(!relay.take_relist_request(), "the request is returned once");
    let out = relay.on_store_update(full_listing(now_ms), now_ms);
    assert_eq!(presence(&relay, 2), Some(Presence::Listed));
    assert!(out.is_empty(), "there are no peers to send to");
}

#[test]
fn current_revision() {
    let (mut relay, now_ms) = reader();
    // The store has not changed since, so the full listing has the same revision as the report.
    report_lapsed(&mut relay, 2, REVISION, now_ms);
    assert!(relay.take_relist_request(), "the reader has to do a full listing");
    relay.on_store_update(full_listing(now_ms), now_ms);
    assert_eq!(presence(&relay, 2), Some(Presence::Listed));
}

#[test]
fn current_revision_elsewhere() {
    let (mut relay, now_ms) = reader();
    // Another host believes the report too, and does not read the store.
    let (mut other, _) = reader();
    report_lapsed(&mut relay, 2, REVISION, now_ms);
    report_lapsed(&mut other, 2, REVISION, now_ms);
    let address: SocketAddr = ([127, 0, 0, 1], 2).into();
    relay.set_peers(vec![Peer { id: OTHER, address, domain_seed: 1 }]);
    for outgoing in relay.on_store_update(full_listing(now_ms), now_ms) {
        other.on_message(address, outgoing.message, now_ms);
    }
    assert_eq!(presence(&other, 2), Some(Presence::Listed));
    assert_eq!(relay.catalog().digest(), other.catalog().digest());
}

#[test]
fn removed_stays() {
    let (mut relay, now_ms) = reader();
    let removed = vec![(Revision::new(1, REVISION + 2), Key::Target(TargetId(2)))];
    // Written and removed again between two reads.
    let targets = vec![listed(REVISION + 1, target(2))];
    relay.on_store_update(read(REVISION + 3, targets, removed, now_ms), now_ms);
    assert_ne!(presence(&relay, 2), Some(Presence::Listed));
}

#[test]
fn lapsed_for_peer() {
    let (mut relay, now_ms) = reader();
    report_lapsed(&mut relay, 2, REVISION, now_ms);
    // The peer saw the store recover just now, so the target may announce itself again for a while,
    // although this host's own calls have all succeeded.
    for step in 1..=15 {
        let now_ms = now_ms + step * 100;
        relay.tick(now_ms);
        let targets = vec![listed(21, target(1)), listed(23, target(3))];
        let removed = vec![(Revision::new(1, REVISION), Key::Target(TargetId(2)))];
        relay.on_store_update(read(REVISION, targets, removed, now_ms), now_ms);
        assert_ne!(presence(&relay, 2), Some(Presence::Gone), "{} ms later", step * 100);
    }
}
