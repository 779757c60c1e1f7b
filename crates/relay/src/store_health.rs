//! Whether the absence of a record from the store means that it is gone.

use catalog::Absence;

/// How long records may take to come back after the store has, in milliseconds: the two seconds
/// that the platform names, and a margin for the reading itself.
const RETURN_MS: u64 = 2_500;

/// What a reader has seen of the store's health.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct StoreHealth {
    /// Since when every call was answered, by the steady clock; none while calls fail.
    healthy_since_ms: Option<u64>,
}

impl StoreHealth {
    /// A call was answered.
    pub(crate) fn on_success(&mut self, now_ms: u64) {
        self.healthy_since_ms.get_or_insert(now_ms);
    }

    /// A call failed, or the process was paused and may have missed failures.
    pub(crate) fn on_failure(&mut self) {
        self.healthy_since_ms = None;
    }

    /// What an absence means now.
    pub(crate) fn absence(&self, now_ms: u64) -> Absence {
        match self.healthy_since_ms {
            Some(since_ms) if now_ms >= since_ms + RETURN_MS => Absence::Conclusive,
            _ => Absence::Provisional,
        }
    }
}
