//! Sends a caller's request to backend servers.

mod choosing;
mod hedging;
mod outcome;

use {
    http::StatusCode,
    mangostep_http::ServerResponse,
    mangostep_policy::{ChoiceRefusal, ServerEntry, ServerKey, ServerSignal},
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
        sender::outcome::SendOutcome,
        waiting::RequestAdmission,
    },
    platform::FleetTable,
    prelude::*,
    rollouts::RolloutSample,
    statements::record_own_statement,
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

/// Multiple of the mean duration after which a request counts as stalled. One
/// in a hundred requests to healthy servers takes longer.
const STALL_FACTOR: u32 = 4;

/// Minimum time after which a request counts as stalled.
const STALL_MIN: Duration = Duration::from_millis(600);

/// Value of `Retry-After` when individual servers shed the request. Other
/// servers have capacity, and a request that the caller repeats counts as a new
/// one.
const RETRY_AFTER: Duration = Duration::from_millis(80);

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
    admission: RequestAdmission<'a>,
    tried: Vec<ServerKey>,
    /// Number of servers that the request reached or may have reached. Each
    /// send after the first of these draws on the retry budget.
    reached: u32,
    /// Number of servers that ran the request or may have run it.
    runs: u32,
}

impl<'a> RequestSender<'a> {
    pub(crate) fn open(
        context: &'a Rc<HostContext>,
        request: &'a ForwardRequest,
        planned: &'a PlannedRequest<'a>,
        admission: RequestAdmission<'a>,
    ) -> Self {
        RequestSender {
            context,
            request,
            planned,
            admission,
            tried: Vec::new(),
            reached: 0,
            runs: 0,
        }
    }

    pub(crate) async fn run(mut self, trace: &mut RequestTrace) -> Result<FrontResponse, Refusal> {
        let mut last: Option<Box<ServerResponse>> = None;
        let (mut denials, mut checks) = (0, 0);
        loop {
            let choice = match self.admission.may_try() {
                true => self.choose(),
                false => Err((ChoiceRefusal::NoCapacity, RETRY_AFTER)),
            };
            let (key, entry) = match choice {
                Ok(found) => found,
                Err((ChoiceRefusal::Unchecked, _)) if checks < CHECKS_MAX => {
                    checks += 1;
                    self.wait_for_check().await;
                    continue;
                }
                Err((reason, after))
                    if self.runs == 0 && self.admission.may_wait(reason, after) =>
                {
                    trace.detail = reason.as_str();
                    match self.admission.wait().await {
                        Ok(()) if !self.request.is_abandoned.get() => continue,
                        Ok(()) => return self.give_up(last, RETRY_AFTER),
                        Err(after) => return self.give_up(last, after),
                    }
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
                return self.give_up(last, self.return_time());
            }
            self.admission.leave();
            self.admission.record_sent();
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
                return self.give_up(last, self.return_time());
            }
        }
    }

    /// `Retry-After` of a request that servers did not run.
    fn return_time(&self) -> Duration {
        match self.runs {
            0 => self.admission.plan_return(RETRY_AFTER),
            // The result is no refusal.
            _ => RETRY_AFTER,
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
        let sample = RolloutSample::open(self.context, key);
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
            let kind = planned.route.kind;
            pool.record_kind_duration(&planned.service.name, kind, started.elapsed());
        }
        let service = &planned.service.name;
        let counters = &self.context.counters;
        counters.record_attempt(service, signal.as_str(), started.elapsed());
        if let Some(sample) = sample {
            let route = &planned.route.name;
            sample.close(self.context, service, route, signal, started.elapsed());
        }
        in_flight.close(signal);
        outcome
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

    fn caller_response(&self, answer: ServerResponse) -> FrontResponse {
        FrontResponse {
            status: answer.head.status,
            headers: end_to_end(&answer.head.headers),
            body: answer.body,
            reservation: None,
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
