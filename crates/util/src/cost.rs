//! Measures CPU time and memory of this process, for the examples that print
//! costs. Reads `/proc/self`.

use std::{fs, hint::black_box, time::Duration};

/// Clock ticks per second in `/proc/self/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Index of the user time among the fields of `/proc/self/stat` that follow the
/// command name.
const USER_TIME_FIELD: usize = 11;
/// Size of a memory page, in bytes.
const PAGE_BYTES: f64 = 4096.0;
const MICROS_PER_SECOND: f64 = 1e6;

/// How long a function is measured, and in what batches.
#[derive(Debug, Clone, Copy)]
pub struct Sampling {
    /// CPU time to spend at least. The kernel's resolution is 10 ms, so this
    /// should be a large multiple of it.
    pub cpu_time: Duration,
    /// Maximum number of calls between two reads of the CPU time.
    pub max_batch: u32,
}

/// Mean CPU time of one call of `call`, in microseconds.
pub fn cpu_micros<T>(sampling: Sampling, mut call: impl FnMut() -> T) -> f64 {
    let start = cpu_seconds();
    let (mut calls, mut batch) = (0_u32, 1_u32);
    loop {
        for _ in 0..batch {
            black_box(call());
        }
        calls += batch;
        let spent = cpu_seconds() - start;
        if spent >= sampling.cpu_time.as_secs_f64() {
            return spent / f64::from(calls) * MICROS_PER_SECOND;
        }
        batch = batch.saturating_mul(2).min(sampling.max_batch);
    }
}

/// CPU time of this process in user space, in seconds.
pub fn cpu_seconds() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").expect("Linux has this file");
    let (_, fields) = stat.rsplit_once(") ").expect("the command name is in parentheses");
    let ticks = fields.split(' ').nth(USER_TIME_FIELD).expect("the file has 52 fields");
    ticks.parse::<f64>().expect("ticks are a number") / TICKS_PER_SECOND
}

/// Resident memory of this process, in bytes.
pub fn resident_bytes() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").expect("Linux has this file");
    let pages = statm.split(' ').nth(1).expect("the file has 7 fields");
    pages.parse::<f64>().expect("pages are a number") * PAGE_BYTES
}
