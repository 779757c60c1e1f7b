//! Records when rows entered a state.

use catalog::Key;

/// Keys with the time at which each entered the state, sorted by key.
#[derive(Debug, Default)]
pub(crate) struct KeyTimestamps {
    entries: Vec<(Key, u64)>,
}

impl KeyTimestamps {
    /// Records that `keys` entered the state at `now_ms`.
    pub(crate) fn add(&mut self, keys: impl Iterator<Item = Key>, now_ms: u64) {
        let old_len = self.entries.len();
        self.entries.extend(keys.map(|key| (key, now_ms)));
        if self.entries.len() > old_len {
            // A key that is added again keeps only its latest time.
            self.entries.sort_unstable_by_key(|entry| (entry.0, std::cmp::Reverse(entry.1)));
            self.entries.dedup_by_key(|entry| entry.0);
        }
    }

    /// Removes the keys for which `has_left` returns true.
    pub(crate) fn remove(&mut self, has_left: impl Fn(Key) -> bool) {
        self.entries.retain(|entry| !has_left(entry.0));
    }

    /// Removes and returns the keys that entered the state at or before `cutoff_ms`, sorted.
    pub(crate) fn take_expired(&mut self, cutoff_ms: u64) -> Vec<Key> {
        let taken = self.entries.iter().filter(|entry| entry.1 <= cutoff_ms).map(|entry| entry.0);
        let taken: Vec<Key> = taken.collect();
        if !taken.is_empty() {
            self.entries.retain(|entry| entry.1 > cutoff_ms);
        }
        taken
    }
}
