//! Invariants of the retry policy for any sequence of failed attempts.

use mangostep_testing::seeded;
use {
    bolero::{TypeGenerator, check},
    mangostep_objects::RequestKind,
    mangostep_policy::{AttemptFailure, MonotonicTime, RetryDecision, RetryPolicy, RetryState},
};

const FAILURES: [AttemptFailure; 8] = [
    AttemptFailure::NothingSent,
    AttemptFailure::ServerNotRun,
    AttemptFailure::Broken,
    AttemptFailure::TimedOut,
    AttemptFailure::WrongAnswer,
    AttemptFailure::CutAnswer,
    AttemptFailure::TooLarge,
    AttemptFailure::NoSlot,
];

#[derive(Clone, Debug, TypeGenerator)]
struct AttemptSequence {
    is_idempotent: bool,
    has_body: bool,
    deadline_us: u16,
    /// Failure and duration in microseconds of each attempt.
    attempts: Vec<(u8, u8)>,
}

#[test]
fn non_idempotent_requests_run_once_and_not_run_is_accurate() {
    check!()
        .exhaustive()
        .with_generator(seeded::<AttemptSequence>(20_000))
        .for_each(check_sequence);
}

fn check_sequence(sequence: &AttemptSequence) {
    let policy = RetryPolicy::new(Default::default());
    let kind = match sequence.is_idempotent {
        true => RequestKind::Idempotent,
        false => RequestKind::NonIdempotent,
    };
    let deadline = MonotonicTime::from_micros(sequence.deadline_us.into());
    let mut now_us = 0;
    // Counted independently of the policy's `may_have_run`.
    let mut possible_runs = 0;
    let mut may_have_run = false;
    for (index, (failure, duration_us)) in sequence.attempts.iter().enumerate() {
        let failure = FAILURES[usize::from(*failure) % FAILURES.len()];
        now_us += u64::from(*duration_us);
        let can_run = matches!(
            failure,
            AttemptFailure::Broken
                | AttemptFailure::TimedOut
                | AttemptFailure::WrongAnswer
                | AttemptFailure::CutAnswer
                | AttemptFailure::TooLarge
        );
        possible_runs += u32::from(can_run);
        let state = RetryState {
            kind,
            attempts: index as u32 + 1,
            deadline,
            has_body: sequence.has_body,
            may_have_run,
        };
        let now = MonotonicTime::from_micros(now_us);
        match policy.decide(now, &state, failure) {
            RetryDecision::Retry {
                may_have_run: updated,
            } => {
                assert!(now < deadline && sequence.has_body && index + 1 < 3);
                assert!(sequence.is_idempotent || possible_runs == 0);
                may_have_run = updated;
            }
            RetryDecision::NotRun => {
                assert_eq!(possible_runs, 0);
                return;
            }
            RetryDecision::Unknown => {
                assert!(possible_runs > 0);
                return;
            }
        }
    }
}
