use {
    bytes::Bytes,
    mangostep_objects::{NormalPath, RequestKind, RouteTarget},
    rocket::{Request, Response},
    tokio::sync::oneshot,
};

use crate::{
    back::{BackFailure, BackJob},
    front::{
        answer::{OpenAnswer, relay},
        body::{BodyPump, CallerBody},
        handler::EntryHandler,
        headers::{ServerHeaders, forwarded},
        running::RunningGuard,
    },
    prelude::*,
    refusal::Refusal,
    slots::{OpenPermit, ServerOutcome, SlotRequest},
};

/// Tries of one request, the first included.
const TRIES_MAX: usize = 3;

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

/// Why a try gave no answer, and whether it may be made again.
#[derive(Clone, Copy, Debug)]
struct TryFailure {
    refusal: Refusal,
    /// No byte of the request left, or the server said that it did not run.
    never_ran: bool,
}

/// Sends a request to a backend server, again where its kind allows.
pub(crate) async fn forward<'r>(
    handler: &EntryHandler,
    job: ForwardJob<'_>,
    body: CallerBody<'r>,
    running: RunningGuard,
) -> Result<Response<'r>, Refusal> {
    let mut tried: Vec<String> = Vec::new();
    let mut body = Some(body);
    loop {
        let permit = open_permit(handler, job, &tried).await?;
        tried.push(permit.server().to_owned());
        let (sent, replay) = split_body(&mut body);
        let result = try_once(handler, job, permit, sent).await;
        let failure = match result {
            TryResult::Answered(answer, permit, pump) => {
                let limit = job.target.service.unsized_answer_bytes;
                let is_head = job.request.method() == rocket::http::Method::Head;
                let open = OpenAnswer {
                    pump,
                    permit,
                    running,
                };
                return relay(*answer, open, limit, is_head).await;
            }
            TryResult::Failed(failure) => failure,
        };
        let may_repeat = failure.never_ran || job.target.route.kind == RequestKind::Idempotent;
        let in_time = handler.context.clock.now() < job.deadline;
        let Some(replay) = replay.filter(|_| may_repeat && in_time && tried.len() < TRIES_MAX)
        else {
            return Err(failure.refusal);
        };
        body = Some(CallerBody::Whole(replay));
    }
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
    tried: &[String],
) -> Result<OpenPermit, Refusal> {
    let request = SlotRequest {
        service: job.target.service.name.clone(),
        workspace: job.workspace.unwrap_or_default().to_owned(),
        kind: job.target.route.kind,
        deadline: job.deadline,
        avoid: tried.to_vec(),
    };
    handler.peer.open_permit(request).await
}

async fn try_once<'r>(
    handler: &EntryHandler,
    job: ForwardJob<'_>,
    permit: OpenPermit,
    body: CallerBody<'r>,
) -> TryResult<'r> {
    let service = job.target.service;
    let now = handler.context.clock.now();
    let time_left = job.deadline.since(now).min(service.try_timeout);
    // The process may have been paused since the slot was granted.
    if time_left.is_zero() {
        permit.close(ServerOutcome::Unused);
        return failed(Refusal::not_run(504, "deadline"), false);
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
    if handler.back.try_send(back_job).is_err() {
        permit.close(ServerOutcome::Unused);
        return failed(Refusal::not_run(503, "ring-full"), true);
    }
    let answer = await_answer(answer, &mut pump, time_left).await;
    match answer {
        Ok(answer) => judge_answer(job, answer, permit, pump),
        Err(BackFailure::ConnectFailed) => {
            permit.close(ServerOutcome::ConnectFailed);
            failed(Refusal::not_run(502, "connect-failed"), true)
        }
        Err(BackFailure::Broken) => {
            permit.close(ServerOutcome::CutAnswer);
            failed(Refusal::unknown(502, "connection-broken"), false)
        }
        Err(BackFailure::TimedOut) => {
            permit.close(ServerOutcome::Timeout);
            failed(Refusal::unknown(504, "deadline"), false)
        }
    }
}

fn failed<'r>(refusal: Refusal, never_ran: bool) -> TryResult<'r> {
    TryResult::Failed(TryFailure { refusal, never_ran })
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
        // A pump that has ended must not be polled with the answer's body.
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
            return failed(Refusal::unknown(502, "wrong-answer"), false);
        }
    }
    let never_ran = headers.contains_key(dialect.not_run_header.as_str());
    if headers.contains_key(dialect.draining_header.as_str()) && never_ran {
        permit.close(ServerOutcome::Draining);
        return failed(Refusal::not_run(503, "server-draining"), true);
    }
    if never_ran {
        permit.close(ServerOutcome::Refused);
        return failed(Refusal::not_run(503, "server-refused"), true);
    }
    if headers.contains_key(dialect.draining_header.as_str()) {
        permit.note_said(ServerOutcome::Draining);
    } else if headers.contains_key(dialect.cold_header.as_str()) {
        permit.note_said(ServerOutcome::Cold);
    }
    TryResult::Answered(Box::new(answer), permit, pump)
}
