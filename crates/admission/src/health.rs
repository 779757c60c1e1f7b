//! Whether a target is worth another opening.

/// The first pause after failures, in milliseconds.
const INITIAL_PAUSE_MS: u64 = 500;

/// The longest pause, in milliseconds.
const MAX_PAUSE_MS: u64 = 30_000;

/// After how many failures in a row a target is paused.
const PAUSE_AFTER_FAILURES: u32 = 2;

/// The record of a target's failed openings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Health {
    consecutive_failures: u32,
    paused_until_ms: u64,
}

impl Health {
    /// Notes that an opening failed: refused by the target or not answered.
    pub fn on_failure(&mut self, now_ms: u64) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if self.consecutive_failures < PAUSE_AFTER_FAILURES {
            return;
        }
        let doublings = (self.consecutive_failures - PAUSE_AFTER_FAILURES).min(6);
        let pause_ms = (INITIAL_PAUSE_MS << doublings).min(MAX_PAUSE_MS);
        self.paused_until_ms = now_ms + pause_ms;
    }

    /// Notes that a flow ended as it should.
    pub fn on_success(&mut self) {
        *self = Health::default();
    }

    /// Whether the target is to be left alone for now.
    pub fn is_paused(&self, now_ms: u64) -> bool {
        now_ms < self.paused_until_ms
    }
}
