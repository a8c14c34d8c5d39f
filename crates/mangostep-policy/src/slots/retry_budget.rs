/// Limits the retries of a cell to a ratio of its first attempts.
///
/// # Example
///
/// ```
/// use mangostep_policy::RetryBudget;
///
/// let mut budget = RetryBudget::new(0.1, 1.0);
/// assert!(budget.withdraw());
/// assert!(!budget.withdraw());
/// (0..10).for_each(|_| budget.deposit());
/// assert!(budget.withdraw());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    ratio: f64,
    burst: f64,
    balance: f64,
}

/// Tolerance for rounding errors: ten deposits of 0.1 must make one retry.
const ROUNDING_TOLERANCE: f64 = 1e-9;

impl RetryBudget {
    /// Creates a full budget.
    ///
    /// Each first attempt adds `ratio` retries, up to `burst`.
    pub fn new(ratio: f64, burst: f64) -> Self {
        RetryBudget {
            ratio,
            burst,
            balance: burst,
        }
    }

    /// Adds the retries allowed for one first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.ratio).min(self.burst);
    }

    /// Withdraws one retry; returns false if the budget is exhausted.
    pub fn withdraw(&mut self) -> bool {
        let is_available = self.balance + ROUNDING_TOLERANCE >= 1.0;
        if is_available {
            self.balance -= 1.0;
        }
        is_available
    }
}
