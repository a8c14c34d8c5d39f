//! Stand-in for the platform: table service, object store, host directory.

mod control;
mod directory;
mod state;
mod table;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use {
    mangostep_platform::Transaction,
    tokio::net::{TcpListener, TcpStream},
};

use crate::{
    http::{HttpResponse, HttpStream, RequestBody, RequestHead, accept_connections},
    platform::state::PlatformState,
};

pub use crate::platform::control::{
    ClientCounts, DirectoryChange, OutageMode, PlatformControl, PlatformCounts, PlatformFault,
    PlatformService,
};

const BODY_BYTES_MAX: usize = 256 << 20;

/// Serves the platform until the process ends.
#[derive(Debug)]
pub struct PlatformServer {
    listener: TcpListener,
    state: Arc<Mutex<PlatformState>>,
}

impl PlatformServer {
    /// Binds the listener; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn bind(listen: SocketAddr) -> std::io::Result<Self> {
        Ok(PlatformServer {
            listener: TcpListener::bind(listen).await?,
            state: Arc::default(),
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
        let state = self.state;
        accept_connections(self.listener, |stream, _| {
            tokio::spawn(serve(state.clone(), stream));
        })
        .await;
    }
}

async fn serve(state: Arc<Mutex<PlatformState>>, stream: TcpStream) {
    let mut stream = HttpStream::new(stream);
    // A broken connection concerns only its client.
    while let Ok(Some(head)) = stream.read_head().await {
        let Ok(body) = stream.read_body(&head, BODY_BYTES_MAX).await else {
            return;
        };
        let answer = match answer(&state, &head, &body).await {
            PlatformReply::Answer(answer) => answer,
            PlatformReply::Reset => return stream.reset(),
            PlatformReply::Hang => return stream.closed().await,
        };
        if stream.write_response(&answer).await.is_err() || head.closes() {
            return;
        }
    }
}

/// How a request is answered.
enum PlatformReply {
    Answer(HttpResponse),
    Reset,
    Hang,
}

async fn answer(
    state: &Mutex<PlatformState>,
    head: &RequestHead,
    body: &RequestBody,
) -> PlatformReply {
    let Some(part) = part_of(head.path()) else {
        return PlatformReply::Answer(handle_control(state, head, body));
    };
    let client = head.header("x-client").unwrap_or_default();
    let fault = lock(state).draw_fault(client, part);
    match fault.outage {
        Some(OutageMode::Refuse) => return PlatformReply::Reset,
        Some(OutageMode::Hang) => return PlatformReply::Hang,
        None => {}
    }
    tokio::time::sleep(Duration::from_millis(fault.slow_ms)).await;
    let answer = run(&mut lock(state), part, client, head, body);
    tokio::time::sleep(Duration::from_millis(fault.slow_answer_ms)).await;
    if fault.lose_answer {
        return PlatformReply::Reset;
    }
    PlatformReply::Answer(answer)
}

fn part_of(path: &str) -> Option<PlatformService> {
    if path.starts_with("/table/") {
        Some(PlatformService::Table)
    } else if path.starts_with("/objects/") {
        Some(PlatformService::Objects)
    } else if path.starts_with("/directory/") {
        Some(PlatformService::Directory)
    } else {
        None
    }
}

fn run(
    state: &mut PlatformState,
    part: PlatformService,
    client: &str,
    head: &RequestHead,
    body: &RequestBody,
) -> HttpResponse {
    match part {
        PlatformService::Table => match body.json::<Transaction>() {
            Ok(transaction) => HttpResponse::json(&state.transact(client, &transaction)),
            Err(message) => HttpResponse::new(400, message),
        },
        PlatformService::Objects => {
            let name = head.path().trim_start_matches("/objects/");
            if head.method == "PUT" {
                state.put_object(client, name, &body.kept);
                return HttpResponse::new(204, "");
            }
            match state.object(client, name) {
                Some(bytes) => HttpResponse::new(200, bytes),
                None => HttpResponse::new(404, ""),
            }
        }
        PlatformService::Directory => {
            let service = head.path().trim_start_matches("/directory/");
            HttpResponse::json(&state.list(client, service))
        }
    }
}

fn handle_control(
    state: &Mutex<PlatformState>,
    head: &RequestHead,
    body: &RequestBody,
) -> HttpResponse {
    match (head.method.as_str(), head.path()) {
        ("POST", "/control") => match body.json::<PlatformControl>() {
            Ok(control) => {
                lock(state).apply(control);
                HttpResponse::new(204, "")
            }
            Err(message) => HttpResponse::new(400, message),
        },
        ("GET", "/control/counts") => HttpResponse::json(lock(state).counts()),
        _ => HttpResponse::new(404, ""),
    }
}

fn lock(state: &Mutex<PlatformState>) -> MutexGuard<'_, PlatformState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
