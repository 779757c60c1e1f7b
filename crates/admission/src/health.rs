//! Temporary exclusion of targets whose openings fail.

/// The length of a target's first pause, in milliseconds; each further failure doubles it.
const INITIAL_PAUSE_MS: u64 = 500;

/// The longest pause of a target, in milliseconds.
const MAX_PAUSE_MS: u64 = 30_000;

/// The number of consecutive failures from which on a target is paused.
const PAUSE_AFTER_FAILURES: u32 = 2;

/// Counts consecutive failures of a target and pauses new flows to it with exponential backoff.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Health {
    consecutive_failures: u32,
    paused_until_ms: u64,
}

impl Health {
    /// Records an opening that the target refused or did not answer.
    pub fn on_failure(&mut self, now_ms: u64) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if self.consecutive_failures < PAUSE_AFTER_FAILURES {
            return;
        }
        // Six doublings already exceed the longest pause; more could overflow the shift.
        let doublings = (self.consecutive_failures - PAUSE_AFTER_FAILURES).min(6);
        let pause_ms = (INITIAL_PAUSE_MS << doublings).min(MAX_PAUSE_MS);
        self.paused_until_ms = now_ms + pause_ms;
    }

    /// Records a flow that ended normally. Ends any pause.
    pub fn on_success(&mut self) {
        *self = Health::default();
    }

    /// Whether the target is excluded from new flows at `now_ms`.
    pub fn is_paused(&self, now_ms: u64) -> bool {
        now_ms < self.paused_until_ms
    }
}
