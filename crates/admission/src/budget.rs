//! The budget for retries of openings.

/// Earns a fraction of a retry with each opening, so that retries stay a bounded share of the load.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    tokens: f64,
}

/// How many retries each opening earns.
const EARNED_PER_OPENING: f64 = 0.1;

/// How many retries can be saved up.
const SAVED_MAX: f64 = 10.0;

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { tokens: SAVED_MAX }
    }
}

impl RetryBudget {
    /// Counts an opening.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + EARNED_PER_OPENING).min(SAVED_MAX);
    }

    /// Takes one retry out of the budget. Returns whether there was one.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
