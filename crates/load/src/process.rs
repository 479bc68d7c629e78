//! What a process uses, as the kernel tells under `/proc`.

use std::{fs, time::Duration};

use peatdeck_macros::message;

/// Ticks of processor time in a second (`USER_HZ`, fixed by the kernel's interface).
const TICKS: f64 = 100.0;
/// Field of user time in `/proc/PID/stat`, counted behind the command's name.
const USER_TIME: usize = 11;

/// What a process has used so far.
#[message]
#[derive(Copy)]
pub struct Usage {
    /// Processor time, of user and kernel.
    pub processor: Duration,
    /// Resident memory, in KiB.
    pub resident_kib: u64,
    /// The largest resident memory so far, in KiB.
    pub peak_kib: u64,
}

/// Reads what a process uses. `None` when it is gone.
pub fn usage(pid: u32) -> Option<Usage> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    Some(Usage {
        processor: processor_time(&stat)?,
        resident_kib: status_kib(&status, "VmRSS:")?,
        peak_kib: status_kib(&status, "VmHWM:")?,
    })
}

/// User and kernel time from the text of `/proc/PID/stat`.
pub fn processor_time(stat: &str) -> Option<Duration> {
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_whitespace().skip(USER_TIME);
    let user: u64 = fields.next()?.parse().ok()?;
    let kernel: u64 = fields.next()?.parse().ok()?;
    Some(Duration::from_secs_f64((user + kernel) as f64 / TICKS))
}

/// A size from the text of `/proc/PID/status`.
pub fn status_kib(status: &str, key: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with(key))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
