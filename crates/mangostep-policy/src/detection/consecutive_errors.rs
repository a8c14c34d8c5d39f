use std::{collections::BTreeMap, time::Duration};

use {
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
};

use crate::{
    MonotonicTime, OutcomeSample, ServerAction, ServerDetector, ServerVerdict,
    detection::evidence::FaultKind,
};

/// Settings of a [`ConsecutiveErrorDetector`](crate::ConsecutiveErrorDetector).
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ConsecutiveErrorSettings {
    /// Number of consecutive failures after which a host ejects a server.
    pub consecutive: u32,
    /// Duration of a host's first ejection of a server; the duration grows by
    /// this amount with each further ejection.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "hold_ms")]
    pub base_ejection_time: Duration,
}

impl Default for ConsecutiveErrorSettings {
    fn default() -> Self {
        ConsecutiveErrorSettings {
            consecutive: 5,
            base_ejection_time: Duration::from_secs(30),
        }
    }
}

/// Outlier detection by consecutive errors, as the baseline of comparisons:
/// each entry host ejects a server by the outcomes of its own requests.
///
/// The eject verdict is given when the first host ejects the server. This
/// understates the detection time, as the other hosts still send requests.
#[derive(Clone, Debug, Default)]
pub struct ConsecutiveErrorDetector {
    settings: ConsecutiveErrorSettings,
    views: BTreeMap<String, BTreeMap<String, HostView>>,
    pending: Vec<ServerVerdict>,
    host_ejections: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct HostView {
    failures: u32,
    ejections: u32,
    until: Option<MonotonicTime>,
}

impl ConsecutiveErrorDetector {
    /// Creates a detector without any server.
    pub fn new(settings: ConsecutiveErrorSettings) -> Self {
        ConsecutiveErrorDetector {
            settings,
            ..Default::default()
        }
    }

    /// Total number of ejections since the start, summed over all hosts.
    pub fn host_ejections(&self) -> u64 {
        self.host_ejections
    }

    /// Number of hosts that eject a server at `now`, and number of hosts that
    /// have sent requests to it.
    pub fn ejecting_hosts(&self, now: MonotonicTime, server: &str) -> (usize, usize) {
        let Some(views) = self.views.get(server) else {
            return (0, 0);
        };
        let ejecting = views.values().filter(|view| view.is_ejected(now));
        (ejecting.count(), views.len())
    }

    /// Whether the host `source` sends no requests to a server at `now`.
    pub fn is_ejected_by(&self, now: MonotonicTime, server: &str, source: &str) -> bool {
        let view = self.views.get(server).and_then(|views| views.get(source));
        view.is_some_and(|view| view.is_ejected(now))
    }
}

impl HostView {
    fn is_ejected(&self, now: MonotonicTime) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}

impl ServerDetector for ConsecutiveErrorDetector {
    fn observe(&mut self, now: MonotonicTime, sample: OutcomeSample<'_>) {
        if sample.is_probe {
            return;
        }
        let views = self.views.entry(sample.server.to_owned()).or_default();
        let was_ejected = views.values().any(|view| view.is_ejected(now));
        let view = views.entry(sample.source.to_owned()).or_default();
        if FaultKind::of(sample.outcome).is_none() {
            view.failures = 0;
            return;
        }
        view.failures += 1;
        if view.failures < self.settings.consecutive || view.is_ejected(now) {
            return;
        }
        view.failures = 0;
        view.ejections += 1;
        let hold = self
            .settings
            .base_ejection_time
            .saturating_mul(view.ejections);
        view.until = Some(now + hold);
        self.host_ejections += 1;
        if !was_ejected {
            self.pending.push(ServerVerdict {
                server: sample.server.to_owned(),
                action: ServerAction::Eject { hold },
                reason: "consecutive-errors",
            });
        }
    }

    fn verdicts(&mut self, now: MonotonicTime, verdicts: &mut Vec<ServerVerdict>) {
        verdicts.append(&mut self.pending);
        for (server, views) in &mut self.views {
            let is_ejected = views.values().any(|view| view.is_ejected(now));
            let mut has_ended = false;
            for view in views.values_mut() {
                has_ended |= view.until.take_if(|until| *until <= now).is_some();
            }
            if has_ended && !is_ejected {
                verdicts.push(ServerVerdict {
                    server: server.clone(),
                    action: ServerAction::Readmit,
                    reason: "hold-ended",
                });
            }
        }
    }

    fn forget(&mut self, server: &str) {
        self.views.remove(server);
    }
}
