//! What holds of retries for any sequence of tries.

use mangostep_testing::seeded;
use {
    bolero::{TypeGenerator, check},
    mangostep_objects::RequestKind,
    mangostep_policy::{AttemptFailure, MonotonicTime, RetryDecision, RetryPolicy, RetryState},
};

const ENDS: [AttemptFailure; 8] = [
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
struct TrySequence {
    is_idempotent: bool,
    has_body: bool,
    deadline_us: u16,
    /// How each try ends, and how long it takes.
    tries: Vec<(u8, u8)>,
}

#[test]
fn nothing_runs_twice_and_not_run_is_true() {
    check!()
        .exhaustive()
        .with_generator(seeded::<TrySequence>(20_000))
        .for_each(check_sequence);
}

fn check_sequence(sequence: &TrySequence) {
    let policy = RetryPolicy::new(Default::default());
    let kind = match sequence.is_idempotent {
        true => RequestKind::Idempotent,
        false => RequestKind::NonIdempotent,
    };
    let deadline = MonotonicTime::from_micros(sequence.deadline_us.into());
    let mut now_us = 0;
    // What could have run, kept apart from the policy's own notes.
    let mut possible_runs = 0;
    let mut may_have_run = false;
    for (place, (end, took_us)) in sequence.tries.iter().enumerate() {
        let end = ENDS[usize::from(*end) % ENDS.len()];
        now_us += u64::from(*took_us);
        let can_run = matches!(
            end,
            AttemptFailure::Broken
                | AttemptFailure::TimedOut
                | AttemptFailure::WrongAnswer
                | AttemptFailure::CutAnswer
                | AttemptFailure::TooLarge
        );
        possible_runs += u32::from(can_run);
        let state = RetryState {
            kind,
            attempts: place as u32 + 1,
            deadline,
            has_body: sequence.has_body,
            may_have_run,
        };
        let now = MonotonicTime::from_micros(now_us);
        match policy.decide(now, &state, end) {
            RetryDecision::Retry { may_have_run: kept } => {
                assert!(now < deadline && sequence.has_body && place + 1 < 3);
                assert!(sequence.is_idempotent || possible_runs == 0);
                may_have_run = kept;
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
