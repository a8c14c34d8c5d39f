use std::{collections::HashMap, time::Duration};

use crate::{MonotonicTime, dispatch::SlidingCounter};

/// Bounds of a [`RetryAllowance`].
#[derive(Clone, Debug, PartialEq)]
pub struct AllowanceSettings {
    /// Repeats allowed for each request; the operator's bound.
    pub ratio: f64,
    /// Repeats allowed besides, over all hosts; the operator's bound.
    pub slack: f64,
    /// Time over which both are counted; the operator's bound.
    pub window: Duration,
    /// Share of both that hosts use together. The rest covers requests that
    /// a window counts a moment later than their repeats.
    pub used_share: f64,
    /// Share that the least urgent requests leave to the others.
    pub reserved_share: f64,
}

impl Default for AllowanceSettings {
    fn default() -> Self {
        AllowanceSettings {
            ratio: 0.2,
            slack: 60.0,
            window: Duration::from_secs(10),
            used_share: 0.88,
            reserved_share: 0.4,
        }
    }
}

/// Bounds what one host sends again, so that all hosts together stay within
/// a budget a service.
#[derive(Clone, Debug)]
pub struct RetryAllowance {
    settings: AllowanceSettings,
    services: HashMap<String, ServiceWindows>,
}

#[derive(Clone, Debug, Default)]
struct ServiceWindows {
    requests: SlidingCounter,
    repeats: SlidingCounter,
}

impl RetryAllowance {
    /// Opens an allowance that counted nothing yet.
    pub fn open(settings: AllowanceSettings) -> Self {
        RetryAllowance {
            settings,
            services: HashMap::new(),
        }
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, service: &str, now: MonotonicTime) {
        self.windows(service).requests.add(now);
    }

    /// Requests a second for a service on this host, over five seconds.
    pub fn request_rate(&mut self, service: &str, now: MonotonicTime) -> f64 {
        let span = Duration::from_secs(5);
        self.windows(service).requests.rate(now, span)
    }

    /// Takes one repeat if this host's part of the budget has one left.
    ///
    /// `slack_share` is this host's part of the slack, from 0 to 1. Requests
    /// of a lower `priority` leave a part of the budget to more urgent ones.
    pub fn take(
        &mut self,
        service: &str,
        slack_share: f64,
        priority: u32,
        now: MonotonicTime,
    ) -> bool {
        let settings = self.settings.clone();
        let windows = self.windows(service);
        let requests = f64::from(windows.requests.count(now, settings.window));
        // One second more than the window, for any span of that length counts.
        let span = settings.window + Duration::from_secs(1);
        let repeats = f64::from(windows.repeats.count(now, span));
        let own_slack = settings.slack * slack_share;
        let rank_share = 1.0 - settings.reserved_share * f64::from(priority.min(2)) / 2.0;
        let budget = requests * settings.ratio + own_slack;
        let allowed = budget * settings.used_share * rank_share;
        let is_left = repeats + 1.0 <= allowed;
        if is_left {
            windows.repeats.add(now);
        }
        is_left
    }

    /// Share of this host's part of the budget that is left, from 0 to 1.
    pub fn remaining_share(&mut self, service: &str, slack_share: f64, now: MonotonicTime) -> f64 {
        let settings = self.settings.clone();
        let windows = self.windows(service);
        let requests = f64::from(windows.requests.count(now, settings.window));
        let repeats = f64::from(windows.repeats.count(now, settings.window));
        let budget = requests * settings.ratio + settings.slack * slack_share;
        (1.0 - repeats / (budget * settings.used_share).max(1.0)).max(0.0)
    }

    fn windows(&mut self, service: &str) -> &mut ServiceWindows {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.to_owned(), ServiceWindows::default());
        }
        self.services.get_mut(service).expect("was just inserted")
    }
}
