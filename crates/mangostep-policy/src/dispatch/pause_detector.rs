use std::time::Duration;

use crate::MonotonicTime;

/// Settings of a [`PauseDetector`].
#[derive(Clone, Debug, PartialEq)]
pub struct PauseSettings {
    /// Time without a tick after which the host counts as paused; a few times
    /// the interval between ticks.
    pub pause_min: Duration,
    /// Time after a pause within which the host handles what arrived during it.
    pub backlog_time: Duration,
}

impl Default for PauseSettings {
    fn default() -> Self {
        PauseSettings {
            pause_min: Duration::from_millis(600),
            backlog_time: Duration::from_millis(300),
        }
    }
}

/// Detects that a host's process did not run for a while, because it was frozen
/// or got no processor time.
///
/// Messages that arrived in that time look new when they are read, though their
/// contents are as old as the pause is long.
#[derive(Clone, Debug, Default)]
pub struct PauseDetector {
    settings: PauseSettings,
    last_tick: Option<MonotonicTime>,
    /// When the last pause ended.
    resumed: Option<MonotonicTime>,
}

impl PauseDetector {
    /// Creates a detector that has seen no tick.
    pub fn open(settings: PauseSettings) -> Self {
        PauseDetector {
            settings,
            ..Default::default()
        }
    }

    /// Records that the process runs. Returns the length of the pause that ends
    /// with this tick, if there was one.
    pub fn tick(&mut self, now: MonotonicTime) -> Option<Duration> {
        let last = self.last_tick.replace(now);
        let pause = last.map(|last| now.since(last));
        let pause = pause.filter(|pause| *pause >= self.settings.pause_min);
        if pause.is_some() {
            self.resumed = Some(now);
        }
        pause
    }

    /// Whether a message that is read now may have arrived during a pause.
    pub fn may_be_delayed(&self, now: MonotonicTime) -> bool {
        let is_paused = |last| now.since(last) >= self.settings.pause_min;
        let has_backlog = |resumed| now.since(resumed) < self.settings.backlog_time;
        self.last_tick.is_some_and(is_paused) || self.resumed.is_some_and(has_backlog)
    }
}
