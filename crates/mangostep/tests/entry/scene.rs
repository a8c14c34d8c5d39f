//! The processes and sockets around one entry host.

use std::{
    collections::HashMap,
    net::SocketAddr,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use {
    bytes::BytesMut,
    mangostep_http::{AnswerDecoder, MessageLimits, RequestDecoder, RequestHead, ServerAnswer},
    standins::TableStandIn,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::{Instant, sleep, timeout},
    },
};

/// Longest time for anything that a test waits for.
const PATIENCE: Duration = Duration::from_secs(10);

/// First port of a host, below those that the system deals out.
const FIRST_PORT: u16 = 7_001;

/// How the backend servers treat requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackMood {
    #[default]
    Sound,
    /// Resets one connection, then is sound.
    ResetsOnce,
    /// Turns one request away, then is sound.
    ShedsOnce,
    Sheds,
    /// Runs the request and answers 503.
    RefusesAfterRun,
    /// Sends each answer twice.
    AnswersTwice,
    Unsigned,
    CutsAnswers,
    /// Answers after 600 ms.
    Slow,
    /// Resets one connection after a stall, then turns requests away late.
    ResetsLate,
    ShedsLate,
}

#[derive(Default)]
struct BackState {
    mood: BackMood,
    runs: Vec<(usize, RequestHead)>,
}

#[derive(Clone, Default)]
struct Backs {
    state: Arc<Mutex<BackState>>,
    broken_off: Arc<AtomicUsize>,
}

impl Backs {
    fn state(&self) -> MutexGuard<'_, BackState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn open(&self, index: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let backs = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(backs.clone().serve(index, stream));
            }
        });
        address
    }

    /// Takes the mood for one request.
    fn take_mood(&self) -> BackMood {
        let mut state = self.state();
        let mood = state.mood;
        state.mood = match mood {
            BackMood::ResetsOnce | BackMood::ShedsOnce => BackMood::Sound,
            BackMood::ResetsLate => BackMood::ShedsLate,
            other => other,
        };
        mood
    }

    async fn serve(self, index: usize, mut stream: TcpStream) {
        let mut decoder = RequestDecoder::open(MessageLimits::default());
        let mut buffer = BytesMut::new();
        loop {
            while let Ok(Some(request)) = decoder.decode(&mut buffer) {
                let head = request.head;
                let id = head.text("x-request-id").unwrap_or_default().to_owned();
                let expected = head.text("x-expect-instance") == Some(&format!("i-{index}"));
                assert!(expected, "a request for another server came");
                self.state().runs.push((index, head));
                if !self.answer(&mut stream, &id).await {
                    return;
                }
            }
            match stream.read_buf(&mut buffer).await {
                Ok(length) if length > 0 => {}
                _ => return,
            }
        }
    }

    /// Answers one request; tells whether the connection goes on.
    async fn answer(&self, stream: &mut TcpStream, id: &str) -> bool {
        let answer = |status: &str, headers: &str| {
            format!(
                "HTTP/1.1 {status}\r\nx-request-id: {id}\r\n{headers}content-length: 5\r\n\r\nhello"
            )
        };
        let sound = answer("200 OK", "x-response-signature: s\r\n");
        let text = match self.take_mood() {
            BackMood::Sound => sound,
            BackMood::ResetsOnce => return false,
            BackMood::Sheds | BackMood::ShedsOnce => answer("503 Busy", "x-not-executed: 1\r\n"),
            BackMood::ResetsLate => {
                sleep(Duration::from_millis(1_020)).await;
                return false;
            }
            BackMood::ShedsLate => {
                sleep(Duration::from_millis(50)).await;
                answer("503 Busy", "x-not-executed: 1\r\n")
            }
            BackMood::RefusesAfterRun => answer("503 Busy", "x-response-signature: s\r\n"),
            BackMood::AnswersTwice => format!("{sound}{sound}"),
            BackMood::Unsigned => answer("200 OK", ""),
            BackMood::CutsAnswers => sound[..sound.len() - 2].to_owned(),
            BackMood::Slow => {
                let mut byte = [0];
                if timeout(Duration::from_millis(600), stream.peek(&mut byte))
                    .await
                    .is_ok()
                {
                    self.broken_off.fetch_add(1, Ordering::Relaxed);
                    return false;
                }
                sound
            }
        };
        let is_cut = text.ends_with("hel");
        stream.write_all(text.as_bytes()).await.is_ok() && !is_cut
    }
}

/// What a caller got.
pub struct CallerAnswer {
    pub status: u16,
    pub id: Option<String>,
    pub is_signed: bool,
    pub closes: bool,
    pub retry_after: Option<f64>,
}

impl CallerAnswer {
    fn of(answer: &ServerAnswer) -> Self {
        CallerAnswer {
            status: answer.head.status.as_u16(),
            id: answer.head.text("x-request-id").map(str::to_owned),
            is_signed: answer.head.text("x-response-signature").is_some(),
            closes: !answer.keeps_connection,
            retry_after: answer
                .head
                .text("retry-after")
                .and_then(|text| text.parse().ok()),
        }
    }
}

/// A connection of a caller.
pub struct Caller {
    stream: TcpStream,
    buffer: BytesMut,
}

impl Caller {
    pub async fn ask(&mut self, method: &str, path: &str, id: &str, key: &str) -> CallerAnswer {
        self.send(method, path, id, key).await;
        CallerAnswer::of(&self.read().await)
    }

    /// Asks with less time than usual.
    pub async fn ask_within(&mut self, path: &str, id: &str, deadline_ms: u32) -> CallerAnswer {
        self.send_within("POST", path, id, "north-key", deadline_ms)
            .await;
        CallerAnswer::of(&self.read().await)
    }

    async fn send(&mut self, method: &str, path: &str, id: &str, key: &str) {
        self.send_within(method, path, id, key, 1_500).await;
    }

    async fn send_within(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        key: &str,
        deadline_ms: u32,
    ) {
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: app.example\r\nx-request-id: {id}\r\n\
             x-deadline-ms: {deadline_ms}\r\nauthorization: Bearer {key}\r\ncontent-length: 0\r\n\r\n"
        );
        self.stream
            .write_all(request.as_bytes())
            .await
            .expect("the host reads");
    }

    async fn read(&mut self) -> ServerAnswer {
        let mut decoder = AnswerDecoder::open(MessageLimits::default(), false);
        loop {
            let decoded = decoder.decode(&mut self.buffer);
            if let Some(answer) = decoded.expect("the answer is well formed") {
                return answer;
            }
            let read = timeout(PATIENCE, self.stream.read_buf(&mut self.buffer)).await;
            let length = read
                .expect("the host answers in time")
                .expect("the connection holds");
            assert!(length > 0, "the host closed before its answer");
        }
    }
}

/// An entry host with all that it talks to.
pub struct Scene {
    store: TableStandIn,
    backs: Backs,
    addresses: Vec<SocketAddr>,
    ports: HashMap<&'static str, SocketAddr>,
    process: Child,
    _folder: tempfile::TempDir,
}

/// What a scene's operators agreed on.
#[derive(Clone, Copy, Debug)]
pub struct SceneBounds {
    /// Repeats allowed besides those for each request.
    pub retry_slack: f64,
    pub retry_ratio: f64,
    /// Time from the signal to stop until the host is to have ended.
    pub stop_grace_s: f64,
}

impl Default for SceneBounds {
    fn default() -> Self {
        SceneBounds {
            retry_slack: 60.0,
            retry_ratio: 0.2,
            stop_grace_s: 2.0,
        }
    }
}

impl Scene {
    pub async fn open() -> Self {
        Self::open_with(SceneBounds::default()).await
    }

    pub async fn open_with(bounds: SceneBounds) -> Self {
        let (store, store_address) = TableStandIn::open().await.expect("a port is free");
        let backs = Backs::default();
        let addresses = vec![backs.open(0).await, backs.open(1).await];
        let ports = host_addresses();
        let mut settings = serde_json::json!({
            "host": "h1", "zone": "a", "region": "home", "zones": { "a": "home" },
            "store": store_address.to_string(),
            "bounds": { "stop_grace_s": bounds.stop_grace_s, "retry_slack": bounds.retry_slack,
                "retry_ratio": bounds.retry_ratio },
        });
        for (name, address) in &ports {
            settings[*name] = address.to_string().into();
        }
        let folder = tempfile::tempdir().expect("a folder can be made");
        let file = folder.path().join("host.json");
        std::fs::write(&file, settings.to_string()).expect("the file can be written");
        let process = Command::new(env!("CARGO_BIN_EXE_mangostep"))
            .arg("entry")
            .arg(&file)
            .stdout(Stdio::null())
            .spawn()
            .expect("the host starts");
        let scene = Scene {
            store,
            backs,
            addresses,
            ports,
            process,
            _folder: folder,
        };
        scene.write_server(0, "ready");
        scene.write_server(1, "ready");
        scene.publish(7, "north-key");
        scene
            .wait_until(PATIENCE, async || scene.ready_status().await == 200)
            .await;
        scene
    }

    /// Writes the entry of a backend server.
    pub fn write_server(&self, index: usize, state: &str) {
        self.write_entry(&format!("i-{index}"), self.addresses[index], state);
    }

    /// Writes the entry of a backend server at an address.
    pub fn write_entry(&self, key: &str, address: SocketAddr, state: &str) {
        let entry = serde_json::json!({
            "service": "ledger", "address": address.to_string(), "zone": "a",
            "version": "v1", "slots": 4, "state": state, "warmupLeftS": 0, "born": 1,
        });
        self.store
            .put("servers", key, Some(entry.to_string().as_bytes()));
    }

    /// Writes a configuration in which `north` has one key.
    pub fn publish(&self, version: u32, key: &str) {
        let route = |name: &str, kind: &str| {
            serde_json::json!({ "name": name, "host": "app.example",
                "pathPrefix": format!("/{name}/"), "routeType": kind, "timeoutS": 3,
                "targetLatencyS": 1, "priority": 0, "service": "ledger", "attempts": 2,
                "public": false })
        };
        let config = serde_json::json!({
            "version": format!("r{version}"),
            "routes": [route("look", "idempotent"), route("book", "non_idempotent")],
            "services": [{ "name": "ledger", "healthCheckPath": "/health" }],
            "tenants": [{ "name": "north", "apiKeys": [key], "ratePerS": 1000, "burst": 1000 }],
        });
        self.store
            .put("op", "config", Some(config.to_string().as_bytes()));
    }

    pub fn set_moods(&self, mood: BackMood) {
        self.backs.state().mood = mood;
    }

    /// The heads of a request's runs, turned-away ones included.
    pub fn runs(&self, id: &str) -> Vec<RequestHead> {
        let state = self.backs.state();
        let runs = state.runs.iter().map(|(_, head)| head);
        runs.filter(|head| head.text("x-request-id") == Some(id))
            .cloned()
            .collect()
    }

    /// Requests that a server got.
    pub fn count(&self, index: usize) -> usize {
        let state = self.backs.state();
        state
            .runs
            .iter()
            .filter(|(server, _)| *server == index)
            .count()
    }

    /// Requests whose connection closed while they ran.
    pub fn broken_off(&self) -> usize {
        self.backs.broken_off.load(Ordering::Relaxed)
    }

    pub async fn connect(&self) -> Caller {
        let stream = TcpStream::connect(self.ports["front"]).await;
        Caller {
            stream: stream.expect("the host listens"),
            buffer: BytesMut::new(),
        }
    }

    pub async fn ask(&self, method: &str, path: &str, id: &str, key: &str) -> CallerAnswer {
        self.connect().await.ask(method, path, id, key).await
    }

    /// Sends lookups one behind the other and returns the ids of the answers.
    pub async fn ask_pipelined(&self, path: &str, ids: &[&str]) -> Vec<String> {
        let mut caller = self.connect().await;
        for id in ids {
            caller.send("GET", path, id, "north-key").await;
        }
        let mut answered = Vec::new();
        for _ in ids {
            let answer = CallerAnswer::of(&caller.read().await);
            answered.push(answer.id.expect("an answer names its request"));
        }
        answered
    }

    /// Sends a lookup and leaves once a server has it.
    pub async fn ask_and_leave(&self, path: &str, id: &str) {
        let mut caller = self.connect().await;
        caller.send("GET", path, id, "north-key").await;
        self.wait_until(PATIENCE, async || !self.runs(id).is_empty())
            .await;
    }

    pub async fn ready_status(&self) -> u16 {
        let Ok(stream) = TcpStream::connect(self.ports["ready"]).await else {
            return 0;
        };
        let mut caller = Caller {
            stream,
            buffer: BytesMut::new(),
        };
        caller.ask("GET", "/ready", "ready", "none").await.status
    }

    pub async fn wait_until(&self, within: Duration, mut holds: impl AsyncFnMut() -> bool) {
        let deadline = Instant::now() + within;
        while !holds().await {
            assert!(Instant::now() < deadline, "not within {within:?}");
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// Sends SIGTERM to the host.
    pub fn terminate(&self) {
        let id = i32::try_from(self.process.id()).expect("process ids are small");
        // SAFETY: the process is a child that was not waited for yet.
        let code = unsafe { libc::kill(id, libc::SIGTERM) };
        assert_eq!(code, 0, "the host runs");
    }

    /// Ends the host.
    pub async fn close(mut self) {
        self.process.kill().expect("it is a child");
        self.process.wait().expect("it is a child");
    }
}

impl Drop for Scene {
    fn drop(&mut self) {
        // A failed test leaves no process behind; closing twice does no harm.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Addresses of a scene's host, on a loopback number of its own: ports that
/// the system deals out could be taken by another scene before the host binds
/// them.
fn host_addresses() -> HashMap<&'static str, SocketAddr> {
    static SCENES: AtomicUsize = AtomicUsize::new(1);
    let scene = SCENES.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id().to_be_bytes();
    let ip = [127, 64 | (process[2] & 63), process[3], scene as u8];
    let names = ["front", "ready", "lookup", "copies", "peer"];
    let ports = FIRST_PORT..;
    names
        .into_iter()
        .zip(ports)
        .map(|(name, port)| (name, (ip, port).into()))
        .collect()
}
