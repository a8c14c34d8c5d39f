//! Stands in for backend servers that sign their answers and tell whether they
//! ran a request.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use {
    bytes::BytesMut,
    mangostep_http::{MessageLimits, RequestDecoder, RequestHead},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::JoinHandle,
        time::{Instant, sleep, timeout},
    },
};

/// Time for which a server that hangs keeps a request.
const HANG: Duration = Duration::from_secs(30);

/// How a backend server treats a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerMood {
    /// Runs it and answers.
    #[default]
    Sound,
    /// Resets the connection without running it.
    Resets,
    /// Runs it and resets the connection.
    ResetsAfterRun,
    /// Turns it away without running it.
    Sheds,
    /// Runs it and answers 503.
    RefusesAfterRun,
    /// Runs it and answers 500.
    Fails,
    /// Runs it and sends the answer twice.
    AnswersTwice,
    /// Runs it and answers without a signature.
    Unsigned,
    /// Runs it and cuts the answer.
    CutsAnswers,
    /// Runs it and answers after 600 ms, unless the caller leaves before.
    Slow,
    /// Runs it and never answers.
    Hangs,
    /// Resets the connection after a stall.
    ResetsLate,
    /// Turns it away after a moment.
    ShedsLate,
}

/// The mood of a share of the requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MoodPlan {
    /// How these requests are treated.
    pub mood: AnswerMood,
    /// Their share, from 0 to 1; all others find a sound server.
    pub share: f64,
    /// The mood of all requests after the first of these; none to go on.
    pub next: Option<AnswerMood>,
}

impl Default for MoodPlan {
    fn default() -> Self {
        MoodPlan {
            mood: AnswerMood::Sound,
            share: 1.0,
            next: None,
        }
    }
}

/// A request that reached a backend server.
#[derive(Clone, Debug)]
pub struct BackendArrival {
    /// Name of the server.
    pub server: String,
    /// Service that the server runs.
    pub service: String,
    /// Whether the server ran it.
    pub has_run: bool,
    /// Whether it was sent to another server at the same address.
    pub is_misdirected: bool,
    /// When it came.
    pub at: Instant,
    /// Its start line and headers.
    pub head: RequestHead,
}

impl BackendArrival {
    /// The id of the request.
    pub fn id(&self) -> &str {
        self.head.header("x-request-id").unwrap_or_default()
    }
}

/// What reached the backend servers of one test.
#[derive(Clone, Debug, Default)]
pub struct BackendLog {
    arrivals: Arc<Mutex<Vec<BackendArrival>>>,
    broken_off: Arc<AtomicUsize>,
}

impl BackendLog {
    /// All requests so far.
    pub fn arrivals(&self) -> MutexGuard<'_, Vec<BackendArrival>> {
        self.arrivals.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Requests whose connection closed while a slow server had them.
    pub fn broken_off(&self) -> usize {
        self.broken_off.load(Ordering::Relaxed)
    }
}

/// Settings of a [`SignedBackend`].
#[derive(Clone, Debug)]
pub struct SignedBackendSettings {
    /// Name that requests must expect.
    pub id: String,
    /// Service that it runs.
    pub service: String,
    /// Time that a request takes.
    pub work: Duration,
    /// Seed of what it draws.
    pub seed: u64,
    /// How requests are treated; several servers may share it.
    pub plan: Arc<Mutex<MoodPlan>>,
}

impl Default for SignedBackendSettings {
    fn default() -> Self {
        SignedBackendSettings {
            id: "i-0".to_owned(),
            service: "ledger".to_owned(),
            work: Duration::ZERO,
            seed: 1,
            plan: Arc::default(),
        }
    }
}

/// One backend server, on a port of the loopback address.
#[derive(Debug)]
pub struct SignedBackend {
    shared: Arc<BackendShared>,
    address: SocketAddr,
    accepting: JoinHandle<()>,
}

#[derive(Debug)]
struct BackendShared {
    settings: SignedBackendSettings,
    log: BackendLog,
    random: Mutex<SmallRng>,
    connections: Mutex<Vec<JoinHandle<()>>>,
}

impl SignedBackend {
    /// Serves on an address until it is closed; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn open(
        address: SocketAddr,
        settings: SignedBackendSettings,
        log: BackendLog,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(BackendShared {
            random: SmallRng::seed_from_u64(settings.seed).into(),
            connections: Mutex::default(),
            settings,
            log,
        });
        let accepting = tokio::spawn(accept(listener, Arc::clone(&shared)));
        Ok(SignedBackend {
            shared,
            address,
            accepting,
        })
    }

    /// The address that was bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The server's name.
    pub fn id(&self) -> &str {
        &self.shared.settings.id
    }

    /// Sets how the next requests are treated.
    pub fn set_plan(&self, plan: MoodPlan) {
        *lock(&self.shared.settings.plan) = plan;
    }

    /// Ends the server as a crash does: all connections are cut.
    pub fn close(self) {
        self.accepting.abort();
        for connection in lock(&self.shared.connections).drain(..) {
            connection.abort();
        }
    }
}

async fn accept(listener: TcpListener, shared: Arc<BackendShared>) {
    while let Ok((stream, _)) = listener.accept().await {
        let connection = tokio::spawn(serve(stream, Arc::clone(&shared)));
        let mut connections = lock(&shared.connections);
        connections.retain(|connection| !connection.is_finished());
        connections.push(connection);
    }
}

async fn serve(mut stream: TcpStream, shared: Arc<BackendShared>) {
    let mut decoder = RequestDecoder::new(MessageLimits::default());
    let mut buffer = BytesMut::new();
    loop {
        while let Ok(Some(request)) = decoder.decode(&mut buffer) {
            if !shared.answer(&mut stream, request.head).await {
                return;
            }
        }
        match stream.read_buf(&mut buffer).await {
            Ok(length) if length > 0 => {}
            _ => return,
        }
    }
}

impl BackendShared {
    fn take_mood(&self) -> AnswerMood {
        let mut plan = lock(&self.settings.plan);
        if !lock(&self.random).random_bool(plan.share.clamp(0.0, 1.0)) {
            return AnswerMood::Sound;
        }
        let mood = plan.mood;
        if let Some(next) = plan.next.take() {
            plan.mood = next;
            plan.share = 1.0;
        }
        mood
    }

    fn note(&self, head: &RequestHead, has_run: bool, is_misdirected: bool) {
        self.log.arrivals().push(BackendArrival {
            server: self.settings.id.clone(),
            service: self.settings.service.clone(),
            has_run,
            is_misdirected,
            at: Instant::now(),
            head: head.clone(),
        });
    }

    /// Answers one request; tells whether the connection goes on.
    async fn answer(&self, stream: &mut TcpStream, head: RequestHead) -> bool {
        let id = head.header("x-request-id").unwrap_or_default().to_owned();
        let answer = |status: &str, headers: &str| {
            let body = format!("body of {id}");
            let length = body.len();
            format!(
                "HTTP/1.1 {status}\r\nx-request-id: {id}\r\n{headers}\
                 content-length: {length}\r\n\r\n{body}"
            )
        };
        if head.header("x-expect-instance") != Some(&self.settings.id) {
            self.note(&head, false, true);
            let text = answer("421 Misdirected", "x-not-executed: 1\r\n");
            return stream.write_all(text.as_bytes()).await.is_ok();
        }
        let mood = self.take_mood();
        let has_run = !matches!(
            mood,
            AnswerMood::Resets | AnswerMood::ResetsLate | AnswerMood::Sheds | AnswerMood::ShedsLate
        );
        self.note(&head, has_run, false);
        let signed = "x-response-signature: s\r\n";
        let sound = answer("200 OK", signed);
        sleep(self.settings.work).await;
        let text = match mood {
            AnswerMood::Sound => sound,
            AnswerMood::Resets | AnswerMood::ResetsAfterRun => return false,
            AnswerMood::Sheds => answer("503 Busy", "x-not-executed: 1\r\n"),
            AnswerMood::ResetsLate => {
                sleep(Duration::from_millis(1_020)).await;
                return false;
            }
            AnswerMood::ShedsLate => {
                sleep(Duration::from_millis(50)).await;
                answer("503 Busy", "x-not-executed: 1\r\n")
            }
            AnswerMood::RefusesAfterRun => answer("503 Busy", signed),
            AnswerMood::Fails => answer("500 Failed", signed),
            AnswerMood::AnswersTwice => format!("{sound}{sound}"),
            AnswerMood::Unsigned => answer("200 OK", ""),
            AnswerMood::CutsAnswers => {
                let cut = &sound.as_bytes()[..sound.len() - 2];
                // The connection ends whether or not these bytes arrive.
                let _ = stream.write_all(cut).await;
                return false;
            }
            AnswerMood::Slow => {
                match self.caller_leaves(stream, Duration::from_millis(600)).await {
                    true => return false,
                    false => sound,
                }
            }
            AnswerMood::Hangs => {
                self.caller_leaves(stream, HANG).await;
                return false;
            }
        };
        stream.write_all(text.as_bytes()).await.is_ok()
    }

    /// Waits, and tells whether the caller closed the connection meanwhile.
    async fn caller_leaves(&self, stream: &mut TcpStream, wait: Duration) -> bool {
        let mut byte = [0];
        let leaves = timeout(wait, stream.peek(&mut byte)).await.is_ok();
        if leaves {
            self.log.broken_off.fetch_add(1, Ordering::Relaxed);
        }
        leaves
    }
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
