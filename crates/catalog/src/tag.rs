//! Flow tags: numbers that both ends of a flow echo in each packet to name its target.
//!
//! A tag is a hash of the target's id and a salt. The host that assigns a flow its target uses the
//! first salt whose tag no other known target has under any salt, so every host that knows the
//! targets finds the same target for a tag. The technique is described in Barbette et al.,
//! "Cheetah", NSDI 2020.

use routing::mix;

use crate::TargetId;

/// Number of tags per target. With 64,000 targets one tag in 17,000 is shared, so no target has all
/// four of its tags shared.
const SALTS: u8 = 4;

/// Names the target in each packet of a flow. Never 0, which is what an opening carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FlowTag(pub u32);

impl FlowTag {
    /// The tag of `target` under `salt`.
    pub fn derive(target: TargetId, salt: u8) -> FlowTag {
        let tag = mix(target.0, u64::from(salt) + 1) as u32;
        FlowTag(tag.max(1))
    }
}

/// The tags of all known targets.
#[derive(Debug, Clone, Default)]
pub struct TagTable {
    /// Sorted.
    tags: Vec<FlowTag>,
    /// The target of each entry in `tags`; the targets of one tag are sorted.
    targets: Vec<TargetId>,
}

impl TagTable {
    /// Creates the table of the tags of `targets`.
    pub fn new(targets: &[TargetId]) -> TagTable {
        TagTable::default().updated(targets, &[])
    }

    /// Returns this table with `added` and without `removed`, both sorted.
    pub fn updated(&self, added: &[TargetId], removed: &[TargetId]) -> TagTable {
        let mut added_entries: Vec<(FlowTag, TargetId)> = added
            .iter()
            .flat_map(|id| (0..SALTS).map(move |salt| (FlowTag::derive(*id, salt), *id)))
            .collect();
        added_entries.sort_unstable();
        // Two salts of a target may give the same tag.
        added_entries.dedup();
        let length = self.tags.len() + added_entries.len();
        let mut table =
            TagTable { tags: Vec::with_capacity(length), targets: Vec::with_capacity(length) };
        let mut added_entries = added_entries.into_iter().peekable();
        for (tag, target) in self.tags.iter().copied().zip(self.targets.iter().copied()) {
            while let Some(entry) = added_entries.next_if(|entry| *entry < (tag, target)) {
                table.push(entry);
            }
            if removed.is_empty() || removed.binary_search(&target).is_err() {
                table.push((tag, target));
            }
        }
        added_entries.for_each(|entry| table.push(entry));
        table
    }

    /// The target that `tag` names; `None` if there is none, or more than one.
    pub fn find(&self, tag: FlowTag) -> Option<TargetId> {
        match self.owners(tag).as_slice() {
            [owner] => Some(*owner),
            _ => None,
        }
    }

    /// The targets that `tag` may name.
    ///
    /// A target that was announced later may share a tag that existing flows use. Nearly all flows
    /// use the first salt, so those with the lowest salt count; there may be several.
    pub fn owners(&self, tag: FlowTag) -> Vec<TargetId> {
        let sharing = self.targets_with_tag(tag);
        let salt_of = |target: &TargetId| {
            (0..SALTS).find(|salt| FlowTag::derive(*target, *salt) == tag).unwrap_or(SALTS)
        };
        let lowest = sharing.iter().map(salt_of).min();
        sharing.iter().copied().filter(|target| Some(salt_of(target)) == lowest).collect()
    }

    /// The first tag that only `target` has; `None` if all its tags are shared.
    pub fn unique_tag(&self, target: TargetId) -> Option<FlowTag> {
        (0..SALTS)
            .map(|salt| FlowTag::derive(target, salt))
            .find(|tag| self.targets_with_tag(*tag).len() == 1)
    }

    fn push(&mut self, entry: (FlowTag, TargetId)) {
        self.tags.push(entry.0);
        self.targets.push(entry.1);
    }

    /// The targets that have `tag` under any salt, sorted.
    pub fn targets_with_tag(&self, tag: FlowTag) -> &[TargetId] {
        let start = self.tags.partition_point(|known| *known < tag);
        let count = self.tags[start..].iter().take_while(|known| **known == tag).count();
        &self.targets[start..start + count]
    }
}
