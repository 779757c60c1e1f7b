//! The retry budget of a pool.

/// A token bucket that each opening fills by a fraction of a retry, so that retries stay a bounded
/// share of the load.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    balance_tenths: u32,
}

/// The cost of a retry, in tenths of a retry.
const RETRY_COST_TENTHS: u32 = 10;

/// The deposit of each opening, in tenths of a retry.
const EARNED_PER_OPENING_TENTHS: u32 = 1;

/// The capacity of the bucket, in tenths of a retry. A new budget is full.
const MAX_BALANCE_TENTHS: u32 = 100;

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { balance_tenths: MAX_BALANCE_TENTHS }
    }
}

impl RetryBudget {
    /// Adds the deposit of one opening.
    pub fn deposit(&mut self) {
        self.balance_tenths =
            (self.balance_tenths + EARNED_PER_OPENING_TENTHS).min(MAX_BALANCE_TENTHS);
    }

    /// Pays for one retry. Returns `false`, and takes nothing, if the balance is too low.
    pub fn withdraw(&mut self) -> bool {
        if self.balance_tenths < RETRY_COST_TENTHS {
            return false;
        }
        self.balance_tenths -= RETRY_COST_TENTHS;
        true
    }
}
