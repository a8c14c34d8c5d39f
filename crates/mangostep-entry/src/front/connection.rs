use std::{cell::Cell, io, pin::Pin};

use {
    bytes::{Bytes, BytesMut},
    futures::{StreamExt, stream::FuturesOrdered},
    http::{HeaderMap, Method, StatusCode},
    mangostep_http::{
        AnswerEnd, CallerRequest, MessageFault, MessageLimits, RequestDecoder, encode_answer,
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
    forward::{ForwardRequest, FrontAnswer, Refusal, forward},
    prelude::*,
};

/// Requests of one connection that are under way at once.
const PIPELINE_MAX: usize = 16;

/// Share of the host's memory for bodies of requests under way.
const HELD_SHARE: u64 = 4;

/// Longest time to write an answer to a caller that does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time between two looks at whether the host closes.
const PHASE_PAUSE: Duration = Duration::from_millis(250);

type PendingAnswer = Pin<Box<dyn Future<Output = EndedRequest>>>;

/// An answer with what its connection needs to know.
struct EndedRequest {
    answer: FrontAnswer,
    is_head_request: bool,
    keeps_connection: bool,
}

/// The state of one connection of a caller.
struct FrontConnection {
    context: Rc<HostContext>,
    limits: CallerLimits,
    decoder: RequestDecoder,
    buffer: BytesMut,
    pending: FuturesOrdered<PendingAnswer>,
    /// Set once the caller has left; requests that run on learn of it.
    is_abandoned: Rc<Cell<bool>>,
    /// Whether no further request is read.
    is_last: bool,
    timer: ReadTimer,
}

/// Serves the requests of one connection in their order.
pub(crate) async fn serve_connection(context: Rc<HostContext>, stream: TcpStream) {
    if crate::back::watch_silence(&stream).is_err() {
        return;
    }
    let limits = context
        .snapshot()
        .map_or_else(CallerLimits::default, |s| s.callers().clone());
    let decoder = RequestDecoder::open(MessageLimits {
        head_bytes: limits.header_bytes,
        body_bytes: limits.body_bytes,
    });
    let connection = FrontConnection {
        context,
        limits,
        decoder,
        buffer: BytesMut::new(),
        pending: FuturesOrdered::new(),
        is_abandoned: Rc::default(),
        is_last: false,
        timer: ReadTimer::open(clock::now()),
    };
    connection.run(stream).await;
}

impl FrontConnection {
    async fn run(mut self, mut stream: TcpStream) {
        let end = self.serve(&mut stream).await;
        self.is_abandoned.set(true);
        if let Err(err) = end
            && err.kind() != io::ErrorKind::UnexpectedEof
        {
            info!(self.context.log, "caller connection broken"; "error" => err.to_string());
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
                ended = self.pending.next(), if !self.pending.is_empty() => {
                    if let Some(ended) = ended {
                        self.write(stream, ended, &mut out).await?;
                    }
                }
                read = stream.read_buf(&mut self.buffer), if self.reads_on() => {
                    if read? == 0 {
                        // The caller left; requests that may be repeated end.
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                () = tokio::time::sleep(PHASE_PAUSE), if self.pending.is_empty() => {}
            }
        }
    }

    /// Whether more bytes are read: also while requests are under way, for
    /// only that shows that a caller has left.
    fn reads_on(&self) -> bool {
        self.buffer.len() < self.limits.header_bytes.max(64 << 10)
    }

    fn is_timed_out(&mut self) -> bool {
        let state = match (self.pending.is_empty(), self.decoder.has_head()) {
            (true, false) if self.buffer.is_empty() => ReadState::Idle,
            (true, false) => ReadState::Head,
            _ => ReadState::Busy,
        };
        let now = clock::now();
        self.timer.set(state, now);
        let limits = &self.limits;
        self.timer
            .is_expired(limits.idle_timeout, limits.header_timeout, now)
    }

    /// Starts the requests that are whole.
    async fn start_requests(&mut self, stream: &mut TcpStream) -> io::Result<()> {
        while !self.is_last && self.pending.len() < PIPELINE_MAX {
            match self.decoder.decode(&mut self.buffer) {
                Ok(Some(request)) => self.start(request),
                Ok(None) => {
                    if self.decoder.take_continue() && self.pending.is_empty() {
                        stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
                    }
                    return Ok(());
                }
                Err(fault) => self.refuse(fault),
            }
        }
        Ok(())
    }

    fn start(&mut self, request: CallerRequest) {
        let keeps_connection = request.head.keeps_connection();
        let is_head_request = request.head.method == Method::HEAD;
        self.is_last = !keeps_connection;
        let context = Rc::clone(&self.context);
        let held = HeldBody::open(&context, request.body.len() as u64);
        let request = ForwardRequest {
            request,
            arrived: Instant::now(),
            is_abandoned: Rc::clone(&self.is_abandoned),
        };
        let is_repeatable = self.is_repeatable(&request.request);
        let answer = async move {
            let _held = match held {
                Some(held) => held,
                None => return Refusal::NoRoom(Duration::from_millis(500)).answer(),
            };
            forward(&context, request).await
        };
        self.pending.push_back(Box::pin(async move {
            let answer = match is_repeatable {
                true => answer.await,
                // A request that may run only once ends on its own, so that
                // the server's work is not broken off.
                false => tokio::task::spawn_local(answer)
                    .await
                    .unwrap_or_else(|_| Refusal::Failed.answer()),
            };
            EndedRequest {
                answer,
                is_head_request,
                keeps_connection,
            }
        }));
    }

    /// Whether the request may be broken off when its caller leaves.
    fn is_repeatable(&self, request: &CallerRequest) -> bool {
        let Some(snapshot) = self.context.snapshot() else {
            return true;
        };
        let host = request.head.text("host").unwrap_or_default();
        let route = snapshot.literal_route(host, request.head.path());
        route.is_none_or(|route| route.kind == RequestKind::Idempotent)
    }

    fn refuse(&mut self, fault: MessageFault) {
        let status = match fault {
            MessageFault::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            MessageFault::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            MessageFault::Malformed { .. } | MessageFault::Cut => StatusCode::BAD_REQUEST,
        };
        info!(self.context.log, "request not read"; "reason" => fault.to_string());
        self.is_last = true;
        let answer = FrontAnswer {
            status,
            headers: HeaderMap::new(),
            body: Bytes::new(),
        };
        let ended = EndedRequest {
            answer,
            is_head_request: false,
            keeps_connection: false,
        };
        self.pending.push_back(Box::pin(std::future::ready(ended)));
    }

    async fn write(
        &mut self,
        stream: &mut TcpStream,
        ended: EndedRequest,
        out: &mut BytesMut,
    ) -> io::Result<()> {
        let is_stopping = self.context.phase.get() > HostPhase::Serving;
        if is_stopping && self.pending.is_empty() && self.buffer.is_empty() {
            self.is_last = true;
        }
        let closes = !ended.keeps_connection || (self.is_last && self.pending.is_empty());
        let end = AnswerEnd {
            closes,
            is_head_request: ended.is_head_request,
        };
        let FrontAnswer {
            status,
            headers,
            body,
        } = &ended.answer;
        out.clear();
        encode_answer(*status, headers, body, end, out);
        let written = timeout(WRITE_TIMEOUT, stream.write_all(out)).await;
        written.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        if closes {
            stream.shutdown().await?;
        }
        Ok(())
    }
}

/// Bytes of a body that count toward the host's bound.
struct HeldBody {
    context: Rc<HostContext>,
    bytes: u64,
}

impl HeldBody {
    fn open(context: &Rc<HostContext>, bytes: u64) -> Option<Self> {
        let bound = (context.settings.memory_mb << 20) / HELD_SHARE;
        let held = context.held_bytes.get() + bytes;
        if held > bound {
            return None;
        }
        context.held_bytes.set(held);
        context.held_requests.set(context.held_requests.get() + 1);
        Some(HeldBody {
            context: Rc::clone(context),
            bytes,
        })
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        let held = self.context.held_bytes.get();
        self.context.held_bytes.set(held - self.bytes);
        let requests = &self.context.held_requests;
        requests.set(requests.get() - 1);
    }
}
