//! The interface of a key-value store with compare-and-swap.

use std::{future::Future, time::Duration};

use crate::StoreError;

/// A value with the index of its last change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The value.
    pub value: Vec<u8>,
    /// The index that identifies this version in a compare-and-swap.
    pub modify_index: u64,
}

/// The result of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Read {
    /// The value, if the key exists.
    pub entry: Option<Entry>,
    /// The index to pass to [`Wait::ForChange`] to wait for later changes.
    pub index: u64,
}

/// Whether a read waits for a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wait {
    /// The read returns at once.
    No,
    /// The read returns after a change later than `index`, or after `timeout`.
    ForChange {
        /// The index of the previous read.
        index: u64,
        /// How long to wait.
        timeout: Duration,
    },
}

/// Whether a compare-and-swap took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwapResult {
    /// The value was written.
    Stored,
    /// The key has been changed since the given index; nothing was written.
    Conflict,
}

/// A key-value store with compare-and-swap and blocking reads.
pub trait KeyValue {
    /// Reads `key`.
    fn get(&self, key: &str, wait: Wait) -> impl Future<Output = Result<Read, StoreError>>;

    /// Writes `value` if the last change of `key` has `modify_index`. A `modify_index` of 0 means that
    /// the key must not exist.
    fn compare_and_swap(
        &self,
        key: &str,
        value: &[u8],
        modify_index: u64,
    ) -> impl Future<Output = Result<SwapResult, StoreError>>;
}
