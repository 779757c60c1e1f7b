//! The budget for retries of openings.

/// Earns a fraction of a retry with each opening, so that retries stay a bounded share of the load.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    tenths: u32,
}

/// What a retry costs, in tenths of a retry.
const RETRY_TENTHS: u32 = 10;

/// What each opening earns, in tenths of a retry.
const EARNED_TENTHS: u32 = 1;

/// What can be saved up, in tenths of a retry.
const SAVED_MAX_TENTHS: u32 = 100;

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { tenths: SAVED_MAX_TENTHS }
    }
}

impl RetryBudget {
    /// Counts an opening.
    pub fn earn(&mut self) {
        self.tenths = (self.tenths + EARNED_TENTHS).min(SAVED_MAX_TENTHS);
    }

    /// Takes one retry out of the budget. Returns whether there was one.
    pub fn spend(&mut self) -> bool {
        if self.tenths < RETRY_TENTHS {
            return false;
        }
        self.tenths -= RETRY_TENTHS;
        true
    }
}
