use std::collections::BTreeMap;

use crate::rollout::{OutcomeTally, RolloutSettings, RouteTally};

/// Compares the outcomes of the new version with those of the old one.
///
/// Servers that had succeeded shortly before are compared apart from those whose
/// state was not known: at any time a share of the servers of any version fails,
/// and hosts avoid those of the old version because they know them better.
///
/// For the service and for each of its routes, a cumulative sum of
/// log-likelihood ratios tests whether the new version fails or is slow more
/// often than the old one by [`RolloutSettings::fault_share`]. The sum starts
/// again at zero when the outcomes speak against a fault, so that a fault that
/// begins late is found as fast as an early one.
#[derive(Clone, Debug, Default)]
pub struct VersionJudge {
    service: Comparison,
    routes: BTreeMap<String, Comparison>,
}

/// Summary of a [`VersionJudge`] for decisions and logs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JudgedOutcomes {
    /// Largest sum of log-likelihood ratios.
    pub suspicion: f64,
    /// Where it is: a route, or empty for the whole service.
    pub route: String,
    /// Outcomes of servers of the new version that had succeeded before.
    pub new_ended: u64,
    /// Failures among them.
    pub new_failed: u64,
    /// Outcomes of servers of the new version whose state was not known.
    pub new_untried: u64,
    /// Failures among them.
    pub new_untried_failed: u64,
    /// Slow responses of the new version.
    pub new_slow: u64,
    /// Failure rate of the old version's latest outcomes.
    pub old_rate: f64,
}

/// Outcomes of both versions, of which either failures or slow responses are
/// counted.
#[derive(Clone, Copy, Debug, Default)]
struct RateTest {
    old_ended: f64,
    old_bad: f64,
    sum: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Comparison {
    failures: RateTest,
    slowness: RateTest,
    untried: RateTest,
    old_total: u64,
    new_total: u64,
    new_failed: u64,
    new_untried: u64,
    new_untried_failed: u64,
    new_slow: u64,
}

/// Weight of the assumed failure rate, in outcomes.
const PRIOR_OUTCOMES: f64 = 20.0;

/// Largest rate that is tested for.
const RATE_MAX: f64 = 0.98;

/// What a [`RateTest`] tests for.
#[derive(Clone, Copy, Debug)]
struct TestBounds {
    prior: f64,
    tolerance: f64,
    fault_share: f64,
    reference_outcomes: f64,
}

impl TestBounds {
    fn tried(settings: &RolloutSettings) -> Self {
        TestBounds {
            prior: settings.failure_prior,
            tolerance: settings.tolerance,
            fault_share: settings.fault_share,
            reference_outcomes: settings.reference_outcomes,
        }
    }

    fn untried(settings: &RolloutSettings) -> Self {
        TestBounds {
            prior: settings.untried_prior,
            tolerance: settings.untried_tolerance,
            fault_share: settings.untried_fault_share,
            reference_outcomes: settings.reference_outcomes,
        }
    }
}

impl RateTest {
    fn old_rate(&self, bounds: TestBounds) -> f64 {
        let prior = bounds.prior * PRIOR_OUTCOMES;
        (self.old_bad + prior) / (self.old_ended + PRIOR_OUTCOMES)
    }

    fn add_old(&mut self, bounds: TestBounds, ended: u32, bad: u32) {
        self.old_ended += f64::from(ended);
        self.old_bad += f64::from(bad);
        let excess = self.old_ended / bounds.reference_outcomes;
        if excess > 1.0 {
            self.old_ended /= excess;
            self.old_bad /= excess;
        }
    }

    fn add_new(&mut self, bounds: TestBounds, ended: u32, bad: u32) {
        let old = self.old_rate(bounds);
        let tolerated = (old * 1.5).max(old + bounds.tolerance);
        let tolerated = tolerated.min(RATE_MAX - bounds.fault_share);
        let faulty = tolerated + bounds.fault_share;
        let good = f64::from(ended.saturating_sub(bad));
        let change = f64::from(bad) * (faulty / tolerated).ln()
            + good * ((1.0 - faulty) / (1.0 - tolerated)).ln();
        self.sum = (self.sum + change).max(0.0);
    }
}

impl Comparison {
    fn record(&mut self, settings: &RolloutSettings, old: &OutcomeTally, new: &OutcomeTally) {
        let (tried, untried) = (TestBounds::tried(settings), TestBounds::untried(settings));
        self.failures.add_old(tried, old.ended, old.failed);
        self.slowness.add_old(tried, old.timed, old.slow);
        self.untried
            .add_old(untried, old.untried, old.untried_failed);
        self.failures.add_new(tried, new.ended, new.failed);
        self.slowness.add_new(tried, new.timed, new.slow);
        self.untried
            .add_new(untried, new.untried, new.untried_failed);
        self.old_total += u64::from(old.ended);
        self.new_total += u64::from(new.ended);
        self.new_failed += u64::from(new.failed);
        self.new_untried += u64::from(new.untried);
        self.new_untried_failed += u64::from(new.untried_failed);
        self.new_slow += u64::from(new.slow);
    }

    fn sum(&self) -> f64 {
        let sum = self.failures.sum.max(self.slowness.sum);
        sum.max(self.untried.sum)
    }
}

impl VersionJudge {
    /// Adds the outcomes of one host on one route since its last report.
    pub fn record(&mut self, settings: &RolloutSettings, added: &RouteTally) {
        self.service.record(settings, &added.old, &added.new);
        let route = self.routes.entry(added.route.clone()).or_default();
        route.record(settings, &added.old, &added.new);
    }

    /// Outcomes of the new version so far.
    pub fn new_outcomes(&self) -> u64 {
        self.service.new_total
    }

    /// Whether each route with a notable share of the requests has enough
    /// outcomes of the new version.
    pub fn covers_routes(&self, settings: &RolloutSettings) -> bool {
        let all = self.service.old_total as f64;
        self.routes.values().all(|route| {
            (route.old_total as f64) < all * settings.route_share
                || route.new_total >= u64::from(settings.route_outcomes)
        })
    }

    /// Summary of the comparison.
    pub fn summary(&self, settings: &RolloutSettings) -> JudgedOutcomes {
        let (mut suspicion, mut worst) = (self.service.sum(), "");
        for (name, route) in &self.routes {
            if route.sum() > suspicion {
                (suspicion, worst) = (route.sum(), name.as_str());
            }
        }
        JudgedOutcomes {
            suspicion,
            route: worst.to_owned(),
            new_ended: self.service.new_total,
            new_failed: self.service.new_failed,
            new_untried: self.service.new_untried,
            new_untried_failed: self.service.new_untried_failed,
            new_slow: self.service.new_slow,
            old_rate: self.service.failures.old_rate(TestBounds::tried(settings)),
        }
    }
}
