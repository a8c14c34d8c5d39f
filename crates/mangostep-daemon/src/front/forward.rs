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
        answer::{AnswerLimits, OpenAnswer, relay},
        body::{BodyPump, CallerBody},
        handler::EntryHandler,
        headers::{ServerHeaders, forwarded},
        running::RunningGuard,
    },
    limits::LimitName,
    prelude::*,
    refusal::Refusal,
    slots::{OpenPermit, ServerOutcome, SlotRequest},
};

/// A request that passed its key and its limit.
#[derive(Clone, Copy)]
pub(crate) struct ForwardJob<'s> {
    pub(crate) request: &'s Request<'s>,
    pub(crate) path: &'s NormalPath,
    pub(crate) target: RouteTarget<'s>,
    pub(crate) workspace: Option<&'s str>,
    pub(crate) deadline: MonotonicTime,
    pub(crate) request_id: &'s str,
}

/// What came of one try.
enum TryResult<'r> {
    Answered(Box<reqwest::Response>, OpenPermit, Option<BodyPump<'r>>),
    Failed(TryFailure),
}

/// Why a try gave no answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TryFailure {
    /// What the caller gets when no further try is made.
    pub(crate) refusal: Refusal,
    pub(crate) end: AttemptFailure,
}

/// Sends a request to a backend server, again where its kind allows.
///
/// The first try takes a token of the limit, when one counts.
pub(crate) async fn forward<'r>(
    handler: &EntryHandler,
    job: ForwardJob<'_>,
    mut limit: Option<LimitName>,
    body: CallerBody<'r>,
    running: RunningGuard,
) -> Result<Response<'r>, Refusal> {
    let policy = RetryPolicy::default();
    let mut state = RetryState {
        kind: job.target.route.kind,
        attempts: 0,
        deadline: job.deadline,
        has_body: true,
        may_have_run: false,
    };
    let mut tried: Vec<String> = Vec::new();
    let mut body = Some(body);
    loop {
        let (sent, replay) = split_body(&mut body);
        state.has_body = replay.is_some();
        let failure =
            match answer_once(handler, job, limit.take(), &mut tried, sent, &running).await {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
        state.attempts = u32::try_from(tried.len()).unwrap_or(u32::MAX);
        match policy.decide(handler.context.clock.now(), &state, failure.end) {
            RetryDecision::Retry { may_have_run } => {
                state.may_have_run = may_have_run;
                body = replay.map(CallerBody::Whole);
            }
            RetryDecision::NotRun => return Err(failure.refusal),
            RetryDecision::Unknown => return Err(failure.refusal.into_unknown()),
        }
    }
}

/// Takes a slot, sends the request once and starts the caller's answer.
async fn answer_once<'r>(
    handler: &EntryHandler,
    job: ForwardJob<'_>,
    limit: Option<LimitName>,
    tried: &mut Vec<String>,
    body: CallerBody<'r>,
    running: &RunningGuard,
) -> Result<Response<'r>, TryFailure> {
    let permit = open_permit(handler, job, limit, tried)
        .await
        .map_err(|refusal| TryFailure {
            refusal,
            end: AttemptFailure::NoSlot,
        })?;
    tried.push(permit.server().to_owned());
    let pool = handler.back.pool(permit.address());
    let (answer, permit, pump) = match try_once(handler, job, permit, body).await {
        TryResult::Answered(answer, permit, pump) => (answer, permit, pump),
        TryResult::Failed(failure) => {
            let is_suspect = matches!(
                failure.end,
                AttemptFailure::TimedOut | AttemptFailure::WrongAnswer
            );
            if is_suspect {
                pool.discard();
            }
            return Err(failure);
        }
    };
    let open = OpenAnswer {
        pump,
        permit,
        pool,
        running: running.clone(),
    };
    let limits = AnswerLimits {
        unsized_bytes: job.target.service.unsized_answer_bytes,
        time_left: job.deadline.since(handler.context.clock.now()),
        is_head: job.request.method() == rocket::http::Method::Head,
    };
    relay(*answer, open, limits).await
}

/// Takes the body for one try, and a copy for the next where there can be one.
fn split_body<'r>(body: &mut Option<CallerBody<'r>>) -> (CallerBody<'r>, Option<Bytes>) {
    match body.take() {
        Some(CallerBody::Whole(bytes)) => (CallerBody::Whole(bytes.clone()), Some(bytes)),
        Some(streamed) => (streamed, None),
        None => (CallerBody::Whole(Bytes::new()), None),
    }
}

async fn open_permit(
    handler: &EntryHandler,
    job: ForwardJob<'_>,
    limit: Option<LimitName>,
    tried: &[String],
) -> Result<OpenPermit, Refusal> {
    let request = SlotRequest {
        service: job.target.service.name.clone(),
        workspace: job.workspace.unwrap_or_default().to_owned(),
        kind: job.target.route.kind,
        deadline: job.deadline,
        avoid: tried.to_vec(),
    };
    handler.peer.open_permit(limit, request).await
}

async fn try_once<'r>(
    handler: &EntryHandler,
    job: ForwardJob<'_>,
    mut permit: OpenPermit,
    body: CallerBody<'r>,
) -> TryResult<'r> {
    let service = job.target.service;
    let now = handler.context.clock.now();
    let time_left = job.deadline.since(now).min(service.try_timeout);
    // The process may have been paused since the slot was granted.
    if time_left.is_zero() {
        permit.close(ServerOutcome::Unused);
        return failed(
            Refusal::not_run(504, "deadline"),
            AttemptFailure::NothingSent,
        );
    }
    let own = ServerHeaders {
        dialect: &service.dialect,
        request_id: job.request_id,
        time_left,
        workspace: job.workspace,
    };
    let declared = body.declared();
    let (body, mut pump) = body.into_back();
    let mut headers = forwarded(job.request, own);
    // An empty body without a length stays so: a GET must not gain one.
    if let Some(length) = declared.filter(|length| *length > 0) {
        headers.insert(reqwest::header::CONTENT_LENGTH, length.into());
    }
    let (reply, answer) = oneshot::channel();
    let back_job = BackJob {
        address: permit.address(),
        method: reqwest::Method::from_bytes(job.request.method().as_str().as_bytes())
            .unwrap_or(reqwest::Method::GET),
        target: target_of(job),
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
            permit.note_header();
            judge_answer(job, answer, permit, pump)
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

fn failed<'r>(refusal: Refusal, end: AttemptFailure) -> TryResult<'r> {
    TryResult::Failed(TryFailure { refusal, end })
}

fn target_of(job: ForwardJob<'_>) -> String {
    match job.request.uri().query() {
        Some(query) => format!("{}?{query}", job.path.as_str()),
        None => job.path.as_str().to_owned(),
    }
}

/// Waits for the head of the answer and moves the request's body meanwhile.
async fn await_answer(
    answer: oneshot::Receiver<Result<reqwest::Response, BackFailure>>,
    pump: &mut Option<BodyPump<'_>>,
    time_left: Duration,
) -> Result<reqwest::Response, BackFailure> {
    let pumping = async {
        if let Some(running) = pump.as_mut() {
            running.await;
        }
        // A body that was moved whole must not be polled again.
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
        () = pumping => Err(BackFailure::Broken),
    }
}

fn judge_answer<'r>(
    job: ForwardJob<'_>,
    answer: reqwest::Response,
    mut permit: OpenPermit,
    pump: Option<BodyPump<'r>>,
) -> TryResult<'r> {
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
    let never_ran = headers.contains_key(dialect.not_run_header.as_str());
    if headers.contains_key(dialect.draining_header.as_str()) && never_ran {
        permit.close(ServerOutcome::Draining);
        return failed(
            Refusal::not_run(503, "server-draining"),
            AttemptFailure::ServerNotRun,
        );
    }
    if never_ran {
        permit.close(ServerOutcome::Refused);
        return failed(
            Refusal::not_run(503, "server-refused"),
            AttemptFailure::ServerNotRun,
        );
    }
    if headers.contains_key(dialect.draining_header.as_str()) {
        permit.note_said(ServerOutcome::Draining);
    } else if headers.contains_key(dialect.cold_header.as_str()) {
        permit.note_said(ServerOutcome::Cold);
    }
    TryResult::Answered(Box::new(answer), permit, pump)
}
