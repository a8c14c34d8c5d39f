use std::{collections::HashMap, collections::VecDeque, time::Duration};

use crate::{
    MonotonicTime,
    admission::{RANK_COUNT, WaitClaim},
};

/// Settings of a [`ReturnSchedule`].
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduleSettings {
    /// Shortest time after which a caller is told to return.
    pub delay_min: Duration,
    /// Longest time. Callers wait at most a third of their time.
    pub delay_max: Duration,
    /// Time around the planned one within which a request of the workspace
    /// counts as the return.
    pub tolerance: Duration,
    /// Maximum number of planned returns of one workspace.
    pub returns_max: usize,
}

impl Default for ScheduleSettings {
    fn default() -> Self {
        ScheduleSettings {
            delay_min: Duration::from_millis(80),
            delay_max: Duration::from_secs(2),
            tolerance: Duration::from_millis(150),
            returns_max: 64,
        }
    }
}

/// Tells refused callers when to return, one after the other.
///
/// Each rank has a next time that advances by the interval at which its
/// requests are admitted, so that callers return in the order of their
/// refusals. A request has a new id when it returns, so that returns are
/// recognized by workspace and time.
#[derive(Clone, Debug, Default)]
pub struct ReturnSchedule {
    settings: ScheduleSettings,
    next: [MonotonicTime; RANK_COUNT],
    planned: HashMap<String, VecDeque<MonotonicTime>>,
}

impl ReturnSchedule {
    /// Creates a schedule without returns.
    pub fn open(settings: ScheduleSettings) -> Self {
        ReturnSchedule {
            settings,
            ..Default::default()
        }
    }

    /// Plans the return of a refused caller. `rate` is the rate at which
    /// requests of its rank are admitted on this host, and `wait` the time
    /// until the first of them is.
    pub fn plan(
        &mut self,
        claim: &WaitClaim,
        rate: f64,
        wait: Duration,
        now: MonotonicTime,
    ) -> Duration {
        let settings = &self.settings;
        let earliest = now + wait.max(settings.delay_min);
        let latest = now + settings.delay_max;
        let next = &mut self.next[claim.rank()];
        if *next > latest {
            // More callers were refused than can return within the longest
            // delay. The rest is spread over it once more.
            *next = earliest;
        }
        let time = (*next).max(earliest).min(latest);
        let step = Duration::from_secs_f64(1.0 / rate.max(1.0 / settings.delay_max.as_secs_f64()));
        *next = time + step;
        self.planned.retain(|_, times| {
            while times
                .front()
                .is_some_and(|planned| *planned + settings.tolerance < now)
            {
                times.pop_front();
            }
            !times.is_empty()
        });
        let times = self.planned.entry(claim.workspace.clone()).or_default();
        if times.len() < settings.returns_max {
            times.push_back(time);
        }
        time.since(now)
    }

    /// Whether a request of a workspace counts as a planned return. Each plan
    /// counts once.
    pub fn take_return(&mut self, workspace: &str, now: MonotonicTime) -> bool {
        let tolerance = self.settings.tolerance;
        let Some(times) = self.planned.get_mut(workspace) else {
            return false;
        };
        while times
            .front()
            .is_some_and(|planned| *planned + tolerance < now)
        {
            times.pop_front();
        }
        let is_due = times
            .front()
            .is_some_and(|planned| *planned <= now + tolerance);
        if is_due {
            times.pop_front();
        }
        is_due
    }
}
