use std::{collections::HashMap, time::Duration};

use crate::{
    MonotonicTime,
    admission::{RANK_COUNT, RankRates},
    dispatch::SlidingCounter,
};

/// Time over which the retries that a rank wants are averaged.
const WANTED_SPAN: Duration = Duration::from_secs(3);

/// Settings of a [`RetryAllowance`].
#[derive(Clone, Debug, PartialEq)]
pub struct AllowanceSettings {
    /// Retries allowed per request; set by the operators.
    pub ratio: f64,
    /// Additional retries allowed over all hosts; set by the operators.
    pub slack: f64,
    /// Window over which both are counted; set by the operators.
    pub window: Duration,
    /// Share of the budget that hosts use together. The rest covers requests
    /// that a window counts slightly later than their retries.
    pub used_share: f64,
    /// Share of the budget that the least urgent requests leave to the others.
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

/// Limits the retries of one host, so that all hosts together stay within the
/// retry budget of each service.
#[derive(Clone, Debug)]
pub struct RetryAllowance {
    settings: AllowanceSettings,
    services: HashMap<String, ServiceWindows>,
}

#[derive(Clone, Debug, Default)]
struct ServiceWindows {
    requests: SlidingCounter,
    retries: SlidingCounter,
    /// Retries that requests of each rank wanted, whether or not they got
    /// them.
    wanted: [SlidingCounter; RANK_COUNT],
}

impl RetryAllowance {
    /// Creates an allowance that has counted no requests.
    pub fn open(settings: AllowanceSettings) -> Self {
        RetryAllowance {
            settings,
            services: HashMap::new(),
        }
    }

    /// Counts a caller's request, which adds to the budget.
    pub fn record_request(&mut self, service: &str, now: MonotonicTime) {
        self.windows(service).requests.add(now);
    }

    /// Requests per second for a service on this host, averaged over five
    /// seconds.
    pub fn request_rate(&mut self, service: &str, now: MonotonicTime) -> f64 {
        let span = Duration::from_secs(5);
        self.windows(service).requests.rate(now, span)
    }

    /// Takes one retry from this host's part of the budget, and returns
    /// whether one was left.
    ///
    /// `slack_share` is this host's share of the slack, from 0 to 1. Requests
    /// with a less urgent `priority` leave a part of the budget to more urgent
    /// ones.
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
        // One second longer than the window, because any period of the
        // window's length counts.
        let span = settings.window + Duration::from_secs(1);
        let retries = f64::from(windows.retries.count(now, span));
        let own_slack = settings.slack * slack_share;
        let priority_share = 1.0 - settings.reserved_share * f64::from(priority.min(2)) / 2.0;
        let budget = requests * settings.ratio + own_slack;
        let allowed = budget * settings.used_share * priority_share;
        let is_left = retries + 1.0 <= allowed;
        if is_left {
            windows.retries.add(now);
        }
        is_left
    }

    /// Like [`RetryAllowance::take`], for services with queueing: a request gets
    /// a retry only if enough are left for what the more urgent ranks want
    /// within one window at their present rate.
    pub fn take_by_rank(
        &mut self,
        service: &str,
        slack_share: f64,
        priority: u32,
        now: MonotonicTime,
    ) -> bool {
        let settings = self.settings.clone();
        let rank = RankRates::rank_of(priority);
        let windows = self.windows(service);
        windows.wanted[rank].add(now);
        let requests = f64::from(windows.requests.count(now, settings.window));
        let span = settings.window + Duration::from_secs(1);
        let retries = f64::from(windows.retries.count(now, span));
        let budget = requests * settings.ratio + settings.slack * slack_share;
        let urgent = windows.wanted[..rank].iter_mut();
        let urgent_rate: f64 = urgent.map(|wanted| wanted.rate(now, WANTED_SPAN)).sum();
        let reserved = urgent_rate * settings.window.as_secs_f64();
        let is_left = retries + 1.0 + reserved <= budget * settings.used_share;
        if is_left {
            windows.retries.add(now);
        }
        is_left
    }

    /// Remaining share of this host's part of the budget, from 0 to 1.
    pub fn remaining_share(&mut self, service: &str, slack_share: f64, now: MonotonicTime) -> f64 {
        let settings = self.settings.clone();
        let windows = self.windows(service);
        let requests = f64::from(windows.requests.count(now, settings.window));
        let retries = f64::from(windows.retries.count(now, settings.window));
        let budget = requests * settings.ratio + settings.slack * slack_share;
        (1.0 - retries / (budget * settings.used_share).max(1.0)).max(0.0)
    }

    fn windows(&mut self, service: &str) -> &mut ServiceWindows {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.to_owned(), ServiceWindows::default());
        }
        self.services.get_mut(service).expect("was just inserted")
    }
}
