use crate::admission::{RANK_COUNT, RankRates, ServiceRoom};

/// Share of each rank's requests that is admitted, from 0 to 1.
pub type RankShares = [f64; RANK_COUNT];

/// Decides how a service's room is divided among ranks and workspaces.
///
/// The result depends only on room and demand over the fleet, so that hosts
/// with the same figures decide alike without asking each other.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionRule {
    /// Factor by which more is admitted than the estimated room bears. What
    /// exceeds the room waits in the queue of a host, so that an estimate
    /// that is too low leaves no slot idle.
    pub headroom: f64,
    /// Share of the room that each rank gets in proportion to its demand. The
    /// rest goes by rank, so that no rank is starved.
    pub shared_part: f64,
}

impl Default for AdmissionRule {
    fn default() -> Self {
        AdmissionRule {
            headroom: 1.05,
            shared_part: 0.3,
        }
    }
}

impl AdmissionRule {
    /// Requests per second that a service takes. While demand exceeds room,
    /// what is admitted shows it too.
    pub fn room_rate(&self, room: &ServiceRoom, admitted: f64) -> f64 {
        room.rate_per_s().max(admitted) * self.headroom
    }

    /// Share of each rank that fits into `room_rate` requests per second.
    pub fn shares(&self, room_rate: f64, offered: &RankRates) -> RankShares {
        let total = offered.total();
        if room_rate <= 0.0 || total <= room_rate {
            return [1.0; RANK_COUNT];
        }
        let floor = self.shared_part * room_rate / total;
        let mut left = room_rate * (1.0 - self.shared_part);
        offered.0.map(|rate| {
            if rate <= 0.0 {
                return 1.0;
            }
            let wanted = rate * (1.0 - floor);
            let taken = wanted.min(left);
            left -= taken;
            floor + taken / rate
        })
    }

    /// Highest rate of one workspace at which all workspaces together stay
    /// within `rate`: those below it are admitted in full, the others up to
    /// it. Infinite if `rate` suffices for all.
    pub fn fair_level(&self, offered: &mut [f64], rate: f64) -> f64 {
        offered.sort_by(f64::total_cmp);
        let mut left = rate;
        for (index, demand) in offered.iter().enumerate() {
            let others = (offered.len() - index) as f64;
            let level = left / others;
            if *demand > level {
                return level;
            }
            left -= demand;
        }
        f64::INFINITY
    }
}
