//! Tracks store health, to tell whether a record missing from the store is gone.

use catalog::Absence;

/// How long announcements may take to reappear after the store recovers, in milliseconds: the two
/// seconds that the platform specifies, plus a margin for the read itself.
const REANNOUNCE_MS: u64 = 2_500;

/// The store's health as this host observed it.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct StoreHealth {
    /// Since when every call has succeeded, by the monotonic clock; `None` while calls fail.
    healthy_since_ms: Option<u64>,
}

impl StoreHealth {
    /// Records a successful call.
    pub(crate) fn on_success(&mut self, now_ms: u64) {
        self.healthy_since_ms.get_or_insert(now_ms);
    }

    /// Records a failed call, or a period in which failures may have gone unnoticed, such as a
    /// pause of the process.
    pub(crate) fn on_failure(&mut self) {
        self.healthy_since_ms = None;
    }

    /// Whether a record that is missing from the store now is gone.
    pub(crate) fn absence(&self, now_ms: u64) -> Absence {
        match self.healthy_since_ms {
            Some(since_ms) if now_ms >= since_ms + REANNOUNCE_MS => Absence::Conclusive,
            _ => Absence::Provisional,
        }
    }
}
