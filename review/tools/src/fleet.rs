//! A small deployment: hosts of the system under test and instances as
//! processes, and the store in this process.

use std::{
    collections::BTreeMap,
    fs::File,
    io::{self, Write},
    net::{SocketAddr, TcpListener, UdpSocket},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{
    http::{Connection, exchange},
    server::{Manner, now_ms},
    store::Store,
};

/// The platform's `heartbeatS`.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

const READY_TIMEOUT: Duration = Duration::from_secs(25);

pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// Starts a process that ends with this one, in whatever way this one ends.
/// Only the main thread may call it: the kernel ends the process when the
/// thread that started it ends.
fn spawn(command: &mut Command) -> io::Result<Process> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: usize = 9;
    // SAFETY: the closure only makes one system call.
    unsafe {
        command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL) {
            0 => Ok(()),
            _ => Err(io::Error::last_os_error()),
        });
    }
    command.spawn().map(Process)
}

/// A process that is killed when dropped.
pub struct Process(Child);

impl Process {
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    pub fn kill(&mut self) {
        // It may have ended already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Host {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub lookup: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    pub process: Option<Process>,
}

/// The entry of an instance in the store.
#[derive(Clone)]
struct Entry {
    address: SocketAddr,
    zone: String,
    born: u128,
}

pub struct Instance {
    pub id: String,
    pub zone: String,
    pub process: Process,
    output: PathBuf,
}

/// Instances that write their entries, by id.
type Entries = Arc<Mutex<BTreeMap<String, Entry>>>;

pub struct Fleet {
    pub store: Store,
    pub hosts: Vec<Host>,
    pub instances: Vec<Instance>,
    entries: Entries,
    folder: PathBuf,
    started: u32,
    outputs: Vec<PathBuf>,
}

/// Shape of a deployment.
pub struct Shape {
    pub hosts_per_zone: usize,
    pub instances_per_zone: usize,
    pub work: Duration,
    pub manner: Manner,
    pub memory_mb: u64,
}

pub const ZONES: [&str; 3] = ["kz-central-a", "kz-central-b", "kz-central-c"];

fn free_port() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

impl Fleet {
    /// Starts instances and hosts, and waits until all hosts are ready.
    pub fn open(shape: &Shape) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("mangostep-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let (store, store_address) = Store::open()?;
        store.put("op", "config", Some(&configuration()));
        let mut fleet = Fleet {
            store,
            hosts: Vec::new(),
            instances: Vec::new(),
            entries: Entries::default(),
            folder,
            started: 0,
            outputs: Vec::new(),
        };
        for zone in ZONES {
            for _ in 0..shape.instances_per_zone {
                fleet.start_instance(zone, shape)?;
            }
        }
        let (store, entries) = (fleet.store.clone(), Arc::clone(&fleet.entries));
        std::thread::spawn(move || write_heartbeats(&store, &entries));
        fleet.open_hosts(shape, store_address)?;
        let end = Instant::now() + READY_TIMEOUT;
        for host in &fleet.hosts {
            while !is_ready(host) {
                if Instant::now() > end {
                    return Err(io::Error::other(format!("{} is not ready", host.name)));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(fleet)
    }

    fn open_hosts(&mut self, shape: &Shape, store: SocketAddr) -> io::Result<()> {
        for index in 0..shape.hosts_per_zone * ZONES.len() {
            let zone = ZONES[index % ZONES.len()];
            let name = format!("edge-{zone}-{}", index / ZONES.len() + 1);
            let (front, ready, lookup, copies) =
                (free_port()?, free_port()?, free_port()?, free_port()?);
            let peer = UdpSocket::bind("127.0.0.1:0")?.local_addr()?;
            let zones = ZONES
                .map(|zone| format!("\"{zone}\": \"kz-central\""))
                .join(", ");
            let memory_mb = shape.memory_mb;
            let text = format!(
                "{{ \"host\": \"{name}\", \"zone\": \"{zone}\", \"region\": \"kz-central\",\n\
                 \"zones\": {{ {zones} }}, \"front\": \"{front}\", \"ready\": \"{ready}\",\n\
                 \"lookup\": \"{lookup}\", \"copies\": \"{copies}\", \"peer\": \"{peer}\",\n\
                 \"seeds\": [], \"is_first_start\": true, \"store\": \"{store}\",\n\
                 \"cpu_share\": 0.2, \"link_mbps\": 1000.0, \"memory_mb\": {memory_mb},\n\
                 \"bounds\": {{ \"stop_grace_s\": 6, \"lookup_keep_max_s\": 5,\n\
                 \"retry_ratio\": 0.2, \"retry_slack\": 62, \"retry_window_s\": 10,\n\
                 \"limit_window_s\": 5, \"limit_overshoot\": 0.1, \"limit_slack\": 20 }} }}\n"
            );
            let settings = self.folder.join(format!("{name}.json"));
            std::fs::write(&settings, text)?;
            let mut host = Host {
                name,
                zone: zone.to_owned(),
                front,
                lookup,
                ready,
                settings,
                process: None,
            };
            host.start(&self.folder)?;
            self.hosts.push(host);
        }
        Ok(())
    }

    /// Starts an instance with a new id and writes its entry.
    pub fn start_instance(&mut self, zone: &str, shape: &Shape) -> io::Result<()> {
        self.started += 1;
        let id = format!("i-{:04}", self.started);
        let address = free_port()?;
        let output = self.folder.join(format!("{id}.out"));
        let mut command = Command::new(std::env::current_exe()?);
        command
            .args(["server", &address.to_string(), &id])
            .arg(shape.work.as_millis().to_string())
            .arg(shape.manner.as_str())
            .stdin(Stdio::null())
            .stdout(File::create(&output)?)
            .stderr(Stdio::null());
        let process = spawn(&mut command)?;
        let end = Instant::now() + Duration::from_secs(5);
        while std::fs::read_to_string(&output)?.is_empty() {
            if Instant::now() > end {
                return Err(io::Error::other(format!("instance {id} does not listen")));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        let entry = Entry {
            address,
            zone: zone.to_owned(),
            born: now_ms(),
        };
        write_entry(&self.store, &id, &entry, 0);
        lock(&self.entries).insert(id.clone(), entry);
        self.outputs.push(output.clone());
        self.instances.push(Instance {
            id,
            zone: zone.to_owned(),
            process,
            output,
        });
        Ok(())
    }

    /// Kills an instance. Its entry lapses after three heartbeats of silence.
    pub fn crash_instance(&mut self, index: usize) -> String {
        let mut instance = self.instances.remove(index);
        lock(&self.entries).remove(&instance.id);
        instance.process.kill();
        let (store, id) = (self.store.clone(), instance.id.clone());
        std::thread::spawn(move || {
            std::thread::sleep(HEARTBEAT * 3);
            store.put("servers", &id, None);
        });
        instance.id.clone()
    }

    /// Removes the entries of instances that go on serving, and returns when
    /// the store had done so.
    pub fn remove_entries(&self, ids: &[String]) -> u128 {
        let mut entries = lock(&self.entries);
        for id in ids {
            entries.remove(id);
            self.store.put("servers", id, None);
        }
        now_ms()
    }

    /// All lines that instances have written.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        for output in &self.outputs {
            let text = std::fs::read_to_string(output).unwrap_or_default();
            arrivals.extend(text.lines().filter_map(Arrival::parse));
        }
        arrivals.sort_by_key(|arrival| arrival.at_ms);
        arrivals
    }

    /// Number of requests at which an instance works.
    pub fn running(&self, index: usize) -> usize {
        let text = std::fs::read_to_string(&self.instances[index].output).unwrap_or_default();
        let arrivals: Vec<Arrival> = text.lines().filter_map(Arrival::parse).collect();
        let count = |what: &str| arrivals.iter().filter(|a| a.what == what).count();
        count("runs") - count("ended")
    }

    /// Folder of the hosts' settings and logs.
    pub fn folder(&self) -> &PathBuf {
        &self.folder
    }

    /// Ends all processes.
    pub fn close(self) {}
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.hosts.clear();
        self.instances.clear();
        // A folder that stays does no harm.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Host {
    /// Starts the program with the command of the deploy file.
    pub fn start(&mut self, folder: &Path) -> io::Result<()> {
        let program = std::env::var("MANGOSTEP").unwrap_or("target/release/mangostep".to_owned());
        let log = folder.join(format!("{}.log", self.name));
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(program);
        command
            .arg("entry")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        self.process = Some(spawn(&mut command)?);
        Ok(())
    }
}

impl Host {
    /// Sends SIGTERM and waits until the process has ended. After `grace` it is
    /// killed.
    pub fn stop(&mut self, grace: Duration) -> io::Result<()> {
        let Some(mut process) = self.process.take() else {
            return Ok(());
        };
        const SIGTERM: i32 = 15;
        let id = i32::try_from(process.id()).map_err(io::Error::other)?;
        // SAFETY: the process was started here and was not waited for, so that
        // its id belongs to no other process.
        unsafe { kill(id, SIGTERM) };
        let end = Instant::now() + grace;
        while process.0.try_wait()?.is_none() && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(5));
        }
        process.kill();
        Ok(())
    }
}

/// A line that an instance wrote about a request.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u128,
    pub instance: String,
    pub request: String,
    pub what: String,
}

impl Arrival {
    fn parse(line: &str) -> Option<Self> {
        let mut words = line.split(' ');
        Some(Arrival {
            at_ms: words.next()?.parse().ok()?,
            instance: words.next()?.to_owned(),
            request: words.next()?.to_owned(),
            what: words.next()?.to_owned(),
        })
    }
}

fn write_heartbeats(store: &Store, entries: &Entries) {
    for sequence in 1.. {
        // The instances write at different moments of each interval.
        let count = u32::try_from(lock(entries).len().max(1)).unwrap_or(1);
        let ids: Vec<String> = lock(entries).keys().cloned().collect();
        for id in ids {
            std::thread::sleep(HEARTBEAT / count);
            let entries = lock(entries);
            if let Some(entry) = entries.get(&id) {
                write_entry(store, &id, entry, sequence);
            }
        }
        if count == 1 {
            std::thread::sleep(Duration::from_millis(100));
        }
    }
}

fn write_entry(store: &Store, id: &str, entry: &Entry, sequence: u64) {
    let Entry {
        address,
        zone,
        born,
    } = entry;
    let text = format!(
        "{{\"service\":\"ledger\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
         \"version\":\"v1\",\"slots\":2,\"state\":\"ready\",\"warmupLeftS\":0,\
         \"sequence\":{sequence},\"born\":{born}}}"
    );
    store.put("servers", id, Some(&text));
}

fn configuration() -> String {
    let route = |name: &str, kind: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"app.example\",\"pathPrefix\":\"/{name}/\",\
             \"routeType\":\"{kind}\",\"timeoutS\":5,\"targetLatencyS\":0.8,\"priority\":1,\
             \"service\":\"ledger\",\"attempts\":2,\"public\":false}}"
        )
    };
    format!(
        "{{\"version\":\"r7\",\"routes\":[{},{}],\"services\":[{{\"name\":\"ledger\",\
         \"healthCheckPath\":\"/health\",\"maxConnections\":390,\"warmupS\":3.0,\
         \"warmupPerS\":2.7}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}},\
         \"tenants\":[{{\"name\":\"kaje80\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}",
        route("look", "idempotent"),
        route("book", "non_idempotent"),
    )
}

fn is_ready(host: &Host) -> bool {
    let Ok(mut connection) = Connection::open(host.ready, Duration::from_millis(300)) else {
        return false;
    };
    let head = "GET /ready HTTP/1.1\r\nhost: ready\r\n\r\n";
    let answer = exchange(&mut connection, head, b"", Duration::from_millis(300));
    answer.is_ok_and(|answer| answer.status == 200)
}

/// Asks a host for the addresses to which clients of its zone connect.
pub fn look_up(lookup: SocketAddr, zone: &str) -> io::Result<Vec<SocketAddr>> {
    let mut connection = Connection::open(lookup, Duration::from_secs(1))?;
    let head = format!(
        "GET /resolve?name=app.example&region=kz-central&zone={zone} HTTP/1.1\r\n\
         host: directory\r\n\r\n"
    );
    let answer = exchange(&mut connection, &head, b"", Duration::from_secs(1))?;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let list = text
        .split('[')
        .nth(1)
        .and_then(|rest| rest.split(']').next());
    let addresses = list.unwrap_or_default().split(',');
    Ok(addresses
        .filter_map(|address| address.trim_matches('"').parse().ok())
        .collect())
}

/// The head of a client's request.
pub fn request_head(path: &str, id: &str, length: usize, deadline: Duration) -> String {
    let millis = deadline.as_millis();
    format!(
        "POST {path} HTTP/1.1\r\nhost: app.example\r\nx-request-id: {id}\r\n\
         x-deadline-ms: {millis}\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {length}\r\n\r\n"
    )
}

/// A request id that no other request of this run has.
pub fn next_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// The record of a run.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>);

impl Record {
    pub fn create(path: &str) -> io::Result<Self> {
        Ok(Record(Arc::new(Mutex::new(File::create(path)?))))
    }

    pub fn line(&self, text: &str) {
        // A record that cannot be written shows when the run is judged.
        let _ = writeln!(lock(&self.0), "{} {text}", now_ms());
    }
}

pub fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
