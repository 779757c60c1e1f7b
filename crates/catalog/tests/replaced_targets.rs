//! Targets at whose address another entry names a target too.

mod support;

use catalog::{Catalog, Directory, Limits, Record, Revision, Row, Service, TargetId};

const SERVICE: u64 = 7;
const UNKNOWN_SERVICE: u64 = 8;

/// A target at the one address that all targets of these tests share.
fn target(id: u64, service_seed: u64, started_at_ms: u64) -> Record {
    Record::Target(support::target(TargetId(id), service_seed, started_at_ms))
}

/// The directory of `entries`, which are pairs of a revision and a record.
fn directory_of(entries: &[(u64, Record)]) -> Directory {
    let service = Service {
        seed: SERVICE,
        health_path: "/health".to_owned(),
        flows_max: 100,
        warmup_openings_per_ks: None,
    };
    let settings = [Record::Limits(Limits { idle_timeout_ms: 15_000 }), Record::Service(service)];
    let mut catalog = Catalog::default();
    let settings = settings.into_iter().map(|record| (1, record));
    for (revision, record) in settings.chain(entries.iter().cloned()) {
        let revision = Revision::new(1, revision);
        catalog.merge(Row::written(revision, 1, record));
        catalog.advance(revision, 0);
    }
    Directory::new(&catalog)
}

/// The ids of the targets that are replaced in the directory of `entries`.
fn replaced(entries: &[(u64, Record)]) -> Vec<u64> {
    let directory = directory_of(entries);
    let ids = entries.iter().filter_map(|(_, record)| match record {
        Record::Target(target) => Some(target.id),
        _ => None,
    });
    ids.filter(|id| directory.find_target(*id).is_some_and(|index| directory.is_replaced(index)))
        .map(|id| id.0)
        .collect()
}

#[test]
fn later_start() {
    let entries = [(10, target(1, SERVICE, 1_000)), (20, target(2, SERVICE, 9_000))];
    assert_eq!(replaced(&entries), [1]);
}

#[test]
fn unknown_service() {
    // Not written by a target: no configuration names its service.
    for started_at_ms in [1_001, u64::MAX] {
        let entries =
            [(10, target(1, SERVICE, 1_000)), (20, target(2, UNKNOWN_SERVICE, started_at_ms))];
        assert_eq!(replaced(&entries), [], "a foreign entry started at {started_at_ms}");
    }
}

#[test]
fn clock_stepped_back() {
    // The second target's wall clock was 5 s slow when it started at the address of the first one,
    // which no longer writes its entry.
    let entries = [(10, target(1, SERVICE, 9_000)), (20, target(2, SERVICE, 4_000))];
    assert_eq!(replaced(&entries), [1], "the last one to appear is the live one");
}

/// An entry of another writer without a start time counted as a later start at the address.
#[test]
fn start_not_stated() {
    let entries =
        [(10, target(1, SERVICE, 1_000)), (20, target(2, SERVICE, 0)), (30, target(3, SERVICE, 0))];
    assert_eq!(replaced(&entries), []);
    let directory = directory_of(&entries);
    let open: Vec<u64> =
        directory.open_targets(SERVICE).map(|index| directory.target(index).id.0).collect();
    assert_eq!(open, [1], "the others are not targets");
    // In a deployment where no target states its start the order of the entries decides.
    let entries = [(10, target(1, SERVICE, 0)), (20, target(2, SERVICE, 0))];
    assert_eq!(replaced(&entries), [1]);
}
