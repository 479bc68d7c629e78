#![allow(clippy::unwrap_used)]

use std::time::Duration;

use peatdeck_load::process;

#[test]
fn cpu_time_is_read_after_a_command_name_with_spaces() {
    let stat = "42 (a (b) c) S 1 42 42 0 -1 4194304 100 0 0 0 250 50 0 0 20 0 1 0 1 1 1";
    assert_eq!(process::cpu_time(stat), Some(Duration::from_secs(3)));
}

#[test]
fn resident_memory_is_read_in_kib() {
    let status = "Name:\tx\nVmHWM:\t    2048 kB\nVmRSS:\t    1024 kB\n";
    assert_eq!(process::status_kib(status, "VmRSS:"), Some(1024));
    assert_eq!(process::status_kib(status, "VmSwap:"), None);
}
