//! Keys that give the id of the same target.

use catalog::{TargetId, TargetKeys};

const ID: TargetId = TargetId(0x7f3a_91c2);
const KEY: &str = "i-7f3a91c2";

/// A key with more leading zeros counted as the target's own, and its removal as that of the target.
#[test]
fn padded_key() {
    let mut keys = TargetKeys::default();
    assert!(keys.admit(ID, KEY));
    assert!(!keys.admit(ID, "i-007f3a91c2"));
    assert!(keys.admit(ID, KEY), "the target writes again");
    assert!(keys.may_announce(ID, KEY));
    assert!(keys.may_announce(TargetId(1), "i-1"), "no key of it is known");
    assert!(!keys.may_announce(ID, "i-007f3a91c2"));
}

#[test]
fn forgotten_target() {
    let mut keys = TargetKeys::default();
    keys.admit(ID, KEY);
    keys.admit(TargetId(1), "i-00000001");
    keys.retain(|id| id == ID);
    assert!(keys.may_announce(ID, KEY));
    assert!(keys.admit(TargetId(1), "i-1"), "a later target may use another form");
}
