//! Retry policy for requests whose attempt gave no answer.

use {
    mangostep_objects::RequestKind,
    serde::{Deserialize, Serialize},
};

use crate::MonotonicTime;

/// Settings of a [`RetryPolicy`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetrySettings {
    /// Maximum number of attempts per request, including the first.
    #[serde(rename = "tries_max")]
    pub attempts_max: u32,
}

impl Default for RetrySettings {
    fn default() -> Self {
        RetrySettings { attempts_max: 3 }
    }
}

/// State of a request after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryState {
    /// Whether the request may run more than once.
    pub kind: RequestKind,
    /// Number of attempts so far, including the failed one.
    #[serde(rename = "tries")]
    pub attempts: u32,
    /// Deadline of the caller, shared by all attempts.
    pub deadline: MonotonicTime,
    /// Whether the whole body is available for another attempt.
    pub has_body: bool,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
}

/// How an attempt ended without an answer for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptFailure {
    /// No byte of the request left the entry host.
    NothingSent,
    /// The server reported that it did not run the request.
    ServerNotRun,
    /// The connection broke after part of the request was sent.
    Broken,
    /// No answer arrived before the timeout.
    TimedOut,
    /// The answer belonged to another request.
    WrongAnswer,
    /// The answer was truncated before any of it was sent to the caller.
    CutAnswer,
    /// The answer, complete or not, exceeded the response buffer.
    TooLarge,
    /// No slot was granted for a retry, for lack of retry budget or servers.
    NoSlot,
}

impl AttemptFailure {
    /// Whether the attempt is certain not to have run.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            AttemptFailure::NothingSent | AttemptFailure::ServerNotRun | AttemptFailure::NoSlot
        )
    }
}

/// Decision on a request after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the request to another server.
    Retry {
        /// Whether any attempt so far may have run; input to the next
        /// decision.
        may_have_run: bool,
    },
    /// Report to the caller that the request did not run.
    NotRun,
    /// Report to the caller that the request may have run.
    Unknown,
}

impl RetryDecision {
    /// Name of the decision in recorded traces.
    pub fn name(self) -> &'static str {
        match self {
            RetryDecision::Retry { .. } => "again",
            RetryDecision::NotRun => "not-run",
            RetryDecision::Unknown => "unknown",
        }
    }
}

/// Decides whether a request is retried.
///
/// A non-idempotent request is retried only while no attempt may have run, and
/// [`RetryDecision::NotRun`] is reported only in that case. The slot keeper
/// enforces the retry budget; exhaustion appears here as
/// [`AttemptFailure::NoSlot`].
///
/// # Example
///
/// ```
/// use mangostep_objects::RequestKind;
/// use mangostep_policy::{
///     AttemptFailure, MonotonicTime, RetryDecision, RetryPolicy, RetryState,
/// };
///
/// let policy = RetryPolicy::new(Default::default());
/// let state = RetryState {
///     kind: RequestKind::NonIdempotent,
///     attempts: 1,
///     deadline: MonotonicTime::from_micros(2_000_000),
///     has_body: true,
///     may_have_run: false,
/// };
/// let now = MonotonicTime::from_micros(1_000_000);
/// let decision = policy.decide(now, &state, AttemptFailure::NothingSent);
/// assert_eq!(decision, RetryDecision::Retry { may_have_run: false });
/// let decision = policy.decide(now, &state, AttemptFailure::Broken);
/// assert_eq!(decision, RetryDecision::Unknown);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RetryPolicy {
    settings: RetrySettings,
}

impl RetryPolicy {
    /// Creates a policy with the given bound on attempts.
    pub const fn new(settings: RetrySettings) -> Self {
        RetryPolicy { settings }
    }

    /// Decides what follows an attempt that failed at `now`.
    pub fn decide(
        &self,
        now: MonotonicTime,
        state: &RetryState,
        failure: AttemptFailure,
    ) -> RetryDecision {
        let may_have_run = state.may_have_run || !failure.never_ran();
        let may_run_again = !may_have_run || state.kind == RequestKind::Idempotent;
        let is_within_bounds = now < state.deadline && state.attempts < self.settings.attempts_max;
        let is_final = matches!(failure, AttemptFailure::NoSlot | AttemptFailure::TooLarge);
        if may_run_again && is_within_bounds && state.has_body && !is_final {
            return RetryDecision::Retry { may_have_run };
        }
        match may_have_run {
            true => RetryDecision::Unknown,
            false => RetryDecision::NotRun,
        }
    }
}
