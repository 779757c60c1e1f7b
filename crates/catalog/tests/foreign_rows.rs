//! Rows under the id of a target that the target did not write.

mod support;

use catalog::{Catalog, Key, Record, Revision, Row, Target, TargetId};
use support::target;

const ID: TargetId = TargetId(1);

fn row(revision: u64, edition: u64, service_seed: u64, started_at_ms: u64) -> Row {
    let target = target(ID, service_seed, started_at_ms);
    Row::written(Revision::new(1, revision), edition, Record::Target(target))
}

fn known(catalog: &Catalog) -> &Target {
    match catalog.get(Key::Target(ID)).map(|row| &row.record) {
        Some(Record::Target(target)) => target,
        other => panic!("{other:?}"),
    }
}

/// An entry without a start time took the place of the target's own.
#[test]
fn start_no_longer_stated() {
    let mut catalog = Catalog::default();
    let listed_at = |number| Some(Revision::new(1, number));
    catalog.merge_read(row(10, 3, 7, 1_000), listed_at(10));
    assert_eq!(catalog.merge_read(row(20, 9, 8, 0), listed_at(20)), None);
    assert_eq!((known(&catalog).service_seed, known(&catalog).started_at_ms), (7, 1_000));
    // The target writes again.
    let later = row(30, 4, 7, 1_000);
    catalog.merge_read(later, listed_at(30));
    assert_eq!(catalog.get(Key::Target(ID)).map(|row| row.edition), Some(4));
}

#[test]
fn never_stated() {
    let mut catalog = Catalog::default();
    let listed_at = |number| Some(Revision::new(1, number));
    catalog.merge_read(row(10, 3, 7, 0), listed_at(10));
    assert!(catalog.merge_read(row(20, 4, 8, 0), listed_at(20)).is_some());
    assert_eq!(known(&catalog).service_seed, 8);
}
