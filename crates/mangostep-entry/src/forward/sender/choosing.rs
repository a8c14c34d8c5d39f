//! The choice of the server for a request, and what must be known or taken
//! before it is sent there.

use std::ops::ControlFlow;

use {
    mangostep_policy::{
        CheckReason, ChoiceRefusal, ChoiceRequest, ServerChoice, ServerEntry, ServerKey,
        StatedLimit, TokenVerdict,
    },
    tokio::time::timeout,
};

use crate::{
    clock,
    forward::{
        request::is_idempotent,
        sender::RequestSender,
        server_check::{ServerCheck, check_time},
    },
    peers,
    prelude::*,
    suspicion::{SuspicionCause, log_suspicion_change},
};

/// Share of the retry budget that must remain for a request to be sent to a
/// suspected server as a probe. The reserve covers the failures of other
/// requests.
const PROBE_BUDGET_SHARE: f64 = 0.4;

/// Maximum wait for a token of a server in cold start. Other hosts may use fewer
/// of them.
const COLD_DENIAL_MAX: Duration = Duration::from_millis(500);

impl RequestSender<'_> {
    pub(super) fn choose(&self) -> Result<(ServerKey, ServerEntry), (ChoiceRefusal, Duration)> {
        let now = clock::now();
        let service = self.planned.service;
        let hosts = self.context.hosts.borrow();
        let mut allowance = self.context.allowance.borrow_mut();
        let budget_share = allowance.remaining_share(&service.name, hosts.own_share(now), now);
        let request = ChoiceRequest {
            service: &service.name,
            kind: self.planned.route.kind,
            zone: &self.context.settings.zone,
            tried: &self.tried,
            priority: self.planned.priority,
            time_left: self.time_left(),
            own_rate_per_s: allowance.request_rate(&service.name, now),
            sees_peer_traffic: hosts.sees_peer_traffic(now),
            may_retry: self.runs == 0 && budget_share > PROBE_BUDGET_SHARE,
        };
        if is_idempotent(self.planned) {
            let mut pool = self.context.pool.borrow_mut();
            pool.record_retryable(&service.name, request.may_retry, now);
        }
        let pool = self.context.pool.borrow();
        let mut random = self.context.random.borrow_mut();
        let kind = self.planned.route.kind;
        let is_connected = |key| self.context.connections.has(key, kind, now);
        match pool.choose(
            request,
            service.cold_rate_per_s,
            is_connected,
            &mut *random,
            now,
        ) {
            ServerChoice::Send(key) => {
                let entry = pool.entry(key).cloned();
                entry
                    .map(|entry| (key, entry))
                    .ok_or((ChoiceRefusal::NoServer, Duration::ZERO))
            }
            ServerChoice::Refuse(reason, after) => Err((reason, after)),
        }
    }

    /// Takes a token for a server that states a rate limit. Without one, this
    /// host does not choose the server again before one may be available.
    pub(super) async fn take_token(&self, key: ServerKey, entry: &ServerEntry) -> bool {
        let Some(limit) = self.rate_limit(key) else {
            return true;
        };
        let verdict = peers::acquire_server_token(self.context, entry, limit).await;
        let TokenVerdict::Denied(after) = verdict else {
            return true;
        };
        self.context.counters.count("server-token-denied", &[]);
        let mut pool = self.context.pool.borrow_mut();
        let now = clock::now();
        let after = match pool.is_cold(key, now) {
            true => after.min(COLD_DENIAL_MAX),
            false => after,
        };
        pool.record_denial(key, now + after);
        false
    }

    /// The rate limit of a server over all hosts, if it has one now.
    pub(super) fn rate_limit(&self, key: ServerKey) -> Option<StatedLimit> {
        let cold_rate_per_s = self.planned.service.cold_rate_per_s;
        let pool = self.context.pool.borrow();
        pool.rate_limit(key, cold_rate_per_s, clock::now())
    }

    /// Why a server must be asked whether it is in cold start before the request
    /// is sent; `None` if this host knows, or the service has no cold start.
    pub(super) fn check_reason(&self, key: ServerKey) -> Option<CheckReason> {
        self.planned.service.cold_rate_per_s?;
        let now = clock::now();
        let mut pool = self.context.pool.borrow_mut();
        if self.context.connections.has_closed_early(key, now) {
            pool.record_restart(key, now);
        }
        pool.check_reason(key, now)
    }

    /// Waits until another request of this host has asked a server whether it is
    /// in cold start.
    pub(super) async fn wait_for_check(&self) {
        let wait = check_time(self.context, self.time_left());
        // Without an answer, the next choice finds no check pending.
        let _ = timeout(wait, self.context.check_ended.notified()).await;
    }

    /// Asks a server whether it is in cold start. Continues with another choice
    /// unless the server is known to be warm.
    pub(super) async fn check(
        &mut self,
        key: ServerKey,
        entry: &ServerEntry,
        reason: CheckReason,
    ) -> ControlFlow<()> {
        let check = ServerCheck {
            key,
            entry,
            service: self.planned.service,
            reason,
            time_left: self.time_left(),
        };
        if let Err(signal) = check.run(self.context).await {
            self.tried.push(key);
            let now = clock::now();
            let mut pool = self.context.pool.borrow_mut();
            let change = pool.record_own_outcome(key, signal, now, now);
            let cause = SuspicionCause {
                signal,
                age: Duration::ZERO,
                seen_by: &self.context.settings.host,
            };
            log_suspicion_change(self.context, &pool, key, change, &cause);
            return ControlFlow::Continue(());
        }
        match self.context.pool.borrow().is_cold(key, clock::now()) {
            true => ControlFlow::Continue(()),
            false => ControlFlow::Break(()),
        }
    }

    pub(super) fn take_retry(&self) -> bool {
        let now = clock::now();
        let share = self.context.hosts.borrow().own_share(now);
        let mut allowance = self.context.allowance.borrow_mut();
        let service = &self.planned.service.name;
        match self.admission.has_queueing() {
            true => allowance.take_by_rank(service, share, self.planned.priority, now),
            false => allowance.take(service, share, self.planned.priority, now),
        }
    }
}
