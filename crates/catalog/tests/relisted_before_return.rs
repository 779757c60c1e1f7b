//! A target that was taken for gone and was listed again with the same announcement, before the store
//! returned from a copy that lists it too.
//!
//! Failure scenario: a host that has missed the second listing takes the target for gone, and the copy
//! does not correct it. Which row a host ends with depends on the order in which the rows arrive.

use catalog::{Catalog, Presence, Record, Revision, Row, Stage, Target, TargetId};
use proptest::{prelude::*, test_runner::RngSeed};

fn row(era: u64, number: u64, presence: Presence) -> Row {
    let revision = Revision::new(era, number);
    Row { presence, ..Row::written(revision, 5, target(7, Stage::Ready)) }
}

fn target(started_at_ms: u64, stage: Stage) -> Record {
    Record::Target(Target {
        id: TargetId(1),
        service_seed: 1,
        address: "10.0.0.1:8000".parse().expect("an address"),
        domain_seed: 1,
        slots: 3,
        stage,
        warmup_ms: 0,
        started_at_ms,
    })
}

/// The row that is left after `rows` were merged in this order.
fn merged(rows: &[Row]) -> Option<Row> {
    let mut catalog = Catalog::default();
    rows.iter().for_each(|row| {
        catalog.merge(row.clone());
    });
    catalog.rows().first().cloned()
}

/// Calls `visit` with every order of `rows`.
fn for_each_order(rows: &mut [Row], first: usize, visit: &mut impl FnMut(&[Row])) {
    if first == rows.len() {
        return visit(rows);
    }
    for other in first..rows.len() {
        rows.swap(first, other);
        for_each_order(rows, first + 1, visit);
        rows.swap(first, other);
    }
}

#[test]
fn any_order() {
    let gone = row(1, 10, Presence::Gone);
    // A reader found that the store lists the announcement that it took for gone.
    let relisted = Row { is_relisted: true, ..row(1, 20, Presence::Listed) };
    let copied = row(2, 8, Presence::Listed);
    for_each_order(&mut [gone, relisted, copied], 0, &mut |order| {
        let left = merged(order).expect("a row is left");
        assert_eq!(left.presence, Presence::Listed, "{order:?}");
    });
}

#[test]
fn relisted_by_reader() {
    // The row of the test above is the one that a reader makes of a false absence.
    let mut catalog = Catalog::default();
    catalog.merge(row(1, 10, Presence::Gone));
    let listed = row(1, 4, Presence::Listed);
    let relisted = catalog.merge_read(listed.clone(), Some(Revision::new(1, 20)));
    let expected = Row { revision: Revision::new(1, 20), is_relisted: true, ..listed };
    assert_eq!(relisted, Some(expected));
}

/// Any row of one target, whether or not it can come about.
fn any_row() -> impl Strategy<Value = Row> {
    let presence =
        prop_oneof![Just(Presence::Listed), Just(Presence::Lapsed), Just(Presence::Gone)];
    let revision = (1..4u64, 1..5u64).prop_map(|(era, number)| Revision::new(era, number));
    let stage = prop_oneof![Just(Stage::Ready), Just(Stage::Draining)];
    let written = (revision, 1..4u64, 7..9u64, stage);
    (written, presence, any::<bool>(), 0..2u16).prop_map(|(written, presence, listed, resets)| {
        let (revision, edition, started_at_ms, stage) = written;
        let is_relisted = listed && presence == Presence::Listed;
        let row = Row::written(revision, edition, target(started_at_ms, stage));
        Row { presence, is_relisted, clock_resets: resets, ..row }
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Rows of one key are in a total order, so the highest one is left in every order.
    #[test]
    fn every_order(mut rows in prop::collection::vec(any_row(), 1..6)) {
        // Two rows that differ in their content alone are never written.
        let is_same = |one: &Row, other: &Row| !one.supersedes(other) && !other.supersedes(one);
        let mut unique: Vec<Row> = Vec::new();
        rows.retain(|row| {
            let is_new = !unique.iter().any(|other| is_same(row, other));
            unique.extend(is_new.then(|| row.clone()));
            is_new
        });
        let expected = merged(&rows);
        let mut differing = None;
        for_each_order(&mut rows, 0, &mut |order| {
            if merged(order) != expected {
                differing = Some(order.to_vec());
            }
        });
        prop_assert_eq!(differing, None);
    }
}
