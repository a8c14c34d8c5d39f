use {
    bytes::Bytes,
    mangostep_objects::{NormalPath, RouteTarget},
    mangostep_policy::{AttemptFailure, RetryDecision, RetryPolicy, RetryState},
    rocket::{Request, Response},
    tokio::sync::oneshot,
};

use crate::{
    back::{BackFailure, BackJob},
    front::{
        answer::{AnswerLimits, AnswerResources, forward_answer},
        body::{BodyPump, CallerBody},
        handler::EntryHandler,
        headers::{ServerHeaders, forwarded_headers},
        in_flight::InFlightGuard,
    },
    limits::LimitName,
    prelude::*,
    refusal::Refusal,
    slots::{OpenPermit, ServerOutcome, SlotRequest},
};

/// Request that passed its access checks, with its route and deadline.
#[derive(Clone, Copy)]
pub(crate) struct ForwardJob<'s> {
    pub(crate) request: &'s Request<'s>,
    pub(crate) path: &'s NormalPath,
    pub(crate) target: RouteTarget<'s>,
    pub(crate) workspace: Option<&'s str>,
    pub(crate) deadline: MonotonicTime,
    pub(crate) request_id: &'s str,
}

/// Outcome of one attempt, as far as the head of the answer.
enum AttemptResult<'r> {
    Answered(Box<reqwest::Response>, OpenPermit, Option<BodyPump<'r>>),
    Failed(FailedAttempt),
}

/// Attempt that produced no answer for the caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FailedAttempt {
    /// Answer to the caller if the request is not retried.
    pub(crate) refusal: Refusal,
    pub(crate) cause: AttemptFailure,
}

/// Forwards a request to a backend server, with retries where its kind allows
/// them.
///
/// The first attempt takes a token if a rate limit applies.
pub(crate) async fn forward<'r>(
    handler: &EntryHandler,
    job: ForwardJob<'_>,
    mut limit: Option<LimitName>,
    body: CallerBody<'r>,
    in_flight: InFlightGuard,
) -> Result<Response<'r>, Refusal> {
    let policy = RetryPolicy::default();
    let mut state = RetryState {
        kind: job.target.route.kind,
        attempts: 0,
        deadline: job.deadline,
        has_body: true,
        may_have_run: false,
    };
    let mut attempted_servers: Vec<String> = Vec::new();
    let mut body = Some(body);
    loop {
        let (sent, replay) = split_body(&mut body);
        state.has_body = replay.is_some();
        let failed_attempt = match make_attempt(
            handler,
            job,
            limit.take(),
            &mut attempted_servers,
            sent,
            &in_flight,
        )
        .await
        {
            Ok(response) => return Ok(response),
            Err(failed_attempt) => failed_attempt,
        };
        state.attempts = u32::try_from(attempted_servers.len()).unwrap_or(u32::MAX);
        match policy.decide(handler.context.clock.now(), &state, failed_attempt.cause) {
            RetryDecision::Retry { may_have_run } => {
                state.may_have_run = may_have_run;
                body = replay.map(CallerBody::Buffered);
            }
            RetryDecision::NotRun => return Err(failed_attempt.refusal),
            RetryDecision::Unknown => return Err(failed_attempt.refusal.into_unknown()),
        }
    }
}

/// Makes one attempt: acquires a slot, sends the request and starts the answer
/// to the caller.
async fn make_attempt<'r>(
    handler: &EntryHandler,
    job: ForwardJob<'_>,
    limit: Option<LimitName>,
    attempted_servers: &mut Vec<String>,
    body: CallerBody<'r>,
    in_flight: &InFlightGuard,
) -> Result<Response<'r>, FailedAttempt> {
    let permit = open_permit(handler, job, limit, attempted_servers)
        .await
        .map_err(|refusal| FailedAttempt {
            refusal,
            cause: AttemptFailure::NoSlot,
        })?;
    attempted_servers.push(permit.server().to_owned());
    let pool = handler.back.pool(permit.address());
    let (answer, permit, pump) = match send_request(handler, job, permit, body).await {
        AttemptResult::Answered(answer, permit, pump) => (answer, permit, pump),
        AttemptResult::Failed(failed_attempt) => {
            let must_discard_pool = matches!(
                failed_attempt.cause,
                AttemptFailure::TimedOut | AttemptFailure::WrongAnswer
            );
            if must_discard_pool {
                pool.discard();
            }
            return Err(failed_attempt);
        }
    };
    let resources = AnswerResources {
        pump,
        permit,
        pool,
        in_flight: in_flight.clone(),
    };
    let limits = AnswerLimits {
        unsized_bytes: job.target.service.unsized_answer_bytes,
        time_left: job.deadline.since(handler.context.clock.now()),
        is_head: job.request.method() == rocket::http::Method::Head,
    };
    forward_answer(*answer, resources, limits).await
}

/// Takes the body for one attempt, and a copy for a retry if it is buffered.
fn split_body<'r>(body: &mut Option<CallerBody<'r>>) -> (CallerBody<'r>, Option<Bytes>) {
    match body.take() {
        Some(CallerBody::Buffered(bytes)) => (CallerBody::Buffered(bytes.clone()), Some(bytes)),
        Some(streamed) => (streamed, None),
        None => (CallerBody::Buffered(Bytes::new()), None),
    }
}

async fn open_permit(
    handler: &EntryHandler,
    job: ForwardJob<'_>,
    limit: Option<LimitName>,
    attempted_servers: &[String],
) -> Result<OpenPermit, Refusal> {
    let request = SlotRequest {
        service: job.target.service.name.clone(),
        workspace: job.workspace.unwrap_or_default().to_owned(),
        kind: job.target.route.kind,
        deadline: job.deadline,
        avoid: attempted_servers.to_vec(),
    };
    handler.peer.open_permit(limit, request).await
}

async fn send_request<'r>(
    handler: &EntryHandler,
    job: ForwardJob<'_>,
    mut permit: OpenPermit,
    body: CallerBody<'r>,
) -> AttemptResult<'r> {
    let service = job.target.service;
    let now = handler.context.clock.now();
    let time_left = job.deadline.since(now).min(service.attempt_timeout);
    // The process may have been paused since the slot was granted.
    if time_left.is_zero() {
        permit.close(ServerOutcome::Unused);
        return failed(
            Refusal::not_run(504, "deadline"),
            AttemptFailure::NothingSent,
        );
    }
    let host_headers = ServerHeaders {
        dialect: &service.dialect,
        request_id: job.request_id,
        time_left,
        workspace: job.workspace,
    };
    let declared = body.declared();
    let (body, mut pump) = body.into_back();
    let mut headers = forwarded_headers(job.request, host_headers);
    // An empty body gets no length, so that none is added to a GET.
    if let Some(length) = declared.filter(|length| *length > 0) {
        headers.insert(reqwest::header::CONTENT_LENGTH, length.into());
    }
    let (reply, answer) = oneshot::channel();
    let back_job = BackJob {
        address: permit.address(),
        method: reqwest::Method::from_bytes(job.request.method().as_str().as_bytes())
            .unwrap_or(reqwest::Method::GET),
        target: request_target(job),
        headers,
        body,
        connect_timeout: service.connect_timeout,
        reply,
    };
    if !handler.back.send(back_job) {
        permit.close(ServerOutcome::Unused);
        return failed(
            Refusal::not_run(503, "ring-full"),
            AttemptFailure::NothingSent,
        );
    }
    let answer = await_answer(answer, &mut pump, time_left).await;
    match answer {
        Ok(answer) => {
            permit.record_header();
            check_answer(job, answer, permit, pump)
        }
        Err(BackFailure::ConnectFailed) => {
            permit.close(ServerOutcome::ConnectFailed);
            failed(
                Refusal::not_run(502, "connect-failed"),
                AttemptFailure::NothingSent,
            )
        }
        Err(BackFailure::Broken) => {
            permit.close(ServerOutcome::CutAnswer);
            failed(
                Refusal::unknown(502, "connection-broken"),
                AttemptFailure::Broken,
            )
        }
        Err(BackFailure::TimedOut) => {
            permit.close(ServerOutcome::Timeout);
            failed(Refusal::unknown(504, "deadline"), AttemptFailure::TimedOut)
        }
    }
}

fn failed<'r>(refusal: Refusal, cause: AttemptFailure) -> AttemptResult<'r> {
    AttemptResult::Failed(FailedAttempt { refusal, cause })
}

fn request_target(job: ForwardJob<'_>) -> String {
    match job.request.uri().query() {
        Some(query) => format!("{}?{query}", job.path.as_str()),
        None => job.path.as_str().to_owned(),
    }
}

/// Waits for the head of the answer while sending the request's body.
async fn await_answer(
    answer: oneshot::Receiver<Result<reqwest::Response, BackFailure>>,
    pump: &mut Option<BodyPump<'_>>,
    time_left: Duration,
) -> Result<reqwest::Response, BackFailure> {
    let send_body = async {
        if let Some(active) = pump.as_mut() {
            active.await;
        }
        // The pump must not be polled again after it has completed.
        *pump = None;
        std::future::pending::<()>().await;
    };
    tokio::select! {
        biased;
        result = tokio::time::timeout(time_left, answer) => match result {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(BackFailure::Broken),
            Err(_) => Err(BackFailure::TimedOut),
        },
        () = send_body => Err(BackFailure::Broken),
    }
}

fn check_answer<'r>(
    job: ForwardJob<'_>,
    answer: reqwest::Response,
    mut permit: OpenPermit,
    pump: Option<BodyPump<'r>>,
) -> AttemptResult<'r> {
    let dialect = &job.target.service.dialect;
    let headers = answer.headers();
    if dialect.echoes_id {
        let echoed = headers.get(dialect.id_header.as_str());
        if echoed.is_none_or(|id| id.as_bytes() != job.request_id.as_bytes()) {
            permit.close(ServerOutcome::WrongAnswer);
            return failed(
                Refusal::unknown(502, "wrong-answer"),
                AttemptFailure::WrongAnswer,
            );
        }
    }
    let is_not_run = headers.contains_key(dialect.not_run_header.as_str());
    if headers.contains_key(dialect.draining_header.as_str()) && is_not_run {
        permit.close(ServerOutcome::Draining);
        return failed(
            Refusal::not_run(503, "server-draining"),
            AttemptFailure::ServerNotRun,
        );
    }
    if is_not_run {
        permit.close(ServerOutcome::Refused);
        return failed(
            Refusal::not_run(503, "server-refused"),
            AttemptFailure::ServerNotRun,
        );
    }
    if headers.contains_key(dialect.draining_header.as_str()) {
        permit.record_server_state(ServerOutcome::Draining);
    } else if headers.contains_key(dialect.cold_header.as_str()) {
        permit.record_server_state(ServerOutcome::Cold);
    }
    AttemptResult::Answered(Box::new(answer), permit, pump)
}
