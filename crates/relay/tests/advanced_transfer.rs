//! A transfer of changes during which the host hears of some of them from another one.
//!
//! Failure scenario: two hosts read the store. A host pulls many rows from one of them, and the other
//! pushes an earlier change meanwhile. The rest of the rows is pulled as of a later revision, so that
//! it no longer belongs to the transfer, which stands still until it is given up.

mod support;

use std::net::SocketAddr;

use catalog::{Key, Limits, Presence, Record, Revision};
use relay::{
    Config, Heartbeat, KeyRange, Message, Peer, Relay, RowBatch, Scope, Settings, StoreUpdate,
};
use routing::HostId;
use support::{listed, listener, target};

const ROUTES: u16 = 400;

fn address(id: u64) -> SocketAddr {
    ([127, 0, 0, 1], id as u16).into()
}

/// A read of the store at the revision with this number, with `routes` listeners written at it.
fn read(number: u64, routes: u16) -> StoreUpdate {
    let revision = Revision::new(1, number);
    let limits = Record::Limits(Limits { idle_timeout_ms: 15_000 });
    let records = std::iter::once(limits).chain((0..routes).map(|port| listener(port, 1)));
    let settings = vec![Settings { version: number, revision, records: records.collect() }];
    let rows = vec![listed(20, target(1))];
    StoreUpdate { revision, settings, rows, removed: Vec::new(), valid_at_ms: 0 }
}

fn host(id: u64, peer: u64) -> Relay {
    let mut relay = Relay::new(Config::default(), HostId(id), 1, 0, 7);
    relay.set_peers(vec![Peer { id: HostId(peer), address: address(peer), domain_seed: 1 }]);
    relay.on_store_update(read(100, 1), 0);
    relay
}

#[test]
fn earlier_push() {
    let (mut receiver, mut sender) = (host(1, 2), host(2, 1));
    let mut to_receiver = sender.on_store_update(read(200, ROUTES), 10);
    let mut to_sender = Vec::new();
    // The first window arrives, then a push of another reader, then the rest.
    for round in 0..20 {
        for outgoing in to_receiver.drain(..) {
            to_sender.extend(receiver.on_message(address(2), outgoing.message, 10 + round));
        }
        if round == 1 {
            let heartbeat = Heartbeat {
                root: HostId(3),
                revision: Revision::new(1, 120),
                settings_version: 100,
                digest: catalog::Digest(5),
                age_ms: 5,
                reader: HostId(3),
            };
            let rows = vec![listed(120, target(2))];
            let (scope, range, after) = (Scope::Changes, KeyRange::ALL, Revision::new(1, 100));
            let batch = RowBatch { heartbeat, scope, after, range, ends_window: true, rows };
            to_sender.extend(receiver.on_message(address(3), Message::Rows(batch), 10 + round));
            assert_eq!(receiver.catalog().revision(), Revision::new(1, 120));
        }
        for outgoing in to_sender.drain(..).filter(|outgoing| outgoing.to == address(2)) {
            to_receiver.extend(sender.on_message(address(1), outgoing.message, 10 + round));
        }
    }
    assert_eq!(receiver.catalog().revision(), Revision::new(1, 200));
    let last = receiver.catalog().get(Key::Listener(listener_address()));
    assert_eq!(last.map(|row| row.presence), Some(Presence::Listed));
}

fn listener_address() -> std::net::SocketAddrV4 {
    let Record::Listener(listener) = listener(ROUTES - 1, 1) else { panic!("a listener") };
    listener.address
}

/// An answer that comes after its timeout overlaps the window that was pulled again. Each window is
/// followed by one pull, not each of its batches.
#[test]
fn late_window() {
    let (mut receiver, mut sender) = (host(1, 2), host(2, 1));
    let mut to_receiver = sender.on_store_update(read(200, 4_000), 10);
    let timeout_ms = Config::default().pull_timeout_ms;
    let (mut now_ms, mut pulls, mut held, mut batches) = (10, 0, Vec::new(), 0);
    while receiver.catalog().revision() < Revision::new(1, 200) {
        now_ms += 1;
        assert!(now_ms < 5_000, "the transfer stands still after {batches} batches");
        let mut to_sender = Vec::new();
        for outgoing in to_receiver.drain(..) {
            batches += usize::from(matches!(outgoing.message, Message::Rows(_)));
            to_sender.extend(receiver.on_message(address(2), outgoing.message, now_ms));
        }
        pulls += to_sender.len();
        if pulls == 2 && held.is_empty() {
            // The answer waits in a full link until the receiver has pulled once more.
            let answers =
                |outgoing: relay::Outgoing| sender.on_message(address(1), outgoing.message, now_ms);
            held = to_sender.drain(..).flat_map(answers).collect();
            now_ms += timeout_ms;
            to_sender.extend(receiver.tick(now_ms));
            to_receiver.append(&mut held.clone());
        }
        for outgoing in to_sender.drain(..).filter(|outgoing| outgoing.to == address(2)) {
            to_receiver.extend(sender.on_message(address(1), outgoing.message, now_ms));
        }
    }
    let needed = 4_000_usize.div_ceil(Config::default().rows_per_batch);
    assert!(batches <= needed * 5 / 4, "{batches} batches for {needed}");
}

/// A host that missed a change of the settings pulls it from one that has just started. That one does
/// not know which routes were dropped, and answers with all rows.
#[test]
fn dropped_routes() {
    let mut receiver = Relay::new(Config::default(), HostId(1), 1, 0, 7);
    receiver.set_peers(vec![Peer { id: HostId(2), address: address(2), domain_seed: 1 }]);
    receiver.on_store_update(read(100, 400), 0);
    let mut sender = Relay::new(Config::default(), HostId(2), 1, 0, 7);
    sender.set_peers(vec![Peer { id: HostId(1), address: address(1), domain_seed: 1 }]);
    sender.on_store_update(read(200, 300), 0);
    let listed = |relay: &Relay| {
        let rows = relay.catalog().rows().iter();
        rows.filter(|row| row.record.is_settings() && row.presence == Presence::Listed).count()
    };
    let mut to_receiver = sender.on_message(address(1), Message::Poll, 10);
    let mut to_sender = Vec::new();
    for now_ms in 10..40 {
        for outgoing in to_receiver.drain(..) {
            to_sender.extend(receiver.on_message(address(2), outgoing.message, now_ms));
            // Other hosts take its rows for those of the version that it claims to know.
            let is_current = receiver.catalog().settings_version() == 200;
            assert!(
                !is_current || listed(&receiver) == listed(&sender),
                "at {now_ms} it lists {} settings, not {}",
                listed(&receiver),
                listed(&sender)
            );
        }
        for outgoing in to_sender.drain(..).filter(|outgoing| outgoing.to == address(2)) {
            to_receiver.extend(sender.on_message(address(1), outgoing.message, now_ms));
        }
    }
    assert_eq!(receiver.catalog().settings_version(), 200);
    assert_eq!(receiver.catalog().digest(), sender.catalog().digest());
}
