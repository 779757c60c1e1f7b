//! Memory and time that the catalog and the directory of announced targets cost a host.

use std::{
    hint::black_box,
    net::{Ipv4Addr, SocketAddrV4},
    time::Instant,
};

use allocation_counter::measure;
use catalog::{
    Catalog, Directory, Key, Listener, Presence, Record, RequestKind, Revision, Row, Share, Stage,
    Target, TargetId,
};
use routing::mix;
use serde::Serialize;

/// Number of runs of each timed step; the fastest one counts.
const RUNS: usize = 5;

/// Costs of a catalog and its directory.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DirectoryScale {
    /// Number of listeners.
    pub listeners: usize,
    /// Number of targets.
    pub targets: usize,
    /// Memory of the catalog, in bytes.
    pub catalog_bytes: i64,
    /// Memory of the first directory, in bytes.
    pub directory_bytes: i64,
    /// Additional memory of the directory that follows the change of one target, in bytes.
    pub next_directory_bytes: i64,
    /// Time to build the first directory, in microseconds.
    pub first_us: u64,
    /// Time to update the directory after a target changed its stage, in microseconds.
    pub changed_us: u64,
    /// Time to update the directory after a target was replaced, in microseconds.
    pub replaced_us: u64,
    /// Mean time to find a target by its tag, in nanoseconds.
    pub lookup_ns: u64,
}

/// Measures `targets` targets behind `listeners` listeners, one service each.
pub fn directory_scale(listeners: usize, targets: usize) -> DirectoryScale {
    let mut catalog = Catalog::default();
    let catalog_bytes = retained_bytes(|| {
        for number in 0..listeners {
            catalog.merge(listener_row(number));
        }
        for number in 0..targets {
            catalog.merge(target_row(number, number % listeners, Stage::Ready, 1));
        }
    });
    let mut first = Directory::default();
    let directory_bytes = retained_bytes(|| first = Directory::new(&catalog));
    let first_us = fastest_us(|| Directory::new(&catalog));

    let row = target_row(targets / 2, (targets / 2) % listeners, Stage::Draining, 2);
    assert!(catalog.merge(row), "the catalog must accept the new stage");
    let changed_us = fastest_us(|| first.updated(&catalog));
    let mut second = Directory::default();
    let next_directory_bytes = retained_bytes(|| second = first.updated(&catalog));

    catalog.merge(target_row(targets, 0, Stage::Ready, 3));
    let removed = target_row(targets / 3, (targets / 3) % listeners, Stage::Ready, 1);
    let key = removed.record.key();
    assert!(
        catalog.merge(Row { revision: Revision::new(1, 3), presence: Presence::Gone, ..removed }),
        "the catalog must accept the removal"
    );
    catalog.purge(|row| row.record.key() == key);
    let replaced_us = fastest_us(|| second.updated(&catalog));
    let third = second.updated(&catalog);
    assert!(target_index(&third, targets).is_some() && target_index(&third, targets / 3).is_none());

    let lookup_ns = {
        let tags: Vec<_> = (0..targets)
            .filter_map(|number| target_index(&third, number))
            .filter_map(|index| third.tag_for(index))
            .collect();
        let started = Instant::now();
        for tag in &tags {
            black_box(third.find_target_by_tag(*tag));
        }
        started.elapsed().as_nanos() as u64 / tags.len().max(1) as u64
    };
    DirectoryScale {
        listeners,
        targets,
        catalog_bytes,
        directory_bytes,
        next_directory_bytes,
        first_us,
        changed_us,
        replaced_us,
        lookup_ns,
    }
}

fn target_index(directory: &Directory, number: usize) -> Option<catalog::TargetIndex> {
    directory.find_target(target_id(number))
}

/// Returns the bytes that `work` allocates and does not free.
fn retained_bytes(work: impl FnOnce()) -> i64 {
    measure(work).bytes_current
}

fn fastest_us<T>(work: impl Fn() -> T) -> u64 {
    let time_us = |_| {
        let started = Instant::now();
        black_box(work());
        started.elapsed().as_micros() as u64
    };
    (0..RUNS).map(time_us).min().unwrap_or(0)
}

fn target_id(number: usize) -> TargetId {
    TargetId(mix(number as u64, 1))
}

fn listener_row(number: usize) -> Row {
    let ip = Ipv4Addr::from(u32::from(Ipv4Addr::new(198, 18, 0, 1)) + number as u32);
    let record = Record::Listener(Listener {
        address: SocketAddrV4::new(ip, 443),
        shares: vec![Share { service_seed: number as u64, weight: 1 }],
        kind: RequestKind::Idempotent,
        priority: 2,
        aim_ms: 250,
        timeout_ms: 1_500,
    });
    Row::written(Revision::new(1, 1), 1, record)
}

fn target_row(number: usize, service: usize, stage: Stage, revision: u64) -> Row {
    let ip = Ipv4Addr::from(u32::from(Ipv4Addr::new(10, 0, 0, 1)) + number as u32);
    let record = Record::Target(Target {
        id: target_id(number),
        service_seed: service as u64,
        address: SocketAddrV4::new(ip, 8_000),
        domain_seed: number as u64 % 11,
        slots: 3,
        stage,
        warmup_ms: 0,
        started_at_ms: number as u64,
    });
    debug_assert!(matches!(record.key(), Key::Target(_)));
    Row::written(Revision::new(1, revision), revision, record)
}
