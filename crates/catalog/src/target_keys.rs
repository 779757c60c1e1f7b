//! The keys of the store under which targets announce themselves.

use crate::TargetId;

/// The key that announces each target. Another key may give the same id, such as one with more leading
/// zeros: it belongs to another writer.
#[derive(Debug, Default)]
pub struct TargetKeys {
    /// Sorted by target.
    keys: Vec<(TargetId, String)>,
}

impl TargetKeys {
    /// Returns whether `key` announces the target: it does if it is the first one that was seen.
    pub fn admit(&mut self, target: TargetId, key: &str) -> bool {
        match self.position(target) {
            Ok(position) => self.keys[position].1 == key,
            Err(position) => {
                self.keys.insert(position, (target, key.to_owned()));
                true
            }
        }
    }

    /// Whether `key` announces the target, as far as is known: no other key does.
    pub fn may_announce(&self, target: TargetId, key: &str) -> bool {
        self.position(target).map_or(true, |position| self.keys[position].1 == key)
    }

    /// Forgets the keys of the targets for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(TargetId) -> bool) {
        self.keys.retain(|entry| is_known(entry.0));
    }

    /// The number of keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    fn position(&self, target: TargetId) -> Result<usize, usize> {
        self.keys.binary_search_by_key(&target, |entry| entry.0)
    }
}
