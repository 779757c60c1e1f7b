//! Flow tags and the lookup of their targets.

use catalog::{FlowTag, TagTable, TargetId};
use routing::mix;

fn ids(count: u64) -> Vec<TargetId> {
    (0..count).map(|number| TargetId(mix(number, 1))).collect()
}

#[test]
fn largest_deployment() {
    let table = TagTable::new(&ids(64_000));
    let shared = ids(64_000).iter().filter(|id| table.unique_tag(**id).is_none()).count();
    assert_eq!(shared, 0, "every target of the largest deployment has a unique tag");
    for id in ids(64_000).into_iter().step_by(97) {
        let tag = table.unique_tag(id).expect("checked above");
        assert_eq!(table.find(tag), Some(id));
    }
}

#[test]
fn unknown_tag() {
    let table = TagTable::new(&ids(10));
    assert_eq!(table.find(FlowTag(1)), None);
    assert_ne!(FlowTag::derive(TargetId(0), 0), FlowTag(0), "0 stands for no tag");
}

#[test]
fn incremental_update() {
    let mut all = ids(3_000);
    all.sort_unstable();
    let (removed, kept): (Vec<TargetId>, Vec<TargetId>) = all.iter().partition(|id| id.0 % 3 == 0);
    let (early, late): (Vec<TargetId>, Vec<TargetId>) = kept.iter().partition(|id| id.0 % 2 == 0);
    let mut first = [early.clone(), removed.clone()].concat();
    first.sort_unstable();
    let incremental = TagTable::new(&first).updated(&late, &removed);
    let rebuilt = TagTable::new(&kept);
    for id in &all {
        let tag = FlowTag::derive(*id, 0);
        assert_eq!(incremental.find(tag), rebuilt.find(tag), "{id:?}");
        assert_eq!(incremental.unique_tag(*id), rebuilt.unique_tag(*id), "{id:?}");
    }
}

/// A target, and another one that derives the first's salt-0 tag under a higher salt.
fn colliding_pair() -> (TargetId, TargetId) {
    let mut first_tags: Vec<(FlowTag, TargetId)> =
        ids(400_000).into_iter().map(|id| (FlowTag::derive(id, 0), id)).collect();
    first_tags.sort_unstable();
    let owner_of = |tag: FlowTag| {
        let found = first_tags.binary_search_by_key(&tag, |entry| entry.0);
        found.ok().map(|position| first_tags[position].1)
    };
    let pairs = first_tags.iter().filter_map(|(_, id)| {
        let owner = (1..4).find_map(|salt| owner_of(FlowTag::derive(*id, salt)))?;
        (owner != *id).then_some((owner, *id))
    });
    pairs.into_iter().next().expect("400,000 targets share some tags")
}

#[test]
fn lowest_salt_wins() {
    let (owner, other) = colliding_pair();
    let mut pair = [owner, other];
    pair.sort_unstable();
    let table = TagTable::new(&pair);
    let shared = FlowTag::derive(owner, 0);
    assert_eq!(table.find(shared), Some(owner), "for flows opened before the other was known");
    assert_ne!(table.unique_tag(owner), Some(shared), "new flows use an unshared tag");
}
