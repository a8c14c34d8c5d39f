use std::{
    fs::File,
    io,
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::{
        OnceLock,
        mpsc::{Receiver, Sender, channel},
    },
    time::{Duration, Instant},
};

use serde::de::DeserializeOwned;

use crate::StandinError;

/// How often a file or a process is looked at while waiting.
const POLL_EVERY: Duration = Duration::from_millis(5);

/// Longest time from the start of a process to the line with its addresses.
const START_LIMIT: Duration = Duration::from_secs(20);

/// A signal that a test sends to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Pauses it.
    Stop,
    /// Ends the pause.
    Continue,
    /// Ends it at once.
    Kill,
    /// Asks it to stop in a planned way.
    Terminate,
    /// Tells it that its settings may have changed.
    HangUp,
}

impl ProcessSignal {
    fn number(self) -> libc::c_int {
        match self {
            ProcessSignal::Stop => libc::SIGSTOP,
            ProcessSignal::Continue => libc::SIGCONT,
            ProcessSignal::Kill => libc::SIGKILL,
            ProcessSignal::Terminate => libc::SIGTERM,
            ProcessSignal::HangUp => libc::SIGHUP,
        }
    }
}

/// What to start, and where its output goes.
#[derive(Clone, Debug)]
pub(crate) struct ProcessPlan {
    pub(crate) name: String,
    pub(crate) program: PathBuf,
    pub(crate) arguments: Vec<String>,
    pub(crate) directory: PathBuf,
}

/// A process of a fleet; it is killed and reaped when dropped.
#[derive(Debug)]
pub(crate) struct FleetProcess {
    plan: ProcessPlan,
    child: Child,
}

impl FleetProcess {
    /// Starts a process and reads the JSON line that it prints when bound.
    pub(crate) async fn open<T: DeserializeOwned>(
        plan: ProcessPlan,
    ) -> Result<(Self, T), StandinError> {
        let failed = |err: io::Error| StandinError::new("start process", &plan.name, err);
        let output = plan.directory.join(format!("{}.out", plan.name));
        let child = start(&plan, &output).map_err(failed)?;
        let mut process = FleetProcess { plan, child };
        let line = process.first_line(&output).await?;
        let addresses = serde_json::from_str(&line)
            .map_err(|err| StandinError::new("read addresses", &process.plan.name, err))?;
        Ok((process, addresses))
    }

    async fn first_line(&mut self, output: &Path) -> Result<String, StandinError> {
        let end = Instant::now() + START_LIMIT;
        while Instant::now() < end {
            let text = std::fs::read_to_string(output).unwrap_or_default();
            if let Some((line, _)) = text.split_once('\n') {
                return Ok(line.to_owned());
            }
            if let Ok(Some(status)) = self.child.try_wait() {
                let message = format!("ended with {status}: {}", self.log_tail());
                return Err(StandinError::new("start process", &self.plan.name, message));
            }
            tokio::time::sleep(POLL_EVERY).await;
        }
        let message = format!("no addresses in time: {}", self.log_tail());
        Err(StandinError::new("start process", &self.plan.name, message))
    }

    /// The end of what the process wrote on standard error.
    pub(crate) fn log_tail(&self) -> String {
        const TAIL_BYTES: usize = 2000;
        let text = std::fs::read_to_string(log_path(&self.plan)).unwrap_or_default();
        let mut start = text.len().saturating_sub(TAIL_BYTES);
        while !text.is_char_boundary(start) {
            start += 1;
        }
        text[start..].to_owned()
    }

    pub(crate) fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process has not ended.
    pub(crate) fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal; one to a process that ended has no effect.
    pub(crate) fn signal(&mut self, signal: ProcessSignal) {
        if self.is_running() {
            // SAFETY: the process was started here and is not reaped, so that
            // its id belongs to no other process.
            unsafe { libc::kill(self.child.id() as libc::pid_t, signal.number()) };
        }
    }

    /// Waits until the process has ended.
    pub(crate) async fn wait(&mut self, limit: Duration) -> Result<ExitStatus, StandinError> {
        let end = Instant::now() + limit;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Ok(status);
            }
            if Instant::now() >= end {
                let message = format!("still runs: {}", self.log_tail());
                return Err(StandinError::new("await end", &self.plan.name, message));
            }
            tokio::time::sleep(POLL_EVERY).await;
        }
    }
}

impl Drop for FleetProcess {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn log_path(plan: &ProcessPlan) -> PathBuf {
    plan.directory.join(format!("{}.log", plan.name))
}

fn start(plan: &ProcessPlan, output: &Path) -> io::Result<Child> {
    let log = File::options()
        .create(true)
        .append(true)
        .open(log_path(plan))?;
    let mut command = Command::new(&plan.program);
    command
        .args(&plan.arguments)
        .stdin(Stdio::null())
        .stdout(File::create(output)?)
        .stderr(log);
    // SAFETY: the closure only makes one system call.
    unsafe { command.pre_exec(die_with_parent) };
    let (reply, started) = channel();
    let gone = || io::Error::other("the starting thread is gone");
    starter()
        .send(StartJob { command, reply })
        .map_err(|_| gone())?;
    started.recv().map_err(|_| gone())?
}

/// Asks the kernel to kill the process when its starting thread ends.
fn die_with_parent() -> io::Result<()> {
    // SAFETY: the call has no effect on memory.
    let result = unsafe { libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL) };
    if result == 0 {
        Ok(())
    } else {
        Err(io::Error::last_os_error())
    }
}

struct StartJob {
    command: Command,
    reply: Sender<io::Result<Child>>,
}

/// The thread that starts all processes.
///
/// It lives as long as this process, so that the children are killed when
/// this process ends in whatever way, and not before.
fn starter() -> Sender<StartJob> {
    static STARTER: OnceLock<Sender<StartJob>> = OnceLock::new();
    let sender = STARTER.get_or_init(|| {
        let (sender, jobs): (_, Receiver<StartJob>) = channel();
        std::thread::spawn(move || {
            for mut job in jobs {
                // The asking thread may be gone.
                let _ = job.reply.send(job.command.spawn());
            }
        });
        sender
    });
    sender.clone()
}
