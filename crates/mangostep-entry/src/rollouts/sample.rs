use {
    mangostep_policy::{RolloutSettings, ServerKey, ServerSignal, ServerStanding},
    tokio::{task::spawn_local, time::sleep},
};

use crate::{clock, prelude::*};

/// Minimum time between two reports that failures of a new version trigger.
const FAILURE_REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// A request to a server of a service that moves to another software version.
pub(crate) struct RolloutSample {
    is_new: bool,
    /// What was known of the server before the request.
    standing: ServerStanding,
    /// Whether the server is in cold start, in which it is slow.
    is_cold: bool,
}

impl RolloutSample {
    /// Returns `None` without a roll-out of the server's service.
    pub(crate) fn open(context: &HostContext, key: ServerKey) -> Option<Self> {
        let now = clock::now();
        let pool = context.pool.borrow();
        Some(RolloutSample {
            is_new: pool.is_target(key)?,
            standing: pool.standing(key, now),
            is_cold: pool.is_cold(key, now),
        })
    }

    /// Records the outcome of the request.
    ///
    /// A failure that came sooner than responses do counts when a response would
    /// have come. Otherwise a version whose traffic just grew would seem to fail
    /// more often.
    pub(crate) fn close(
        self,
        context: &Rc<HostContext>,
        service: &str,
        route: &str,
        signal: ServerSignal,
        duration: Duration,
    ) {
        let is_failure = matches!(signal, ServerSignal::Failure | ServerSignal::Error);
        let mean = context.pool.borrow().mean_duration(service);
        if !is_failure || duration >= mean {
            return self.record(context, service, route, signal, duration);
        }
        let (context, service, route) = (Rc::clone(context), service.to_owned(), route.to_owned());
        spawn_local(async move {
            sleep(mean - duration).await;
            self.record(&context, &service, &route, signal, duration);
        });
    }

    fn record(
        self,
        context: &HostContext,
        service: &str,
        route: &str,
        signal: ServerSignal,
        duration: Duration,
    ) {
        let failed = match signal {
            ServerSignal::Success => false,
            ServerSignal::Failure | ServerSignal::Error => true,
            _ => return,
        };
        let mut active = context.rollouts.active.borrow_mut();
        let Some(rollout) = active.get_mut(service) else {
            return;
        };
        let settings = RolloutSettings::default();
        let old_mean = rollout.tally(route, false).mean(settings.slow_least);
        let tally = rollout.tally(route, self.is_new);
        match self.standing {
            ServerStanding::Succeeding => {
                tally.ended += 1;
                tally.failed += u32::from(failed);
            }
            ServerStanding::Untried => {
                tally.untried += 1;
                tally.untried_failed += u32::from(failed);
            }
            // The failures say more about the server than about its version.
            ServerStanding::Suspected => return,
        }
        let mut is_slow = false;
        if !failed && !self.is_cold {
            is_slow = old_mean.is_some_and(|mean| duration > mean * settings.slow_factor);
            tally.timed += u32::from(old_mean.is_some() || !self.is_new);
            tally.slow += u32::from(is_slow);
            tally.total_ms += u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        }
        if self.is_new && (failed || is_slow) {
            context
                .counters
                .count("rollout-failure", &[("service", service)]);
            let now = clock::now();
            let last = &context.rollouts.failure_reported;
            if now.since(last.get()) >= FAILURE_REPORT_INTERVAL {
                last.set(now);
                context.report_wake.notify_one();
            }
        }
    }
}
