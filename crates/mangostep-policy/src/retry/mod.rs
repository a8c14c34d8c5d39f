//! Decides whether a request that got no answer is sent again.

use {
    mangostep_objects::RequestKind,
    serde::{Deserialize, Serialize},
};

use crate::MonotonicTime;

/// Settings of a [`RetryPolicy`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetrySettings {
    /// Tries of one request, the first included.
    #[serde(rename = "tries_max")]
    pub attempts_max: u32,
}

impl Default for RetrySettings {
    fn default() -> Self {
        RetrySettings { attempts_max: 3 }
    }
}

/// What is known of a request whose try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryState {
    /// Whether it may run more than once.
    pub kind: RequestKind,
    /// Tries so far, the one that ended included.
    #[serde(rename = "tries")]
    pub attempts: u32,
    /// When the caller gives up; all tries share it.
    pub deadline: MonotonicTime,
    /// Whether the whole body is there to be sent again.
    pub has_body: bool,
    /// Whether an earlier try may have run.
    pub may_have_run: bool,
}

/// How a try ended without an answer for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptFailure {
    /// No byte of the request left the entry host.
    NothingSent,
    /// The server said that it did not run the request.
    ServerNotRun,
    /// The connection broke after bytes had left.
    Broken,
    /// No answer came in time.
    TimedOut,
    /// The answer belonged to another request.
    WrongAnswer,
    /// The answer broke off before any of it went to the caller.
    CutAnswer,
    /// The answer was whole or not, but larger than is held.
    TooLarge,
    /// No slot was granted for a further try, for want of budget or servers.
    NoSlot,
}

impl AttemptFailure {
    /// Whether the try surely did not run.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            AttemptFailure::NothingSent | AttemptFailure::ServerNotRun | AttemptFailure::NoSlot
        )
    }
}

/// What becomes of a request whose try gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send it to another server.
    Retry {
        /// Whether this try may have run, to be kept for the next decision.
        may_have_run: bool,
    },
    /// Tell the caller that it did not run.
    NotRun,
    /// Tell the caller that it may have run.
    Unknown,
}

impl RetryDecision {
    /// The word in traces.
    pub fn name(self) -> &'static str {
        match self {
            RetryDecision::Retry { .. } => "again",
            RetryDecision::NotRun => "not-run",
            RetryDecision::Unknown => "unknown",
        }
    }
}

/// Decides about further tries of one request.
///
/// A non-idempotent request is sent again only while no try may have run, and
/// `NotRun` is told only then. The retry budget is the slot keeper's: it shows
/// here as [`AttemptFailure::NoSlot`].
///
/// # Example
///
/// ```
/// use mangostep_objects::RequestKind;
/// use mangostep_policy::{MonotonicTime, RetryDecision, RetryPolicy, RetryState, AttemptFailure};
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
    /// Makes a policy.
    pub const fn new(settings: RetrySettings) -> Self {
        RetryPolicy { settings }
    }

    /// Decides what follows a try that ended at `now`.
    pub fn decide(
        &self,
        now: MonotonicTime,
        state: &RetryState,
        end: AttemptFailure,
    ) -> RetryDecision {
        let may_have_run = state.may_have_run || !end.never_ran();
        let may_repeat = !may_have_run || state.kind == RequestKind::Idempotent;
        let is_left = now < state.deadline && state.attempts < self.settings.attempts_max;
        let is_final = matches!(end, AttemptFailure::NoSlot | AttemptFailure::TooLarge);
        if may_repeat && is_left && state.has_body && !is_final {
            return RetryDecision::Retry { may_have_run };
        }
        match may_have_run {
            true => RetryDecision::Unknown,
            false => RetryDecision::NotRun,
        }
    }
}
