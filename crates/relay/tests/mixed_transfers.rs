//! Parts of two transfers of all rows, sent by one host at one revision with different rows.
//!
//! Failure scenario: a part of a transfer is lost, and the host pulls again. Meanwhile the sender
//! has deleted a gone row, which changes neither its revision nor its digest, but moves the other
//! rows to other parts.

mod support;

use std::net::{SocketAddr, SocketAddrV4};

use catalog::{Catalog, Key, Limits, Presence, Record, Revision, Row};
use relay::{Config, Heartbeat, KeyRange, Message, Peer, Pull, Relay, RowBatch, Scope};
use routing::HostId;
use support::{listener, target};

const ME: HostId = HostId(1);
const SENDER: HostId = HostId(2);
const REVISION: Revision = Revision::new(1, 140);
const SETTINGS_VERSION: u64 = 21;
const ROWS_PER_PART: usize = 3;

fn sender_address() -> SocketAddr {
    ([127, 0, 0, 1], 2).into()
}

fn row(presence: Presence, record: Record) -> Row {
    Row { presence, ..Row::written(Revision::new(1, 20), 20, record) }
}

/// The listed rows: listeners on the ports 81 to 84, limits that changed later, and one target.
fn listed_rows() -> Vec<Row> {
    let mut rows: Vec<Row> =
        (81..=84).map(|port| row(Presence::Listed, listener(port, 1))).collect();
    let limits = Record::Limits(Limits { idle_timeout_ms: 15_000 });
    rows.push(Row { edition: SETTINGS_VERSION, ..row(Presence::Listed, limits) });
    rows.push(row(Presence::Listed, target(1)));
    rows
}

/// The rows of the sender before it deletes the gone listener on port 80.
fn rows_with_gone() -> Vec<Row> {
    std::iter::once(row(Presence::Gone, listener(80, 1))).chain(listed_rows()).collect()
}

/// The parts of a transfer of `rows`.
fn transfer(scope: Scope, rows: &[Row]) -> Vec<Message> {
    let mut catalog = Catalog::default();
    rows.iter().for_each(|row| {
        catalog.merge(row.clone());
    });
    let heartbeat = Heartbeat {
        root: HostId(0),
        revision: REVISION,
        settings_version: SETTINGS_VERSION,
        digest: catalog.digest(),
        age_ms: 10,
        reader: SENDER,
    };
    let parts: Vec<&[Row]> = catalog.rows().chunks(ROWS_PER_PART).collect();
    let mut start = None;
    let mut out = Vec::new();
    for (index, rows) in parts.iter().enumerate() {
        let ends_window = index + 1 == parts.len();
        let end = rows.last().map(|row| row.record.key()).filter(|_| !ends_window);
        let range = KeyRange { start, end };
        start = end;
        let rows = rows.to_vec();
        let batch = RowBatch { heartbeat, scope, after: Revision::ZERO, range, ends_window, rows };
        out.push(Message::Rows(batch));
    }
    out
}

/// A host that knows all rows but the target, and has just pulled all rows of the sender.
fn pulling_host(now_ms: u64) -> Relay {
    let mut relay = Relay::new(Config::default(), ME, 1, 0, 7);
    let peer = Peer { id: SENDER, address: sender_address(), domain_seed: 1 };
    relay.set_peers(vec![peer]);
    let known = &listed_rows()[..5];
    for message in transfer(Scope::Changes, known) {
        relay.on_message(sender_address(), message, now_ms);
    }
    let Some(Message::Rows(batch)) = transfer(Scope::All, &listed_rows()).pop() else {
        panic!("a transfer has parts");
    };
    let heartbeat = Message::Heartbeat(batch.heartbeat);
    let out = relay.on_message(sender_address(), heartbeat, now_ms);
    let is_pull =
        |message: &Message| matches!(message, Message::Pull(Pull { scope: Scope::All, .. }));
    assert!(out.iter().any(|outgoing| is_pull(&outgoing.message)), "{out:?}");
    relay
}

fn assert_all_listed(relay: &Relay) {
    for port in 81..=84 {
        let presence = relay.catalog().get(Key::Listener(listener_address(port)));
        assert_eq!(presence.map(|row| row.presence), Some(Presence::Listed), "port {port}");
    }
}

fn listener_address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([198, 18, 0, 1].into(), port)
}

/// Delivers the part with index `first` of the transfer before the deletion, then the part with
/// index `second` of the transfer after it.
fn deliver_mixed(relay: &mut Relay, first: usize, second: usize, now_ms: u64) {
    let before = transfer(Scope::All, &rows_with_gone())[first].clone();
    let after = transfer(Scope::All, &listed_rows())[second].clone();
    relay.on_message(sender_address(), before, now_ms + 5);
    relay.on_message(sender_address(), after, now_ms + 320);
}

#[test]
fn lost_parts() {
    for (first, second) in [(0, 1), (1, 0)] {
        let mut relay = pulling_host(10_000);
        deliver_mixed(&mut relay, first, second, 10_000);
        assert_all_listed(&relay);
    }
}

#[test]
fn later_transfer() {
    let mut relay = pulling_host(10_000);
    deliver_mixed(&mut relay, 0, 1, 10_000);
    // Whatever the mixed parts did, a whole transfer at the same revision repairs it.
    for message in transfer(Scope::All, &listed_rows()) {
        relay.on_message(sender_address(), message, 11_000);
    }
    assert_all_listed(&relay);
}
