use std::ops::{AddAssign, Index, IndexMut};

/// Number of ranks that are told apart. Less urgent priorities share the last
/// one.
pub const RANK_COUNT: usize = 4;

/// Requests per second, by rank. Rank 0 is the most urgent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RankRates(pub [f64; RANK_COUNT]);

impl RankRates {
    /// Returns the rank of a priority.
    pub fn rank_of(priority: u32) -> usize {
        usize::try_from(priority).map_or(RANK_COUNT - 1, |rank| rank.min(RANK_COUNT - 1))
    }

    /// Rate of all ranks together.
    pub fn total(&self) -> f64 {
        self.0.iter().sum()
    }
}

impl Index<usize> for RankRates {
    type Output = f64;

    fn index(&self, rank: usize) -> &f64 {
        &self.0[rank]
    }
}

impl IndexMut<usize> for RankRates {
    fn index_mut(&mut self, rank: usize) -> &mut f64 {
        &mut self.0[rank]
    }
}

impl AddAssign for RankRates {
    fn add_assign(&mut self, other: RankRates) {
        for (rate, added) in self.0.iter_mut().zip(other.0) {
            *rate += added;
        }
    }
}
