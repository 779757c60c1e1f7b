//! Targets whose first tags are the same.
//!
//! Failure scenario: a target starts whose id gives the tag that the flows of another one carry, and hosts
//! no longer know whose these flows are.

mod support;

use std::{collections::HashMap, sync::LazyLock};

use catalog::{
    Absence, Catalog, Directory, FlowTag, Key, Record, Revision, Row, TagOwner, TargetId,
};
use proptest::{prelude::*, test_runner::RngSeed};
use routing::mix;

/// Three targets, of which the first two derive the same tag from the first salt.
static TARGETS: LazyLock<[TargetId; 3]> = LazyLock::new(|| {
    let mut seen: HashMap<u32, TargetId> = HashMap::new();
    let mut ids = (1..).map(|number| TargetId(mix(number, 1)));
    let pair = ids.find_map(|id| Some((seen.insert(FlowTag::derive(id, 0).0, id)?, id)));
    let (one, other) = pair.expect("some ids share a tag");
    [one, other, TargetId(7)]
});

fn shared_tag() -> FlowTag {
    FlowTag::derive(TARGETS[0], 0)
}

/// The row of the target with this index, which was created and started at these times.
fn row(index: usize, created: u64, started_at_ms: u64) -> Row {
    let mut target = support::target(TARGETS[index], 7, started_at_ms);
    target.address.set_port(8_000 + index as u16);
    Row::written(Revision::new(1, created), 1, Record::Target(target))
}

/// The index of the target that owns the shared tag.
fn owner(rows: &[Row]) -> Option<usize> {
    let mut catalog = Catalog::default();
    for row in rows {
        catalog.merge(row.clone());
        catalog.advance(row.revision, 0);
    }
    owner_in(&Directory::new(&catalog))
}

fn owner_in(directory: &Directory) -> Option<usize> {
    match directory.tag_owner(shared_tag()) {
        TagOwner::Target(index) => {
            TARGETS.iter().position(|target| *target == directory.target(index).id)
        }
        TagOwner::Unknown | TagOwner::Ambiguous => None,
    }
}

/// The flows of a running target were reset when another one with its tag started.
#[test]
fn first_target_owns() {
    assert_eq!(owner(&[row(0, 10, 1_000), row(1, 20, 2_000)]), Some(0));
    assert_eq!(owner(&[row(1, 10, 1_000), row(0, 20, 2_000)]), Some(1));
    assert_eq!(owner(&[row(0, 10, 0), row(1, 20, 0)]), Some(0), "no target states its start");
}

#[test]
fn new_flows_use_other_tags() {
    let mut catalog = Catalog::default();
    for row in [row(0, 10, 1_000), row(1, 20, 2_000)] {
        catalog.merge(row);
    }
    let directory = Directory::new(&catalog);
    for target in &TARGETS[..2] {
        let index = directory.find_target(*target).expect("it is known");
        let tag = directory.tag_for(index).expect("another salt gives a tag of its own");
        assert_ne!(tag, shared_tag());
        assert_eq!(directory.tag_owner(tag), TagOwner::Target(index));
    }
}

#[test]
fn contradicting_orders() {
    // The first entry lapsed in an outage and was created anew, or a clock is wrong.
    let directory = |rows: &[Row]| {
        let mut catalog = Catalog::default();
        rows.iter().for_each(|row| {
            catalog.merge(row.clone());
        });
        Directory::new(&catalog)
    };
    let ambiguous = directory(&[row(0, 30, 1_000), row(1, 20, 2_000)]);
    assert_eq!(ambiguous.tag_owner(shared_tag()), TagOwner::Ambiguous);
    let alone = directory(&[row(2, 30, 1_000)]);
    assert_eq!(alone.tag_owner(shared_tag()), TagOwner::Unknown);
}

#[test]
fn first_target_removed() {
    let mut catalog = Catalog::default();
    for row in [row(0, 10, 1_000), row(1, 20, 2_000)] {
        catalog.merge(row);
    }
    let is_first = |row: &Row| row.record.key() == Key::Target(TARGETS[0]);
    catalog.mark_absent(Revision::new(1, 30), Absence::Conclusive, is_first);
    assert_eq!(owner_in(&Directory::new(&catalog)), Some(0), "its flows may still send packets");
    catalog.purge(is_first);
    assert_eq!(owner_in(&Directory::new(&catalog)), Some(1));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Hosts hear of starts, among them restarts under the same id, in any order and not of all of them.
    /// Those that know the same rows agree, and none takes a flow of the first target for another one's.
    #[test]
    fn any_order(
        starts in prop::collection::vec((0..3_usize, 0..2_u64), 1..8),
        order in Just((0..8_usize).collect::<Vec<usize>>()).prop_shuffle(),
        heard in prop::collection::vec(any::<bool>(), 3),
    ) {
        // Later starts have later revisions; clocks may stand still between two of them.
        let mut started_at_ms = 1_000;
        let rows: Vec<Row> = starts
            .iter()
            .enumerate()
            .map(|(number, (target, passed_ms))| {
                started_at_ms += passed_ms;
                row(*target, 10 * (number as u64 + 1), started_at_ms)
            })
            .collect();
        let shuffled: Vec<Row> = order.iter().filter_map(|at| rows.get(*at)).cloned().collect();
        prop_assert_eq!(owner(&rows), owner(&shuffled));

        // A host that has heard of some of the targets only.
        let is_known = |row: &&Row| {
            let position = TARGETS.iter().position(|id| Key::Target(*id) == row.record.key());
            position.is_some_and(|position| heard[position])
        };
        let known: Vec<Row> = rows.iter().filter(is_known).cloned().collect();
        let last_start = |target: usize| {
            let key = Key::Target(TARGETS[target]);
            known.iter().rfind(|row| row.record.key() == key).map(|row| row.created)
        };
        match (last_start(0), last_start(1)) {
            (Some(one), Some(other)) => {
                let first = usize::from(other < one);
                prop_assert!(owner(&known).is_none_or(|owner| owner == first));
            }
            (one, other) => {
                let only = one.map(|_| 0).or(other.map(|_| 1));
                prop_assert_eq!(owner(&known), only);
            }
        }
    }
}
