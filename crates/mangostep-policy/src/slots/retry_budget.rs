/// Bounds the retries of a cell to a share of its first tries.
///
/// # Example
///
/// ```
/// use mangostep_policy::RetryBudget;
///
/// let mut budget = RetryBudget::new(0.1, 1.0);
/// assert!(budget.take());
/// assert!(!budget.take());
/// (0..10).for_each(|_| budget.earn());
/// assert!(budget.take());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    share: f64,
    most: f64,
    left: f64,
}

/// Lets a sum of shares such as 0.1 reach a whole.
const ROUNDING: f64 = 1e-9;

impl RetryBudget {
    /// Opens a budget with `most` retries, which is also its most.
    pub fn new(share: f64, most: f64) -> Self {
        RetryBudget {
            share,
            most,
            left: most,
        }
    }

    /// Takes note of a first try.
    pub fn earn(&mut self) {
        self.left = (self.left + self.share).min(self.most);
    }

    /// Takes one retry, if one is left.
    pub fn take(&mut self) -> bool {
        let is_left = self.left + ROUNDING >= 1.0;
        if is_left {
            self.left -= 1.0;
        }
        is_left
    }
}
