//! Round trips of the messages about the catalog.

use std::net::SocketAddrV4;

use catalog::{
    Digest, Key, Limits, Listener, Presence, Record, RequestKind, Revision, Row, Service, Share,
    Stage, Target, TargetId,
};
use relay::{Heartbeat, KeyRange, Message, Pull, RowBatch, Scope};
use routing::HostId;
use wire::{Control, decode, encode};

fn address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([198, 18, 255, 1].into(), port)
}

/// A row of each kind, with values that differ from the defaults.
fn rows() -> Vec<Row> {
    let records = [
        Record::Limits(Limits { idle_timeout_ms: 30_000 }),
        Record::Service(Service {
            seed: 7,
            health_path: "/health".to_owned(),
            flows_max: 3_000,
            warmup_openings_per_ks: Some(1_500),
        }),
        Record::Target(Target {
            id: TargetId(u64::MAX),
            service_seed: 7,
            address: address(8_204),
            domain_seed: 9,
            slots: 2,
            stage: Stage::Draining,
            warmup_ms: 1_500,
            started_at_ms: 1_770_026_880_893,
        }),
        Record::Listener(Listener {
            address: address(443),
            shares: vec![
                Share { service_seed: 7, weight: 3 },
                Share { service_seed: 8, weight: 1 },
            ],
            kind: RequestKind::Download,
            priority: 2,
            aim_ms: 250,
            timeout_ms: 1_500,
        }),
    ];
    let presences = [Presence::Listed, Presence::Gone, Presence::Lapsed, Presence::Listed];
    let rows = records.into_iter().zip(presences).zip(140..);
    rows.map(|((record, presence), number)| {
        let written = Row::written(Revision::new(3, number), number - 100, record);
        let (created, clock_resets) = (Revision::new(2, number - 50), number as u16);
        Row { presence, is_relisted: number % 2 == 0, clock_resets, created, ..written }
    })
    .collect()
}

fn assert_round_trip(message: Message) {
    let message = Control::Relay(message);
    assert_eq!(decode(&encode(&message)), Ok(message));
}

#[test]
fn heartbeat_and_poll() {
    assert_round_trip(Message::Heartbeat(heartbeat()));
    assert_round_trip(Message::Poll);
}

fn heartbeat() -> Heartbeat {
    let (root, reader) = (HostId(5), HostId(6));
    let revision = Revision::new(4, 200);
    Heartbeat { root, revision, settings_version: 17, digest: Digest(99), age_ms: 12, reader }
}

#[test]
fn pulls() {
    assert_round_trip(Message::Pull(Pull::HISTORY));
    for start in rows().iter().map(|row| row.record.key()) {
        let (revision, digest, scope) = (Revision::new(4, 200), Digest(99), Scope::Changes);
        let (start, batches) = (Some(start), 4);
        assert_round_trip(Message::Pull(Pull { revision, digest, scope, start, batches }));
    }
}

#[test]
fn batches() {
    let keys: Vec<Option<Key>> = rows().iter().map(|row| Some(row.record.key())).collect();
    let ends = keys.iter().copied().chain([None]);
    for (start, end) in std::iter::once(None).chain(keys.iter().copied()).zip(ends) {
        assert_round_trip(Message::Rows(RowBatch {
            heartbeat: heartbeat(),
            scope: Scope::All,
            after: Revision::new(3, 140),
            range: KeyRange { start, end },
            ends_window: end.is_none(),
            rows: rows(),
        }));
    }
}
