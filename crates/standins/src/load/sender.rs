use std::{net::SocketAddr, sync::Arc, time::Instant};

use reqwest::{Client, Response};

use crate::{
    StandinError,
    load::{EntryLookup, LoadRequest, LoadSettings, OperationOutcome, OperationRecord},
};

/// A request and the time at which it is due.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DueRequest {
    pub(crate) number: usize,
    /// Index of its kind in the settings.
    pub(crate) kind: usize,
    pub(crate) due: Instant,
    pub(crate) due_us: u64,
}

/// One caller.
#[derive(Debug)]
pub(crate) struct RequestSender {
    settings: Arc<LoadSettings>,
    http: Client,
    lookup: EntryLookup,
    /// Entries in this caller's order.
    rotated: Vec<SocketAddr>,
}

impl RequestSender {
    pub(crate) fn open(settings: Arc<LoadSettings>, number: usize) -> Result<Self, StandinError> {
        let http = Client::builder()
            .no_proxy()
            .retry(reqwest::retry::never())
            .local_address(settings.source)
            .tcp_nodelay(true)
            .connect_timeout(settings.timeout)
            .build()
            .map_err(|err| StandinError::new("set up caller", number, err))?;
        let mut known = settings.entries.clone();
        let turn = number % known.len();
        known.rotate_left(turn);
        Ok(RequestSender {
            rotated: known.clone(),
            lookup: EntryLookup::new(known).with_key(&settings.look_up_key),
            settings,
            http,
        })
    }

    /// Sends a request to the best address. If the connection cannot be
    /// opened, nothing was sent, so the next address is tried.
    pub(crate) async fn send(&self, due: DueRequest) -> OperationRecord {
        let request = &self.settings.requests[due.kind];
        let operation = format!("{}-{}", self.settings.seed, due.number);
        let sending = self.try_addresses(request, &operation);
        let (outcome, entry) = match tokio::time::timeout(self.settings.timeout, sending).await {
            Ok(result) => result,
            Err(_) => (OperationOutcome::Lost("caller-timeout".to_owned()), None),
        };
        OperationRecord {
            operation,
            kind: due.kind,
            due_us: due.due_us,
            latency: due.due.elapsed(),
            entry,
            outcome,
        }
    }

    async fn try_addresses(
        &self,
        request: &LoadRequest,
        operation: &str,
    ) -> (OperationOutcome, Option<SocketAddr>) {
        let addresses = match self.settings.look_up {
            true => self.lookup.addresses(&self.http).await,
            false if self.settings.rotate_entries => self.rotated.clone(),
            false => self.settings.entries.clone(),
        };
        let mut last = OperationOutcome::Lost("no-address".to_owned());
        for address in addresses {
            match self.try_once(request, operation, address).await {
                Ok(answer) => return (read_answer(answer, operation).await, Some(address)),
                Err(err) if err.is_connect() => {
                    last = OperationOutcome::NotSent;
                }
                Err(err) => return (OperationOutcome::Lost(cause_of(&err)), Some(address)),
            }
        }
        (last, None)
    }

    async fn try_once(
        &self,
        request: &LoadRequest,
        operation: &str,
        address: SocketAddr,
    ) -> reqwest::Result<Response> {
        let mut builder = self
            .http
            .request(
                request.method.clone(),
                format!("http://{address}{}", request.path),
            )
            .header("x-operation", operation)
            .body(request.body.clone());
        if !request.key.is_empty() {
            builder = builder.header("mangostep-key", &request.key);
        }
        builder.send().await
    }
}

async fn read_answer(answer: Response, operation: &str) -> OperationOutcome {
    let header = |name| {
        let value = answer.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let status = answer.status().as_u16();
    let outcome = header("mangostep-outcome");
    let reason = header("mangostep-reason").unwrap_or_default();
    let body = match answer.bytes().await {
        Ok(body) => body,
        Err(err) => return OperationOutcome::Lost(cause_of(&err)),
    };
    match outcome.as_deref() {
        Some("not-run") => OperationOutcome::NotRun { status, reason },
        Some(_) => OperationOutcome::Unknown { status, reason },
        None if is_crossed(&body, operation) => OperationOutcome::Crossed { status },
        None => OperationOutcome::Answered { status },
    }
}

/// Whether a backend server's answer names another operation.
fn is_crossed(body: &[u8], operation: &str) -> bool {
    let Ok(told) = serde_json::from_slice::<serde_json::Value>(body) else {
        return false;
    };
    told.get("operation")
        .is_some_and(|other| other != operation)
        || told.get("crossed").is_some()
}

/// Classifies a transport error for the report.
fn cause_of(err: &reqwest::Error) -> String {
    let word = if err.is_timeout() {
        "transport-timeout"
    } else if err.is_body() || err.is_decode() {
        "answer-cut"
    } else {
        "connection-lost"
    };
    word.to_owned()
}
