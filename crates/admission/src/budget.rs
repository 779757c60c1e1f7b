//! The budget for retries of openings.

/// Earns a fraction of a retry with each opening, so that retries stay a bounded share of the load.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    balance_tenths: u32,
}

/// What a retry costs, in tenths of a retry.
const RETRY_COST_TENTHS: u32 = 10;

/// What each opening earns, in tenths of a retry.
const EARNED_PER_OPENING_TENTHS: u32 = 1;

/// What can be saved up, in tenths of a retry.
const MAX_BALANCE_TENTHS: u32 = 100;

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { balance_tenths: MAX_BALANCE_TENTHS }
    }
}

impl RetryBudget {
    /// Counts an opening.
    pub fn deposit(&mut self) {
        self.balance_tenths =
            (self.balance_tenths + EARNED_PER_OPENING_TENTHS).min(MAX_BALANCE_TENTHS);
    }

    /// Takes one retry out of the budget. Returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        if self.balance_tenths < RETRY_COST_TENTHS {
            return false;
        }
        self.balance_tenths -= RETRY_COST_TENTHS;
        true
    }
}
