//! Entry hosts as processes, started with the command of the deploy file.

use std::{
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener, UdpSocket},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::client::{get_page, kill};

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

/// Ends a host also if the script is killed. Hosts are started by the main
/// thread only.
const PR_SET_PDEATHSIG: i32 = 1;

extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
}

/// Settings of a host that the platform fills into the template of the deploy
/// file.
#[derive(Clone, Debug)]
pub struct HostPlan {
    pub name: String,
    pub zone: String,
    pub store: SocketAddr,
    pub memory_mb: u64,
    pub link_mbps: u64,
    pub cpu_share: f64,
    pub folder: PathBuf,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub lookup: SocketAddr,
    pub copies: SocketAddr,
    pub peer: SocketAddr,
    pub metrics: SocketAddr,
}

/// Ports below those that the kernel gives to connections.
const PORTS: std::ops::Range<u32> = 12_000..32_000;

/// A loopback address that is free now, for TCP and for datagrams.
pub fn free_address() -> io::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let spread = std::process::id().wrapping_mul(97);
    for _ in PORTS {
        let step = spread.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + step % (PORTS.end - PORTS.start);
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        let is_free = TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok();
        if is_free {
            return Ok(address);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

pub fn plan(name: &str, zone: &str, store: SocketAddr, folder: &Path) -> io::Result<HostPlan> {
    Ok(HostPlan {
        name: name.to_owned(),
        zone: zone.to_owned(),
        store,
        memory_mb: 260,
        link_mbps: 1_000,
        cpu_share: 0.2,
        folder: folder.to_owned(),
        front: free_address()?,
        ready: free_address()?,
        lookup: free_address()?,
        copies: free_address()?,
        peer: free_address()?,
        metrics: free_address()?,
    })
}

pub struct Host {
    pub plan: HostPlan,
    process: Child,
}

impl Host {
    /// Starts a host. `bounds` are the fields of that table of the settings.
    pub fn start(plan: &HostPlan, seeds: &[SocketAddr], bounds: &str) -> io::Result<Host> {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let settings = format!(
            r#"{{
  "host": "{}", "zone": "{}", "region": "home",
  "zones": {{ "a": "home", "b": "home" }},
  "front": "{}", "ready": "{}", "lookup": "{}", "copies": "{}", "peer": "{}", "metrics": "{}",
  "seeds": [{}],
  "store": "{}", "cpu_share": {}, "link_mbps": {}, "memory_mb": {},
  "bounds": {{ {bounds} }}
}}"#,
            plan.name,
            plan.zone,
            plan.front,
            plan.ready,
            plan.lookup,
            plan.copies,
            plan.peer,
            plan.metrics,
            seeds.join(", "),
            plan.store,
            plan.cpu_share,
            plan.link_mbps,
            plan.memory_mb,
        );
        let file = plan.folder.join(format!("{}.json", plan.name));
        fs::write(&file, settings)?;
        let log = plan.folder.join(format!("{}.log", plan.name));
        let out = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new("target/release/mangostep");
        // SAFETY: a plain system call, which is safe between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let process = command
            .arg("entry")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(out.try_clone()?)
            .stderr(out)
            .spawn()?;
        Ok(Host {
            plan: plan.clone(),
            process,
        })
    }

    pub fn is_ready(&self) -> bool {
        get_page(self.plan.ready, "/ready").is_ok_and(|(status, _)| status == 200)
    }

    pub fn wait_ready(&self, within: Duration) -> bool {
        let end = Instant::now() + within;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: a plain system call; the process is a child that was not
        // waited for.
        unsafe {
            kill(self.process.id() as i32, signal);
        }
    }

    /// The status with which the process ended, or `None` while it runs.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.process.try_wait().ok().flatten()
    }

    /// Resident memory of the process, in MiB.
    pub fn resident_mb(&self) -> f64 {
        let path = format!("/proc/{}/status", self.process.id());
        let text = fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
        kib.unwrap_or(0.0) / 1024.0
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}
