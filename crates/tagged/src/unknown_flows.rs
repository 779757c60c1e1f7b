//! Flows whose tag names no known target or whose listener is unknown.

use hashbrown::HashMap;

use crate::FlowKey;

/// How many such flows are remembered. The packets of others are dropped.
const MAX_FLOWS: usize = 4_096;

/// When packets of such flows were first seen.
#[derive(Debug, Default)]
pub(crate) struct UnknownFlowTable {
    first_seen: HashMap<FlowKey, u64>,
}

impl UnknownFlowTable {
    /// Records a packet of `key` and returns when its first packet was seen.
    pub(crate) fn first_seen_ms(&mut self, key: FlowKey, now_ms: u64) -> u64 {
        if self.first_seen.len() >= MAX_FLOWS && !self.first_seen.contains_key(&key) {
            return now_ms;
        }
        *self.first_seen.entry(key).or_insert(now_ms)
    }

    /// Forgets flows that were first seen `retention_ms` ago or earlier.
    pub(crate) fn sweep(&mut self, retention_ms: u64, now_ms: u64) {
        self.first_seen.retain(|_, seen_ms| *seen_ms + retention_ms > now_ms);
    }
}
