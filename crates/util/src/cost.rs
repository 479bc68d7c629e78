//! What a piece of code costs: processor time and memory of this process, for
//! the examples that print figures. Reads `/proc/self`.

use std::{fs, hint::black_box, time::Duration};

/// Clock ticks a second in `/proc/self/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Position of the user time in `/proc/self/stat`, behind the command's name.
const USER_TIME_FIELD: usize = 11;
/// Bytes of a page of memory.
const PAGE_BYTES: f64 = 4096.0;
/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// How a figure is measured.
#[derive(Debug, Clone, Copy)]
pub struct Sampling {
    /// Processor time to spend. The kernel's resolution is 10 ms, so this
    /// should be a good multiple of it.
    pub cpu_time: Duration,
    /// Rounds between two looks at the processor time, at the most.
    pub max_batch: u32,
}

/// Processor time of one round, in microseconds.
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

/// Processor time of this process in user space, in seconds.
pub fn cpu_seconds() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").expect("Linux has this file");
    let (_, fields) = stat.rsplit_once(") ").expect("the command stands in parentheses");
    let ticks = fields.split(' ').nth(USER_TIME_FIELD).expect("the file has 52 fields");
    ticks.parse::<f64>().expect("ticks are a number") / TICKS_PER_SECOND
}

/// Resident memory of this process, in bytes.
pub fn resident_bytes() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").expect("Linux has this file");
    let pages = statm.split(' ').nth(1).expect("the file has 7 fields");
    pages.parse::<f64>().expect("pages are a number") * PAGE_BYTES
}
