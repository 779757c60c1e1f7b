//! The interface of a store that lists and watches keys by prefix.

use std::{future::Future, time::Duration};

use catalog::Revision;

use crate::StoreError;

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The store's revision of the last change.
    pub revision: Revision,
    /// The store's revision at which the key was created; that of the last change if the store does not
    /// tell.
    pub created: Revision,
}

/// All items whose keys start with a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// The items, sorted by key.
    pub items: Vec<Item>,
    /// The store's revision before the first page was read; later changes may be included.
    pub revision: Revision,
}

/// One change of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The key was written.
    Written(Item),
    /// The key was removed.
    Removed {
        /// The key.
        key: String,
        /// The store's revision of the removal.
        revision: Revision,
    },
}

/// The changes after a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeList {
    /// The changes, in order.
    pub changes: Vec<Change>,
    /// The store's revision up to which the list is complete.
    pub revision: Revision,
}

/// A store that lists the keys that start with a prefix and reports their changes.
pub trait RangeStore {
    /// Lists every item whose key starts with `prefix`.
    ///
    /// Fails with [`StoreError::EarlierEra`] if the store answers from an era before `era`.
    fn list(&mut self, prefix: &str, era: u64)
    -> impl Future<Output = Result<Listing, StoreError>>;

    /// Waits up to `wait` for changes after `revision` of keys that start with `prefix`. The list is
    /// empty if there are none.
    ///
    /// Fails with [`StoreError::HistoryLost`] if the store has discarded these changes, or has begun
    /// another era since; the prefix then has to be listed again. Fails with
    /// [`StoreError::EarlierEra`] if the store answers from an era before that of `revision`.
    fn watch(
        &mut self,
        prefix: &str,
        revision: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<ChangeList, StoreError>>;
}
