//! Starts entry hosts as the deploy file does, with settings like those of a
//! small deployment, and keeps the record of a case.

pub mod store;

use std::{
    fs::File,
    io::Write,
    net::{SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use {
    serde_json::{Value, json},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{sleep, timeout},
    },
};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Whether the disruption is brought about.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Returns once the script that started this program is gone.
pub async fn script_ended() {
    let script = std::os::unix::process::parent_id();
    while std::os::unix::process::parent_id() == script {
        sleep(Duration::from_millis(100)).await;
    }
}

/// The file with what was sent, answered and run.
pub struct CaseRecord {
    file: Mutex<File>,
    opened: Instant,
}

impl CaseRecord {
    /// Opens the record at the path in the first argument of the program.
    pub fn open() -> std::io::Result<Self> {
        let path = std::env::args().nth(1).unwrap_or("record.txt".to_owned());
        Ok(CaseRecord {
            file: Mutex::new(File::create(path)?),
            opened: Instant::now(),
        })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let seconds = self.opened.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no writer panics");
        let _ = writeln!(file, "{seconds:9.3} {}", text.as_ref());
        println!("{seconds:9.3} {}", text.as_ref());
    }
}

/// A free port of the loopback address, for TCP and UDP. It lies below those that
/// the kernel gives to connections, which could take it before a host does.
pub fn free_address() -> SocketAddr {
    static DRAWN: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = std::process::id() * 37 + DRAWN.fetch_add(1, Ordering::Relaxed);
        let port = 12_000 + u16::try_from(number % 20_000).expect("it is small");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Listen addresses of a host.
#[derive(Clone, Copy, Debug)]
pub struct HostAddresses {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub lookup: SocketAddr,
    pub copies: SocketAddr,
    pub peer: SocketAddr,
}

impl HostAddresses {
    pub fn draw() -> Self {
        HostAddresses {
            front: free_address(),
            ready: free_address(),
            lookup: free_address(),
            copies: free_address(),
            peer: free_address(),
        }
    }
}

/// An entry host, which ends when dropped.
pub struct HostProcess {
    pub name: String,
    pub addresses: HostAddresses,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Zones of the fleet; hosts are placed in turn.
pub const ZONES: [&str; 3] = ["palermo", "catania", "messina"];

impl HostProcess {
    /// Writes the settings of a host, with the figures of the site
    /// crespella-varco. `is_first` states that the whole system starts for the
    /// first time.
    pub fn new(
        folder: &Path,
        index: usize,
        addresses: &[HostAddresses],
        store: SocketAddr,
        is_first: bool,
    ) -> std::io::Result<Self> {
        let own = addresses[index];
        let zone = ZONES[index % ZONES.len()];
        let name = format!("edge-{zone}-{index}");
        let zones: serde_json::Map<String, Value> = ZONES
            .iter()
            .map(|zone| ((*zone).to_owned(), json!("sicilia")))
            .collect();
        let seeds: Vec<SocketAddr> = addresses.iter().take(3).map(|a| a.copies).collect();
        let content = json!({
            "host": name, "zone": zone, "region": "sicilia", "zones": zones,
            "front": own.front, "ready": own.ready, "lookup": own.lookup,
            "copies": own.copies, "peer": own.peer, "seeds": seeds,
            "is_first_start": is_first, "store": store.to_string(),
            "cpu_share": 0.2, "link_mbps": 1000.0, "memory_mb": 260,
            "bounds": { "stop_grace_s": 6, "lookup_keep_max_s": 5, "retry_ratio": 0.2,
                "retry_slack": 62, "retry_window_s": 10, "limit_window_s": 5,
                "limit_overshoot": 0.1, "limit_slack": 20 },
        });
        let settings = folder.join(format!("{name}.json"));
        std::fs::write(&settings, content.to_string())?;
        Ok(HostProcess {
            log: folder.join(format!("{name}.log")),
            name,
            addresses: own,
            settings,
            child: None,
        })
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/mangostep")
            .arg("entry")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// The lines that the process wrote.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub async fn is_ready(&self) -> bool {
        let ask = async {
            let mut stream = TcpStream::connect(self.addresses.ready).await.ok()?;
            let head = b"GET /ready HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
            stream.write_all(head).await.ok()?;
            let mut answer = Vec::new();
            stream.read_to_end(&mut answer).await.ok()?;
            Some(answer.starts_with(b"HTTP/1.1 200"))
        };
        timeout(Duration::from_millis(500), ask)
            .await
            .ok()
            .flatten()
            == Some(true)
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all hosts are ready. Returns whether they became so in time.
pub async fn wait_ready(hosts: &[HostProcess], within: Duration) -> bool {
    let end = Instant::now() + within;
    for host in hosts {
        while !host.is_ready().await {
            if Instant::now() > end {
                return false;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }
    true
}
