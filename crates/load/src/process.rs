//! Resource usage of a process, read from `/proc`.

use std::{fs, time::Duration};

use peatdeck_macros::message;

/// Clock ticks in a second of CPU time (`USER_HZ`, fixed by the kernel's interface).
const TICKS_PER_SECOND: f64 = 100.0;
/// Index of the user time in `/proc/PID/stat`, counted from the field after the command name.
const USER_TIME_FIELD: usize = 11;

/// Resource usage of a process since its start.
#[message]
#[derive(Copy)]
pub struct Usage {
    /// CPU time in user and kernel mode.
    pub processor: Duration,
    /// Current resident memory, in KiB.
    pub resident_kib: u64,
    /// Peak resident memory, in KiB.
    pub peak_kib: u64,
}

/// Reads the usage of a process; `None` if the process does not exist any more.
pub fn usage(pid: u32) -> Option<Usage> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    Some(Usage {
        processor: cpu_time(&stat)?,
        resident_kib: status_kib(&status, "VmRSS:")?,
        peak_kib: status_kib(&status, "VmHWM:")?,
    })
}

/// Sum of user and kernel time in the text of `/proc/PID/stat`; `None` if it is malformed.
pub fn cpu_time(stat: &str) -> Option<Duration> {
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_whitespace().skip(USER_TIME_FIELD);
    let user: u64 = fields.next()?.parse().ok()?;
    let kernel: u64 = fields.next()?.parse().ok()?;
    Some(Duration::from_secs_f64((user + kernel) as f64 / TICKS_PER_SECOND))
}

/// Size in KiB of the line that starts with `key` in the text of `/proc/PID/status`, if any.
pub fn status_kib(status: &str, key: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with(key))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
