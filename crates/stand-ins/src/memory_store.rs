//! An in-memory key-value store that can simulate the faults of a real one.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use smol::Timer;
use store::{Entry, KeyValue, Read, StoreError, SwapResult, Wait};

/// Faults that the store simulates.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Every call fails without effect.
    pub is_down: bool,
    /// Delay of every response, in milliseconds.
    pub delay_ms: u64,
    /// Number of next writes that take effect but whose responses are lost.
    pub lost_answers: u32,
    /// Reads return the contents from when this was set.
    pub is_stale: bool,
}

/// Number of calls to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize)]
pub struct Calls {
    /// Reads; a read that waits for a change counts once.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
}

#[derive(Debug, Default)]
struct Contents {
    entries: BTreeMap<String, Entry>,
    stale_entries: BTreeMap<String, Entry>,
    index: u64,
    faults: Faults,
    calls: Calls,
}

/// The in-memory store.
#[derive(Debug, Default)]
pub struct MemoryStore {
    contents: Mutex<Contents>,
}

/// How often a waiting read checks for a change.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

impl MemoryStore {
    /// Sets the faults.
    pub fn set_faults(&self, faults: Faults) {
        let mut contents = self.lock();
        if faults.is_stale && !contents.faults.is_stale {
            contents.stale_entries = contents.entries.clone();
        }
        contents.faults = faults;
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> Calls {
        self.lock().calls
    }

    fn lock(&self) -> MutexGuard<'_, Contents> {
        self.contents.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    async fn delay(&self) {
        let delay_ms = self.lock().faults.delay_ms;
        if delay_ms > 0 {
            Timer::after(Duration::from_millis(delay_ms)).await;
        }
    }

    fn read(&self, key: &str) -> Read {
        let contents = self.lock();
        let entries =
            if contents.faults.is_stale { &contents.stale_entries } else { &contents.entries };
        // The index is at least 1, because a request with index 0 does not wait.
        Read { entry: entries.get(key).cloned(), index: contents.index.max(1) }
    }

    fn check_available(&self) -> Result<(), StoreError> {
        if self.lock().faults.is_down {
            return Err(StoreError::Unreachable("the store is down".to_owned()));
        }
        Ok(())
    }
}

impl KeyValue for MemoryStore {
    async fn get(&self, key: &str, wait: Wait) -> Result<Read, StoreError> {
        self.lock().calls.reads += 1;
        self.delay().await;
        self.check_available()?;
        let Wait::ForChange { index, timeout } = wait else { return Ok(self.read(key)) };
        let mut waited = Duration::ZERO;
        loop {
            let read = self.read(key);
            let modified = read.entry.as_ref().map_or(0, |entry| entry.modify_index);
            if modified > index || waited >= timeout {
                return Ok(read);
            }
            Timer::after(POLL_INTERVAL).await;
            waited += POLL_INTERVAL;
            self.check_available()?;
        }
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        value: &[u8],
        modify_index: u64,
    ) -> Result<SwapResult, StoreError> {
        self.lock().calls.writes += 1;
        self.delay().await;
        self.check_available()?;
        let mut contents = self.lock();
        let current = contents.entries.get(key).map_or(0, |entry| entry.modify_index);
        if current != modify_index {
            return Ok(SwapResult::Conflict);
        }
        contents.index += 1;
        let entry = Entry { value: value.to_vec(), modify_index: contents.index };
        contents.entries.insert(key.to_owned(), entry);
        if contents.faults.lost_answers > 0 {
            contents.faults.lost_answers -= 1;
            return Err(StoreError::NoAnswer("the response was lost".to_owned()));
        }
        Ok(SwapResult::Stored)
    }
}
