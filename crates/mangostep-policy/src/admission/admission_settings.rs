use std::time::Duration;

use crate::admission::{AdmissionRule, ScheduleSettings, WaitSettings};

/// Settings of an [`AdmissionTable`](crate::AdmissionTable).
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// How room is divided.
    pub rule: AdmissionRule,
    /// The queue of each service.
    pub queue: WaitSettings,
    /// When refused callers return.
    pub schedule: ScheduleSettings,
    /// Time over which the rates of a rank are averaged.
    pub rank_time: Duration,
    /// Time over which the rates of a workspace are averaged. A workspace
    /// sends few requests to one host.
    pub workspace_time: Duration,
    /// Time after a request found no room for which the service counts as
    /// short of it.
    pub shortage_time: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        AdmissionSettings {
            rule: AdmissionRule::default(),
            queue: WaitSettings::default(),
            schedule: ScheduleSettings::default(),
            rank_time: Duration::from_millis(500),
            workspace_time: Duration::from_secs(4),
            shortage_time: Duration::from_secs(1),
        }
    }
}
