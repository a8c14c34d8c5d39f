//! Stand-in for a backend server with draining, cold start, load shedding
//! and gray failures.

mod control;
mod records;
mod state;
mod work;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};

use crate::{
    backend::{state::BackendState, work::serve_work},
    http::{HttpResponse, HttpStream, RequestBody, RequestHead, accept_connections},
};

pub use crate::backend::{
    control::{BackendControl, BackendSettings, GrayFault, GrayMode, HealthReport},
    records::{BackendSummary, RunRecord, wall_us},
};

const CONTROL_BYTES_MAX: usize = 1 << 20;

/// Serves one backend server until the process ends.
#[derive(Debug)]
pub struct BackendServer {
    listener: TcpListener,
    context: Arc<BackendContext>,
}

/// What the connections of one backend server share.
#[derive(Debug)]
pub(crate) struct BackendContext {
    pub(crate) settings: BackendSettings,
    pub(crate) state: Mutex<BackendState>,
    /// The slots of the warm server.
    pub(crate) slots: Semaphore,
}

impl BackendContext {
    pub(crate) fn lock(&self) -> MutexGuard<'_, BackendState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BackendServer {
    /// Binds the listener; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn bind(listen: SocketAddr, settings: BackendSettings) -> std::io::Result<Self> {
        let context = BackendContext {
            slots: Semaphore::new(settings.slots),
            state: Mutex::new(BackendState::new(&settings)),
            settings,
        };
        Ok(BackendServer {
            listener: TcpListener::bind(listen).await?,
            context: Arc::new(context),
        })
    }

    /// The address that was bound.
    ///
    /// # Errors
    ///
    /// Fails when the operating system cannot report it.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts connections indefinitely.
    pub async fn run(self) {
        let context = self.context;
        accept_connections(self.listener, |stream, _| {
            tokio::spawn(serve(context.clone(), stream));
        })
        .await;
    }
}

async fn serve(context: Arc<BackendContext>, stream: TcpStream) {
    context.lock().log.summary.connections += 1;
    if context.settings.connect_ms > 0 {
        tokio::time::sleep(Duration::from_millis(context.settings.connect_ms)).await;
    }
    let mut stream = HttpStream::new(stream);
    // A broken connection concerns only its client.
    while let Ok(Some(head)) = stream.read_head().await {
        let Ok(body) = stream.read_body(&head, CONTROL_BYTES_MAX).await else {
            return;
        };
        let answer = match head.path() {
            "/healthz" => handle_health(&context).await,
            "/loadz" => handle_load(&context).await,
            path if path.starts_with("/control") => Some(handle_control(&context, &head, &body)),
            _ => match serve_work(&context, &mut stream, &head, &body).await {
                work::WorkOutcome::Answer(answer) => Some(answer),
                work::WorkOutcome::ClientGone => return,
                work::WorkOutcome::Reset => return stream.reset(),
                work::WorkOutcome::Hang => None,
            },
        };
        let Some(answer) = answer else {
            return stream.closed().await;
        };
        if stream.write_response(&answer).await.is_err() || head.closes() {
            return;
        }
    }
}

async fn handle_health(context: &BackendContext) -> Option<HttpResponse> {
    context.lock().log.summary.probes += 1;
    tokio::time::sleep(Duration::from_millis(context.settings.probe_ms)).await;
    let mut state = context.lock();
    let healthy = match state.health {
        HealthReport::True => !state.is_down() && !state.draining,
        HealthReport::Healthy => true,
        HealthReport::Unhealthy => false,
        HealthReport::Hang => return None,
    };
    let answer = if healthy {
        HttpResponse::new(200, "healthy\n")
    } else {
        HttpResponse::new(503, "unhealthy\n")
    };
    Some(state.with_state_headers(answer))
}

async fn handle_load(context: &BackendContext) -> Option<HttpResponse> {
    context.lock().log.summary.probes += 1;
    tokio::time::sleep(Duration::from_millis(context.settings.probe_ms)).await;
    let mut state = context.lock();
    let running = state.load_claim.unwrap_or(state.in_flight as u64);
    let load = serde_json::json!({ "running": running, "slots": context.settings.slots });
    let answer = HttpResponse::json(&load);
    Some(state.with_state_headers(answer))
}

fn handle_control(
    context: &BackendContext,
    head: &RequestHead,
    body: &RequestBody,
) -> HttpResponse {
    match (head.method.as_str(), head.path()) {
        ("POST", "/control") => match body.json::<BackendControl>() {
            Ok(control) => {
                context.lock().apply(control);
                HttpResponse::new(204, "")
            }
            Err(message) => HttpResponse::new(400, message),
        },
        ("GET", "/control/records") => HttpResponse::json(&context.lock().log.records),
        ("GET", "/control/summary") => HttpResponse::json(&context.lock().log.summary),
        _ => HttpResponse::new(404, ""),
    }
}
