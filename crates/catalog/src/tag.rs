//! The number that a transport carries back in each packet of a flow.
//!
//! A tag is a digest of the target's identity and a salt. The opener of a flow takes the first salt
//! whose tag no other known target has under any salt, so every host that knows the targets derives
//! the same target from a tag. (Barbette et al., "Cheetah", NSDI 2020, describes the technique.)

use routing::mix;

use crate::TargetId;

/// How many tags a target has.
const SALTS: u8 = 16;

/// Names a flow's target in each packet of the flow. Never 0, which is what an opening carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FlowTag(pub u32);

impl FlowTag {
    /// The tag of `target` under `salt`.
    pub fn derive(target: TargetId, salt: u8) -> FlowTag {
        let tag = mix(target.0, u64::from(salt) + 1) as u32;
        FlowTag(tag.max(1))
    }
}

/// One tag of one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    tag: FlowTag,
    salt: u8,
    position: u32,
}

/// The tags of all known targets, sorted.
#[derive(Debug, Clone, Default)]
pub struct TagTable {
    entries: Vec<Entry>,
}

impl TagTable {
    /// The tags of `targets`, by their position.
    pub fn new(targets: impl Iterator<Item = TargetId>) -> TagTable {
        let mut entries: Vec<Entry> = targets
            .enumerate()
            .flat_map(|(position, id)| {
                (0..SALTS).map(move |salt| Entry {
                    tag: FlowTag::derive(id, salt),
                    salt,
                    position: position as u32,
                })
            })
            .collect();
        entries.sort_unstable();
        TagTable { entries }
    }

    /// The position of the target that `tag` names.
    ///
    /// A target that was announced later may share a tag that flows use already. Nearly all flows
    /// use the first salt, so the lowest salt wins; two targets with the same salt cannot be told
    /// apart.
    pub fn find(&self, tag: FlowTag) -> Option<usize> {
        let mut same = self.with_tag(tag);
        let first = same.next()?;
        let is_ambiguous = same.next().is_some_and(|second| second.salt == first.salt);
        (!is_ambiguous).then_some(first.position as usize)
    }

    /// The first tag that only `target` has; none if others share all its tags.
    pub fn unique_tag(&self, target: TargetId) -> Option<FlowTag> {
        (0..SALTS)
            .map(|salt| FlowTag::derive(target, salt))
            .find(|tag| self.with_tag(*tag).count() == 1)
    }

    fn with_tag(&self, tag: FlowTag) -> impl Iterator<Item = &Entry> {
        let start = self.entries.partition_point(|entry| entry.tag < tag);
        self.entries[start..].iter().take_while(move |entry| entry.tag == tag)
    }
}
