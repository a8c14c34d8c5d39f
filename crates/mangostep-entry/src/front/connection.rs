use std::{cell::Cell, io, pin::Pin};

use {
    bytes::{Bytes, BytesMut},
    futures::{StreamExt, stream::FuturesOrdered},
    http::{HeaderMap, Method, StatusCode},
    mangostep_http::{
        CallerRequest, MessageFault, MessageLimits, RequestDecoder, ResponseOptions,
        encode_response_head,
    },
    mangostep_objects::{CallerLimits, RequestKind},
    mangostep_policy::{ReadState, ReadTimer},
    slog::info,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{Instant, timeout},
    },
};

use crate::{
    clock,
    context::HostPhase,
    forward::{ForwardRequest, FrontResponse, MEMORY_RETRY_AFTER, Refusal, forward},
    front::{body_memory::BodyReservation, lingering::close_lingering},
    prelude::*,
};

/// Maximum number of in-flight requests of one connection.
const PIPELINE_MAX: usize = 16;

/// Timeout for writing a response to a caller that does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Size up to which a body is copied to be sent together with its head.
const COPIED_BODY_BYTES_MAX: usize = 16 << 10;

/// Interval between checks whether the host closes.
const PHASE_POLL_INTERVAL: Duration = Duration::from_millis(250);

type PendingResponse = Pin<Box<dyn Future<Output = FinishedRequest>>>;

/// A response with the properties of its request that affect the connection.
struct FinishedRequest {
    response: FrontResponse,
    is_head_request: bool,
    keeps_connection: bool,
    /// Held until the response is written. `None` for a request that was not
    /// read completely.
    _in_flight: Option<Rc<InFlightCount>>,
}

/// A connection from a caller.
struct FrontConnection {
    context: Rc<HostContext>,
    limits: CallerLimits,
    decoder: RequestDecoder,
    buffer: BytesMut,
    pending: FuturesOrdered<PendingResponse>,
    /// Set when the caller disconnects, and read by the requests that
    /// continue.
    is_abandoned: Rc<Cell<bool>>,
    /// Whether no further request is read.
    is_last: bool,
    /// Memory for the body that is being received.
    receiving: Option<BodyReservation>,
    timer: ReadTimer,
}

/// Serves the requests of a connection, and returns the responses in order.
pub(crate) async fn serve_connection(context: Rc<HostContext>, stream: TcpStream) {
    if crate::back::configure_socket(&stream, WRITE_TIMEOUT).is_err() {
        return;
    }
    let limits = context
        .snapshot()
        .map_or_else(CallerLimits::default, |snapshot| snapshot.callers().clone());
    let decoder = RequestDecoder::new(MessageLimits {
        head_bytes: limits.header_bytes,
        body_bytes: limits.body_bytes,
        ..Default::default()
    });
    let connection = FrontConnection {
        context,
        limits,
        decoder,
        buffer: BytesMut::new(),
        pending: FuturesOrdered::new(),
        is_abandoned: Rc::default(),
        is_last: false,
        receiving: None,
        timer: ReadTimer::open(clock::now()),
    };
    connection.run(stream).await;
}

impl FrontConnection {
    async fn run(mut self, mut stream: TcpStream) {
        let context = Rc::clone(&self.context);
        let _open = OpenCount::open(&context.caller_connections);
        let end = self.serve(&mut stream).await;
        self.is_abandoned.set(true);
        match end {
            Ok(()) => close_lingering(&self.context, stream).await,
            Err(err) if err.kind() == io::ErrorKind::UnexpectedEof => {}
            Err(err) => {
                info!(self.context.log, "caller connection broken"; "error" => err.to_string());
            }
        }
    }

    async fn serve(&mut self, stream: &mut TcpStream) -> io::Result<()> {
        let mut out = BytesMut::new();
        loop {
            self.start_requests(stream).await?;
            let is_timed_out = self.is_timed_out();
            if self.pending.is_empty() {
                if self.is_last || is_timed_out {
                    return Ok(());
                }
                let is_closing = self.context.phase.get() == HostPhase::Closing;
                if is_closing && self.buffer.is_empty() && !self.decoder.has_head() {
                    return Ok(());
                }
            }
            tokio::select! {
                finished = self.pending.next(), if !self.pending.is_empty() => {
                    if let Some(finished) = finished {
                        self.write(stream, finished, &mut out).await?;
                    }
                }
                read = stream.read_buf(&mut self.buffer), if self.may_read_more() => {
                    if read? == 0 {
                        // The caller disconnected, which cancels its
                        // idempotent requests.
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                () = tokio::time::sleep(PHASE_POLL_INTERVAL), if self.pending.is_empty() => {}
            }
        }
    }

    /// Whether to read more bytes. Reading continues while requests are in
    /// flight, because only that detects that a caller disconnects.
    fn may_read_more(&self) -> bool {
        self.buffer.len() < self.limits.header_bytes.max(64 << 10)
    }

    fn is_timed_out(&mut self) -> bool {
        let state = match (self.pending.is_empty(), self.decoder.has_head()) {
            (true, false) if self.buffer.is_empty() => ReadState::Idle,
            (true, false) => ReadState::Head,
            (true, true) => ReadState::Body(self.decoder.body_received()),
            _ => ReadState::Busy,
        };
        let now = clock::now();
        self.timer.set(state, now);
        let limits = &self.limits;
        self.timer
            .is_expired(limits.idle_timeout, limits.header_timeout, now)
    }

    /// Starts the requests that were received completely.
    async fn start_requests(&mut self, stream: &mut TcpStream) -> io::Result<()> {
        while !self.is_last && self.pending.len() < PIPELINE_MAX {
            match self.decoder.decode(&mut self.buffer) {
                Ok(Some(request)) => self.start(request),
                Ok(None) if !self.reserve_body() => self.refuse_body(),
                Ok(None) => {
                    if self.decoder.take_continue() && self.pending.is_empty() {
                        stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
                    }
                    return Ok(());
                }
                Err(fault) => self.reject(fault),
            }
        }
        Ok(())
    }

    fn start(&mut self, request: CallerRequest) {
        let keeps_connection = request.head.keeps_connection();
        let is_head_request = request.head.method == Method::HEAD;
        self.is_last = !keeps_connection;
        let context = Rc::clone(&self.context);
        let reservation = self.receiving.take();
        let mut reservation = reservation.unwrap_or_else(|| BodyReservation::open(&context));
        let has_memory = reservation.resize(request.body.len() as u64);
        let in_flight = Rc::new(InFlightCount::open(&context));
        let unwritten = Rc::clone(&in_flight);
        let request = ForwardRequest {
            caller_request: request,
            arrived: Instant::now(),
            is_abandoned: Rc::clone(&self.is_abandoned),
        };
        let is_cancellable = self.is_cancellable(&request.caller_request);
        let response = async move {
            let _held = (reservation, in_flight);
            match has_memory {
                true => forward(&context, request).await,
                false => Refusal::NoCapacity(MEMORY_RETRY_AFTER).response(),
            }
        };
        self.pending.push_back(Box::pin(async move {
            let response = match is_cancellable {
                true => response.await,
                // A non-idempotent request runs in a separate task, so that a
                // disconnect does not interrupt the server's work.
                false => tokio::task::spawn_local(response)
                    .await
                    .unwrap_or_else(|_| Refusal::Failed.response()),
            };
            FinishedRequest {
                response,
                is_head_request,
                keeps_connection,
                _in_flight: Some(unwritten),
            }
        }));
    }

    /// Reserves memory for the body that is being received. Returns whether the
    /// host's memory suffices.
    fn reserve_body(&mut self) -> bool {
        let bytes = self.decoder.body_memory();
        if bytes == 0 {
            return true;
        }
        let context = &self.context;
        let reservation = self
            .receiving
            .get_or_insert_with(|| BodyReservation::open(context));
        reservation.resize(bytes)
    }

    /// Refuses the request whose body is being received, which no server got.
    fn refuse_body(&mut self) {
        self.context.counters.count("body-refused", &[]);
        info!(self.context.log, "request body refused"; "bytes" => self.decoder.body_memory(),
            "buffered_bytes" => self.context.buffered_bytes.get());
        self.receiving = None;
        self.push_last(Refusal::NoCapacity(MEMORY_RETRY_AFTER).response());
    }

    /// Queues the last response of the connection.
    fn push_last(&mut self, response: FrontResponse) {
        self.is_last = true;
        let finished = FinishedRequest {
            response,
            is_head_request: false,
            keeps_connection: false,
            _in_flight: None,
        };
        self.pending
            .push_back(Box::pin(std::future::ready(finished)));
    }

    /// Whether the request may be cancelled when its caller disconnects.
    fn is_cancellable(&self, request: &CallerRequest) -> bool {
        let Some(snapshot) = self.context.snapshot() else {
            return true;
        };
        let host = request.head.header("host").unwrap_or_default();
        let route = snapshot.literal_route(host, request.head.path());
        route.is_none_or(|route| route.kind == RequestKind::Idempotent)
    }

    fn reject(&mut self, fault: MessageFault) {
        let status = match fault {
            MessageFault::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            MessageFault::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            MessageFault::Malformed { .. }
            | MessageFault::InvalidStatus
            | MessageFault::Truncated => StatusCode::BAD_REQUEST,
        };
        info!(self.context.log, "request not read"; "reason" => fault.to_string());
        self.push_last(FrontResponse {
            status,
            headers: HeaderMap::new(),
            body: Bytes::new(),
            reservation: None,
        });
    }

    async fn write(
        &mut self,
        stream: &mut TcpStream,
        finished: FinishedRequest,
        out: &mut BytesMut,
    ) -> io::Result<()> {
        let is_stopping = self.context.phase.get() > HostPhase::Serving;
        if is_stopping && self.pending.is_empty() && self.buffer.is_empty() {
            self.is_last = true;
        }
        let closes = !finished.keeps_connection || (self.is_last && self.pending.is_empty());
        let end = ResponseOptions {
            closes,
            is_head_request: finished.is_head_request,
        };
        let FrontResponse {
            status,
            headers,
            body,
            ..
        } = &finished.response;
        out.clear();
        encode_response_head(*status, headers, body.len(), end, out);
        let mut rest: &[u8] = match end.is_head_request {
            true => &[],
            false => body,
        };
        // Short bodies are sent together with the head, long ones are not copied.
        if rest.len() <= COPIED_BODY_BYTES_MAX {
            out.extend_from_slice(std::mem::take(&mut rest));
        }
        let written = timeout(WRITE_TIMEOUT, async {
            stream.write_all(out).await?;
            stream.write_all(rest).await
        })
        .await;
        written.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }
}

/// Counts a connection as open until it is dropped.
struct OpenCount<'a>(&'a Cell<u64>);

impl<'a> OpenCount<'a> {
    fn open(connections: &'a Cell<u64>) -> Self {
        connections.set(connections.get() + 1);
        OpenCount(connections)
    }
}

impl Drop for OpenCount<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Counts a request as in flight until it is dropped: from when it was read
/// until its response is written.
struct InFlightCount(Rc<HostContext>);

impl InFlightCount {
    fn open(context: &Rc<HostContext>) -> Self {
        let requests = &context.in_flight_requests;
        requests.set(requests.get() + 1);
        InFlightCount(Rc::clone(context))
    }
}

impl Drop for InFlightCount {
    fn drop(&mut self) {
        let requests = &self.0.in_flight_requests;
        requests.set(requests.get() - 1);
    }
}
