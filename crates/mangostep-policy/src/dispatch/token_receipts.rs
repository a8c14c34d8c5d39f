use crate::MonotonicTime;

/// The tokens of one bucket that this host received, by limit home.
///
/// A home learns from the counts what other homes granted in the meantime. The
/// counts only grow, so that a lost or repeated message changes nothing.
#[derive(Clone, Debug)]
pub struct TokenReceipts {
    total: u64,
    by_home: Vec<(String, u64)>,
    /// Index of the home that responded last.
    last_home: usize,
    responded: MonotonicTime,
}

impl TokenReceipts {
    /// Starts counting with the first response of a home.
    pub fn open(home: &str, now: MonotonicTime) -> Self {
        TokenReceipts {
            total: 0,
            by_home: vec![(home.to_owned(), 0)],
            last_home: 0,
            responded: now,
        }
    }

    /// Records a response of a home.
    pub fn record(&mut self, home: &str, is_granted: bool, now: MonotonicTime) {
        let known = self.by_home.iter().position(|(name, _)| name == home);
        self.last_home = known.unwrap_or(self.by_home.len());
        if known.is_none() {
            self.by_home.push((home.to_owned(), 0));
        }
        self.responded = now;
        if is_granted {
            self.total += 1;
            self.by_home[self.last_home].1 += 1;
        }
    }

    /// The home that responded last, and when.
    pub fn last_response(&self) -> (&str, MonotonicTime) {
        (&self.by_home[self.last_home].0, self.responded)
    }

    /// Number of tokens that other homes than `home` granted.
    pub fn granted_elsewhere(&self, home: &str) -> u64 {
        let own = self.by_home.iter().find(|(name, _)| name == home);
        self.total - own.map_or(0, |(_, granted)| *granted)
    }
}
