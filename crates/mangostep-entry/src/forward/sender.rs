use std::{io::ErrorKind, ops::ControlFlow};

use {
    futures::future::Either,
    http::StatusCode,
    mangostep_http::ServerResponse,
    mangostep_policy::{
        CheckReason, ChoiceRefusal, ChoiceRequest, ServerChoice, ServerEntry, ServerKey,
        ServerSignal, StatedLimit, TokenVerdict,
    },
    slog::warn,
    tokio::time::{Instant, timeout},
};

use crate::{
    back::{AttemptOutcome, AttemptRequest, FailureReason, attempt},
    clock,
    forward::{
        in_flight::InFlightRequest,
        outgoing::{OutgoingHeaders, end_to_end, outgoing_request},
        refusal::{FrontResponse, Refusal},
        request::{ForwardRequest, PlannedRequest, RequestTrace, is_idempotent},
        server_check::{ServerCheck, check_time},
    },
    peers,
    platform::FleetTable,
    prelude::*,
    statements::record_own_statement,
    suspicion::{SuspicionCause, log_suspicion_change},
};

/// Header with the request id, which is logged with each line about the
/// request.
pub(crate) const ID_HEADER: &str = "x-request-id";

/// Default limit on the servers that may run one request, for routes that set
/// none.
const DEFAULT_ATTEMPTS: u32 = 2;

/// Maximum number of servers that one request reaches, including those that
/// shed it.
const REACHED_MAX: u32 = 5;

/// Maximum number of sends of one request, including those that establish no
/// connection. It is large enough to skip the servers of a zone that just
/// failed.
const SENDS_MAX: u32 = 12;

/// Maximum number of servers that deny one request a token.
const DENIALS_MAX: u32 = 12;

/// Maximum number of checks that one request begins or waits for.
const CHECKS_MAX: u32 = 6;

/// Maximum wait for a token of a server in cold start. Other hosts may use fewer
/// of them.
const COLD_DENIAL_MAX: Duration = Duration::from_millis(500);

/// Multiple of the mean duration after which a request counts as stalled. One
/// in a hundred requests to healthy servers takes longer.
const STALL_FACTOR: u32 = 4;

/// Minimum time after which a request counts as stalled.
const STALL_MIN: Duration = Duration::from_millis(600);

/// Value of `Retry-After` when individual servers shed the request. Other
/// servers have capacity, and a request that the caller repeats counts as a new
/// one.
const RETRY_AFTER: Duration = Duration::from_millis(80);

/// Share of the retry budget that must remain for a request to be sent to a
/// suspected server as a probe. The reserve covers the failures of other
/// requests.
const PROBE_BUDGET_SHARE: f64 = 0.4;

/// Label of a send without a connection in logs and metrics.
const UNREACHABLE: &str = "unreachable";

/// Time reserved for returning the response to the caller before its deadline.
const RESPONSE_MARGIN: Duration = Duration::from_millis(10);

/// Sends one request, with retries and hedges, until it has a response for the
/// caller.
pub(crate) struct RequestSender<'a> {
    context: &'a Rc<HostContext>,
    request: &'a ForwardRequest,
    planned: &'a PlannedRequest<'a>,
    tried: Vec<ServerKey>,
    /// Number of servers that the request reached or may have reached. Each
    /// send after the first of these draws on the retry budget.
    reached: u32,
    /// Number of servers that ran the request or may have run it.
    runs: u32,
}

/// Outcome of one send.
enum SendOutcome {
    /// A response for the caller.
    Response(Box<ServerResponse>),
    /// No connection was established, so the request did not reach the server.
    Unsent,
    /// The server did not run the request, for the given reason.
    NotRun(&'static str),
    /// The server may have run the request but gave no usable response, for
    /// the given reason. A server error is kept for the caller.
    MayHaveRun(&'static str, Option<Box<ServerResponse>>),
}

impl<'a> RequestSender<'a> {
    pub(crate) fn open(
        context: &'a Rc<HostContext>,
        request: &'a ForwardRequest,
        planned: &'a PlannedRequest<'a>,
    ) -> Self {
        RequestSender {
            context,
            request,
            planned,
            tried: Vec::new(),
            reached: 0,
            runs: 0,
        }
    }

    pub(crate) async fn run(mut self, trace: &mut RequestTrace) -> Result<FrontResponse, Refusal> {
        let mut last: Option<Box<ServerResponse>> = None;
        let (mut denials, mut checks) = (0, 0);
        loop {
            let choice = self.choose();
            let (key, entry) = match choice {
                Ok(found) => found,
                Err((ChoiceRefusal::Unchecked, _)) if checks < CHECKS_MAX => {
                    checks += 1;
                    self.wait_for_check().await;
                    continue;
                }
                Err((reason, after)) => {
                    trace.detail = reason.as_str();
                    return self.give_up(last, after);
                }
            };
            if let Some(reason) = self.check_reason(key) {
                if checks == CHECKS_MAX {
                    trace.detail = ChoiceRefusal::Unchecked.as_str();
                    return self.give_up(last, RETRY_AFTER);
                }
                checks += 1;
                if self.check(key, &entry, reason).await.is_continue() {
                    continue;
                }
            }
            if !self.take_token(key, &entry).await {
                trace.record_limited(&entry.id);
                denials += 1;
                if denials < DENIALS_MAX {
                    continue;
                }
                trace.detail = ChoiceRefusal::RateLimited.as_str();
                return self.give_up(last, RETRY_AFTER);
            }
            if !self.context.pool.borrow().accepts_work(key, clock::now()) {
                // The server began to leave while a token was requested.
                continue;
            }
            if self.reached > 0 && !self.take_retry() {
                trace.detail = "retry budget";
                return self.give_up(last, RETRY_AFTER);
            }
            self.tried.push(key);
            trace.record_send(&entry.id);
            self.trace_server(key, trace);
            let outcome = self.send_with_hedge(key, &entry, trace).await;
            let is_out_of_time = Instant::now() + RESPONSE_MARGIN >= self.planned.deadline;
            match outcome {
                SendOutcome::Response(answer) => return Ok(self.caller_response(*answer)),
                SendOutcome::Unsent => trace.detail = UNREACHABLE,
                SendOutcome::NotRun(reason) => {
                    trace.detail = reason;
                    self.reached += 1;
                }
                SendOutcome::MayHaveRun(reason, answer) => {
                    trace.detail = reason;
                    self.reached += 1;
                    self.runs += 1;
                    last = answer.or(last);
                }
            }
            self.log_failure(&entry, trace);
            let timed_out = is_out_of_time || trace.detail == FailureReason::TimedOut.as_str();
            if timed_out && self.runs > 0 && last.is_none() {
                return Err(Refusal::TimedOut);
            }
            let attempts = self.planned.route.attempts.unwrap_or(DEFAULT_ATTEMPTS);
            let may_retry_again = !self.request.is_abandoned.get()
                && !is_out_of_time
                && trace.sends < SENDS_MAX
                && self.reached < REACHED_MAX
                && (self.runs == 0 || (is_idempotent(self.planned) && self.runs < attempts));
            if !may_retry_again {
                return self.give_up(last, RETRY_AFTER);
            }
        }
    }

    /// Returns the result after the last send: the last server error, or a
    /// refusal whose `Retry-After` is `after`.
    fn give_up(
        &self,
        last: Option<Box<ServerResponse>>,
        after: Duration,
    ) -> Result<FrontResponse, Refusal> {
        match last {
            Some(answer) => Ok(self.caller_response(*answer)),
            None if self.runs > 0 => Err(Refusal::Failed),
            None => Err(Refusal::NoCapacity(after)),
        }
    }

    fn choose(&self) -> Result<(ServerKey, ServerEntry), (ChoiceRefusal, Duration)> {
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
    async fn take_token(&self, key: ServerKey, entry: &ServerEntry) -> bool {
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
    fn rate_limit(&self, key: ServerKey) -> Option<StatedLimit> {
        let cold_rate_per_s = self.planned.service.cold_rate_per_s;
        let pool = self.context.pool.borrow();
        pool.rate_limit(key, cold_rate_per_s, clock::now())
    }

    /// Why a server must be asked whether it is in cold start before the request
    /// is sent; `None` if this host knows, or the service has no cold start.
    fn check_reason(&self, key: ServerKey) -> Option<CheckReason> {
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
    async fn wait_for_check(&self) {
        let wait = check_time(self.context, self.time_left());
        // Without an answer, the next choice finds no check pending.
        let _ = timeout(wait, self.context.check_ended.notified()).await;
    }

    /// Asks a server whether it is in cold start. Continues with another choice
    /// unless the server is known to be warm.
    async fn check(
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

    /// Records what this host knows of the server that a request is sent to.
    fn trace_server(&self, key: ServerKey, trace: &mut RequestTrace) {
        let now = clock::now();
        let pool = self.context.pool.borrow();
        trace.chance = pool.failure_chance(key, now);
        let is_cold = pool.is_cold(key, now);
        if is_cold {
            trace.cold_sends += 1;
        }
        let label = if is_cold { "true" } else { "false" };
        self.context
            .counters
            .count("server-request", &[("cold", label)]);
        let tables = self.context.tables.borrow();
        let confirmed = tables.of(FleetTable::Servers).confirmed;
        trace.entries_age = confirmed.map(|confirmed| now.since(confirmed));
    }

    fn take_retry(&self) -> bool {
        let now = clock::now();
        let share = self.context.hosts.borrow().own_share(now);
        let mut allowance = self.context.allowance.borrow_mut();
        allowance.take(
            &self.planned.service.name,
            share,
            self.planned.priority,
            now,
        )
    }

    fn time_left(&self) -> Duration {
        let deadline = self.planned.deadline;
        deadline.saturating_duration_since(Instant::now())
    }

    async fn send(&self, key: ServerKey, entry: &ServerEntry) -> SendOutcome {
        let planned = self.planned;
        let dialect = &planned.service.dialect;
        let head = &self.request.caller_request.head;
        let outgoing = OutgoingHeaders {
            dialect,
            workspace: planned.workspace,
            server: entry,
            time_left: self.time_left(),
        };
        let id = head.header(&dialect.id_header);
        let id = id.filter(|_| dialect.echoes_id);
        let request = AttemptRequest {
            key,
            entry,
            kind: planned.route.kind,
            bytes: outgoing_request(head, &self.request.caller_request.body, &outgoing),
            is_head_request: head.method == http::Method::HEAD,
            echoed: id.map(|id| (dialect.id_header.as_str(), Some(id))),
            deadline: planned.deadline - RESPONSE_MARGIN.min(self.time_left() / 4),
        };
        let in_flight = InFlightRequest::open(self.context, key);
        let started = Instant::now();
        let sent = attempt(self.context, request);
        let outcome = self.wait_for_outcome(sent, &in_flight).await;
        let states_wait = match &outcome {
            // Another server at the address answers a misdirected request.
            AttemptOutcome::Answered(answer)
                if answer.head.status != StatusCode::MISDIRECTED_REQUEST =>
            {
                record_own_statement(self.context, key, entry, &answer.head)
            }
            _ => false,
        };
        let (signal, outcome) = match self.classify(outcome) {
            // A server that states a wait is busy and does not fail.
            (ServerSignal::Error, outcome) if states_wait => (ServerSignal::Shed, outcome),
            classified => classified,
        };
        if signal == ServerSignal::Success {
            let mut pool = self.context.pool.borrow_mut();
            pool.record_duration(&planned.service.name, started.elapsed());
        }
        let service = &planned.service.name;
        let counters = &self.context.counters;
        counters.record_attempt(service, signal.as_str(), started.elapsed());
        in_flight.close(signal);
        outcome
    }

    /// Sends the request, and hedges it if it may run twice and the first
    /// server exceeds the stall time.
    async fn send_with_hedge(
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
    fn merge_outcomes(&mut self, first: SendOutcome, second: SendOutcome) -> SendOutcome {
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
    async fn race_hedge(
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
    fn may_hedge(&self, trace: &RequestTrace) -> bool {
        let attempts = self.planned.route.attempts.unwrap_or(DEFAULT_ATTEMPTS);
        is_idempotent(self.planned) && self.runs + 2 <= attempts && trace.sends < SENDS_MAX
    }

    /// Time after which the request counts as stalled.
    fn stall_time(&self) -> Duration {
        let pool = self.context.pool.borrow();
        let mean = pool.mean_duration(&self.planned.service.name);
        (mean * STALL_FACTOR).max(STALL_MIN)
    }

    /// Waits for the outcome of an attempt, and reports a stall once the
    /// attempt exceeds the stall time.
    async fn wait_for_outcome(
        &self,
        sent: impl Future<Output = AttemptOutcome>,
        in_flight: &InFlightRequest,
    ) -> AttemptOutcome {
        let stall = self.stall_time();
        tokio::pin!(sent);
        match timeout(stall, &mut sent).await {
            Ok(outcome) => outcome,
            Err(_) => {
                in_flight.record_stall();
                sent.await
            }
        }
    }

    /// Derives the evidence about the server and the outcome of the send from
    /// the outcome of an attempt.
    fn classify(&self, outcome: AttemptOutcome) -> (ServerSignal, SendOutcome) {
        let answer = match outcome {
            AttemptOutcome::Unsent(err) => {
                self.log_unsent(&err);
                let signal = match err.kind() {
                    ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => {
                        ServerSignal::Refused
                    }
                    _ => ServerSignal::Unreachable,
                };
                return (signal, SendOutcome::Unsent);
            }
            AttemptOutcome::Failed(reason) => {
                let outcome = SendOutcome::MayHaveRun(reason.as_str(), None);
                return (ServerSignal::Failure, outcome);
            }
            AttemptOutcome::Answered(answer) => answer,
        };
        let dialect = &self.planned.service.dialect;
        let status = answer.head.status;
        let is_misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        if is_misdirected {
            return (
                ServerSignal::Misdirected,
                SendOutcome::NotRun("other server"),
            );
        }
        if answer
            .head
            .headers
            .contains_key(dialect.not_run_header.as_str())
        {
            return (ServerSignal::Shed, SendOutcome::NotRun("turned away"));
        }
        let is_signed = dialect.signature_header.is_empty()
            || answer
                .head
                .headers
                .contains_key(dialect.signature_header.as_str());
        let is_encoded = answer.head.headers.contains_key("content-encoding");
        if !is_signed || is_encoded {
            return (
                ServerSignal::Failure,
                SendOutcome::MayHaveRun(FailureReason::Corrupt.as_str(), None),
            );
        }
        if implies_not_run(status) {
            // The server ran the request, so the caller must not see a status
            // that implies the opposite.
            return (
                ServerSignal::Error,
                SendOutcome::MayHaveRun("false promise", None),
            );
        }
        if status.is_server_error() {
            let outcome = SendOutcome::MayHaveRun("server error", Some(answer));
            return (ServerSignal::Error, outcome);
        }
        (ServerSignal::Success, SendOutcome::Response(answer))
    }

    fn caller_response(&self, answer: ServerResponse) -> FrontResponse {
        FrontResponse {
            status: answer.head.status,
            headers: end_to_end(&answer.head.headers),
            body: answer.body,
        }
    }

    fn log_unsent(&self, err: &std::io::Error) {
        let head = &self.request.caller_request.head;
        warn!(self.context.log, "server not reached";
            "id" => head.header(ID_HEADER).unwrap_or_default(),
            "error" => err.to_string());
    }

    fn log_failure(&self, entry: &ServerEntry, trace: &RequestTrace) {
        self.context
            .counters
            .count("attempt-failed", &[("reason", trace.detail)]);
        let head = &self.request.caller_request.head;
        warn!(self.context.log, "attempt failed";
            "id" => head.header(ID_HEADER).unwrap_or_default(),
            "route" => self.planned.route.name.as_str(),
            "server" => entry.id.as_str(),
            "address" => entry.address.to_string(),
            "reason" => trace.detail,
            "chance" => (trace.chance * 1000.0).round() / 1000.0,
            "send" => trace.sends,
            "left_ms" => self.time_left().as_millis() as u64,
        );
    }
}

/// Whether callers infer from a status that the request was not run.
fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
