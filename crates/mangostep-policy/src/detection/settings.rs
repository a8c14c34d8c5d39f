use std::time::Duration;

use {
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
};

/// Settings of a [`GrayDetector`](crate::GrayDetector).
///
/// Scores are natural logarithms of likelihood ratios, added up since they
/// were last zero: the higher a threshold, the rarer a false alarm, by about
/// a factor of `e` for each unit.
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
    /// Time between two evaluations of a cell.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "tick_ms")]
    pub tick: Duration,
    /// Score that asks for an ejection.
    pub eject_score: f64,
    /// Score that ends a trial with another ejection.
    pub trial_score: f64,
    /// Score that the other sources must reach together, so that a fault is
    /// the server's and not the path of one source.
    pub corroboration_score: f64,
    /// Requests of other sources that show a fault to be one source's path.
    pub clear_samples: u32,
    /// Shortest time over which the evidence must stretch.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "evidence_span_ms")]
    pub evidence_span: Duration,
    /// The same when there are only one or two bad requests.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "sparse_span_ms")]
    pub sparse_span: Duration,
    /// Share of failures that is expected of a server that fails grayly.
    pub gray_share: f64,
    /// Share of slow answers that is expected of a server that is slow.
    pub slow_share: f64,
    /// Ratio to the 90th percentile of the other servers that makes an
    /// answer slow.
    pub slow_ratio: f64,
    /// Ratio to the same percentile that makes an answer very slow.
    pub very_slow_ratio: f64,
    /// Least difference to that percentile that makes an answer slow.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "slow_excess_ms")]
    pub slow_excess: Duration,
    /// Time for which the first ejection holds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "hold_ms")]
    pub base_ejection_time: Duration,
    /// Longest time for which an ejection holds; each doubles the one before.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "hold_max_ms")]
    pub max_ejection_time: Duration,
    /// Time in full use after which earlier ejections are forgotten.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "forget_after_ms")]
    pub forget_after: Duration,
    /// Good answers that end one step of a trial.
    pub trial_answers: u32,
    /// Time after which a step of a trial ends with a few good answers.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "trial_step_ms")]
    pub trial_step: Duration,
    /// Time for which one source's path to a server is left out.
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
