use std::{fs, time::Duration};

use crate::StandinError;

/// CPU time and memory of a process, as reported by the kernel.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// CPU time of all current threads since their start.
    pub cpu: Duration,
    /// Time for which the current threads were runnable and waited for a core.
    pub run_delay: Duration,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// Peak resident memory since the start of the process, in bytes.
    pub peak_bytes: u64,
}

impl ProcessUsage {
    /// Reads the counters of a running process.
    ///
    /// # Errors
    ///
    /// Fails when the process does not exist.
    pub fn of(pid: u32) -> Result<Self, StandinError> {
        let failed = |err| StandinError::new("read usage", pid, err);
        let (mut cpu_ns, mut delay_ns) = (0, 0);
        for task in fs::read_dir(format!("/proc/{pid}/task")).map_err(failed)? {
            let path = task.map_err(failed)?.path().join("schedstat");
            // A thread may exit between the listing and the read.
            let text = fs::read_to_string(path).unwrap_or_default();
            cpu_ns += first_number(&text);
            let (_, delay) = text.split_once(' ').unwrap_or_default();
            delay_ns += first_number(delay);
        }
        let status = fs::read_to_string(format!("/proc/{pid}/status")).map_err(failed)?;
        let kilobytes = |field| {
            let line = status.lines().find_map(|line| line.strip_prefix(field));
            first_number(line.unwrap_or_default())
        };
        Ok(ProcessUsage {
            cpu: Duration::from_nanos(cpu_ns),
            run_delay: Duration::from_nanos(delay_ns),
            resident_bytes: kilobytes("VmRSS:") * 1024,
            peak_bytes: kilobytes("VmHWM:") * 1024,
        })
    }
}

fn first_number(text: &str) -> u64 {
    let word = text.split_whitespace().next();
    word.and_then(|word| word.parse().ok()).unwrap_or(0)
}

/// Load average of the machine over the last minute; NaN if it cannot be read.
///
/// Latencies that are measured while it exceeds the number of cores reflect the
/// load of the machine more than the system under test.
pub fn load_average() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let word = text.split_whitespace().next();
    word.and_then(|word| word.parse().ok()).unwrap_or(f64::NAN)
}
