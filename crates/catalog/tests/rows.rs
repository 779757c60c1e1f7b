//! Merging of rows.

use std::net::SocketAddrV4;

use catalog::{
    Absence, Catalog, Directory, Evacuation, Listener, Presence, Record, RequestKind, Revision,
    Row, Share, Stage, Target, TargetId,
};
use proptest::{prelude::*, test_runner::RngSeed};

fn target(id: u64, port: u16) -> Record {
    Record::Target(Target {
        id: TargetId(id),
        service_seed: 1,
        address: SocketAddrV4::new([10, 0, 0, 1].into(), port),
        domain_seed: 1,
        slots: 3,
        stage: Stage::Ready,
        warmup_ms: 0,
        started_at_ms: 0,
    })
}

fn listener(port: u16) -> Record {
    Record::Listener(Listener {
        address: SocketAddrV4::new([198, 18, 0, 1].into(), port),
        shares: vec![Share { service_seed: 1, weight: 1 }],
        kind: RequestKind::Idempotent,
        priority: 1,
        aim_ms: 250,
        timeout_ms: 1_500,
    })
}

fn evacuation(domain_seed: u64) -> Record {
    Record::Evacuation(Evacuation { domain_seed, domain: format!("domain-{domain_seed}") })
}

fn listed(revision: u64, record: Record) -> Row {
    Row::written(Revision::new(1, revision), revision, record)
}

fn catalog(rows: &[Row]) -> Catalog {
    let mut catalog = Catalog::default();
    for row in rows {
        catalog.merge(row.clone());
    }
    catalog
}

#[test]
fn removed_settings() {
    let mut catalog = catalog(&[listed(1, listener(80)), listed(2, target(7, 8_000))]);
    let revision = Revision::new(1, 3);
    let mut changed = catalog.mark_removed(revision, 3, |_| true);
    changed.extend(catalog.mark_absent(revision, Absence::Provisional, |_| true));
    let presences: Vec<Presence> = changed.iter().map(|row| row.presence).collect();
    // After an outage the store may lack announcements for a while, but never settings.
    assert_eq!(presences, [Presence::Gone, Presence::Lapsed]);
    assert!(Directory::new(&catalog).listeners().is_empty());
}

#[test]
fn lapsed_then_gone() {
    let mut catalog = catalog(&[listed(2, target(7, 8_000))]);
    catalog.mark_absent(Revision::new(1, 3), Absence::Provisional, |_| true);
    assert_eq!(Directory::new(&catalog).open_targets(1).count(), 1);
    catalog.mark_absent(Revision::new(1, 3), Absence::Conclusive, |row| {
        row.presence == Presence::Lapsed
    });
    assert_eq!(Directory::new(&catalog).open_targets(1).count(), 0);
}

#[test]
fn repeated_content() {
    let mut catalog = catalog(&[listed(2, target(7, 8_000))]);
    let digest = catalog.digest();
    assert!(!catalog.merge(listed(5, target(7, 8_000))), "the content is unchanged");
    assert_eq!(catalog.digest(), digest);
    let late = Row { presence: Presence::Gone, ..listed(4, target(7, 8_000)) };
    assert!(!catalog.merge(late), "a later revision lists the target again");
}

/// What a reader concludes from listings, in order.
#[test]
fn relisted_evacuation() {
    let at = |number| Revision::new(1, number);
    let row = |number| Row::written(at(number), 0, evacuation(1));
    for (absence_at, listed_at, written_at, is_in_force) in
        [(5, 5, 3, true), (5, 6, 3, true), (6, 5, 3, false), (5, 7, 7, true)]
    {
        let mut catalog = catalog(&[row(3)]);
        catalog.mark_absent(at(absence_at), Absence::Conclusive, |_| true);
        assert!(Directory::new(&catalog).evacuations().is_empty());
        catalog.merge_read(row(written_at), Some(at(listed_at)));
        let is_found = Directory::new(&catalog).is_evacuated(1);
        assert_eq!(is_found, is_in_force, "{absence_at} {listed_at} {written_at}");
        // A late copy of the first write changes nothing.
        catalog.merge(row(3));
        assert_eq!(Directory::new(&catalog).is_evacuated(1), is_in_force);
    }
}

fn any_row() -> impl Strategy<Value = Row> {
    let record = prop_oneof![
        (0..4u64, 0..2u16).prop_map(|(id, port)| target(id, port)),
        (0..4u16).prop_map(listener),
        (0..3u64).prop_map(evacuation),
    ];
    (1..8u64, 0..3u8, record).prop_map(|(revision, presence, record)| {
        let presence = match presence {
            0 => Presence::Listed,
            1 => Presence::Lapsed,
            _ => Presence::Gone,
        };
        // A target is absent at a later revision than that of its announcement.
        let is_absence = presence != Presence::Listed && !record.is_settings();
        let row = listed(revision, record);
        let edition = match &row.record {
            Record::Evacuation(_) => 0,
            _ => revision - u64::from(is_absence),
        };
        Row { presence, edition, ..row }
    })
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(2), ..ProptestConfig::default() })]

    #[test]
    fn row_never_reverts(rows in prop::collection::vec(any_row(), 0..20)) {
        let mut merged = Catalog::default();
        for row in &rows {
            let before = merged.get(row.record.key()).cloned();
            merged.merge(row.clone());
            let after = merged.get(row.record.key()).cloned();
            if let (Some(before), Some(after)) = (before, after) {
                prop_assert!((after.revision, after.presence) >= (before.revision, before.presence));
            }
        }
    }

    #[test]
    fn merge_is_commutative(rows in prop::collection::vec(any_row(), 0..20)) {
        // Each revision of a key has exactly one content.
        let mut unique = rows;
        unique.sort_by_key(|row| (row.record.key(), row.revision, row.presence));
        unique.dedup_by_key(|row| (row.record.key(), row.revision));
        let forward = catalog(&unique);
        unique.reverse();
        let backward = catalog(&unique);
        prop_assert_eq!(forward.digest(), backward.digest());
        prop_assert_eq!(forward.rows(), backward.rows());
    }
}
