//! Requests that are in flight at two servers at once.

use {
    futures::future::Either,
    mangostep_policy::{ServerEntry, ServerKey},
    tokio::time::timeout,
};

use crate::forward::{
    request::{RequestTrace, is_idempotent},
    sender::{DEFAULT_ATTEMPTS, RequestSender, SENDS_MAX, outcome::SendOutcome},
};

impl RequestSender<'_> {
    /// Sends the request, and hedges it if it may run twice and the first
    /// server exceeds the stall time.
    pub(super) async fn send_with_hedge(
        &mut self,
        key: ServerKey,
        entry: &ServerEntry,
        trace: &mut RequestTrace,
    ) -> SendOutcome {
        if !self.may_hedge(trace) {
            return self.send(key, entry).await;
        }
        let (outcome, hedge) = self.race_hedge(key, entry, trace).await;
        let Some((second_key, second_outcome)) = hedge else {
            return outcome;
        };
        self.tried.push(second_key);
        self.merge_outcomes(outcome, second_outcome)
    }

    /// Merges the outcomes of two concurrent sends into the outcome for the
    /// request.
    pub(super) fn merge_outcomes(
        &mut self,
        first: SendOutcome,
        second: SendOutcome,
    ) -> SendOutcome {
        match (first, second) {
            (SendOutcome::Response(answer), _) | (_, SendOutcome::Response(answer)) => {
                SendOutcome::Response(answer)
            }
            (SendOutcome::Unsent, outcome) | (outcome, SendOutcome::Unsent) => outcome,
            (SendOutcome::MayHaveRun(_, first), SendOutcome::MayHaveRun(reason, second)) => {
                self.reached += 1;
                self.runs += 1;
                SendOutcome::MayHaveRun(reason, second.or(first))
            }
            // A request that may have run at one server must not count as not
            // run.
            (outcome @ SendOutcome::MayHaveRun(..), SendOutcome::NotRun(_))
            | (SendOutcome::NotRun(_), outcome) => {
                self.reached += 1;
                outcome
            }
        }
    }

    /// Sends the request, and also to a second server if the first exceeds the
    /// stall time. Returns the outcome of the send that ended first, and the
    /// second server with the outcome of the other send if there was one. A
    /// response cancels the other send.
    pub(super) async fn race_hedge(
        &self,
        key: ServerKey,
        entry: &ServerEntry,
        trace: &mut RequestTrace,
    ) -> (SendOutcome, Option<(ServerKey, SendOutcome)>) {
        let first = self.send(key, entry);
        tokio::pin!(first);
        if let Ok(outcome) = timeout(self.stall_time(), &mut first).await {
            return (outcome, None);
        }
        let Ok((second_key, second_entry)) = self.choose() else {
            return (first.await, None);
        };
        // The tokens of a server with a rate limit are left to first sends, and
        // a check would delay the first one's response.
        if self.rate_limit(second_key).is_some() || self.check_reason(second_key).is_some() {
            return (first.await, None);
        }
        if !self.take_retry() {
            return (first.await, None);
        }
        trace.record_send(&second_entry.id);
        let second = self.send(second_key, &second_entry);
        tokio::pin!(second);
        let (outcome, other) = tokio::select! {
            outcome = &mut first => (outcome, Either::Right(second)),
            outcome = &mut second => (outcome, Either::Left(first)),
        };
        let other_outcome = match outcome {
            SendOutcome::Response(_) => SendOutcome::NotRun("broken off"),
            SendOutcome::MayHaveRun(..) | SendOutcome::NotRun(_) | SendOutcome::Unsent => {
                other.await
            }
        };
        (outcome, Some((second_key, other_outcome)))
    }

    /// Whether the request may be in flight at two servers at once.
    pub(super) fn may_hedge(&self, trace: &RequestTrace) -> bool {
        let attempts = self.planned.route.attempts.unwrap_or(DEFAULT_ATTEMPTS);
        is_idempotent(self.planned) && self.runs + 2 <= attempts && trace.sends < SENDS_MAX
    }
}
