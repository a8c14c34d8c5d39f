use std::time::Duration;

use {
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
};

/// Settings of a [`GrayDetector`](crate::GrayDetector).
///
/// A score is the sum of the natural logarithms of likelihood ratios since it
/// was last zero. Each unit by which a threshold is raised makes false alarms
/// rarer by about a factor of `e`.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use mangostep_policy::DetectionSettings;
///
/// let settings = DetectionSettings {
///     base_ejection_time: Duration::from_secs(10),
///     ..Default::default()
/// };
/// assert!(settings.base_ejection_time < settings.max_ejection_time);
/// ```
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DetectionSettings {
    /// Shortest time between two evaluations of a cell.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "tick_ms")]
    pub tick: Duration,
    /// Score from which a server in full use is ejected.
    pub eject_score: f64,
    /// Score from which a server in a trial is ejected again.
    pub trial_score: f64,
    /// Sum of the scores of the other sources from which a fault is attributed
    /// to the server, and not to the path of one source.
    pub corroboration_score: f64,
    /// Number of requests from other sources from which an uncorroborated
    /// fault is attributed to the path of one source.
    pub clear_samples: u32,
    /// Shortest time that the evidence must cover before an ejection.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "evidence_span_ms")]
    pub evidence_span: Duration,
    /// Shortest time that the evidence must cover when it has only one or two
    /// bad requests.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "sparse_span_ms")]
    pub sparse_span: Duration,
    /// Expected share of failed requests at a server with a gray failure.
    pub gray_share: f64,
    /// Expected share of slow answers at a slow server.
    pub slow_share: f64,
    /// Multiple of the 90th percentile latency of the other servers above
    /// which an answer is slow.
    pub slow_ratio: f64,
    /// Multiple of that percentile above which an answer is very slow.
    pub very_slow_ratio: f64,
    /// Excess over that percentile up to which an answer is never slow.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "slow_excess_ms")]
    pub slow_excess: Duration,
    /// Duration of the first ejection; each further one lasts twice as
    /// long as the one before.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "hold_ms")]
    pub base_ejection_time: Duration,
    /// Upper bound on the duration of an ejection.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "hold_max_ms")]
    pub max_ejection_time: Duration,
    /// Time in full use after which the next ejection has the duration of a
    /// first one again.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "forget_after_ms")]
    pub forget_after: Duration,
    /// Number of good answers that complete one step of a trial.
    pub trial_answers: u32,
    /// Time after which 3 good answers complete a step of a trial.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "trial_step_ms")]
    pub trial_step: Duration,
    /// Time for which the outcomes of a source with a failing path to a server
    /// are excluded from the evidence against that server.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "path_hold_ms")]
    pub path_exclusion: Duration,
}

impl Default for DetectionSettings {
    fn default() -> Self {
        DetectionSettings {
            tick: Duration::from_millis(250),
            eject_score: 16.0,
            trial_score: 6.0,
            corroboration_score: 4.0,
            clear_samples: 6,
            evidence_span: Duration::from_secs(1),
            sparse_span: Duration::from_secs(3),
            gray_share: 0.15,
            slow_share: 0.45,
            slow_ratio: 2.5,
            very_slow_ratio: 10.0,
            slow_excess: Duration::from_millis(20),
            base_ejection_time: Duration::from_secs(5),
            max_ejection_time: Duration::from_secs(320),
            forget_after: Duration::from_secs(600),
            trial_answers: 20,
            trial_step: Duration::from_secs(30),
            path_exclusion: Duration::from_secs(30),
        }
    }
}
