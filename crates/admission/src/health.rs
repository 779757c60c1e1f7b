//! Whether a target is worth another opening.

/// The first pause after failures, in milliseconds.
const FIRST_PAUSE_MS: u64 = 500;

/// The longest pause, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 30_000;

/// After how many failures in a row a target is paused.
const FAILURES_TO_PAUSE: u32 = 2;

/// The record of a target's failed openings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Health {
    failures: u32,
    paused_until_ms: u64,
}

impl Health {
    /// Notes that an opening failed: refused by the target or not answered.
    pub fn on_failure(&mut self, now_ms: u64) {
        self.failures = self.failures.saturating_add(1);
        if self.failures < FAILURES_TO_PAUSE {
            return;
        }
        let doublings = (self.failures - FAILURES_TO_PAUSE).min(6);
        let pause_ms = (FIRST_PAUSE_MS << doublings).min(LONGEST_PAUSE_MS);
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
