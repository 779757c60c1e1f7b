//! Tags that name targets.

use catalog::{FlowTag, TagTable, TargetId};
use routing::mix;

fn ids(count: u64) -> impl Iterator<Item = TargetId> {
    (0..count).map(|number| TargetId(mix(number, 1)))
}

#[test]
fn target_size() {
    let table = TagTable::new(ids(64_000));
    let shared = ids(64_000).filter(|id| table.unique_tag(*id).is_none()).count();
    assert_eq!(shared, 0, "every target of the largest deployment has a tag of its own");
    for (position, id) in ids(64_000).enumerate().step_by(997) {
        let tag = table.unique_tag(id).expect("counted above");
        assert_eq!(table.find(tag), Some(position));
    }
}

#[test]
fn unknown_tag() {
    let table = TagTable::new(ids(10));
    assert_eq!(table.find(FlowTag(1)), None);
    assert_ne!(FlowTag::derive(TargetId(0), 0), FlowTag(0), "0 stands for no tag");
}
