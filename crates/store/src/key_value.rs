//! What the project needs of a key-value store.

use std::{future::Future, time::Duration};

use crate::StoreError;

/// A value with the index of its last change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The value.
    pub value: Vec<u8>,
    /// The index by which a compare-and-swap names this version.
    pub modify_index: u64,
}

/// The answer to a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Read {
    /// The value, if the key exists.
    pub entry: Option<Entry>,
    /// The index to wait for changes after.
    pub index: u64,
}

/// Whether a read waits for a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wait {
    /// It is answered at once.
    No,
    /// It is answered after a change past `index`, or after `timeout`.
    ForChange {
        /// The index of the last answer.
        index: u64,
        /// How long to wait.
        timeout: Duration,
    },
}

/// Whether a compare-and-swap took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwapResult {
    /// It did.
    Stored,
    /// The value had been changed meanwhile.
    Conflict,
}

/// A key-value store with compare-and-swap and waiting reads.
pub trait KeyValue {
    /// Reads `key`.
    fn get(&self, key: &str, wait: Wait) -> impl Future<Output = Result<Read, StoreError>>;

    /// Writes `value` if the last change of `key` has `modify_index`, or if that is 0 and there is
    /// no such key.
    fn compare_and_swap(
        &self,
        key: &str,
        value: &[u8],
        modify_index: u64,
    ) -> impl Future<Output = Result<SwapResult, StoreError>>;
}
