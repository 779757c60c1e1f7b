//! Pending openings: the caller has not yet acknowledged the target's reply.

use catalog::TargetId;
use hashbrown::HashMap;

use crate::FlowKey;

/// How many of the targets tried last are remembered, so that a retry avoids them.
const MAX_REMEMBERED_TARGETS: usize = 3;

/// A pending opening.
#[derive(Debug, Clone)]
pub(crate) struct Opening {
    /// The targets that it was sent to, most recent last.
    pub(crate) tried: Vec<TargetId>,
    /// When it was sent to the most recent target.
    pub(crate) sent_at_ms: u64,
    first_sent_at_ms: u64,
    /// Whether the most recent target's silence was already counted against it.
    pub(crate) is_counted: bool,
}

/// Pending openings by flow.
#[derive(Debug, Default)]
pub(crate) struct OpeningTable {
    openings: HashMap<FlowKey, Opening>,
    swept_at_ms: u64,
}

impl OpeningTable {
    pub(crate) fn get(&self, key: &FlowKey) -> Option<&Opening> {
        self.openings.get(key)
    }

    /// Records that the opening of `key` is sent to `target`.
    pub(crate) fn record_sent(&mut self, key: FlowKey, target: TargetId, now_ms: u64) {
        let opening = self.openings.entry(key).or_insert_with(|| Opening {
            tried: Vec::with_capacity(1),
            sent_at_ms: now_ms,
            first_sent_at_ms: now_ms,
            is_counted: false,
        });
        opening.sent_at_ms = now_ms;
        opening.is_counted = false;
        opening.tried.push(target);
        if opening.tried.len() > MAX_REMEMBERED_TARGETS {
            opening.tried.remove(0);
        }
    }

    /// Returns the targets of the openings that were sent `wait_ms` ago or earlier. Each attempt is
    /// returned once.
    pub(crate) fn take_unanswered(&mut self, wait_ms: u64, now_ms: u64) -> Vec<TargetId> {
        let is_unanswered =
            |opening: &&mut Opening| !opening.is_counted && now_ms >= opening.sent_at_ms + wait_ms;
        self.openings
            .values_mut()
            .filter(is_unanswered)
            .filter_map(|opening| {
                opening.is_counted = true;
                opening.tried.last().copied()
            })
            .collect()
    }

    /// Removes an opening whose flow is established or was aborted.
    pub(crate) fn remove(&mut self, key: &FlowKey) -> Option<Opening> {
        self.openings.remove(key)
    }

    /// Removes openings that were first sent `retention_ms` ago or earlier.
    pub(crate) fn sweep(&mut self, retention_ms: u64, now_ms: u64) {
        if now_ms < self.swept_at_ms + retention_ms {
            return;
        }
        self.swept_at_ms = now_ms;
        self.openings.retain(|_, opening| opening.first_sent_at_ms + retention_ms > now_ms);
    }
}
