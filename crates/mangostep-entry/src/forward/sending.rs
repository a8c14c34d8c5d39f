use std::io::ErrorKind;

use {
    futures::future::Either,
    http::StatusCode,
    mangostep_http::ServerAnswer,
    mangostep_policy::{
        ChoiceRefusal, ChoiceRequest, ServerChoice, ServerEntry, ServerKey, ServerSignal,
    },
    slog::warn,
    tokio::time::{Instant, timeout},
};

use crate::{
    back::{AttemptEnd, AttemptOrder, LossReason, attempt},
    clock,
    forward::{
        outgoing::{OutgoingHeaders, end_to_end, outgoing_request},
        refusal::{FrontAnswer, Refusal},
        request::{ForwardRequest, PlannedRequest, RequestStory, is_idempotent},
        running::RunningRequest,
    },
    prelude::*,
};

/// Header with the id of a request, by which its log lines are found.
pub(crate) const ID_HEADER: &str = "x-request-id";

/// Servers that may run one request where the route sets no bound.
const ATTEMPTS: u32 = 2;

/// Servers that one request reaches, those that turn it away included.
const ARRIVALS_MAX: u32 = 5;

/// Sends of one request, those that make no connection included: enough to get
/// past the servers of a zone that failed a moment ago.
const SENDS_MAX: u32 = 12;

/// Times the mean length after which a request should have ended; one in a
/// hundred sound requests takes longer.
const STALL_FACTOR: u32 = 4;

/// Shortest time after which a request counts as stalled.
const STALL_MIN: Duration = Duration::from_millis(600);

/// Time after which a caller may come back when single servers turned its
/// request away: others have room, and its return is a request of its own.
const COME_BACK: Duration = Duration::from_millis(80);

/// Share of the retry budget below which no request is risked on a suspected
/// server, so that failures that come anyhow can be repeated.
const TEST_ROOM: f64 = 0.4;

/// The reason in logs and counters of a send that made no connection.
const UNREACHABLE: &str = "unreachable";

/// Time for the last answer to reach the caller before its deadline.
const ANSWER_MARGIN: Duration = Duration::from_millis(10);

/// The sends of one request, until one of them gives its answer.
pub(crate) struct Sending<'a> {
    context: &'a Rc<HostContext>,
    request: &'a ForwardRequest,
    planned: &'a PlannedRequest<'a>,
    tried: Vec<ServerKey>,
    /// Servers that the request reached, or may have; what goes to further
    /// ones is taken from the retry budget.
    arrivals: u32,
    /// Servers that ran the request, or may have.
    runs: u32,
}

/// What one send showed.
enum SendEnd {
    /// An answer for the caller.
    Answer(Box<ServerAnswer>),
    /// The request did not reach the server.
    Unsent,
    /// The server did not run the request.
    NotRun(&'static str),
    /// The server may have run it, and gave an answer of no use or none.
    MayHaveRun(&'static str, Option<Box<ServerAnswer>>),
}

impl<'a> Sending<'a> {
    pub(crate) fn open(
        context: &'a Rc<HostContext>,
        request: &'a ForwardRequest,
        planned: &'a PlannedRequest<'a>,
    ) -> Self {
        Sending {
            context,
            request,
            planned,
            tried: Vec::new(),
            arrivals: 0,
            runs: 0,
        }
    }

    pub(crate) async fn run(mut self, story: &mut RequestStory) -> Result<FrontAnswer, Refusal> {
        let mut last: Option<Box<ServerAnswer>> = None;
        loop {
            let choice = self.choose();
            let (key, entry) = match choice {
                Ok(found) => found,
                Err((reason, after)) => {
                    story.detail = reason.as_str();
                    return self.give_up(last, after);
                }
            };
            if self.arrivals > 0 && !self.take_repeat() {
                story.detail = "retry budget";
                return self.give_up(last, COME_BACK);
            }
            self.tried.push(key);
            story.note_send(&entry.id);
            story.chance = self.context.pool.borrow().failure_chance(key, clock::now());
            let end = self.send_guarded(key, &entry, story).await;
            let is_over = Instant::now() + ANSWER_MARGIN >= self.planned.deadline;
            match end {
                SendEnd::Answer(answer) => return Ok(self.pass(*answer)),
                SendEnd::Unsent => story.detail = UNREACHABLE,
                SendEnd::NotRun(what) => {
                    story.detail = what;
                    self.arrivals += 1;
                }
                SendEnd::MayHaveRun(what, answer) => {
                    story.detail = what;
                    self.arrivals += 1;
                    self.runs += 1;
                    last = answer.or(last);
                }
            }
            self.log_failure(&entry, story);
            let timed_out = is_over || story.detail == LossReason::TimedOut.as_str();
            if timed_out && self.runs > 0 && last.is_none() {
                return Err(Refusal::TimedOut);
            }
            let attempts = self.planned.route.attempts.unwrap_or(ATTEMPTS);
            let may_repeat = !self.request.is_abandoned.get()
                && !is_over
                && story.sends < SENDS_MAX
                && self.arrivals < ARRIVALS_MAX
                && (self.runs == 0 || (is_idempotent(self.planned) && self.runs < attempts));
            if !may_repeat {
                return self.give_up(last, COME_BACK);
            }
        }
    }

    /// The last answer where no further server is asked.
    fn give_up(
        &self,
        last: Option<Box<ServerAnswer>>,
        after: Duration,
    ) -> Result<FrontAnswer, Refusal> {
        match last {
            Some(answer) => Ok(self.pass(*answer)),
            None if self.runs > 0 => Err(Refusal::Failed),
            None => Err(Refusal::NoRoom(after)),
        }
    }

    fn choose(&self) -> Result<(ServerKey, ServerEntry), (ChoiceRefusal, Duration)> {
        let now = clock::now();
        let service = self.planned.service;
        let hosts = self.context.hosts.borrow();
        let mut allowance = self.context.allowance.borrow_mut();
        let room = allowance.remaining_share(&service.name, hosts.own_share(now), now);
        let ask = ChoiceRequest {
            service: &service.name,
            kind: self.planned.route.kind,
            zone: &self.context.settings.zone,
            tried: &self.tried,
            priority: self.planned.priority,
            time_left: self.time_left(),
            own_rate_per_s: allowance.request_rate(&service.name, now),
            sees_peer_traffic: hosts.sees_peer_traffic(now),
            may_retry: self.runs == 0 && room > TEST_ROOM,
        };
        if is_idempotent(self.planned) {
            let mut pool = self.context.pool.borrow_mut();
            pool.record_retryable(&service.name, ask.may_retry, now);
        }
        let pool = self.context.pool.borrow();
        let mut random = self.context.random.borrow_mut();
        let kind = self.planned.route.kind;
        let is_connected = |key| self.context.backs.has(key, kind, now);
        match pool.choose(
            ask,
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

    fn take_repeat(&self) -> bool {
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

    async fn send(&self, key: ServerKey, entry: &ServerEntry) -> SendEnd {
        let planned = self.planned;
        let dialect = &planned.service.dialect;
        let head = &self.request.request.head;
        let outgoing = OutgoingHeaders {
            dialect,
            workspace: planned.workspace,
            server: entry,
            time_left: self.time_left(),
        };
        let id = head.text(&dialect.id_header);
        let id = id.filter(|_| dialect.echoes_id);
        let order = AttemptOrder {
            key,
            entry,
            kind: planned.route.kind,
            bytes: outgoing_request(head, &self.request.request.body, &outgoing),
            is_head_request: head.method == http::Method::HEAD,
            echoed: id.map(|id| (dialect.id_header.as_str(), id)),
            deadline: planned.deadline - ANSWER_MARGIN.min(self.time_left() / 4),
        };
        let running = RunningRequest::open(self.context, key);
        let started = Instant::now();
        let sent = attempt(self.context, order);
        let end = self.watch(sent, &running).await;
        let (signal, end) = self.judge(end);
        if signal == ServerSignal::Success {
            let mut pool = self.context.pool.borrow_mut();
            pool.record_duration(&planned.service.name, started.elapsed());
        }
        let service = &planned.service.name;
        let counters = &self.context.counters;
        counters.record_attempt(service, signal.as_str(), started.elapsed());
        running.close(signal);
        end
    }

    /// Sends the request, and sends it to a second server as well when it may
    /// run twice and the first should have answered by now.
    async fn send_guarded(
        &mut self,
        key: ServerKey,
        entry: &ServerEntry,
        story: &mut RequestStory,
    ) -> SendEnd {
        if !self.may_hedge(story) {
            return self.send(key, entry).await;
        }
        let (end, hedge) = self.send_hedged(key, entry, story).await;
        let Some((second_key, second_end)) = hedge else {
            return end;
        };
        self.tried.push(second_key);
        self.join_ends(end, second_end)
    }

    /// What two sends of the request at once mean for it.
    fn join_ends(&mut self, first: SendEnd, second: SendEnd) -> SendEnd {
        match (first, second) {
            (SendEnd::Answer(answer), _) | (_, SendEnd::Answer(answer)) => SendEnd::Answer(answer),
            (SendEnd::Unsent, end) | (end, SendEnd::Unsent) => end,
            (SendEnd::MayHaveRun(_, first), SendEnd::MayHaveRun(what, second)) => {
                self.arrivals += 1;
                self.runs += 1;
                SendEnd::MayHaveRun(what, second.or(first))
            }
            // What one of the two may have run was not refused.
            (end @ SendEnd::MayHaveRun(..), SendEnd::NotRun(_)) | (SendEnd::NotRun(_), end) => {
                self.arrivals += 1;
                end
            }
        }
    }

    /// Sends the request to a second server once the first should have ended,
    /// and returns how both ended; the second is left out where none was asked,
    /// and an answer ends both.
    async fn send_hedged(
        &self,
        key: ServerKey,
        entry: &ServerEntry,
        story: &mut RequestStory,
    ) -> (SendEnd, Option<(ServerKey, SendEnd)>) {
        let first = self.send(key, entry);
        tokio::pin!(first);
        if let Ok(end) = timeout(self.stall_time(), &mut first).await {
            return (end, None);
        }
        let Ok((second_key, second_entry)) = self.choose() else {
            return (first.await, None);
        };
        if !self.take_repeat() {
            return (first.await, None);
        }
        story.note_send(&second_entry.id);
        let second = self.send(second_key, &second_entry);
        tokio::pin!(second);
        let (end, other) = tokio::select! {
            end = &mut first => (end, Either::Right(second)),
            end = &mut second => (end, Either::Left(first)),
        };
        let other_end = match end {
            SendEnd::Answer(_) => SendEnd::NotRun("broken off"),
            SendEnd::MayHaveRun(..) | SendEnd::NotRun(_) | SendEnd::Unsent => other.await,
        };
        (end, Some((second_key, other_end)))
    }

    /// Whether the request may be sent to a second server while the first
    /// has it.
    fn may_hedge(&self, story: &RequestStory) -> bool {
        let attempts = self.planned.route.attempts.unwrap_or(ATTEMPTS);
        is_idempotent(self.planned) && self.runs + 2 <= attempts && story.sends < SENDS_MAX
    }

    /// Time after which the request should have ended.
    fn stall_time(&self) -> Duration {
        let pool = self.context.pool.borrow();
        let mean = pool.mean_duration(&self.planned.service.name);
        (mean * STALL_FACTOR).max(STALL_MIN)
    }

    /// Waits for the end of an attempt, and tells when it should be over.
    async fn watch(
        &self,
        sent: impl Future<Output = AttemptEnd>,
        running: &RunningRequest,
    ) -> AttemptEnd {
        let stall = self.stall_time();
        tokio::pin!(sent);
        match timeout(stall, &mut sent).await {
            Ok(end) => end,
            Err(_) => {
                running.note_stall();
                sent.await
            }
        }
    }

    /// What the end of an attempt shows of the server, and what it means for
    /// the request.
    fn judge(&self, end: AttemptEnd) -> (ServerSignal, SendEnd) {
        let answer = match end {
            AttemptEnd::Unsent(err) => {
                self.log_unsent(&err);
                let signal = match err.kind() {
                    ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => {
                        ServerSignal::Refused
                    }
                    _ => ServerSignal::Unreachable,
                };
                return (signal, SendEnd::Unsent);
            }
            AttemptEnd::Lost(what) => {
                let end = SendEnd::MayHaveRun(what.as_str(), None);
                return (ServerSignal::Failure, end);
            }
            AttemptEnd::Answered(answer) => answer,
        };
        let dialect = &self.planned.service.dialect;
        let status = answer.head.status;
        let is_misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        if is_misdirected {
            return (ServerSignal::Misdirected, SendEnd::NotRun("other server"));
        }
        if answer
            .head
            .headers
            .contains_key(dialect.not_run_header.as_str())
        {
            return (ServerSignal::Shed, SendEnd::NotRun("turned away"));
        }
        let is_signed = dialect.signature_header.is_empty()
            || answer
                .head
                .headers
                .contains_key(dialect.signature_header.as_str());
        let is_coded = answer.head.headers.contains_key("content-encoding");
        if !is_signed || is_coded {
            return (
                ServerSignal::Failure,
                SendEnd::MayHaveRun(LossReason::Spoiled.as_str(), None),
            );
        }
        if promises_not_run(status) {
            // The server ran the request, so its status cannot be passed on.
            return (
                ServerSignal::Error,
                SendEnd::MayHaveRun("false promise", None),
            );
        }
        if status.is_server_error() {
            let end = SendEnd::MayHaveRun("server error", Some(answer));
            return (ServerSignal::Error, end);
        }
        (ServerSignal::Success, SendEnd::Answer(answer))
    }

    fn pass(&self, answer: ServerAnswer) -> FrontAnswer {
        FrontAnswer {
            status: answer.head.status,
            headers: end_to_end(&answer.head.headers),
            body: answer.body,
        }
    }

    fn log_unsent(&self, err: &std::io::Error) {
        let head = &self.request.request.head;
        warn!(self.context.log, "server not reached";
            "id" => head.text(ID_HEADER).unwrap_or_default(),
            "error" => err.to_string());
    }

    fn log_failure(&self, entry: &ServerEntry, story: &RequestStory) {
        self.context
            .counters
            .count("attempt-failed", &[("reason", story.detail)]);
        let head = &self.request.request.head;
        warn!(self.context.log, "attempt failed";
            "id" => head.text(ID_HEADER).unwrap_or_default(),
            "route" => self.planned.route.name.as_str(),
            "server" => entry.id.as_str(),
            "address" => entry.address.to_string(),
            "reason" => story.detail,
            "chance" => (story.chance * 1000.0).round() / 1000.0,
            "send" => story.sends,
            "left_ms" => self.time_left().as_millis() as u64,
        );
    }
}

/// Whether callers take a status as a promise that the request has not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
