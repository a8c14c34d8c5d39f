use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    backend::{
        BackendContext, GrayMode,
        records::{RunRecord, wall_us},
    },
    http::{HttpResponse, HttpStream, RequestBody, RequestHead, ResponseBody, TruncationPoint},
};

/// Delay of the answers of a failed server.
const DOWN_ANSWER_DELAY: Duration = Duration::from_millis(300);

/// Deadline of a request without `x-deadline-ms`.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(3600);

/// Header names that may carry a key.
const KEY_HEADERS: [&str; 4] = ["authorization", "mangostep-key", "x-api-key", "cookie"];

/// How a request ended at the server.
pub(crate) enum WorkOutcome {
    Answer(HttpResponse),
    Hang,
    Reset,
    /// The client went away.
    ClientGone,
}

/// Counts a request as in flight until it is dropped.
struct InFlightGuard(Arc<BackendContext>);

impl InFlightGuard {
    fn open(context: &Arc<BackendContext>) -> Self {
        context.lock().enter();
        InFlightGuard(context.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.lock().in_flight -= 1;
    }
}

/// Serves one request that is neither a probe nor a control request.
pub(crate) async fn serve_work(
    context: &Arc<BackendContext>,
    stream: &mut HttpStream,
    head: &RequestHead,
    body: &RequestBody,
) -> WorkOutcome {
    let arrival = Instant::now();
    let time = head.header("x-deadline-ms").and_then(|ms| ms.parse().ok());
    let end = arrival + time.map_or(DEFAULT_DEADLINE, Duration::from_millis);
    record_key_headers(context, head);
    if let Some(answer) = refuse(context, head) {
        return WorkOutcome::Answer(answer);
    }
    let _inside = InFlightGuard::open(context);
    if context.lock().is_down() {
        tokio::time::sleep(DOWN_ANSWER_DELAY).await;
        return WorkOutcome::Answer(echo(head, HttpResponse::new(503, "down\n")));
    }
    let slot = tokio::select! {
        slot = context.slots.acquire() => slot,
        () = tokio::time::sleep_until(end.into()) => return WorkOutcome::Answer(not_run(context, head)),
        () = stream.closed() => return WorkOutcome::ClientGone,
    };
    let fault = context.lock().draw_fault(head.path());
    if fault == Some(GrayMode::Reset) {
        return WorkOutcome::Reset;
    }
    let id = head.header("x-request-id").unwrap_or_default();
    let place = start(context, head);
    let work = work_time(context, head, fault);
    let finish = Instant::now() + work;
    // The timer's tick is 1 ms; a request without work does not wait for it.
    let cancelled = !work.is_zero()
        && tokio::select! {
            () = tokio::time::sleep_until(finish.min(end).into()) => false,
            () = stream.closed() => true,
        };
    drop(slot);
    context.lock().log.end(place, id, cancelled);
    if cancelled {
        return WorkOutcome::ClientGone;
    }
    let answer = if finish > end {
        echo(head, HttpResponse::new(504, "deadline\n"))
    } else {
        normal_response(context, head, body)
    };
    apply_fault(context, head, fault, answer).await
}

fn record_key_headers(context: &BackendContext, head: &RequestHead) {
    for (name, value) in &head.headers {
        if KEY_HEADERS.contains(&name.as_str()) {
            let pair = (name.clone(), value.clone());
            context.lock().log.summary.key_headers.push(pair);
        }
    }
}

/// Refuses a request while the server is draining or shedding load.
fn refuse(context: &BackendContext, head: &RequestHead) -> Option<HttpResponse> {
    let state = context.lock();
    let sheds = state.shed_above.is_some_and(|most| state.in_flight >= most);
    let refuses = state.draining || sheds;
    drop(state);
    refuses.then(|| not_run(context, head))
}

fn not_run(context: &BackendContext, head: &RequestHead) -> HttpResponse {
    let answer = echo(head, HttpResponse::new(503, "not run\n")).with("x-not-run", 1);
    let mut state = context.lock();
    state.log.summary.refused += 1;
    state.with_state_headers(answer)
}

fn echo(head: &RequestHead, answer: HttpResponse) -> HttpResponse {
    match head.header("x-request-id") {
        Some(id) => answer.with("x-request-id", id),
        None => answer,
    }
}

fn start(context: &BackendContext, head: &RequestHead) -> usize {
    let text = |name| head.header(name).unwrap_or_default().to_owned();
    let mut state = context.lock();
    let record = RunRecord {
        id: text("x-request-id"),
        operation: text("x-operation"),
        workspace: text("x-workspace"),
        method: head.method.clone(),
        path: head.path().to_owned(),
        start_us: wall_us(),
        end_us: 0,
        concurrent: state.in_flight as u64,
        cold: state.is_cold(),
        cancelled: false,
    };
    state.log.start(record)
}

fn work_time(context: &BackendContext, head: &RequestHead, fault: Option<GrayMode>) -> Duration {
    let work_ms = head.query_number("work_ms");
    let work_ms = work_ms.unwrap_or_else(|| context.lock().work_ms);
    let slow_ms = match fault {
        Some(GrayMode::Slow(ms)) => ms,
        _ => 0,
    };
    Duration::from_millis(work_ms + slow_ms)
}

/// Builds the answer of a request without a fault.
///
/// The body describes the received request, or has `?answer_bytes=` bytes.
/// `?chunked=1` selects chunked encoding, and `?status=` the status code.
fn normal_response(
    context: &BackendContext,
    head: &RequestHead,
    body: &RequestBody,
) -> HttpResponse {
    let received = serde_json::json!({
        "server": context.settings.name,
        "id": head.header("x-request-id"),
        "operation": head.header("x-operation"),
        "workspace": head.header("x-workspace"),
        "deadline_ms": head.header("x-deadline-ms"),
        "method": head.method,
        "target": head.target,
        "body_bytes": body.length,
        "body_hash": body.hash,
    });
    let status = head.query_number("status").unwrap_or(200);
    let mut answer = HttpResponse::json(&received);
    answer.status = u16::try_from(status).unwrap_or(200);
    if let Some(length) = head.query_number("answer_bytes") {
        answer.body = ResponseBody::Fill(length);
    }
    answer.chunked = head.query("chunked").is_some();
    let answer = echo(head, answer).with("x-server", &context.settings.name);
    context.lock().with_state_headers(answer)
}

/// Applies the fault that was drawn for a request to its answer.
async fn apply_fault(
    context: &BackendContext,
    head: &RequestHead,
    fault: Option<GrayMode>,
    mut answer: HttpResponse,
) -> WorkOutcome {
    let id = head.header("x-request-id").unwrap_or_default().to_owned();
    let before = std::mem::replace(&mut context.lock().last_id, id);
    match fault {
        None | Some(GrayMode::Slow(_) | GrayMode::Reset) => {}
        Some(GrayMode::Error) => {
            answer.status = 500;
            answer.body = ResponseBody::Bytes(b"error\n".to_vec());
        }
        Some(GrayMode::Hang) => return WorkOutcome::Hang,
        Some(GrayMode::Late(ms)) => tokio::time::sleep(Duration::from_millis(ms)).await,
        Some(GrayMode::WrongId) => {
            answer.headers.retain(|(name, _)| name != "x-request-id");
            let body = format!("{{\"id\":\"{before}\",\"crossed\":true}}");
            answer.body = ResponseBody::Bytes(body.into_bytes());
            answer = answer.with("x-request-id", before);
        }
        Some(GrayMode::Cut(place)) => {
            answer.chunked = place == TruncationPoint::Chunked;
            answer.truncation = Some(place);
        }
    }
    WorkOutcome::Answer(answer)
}
