//! Readings of this machine.

use std::alloc::System;
use std::fs;
use std::time::Duration;

use cap::Cap;

/// Ticks a second of the kernel's processor-time counters.
const TICKS_PER_S: f64 = 100.0;

/// Processor time of the threads with a name so far.
pub(super) fn thread_time(name: &str) -> Duration {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    let mut total = Duration::ZERO;
    for task in tasks.flatten() {
        let comm = fs::read_to_string(task.path().join("comm")).unwrap_or_default();
        if comm.trim_end() == name {
            // Nanoseconds on a processor come first in this file.
            let stat = fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
            let ns = stat
                .split(' ')
                .next()
                .and_then(|ns| ns.parse().ok())
                .unwrap_or(0);
            total += Duration::from_nanos(ns);
        }
    }
    total
}

/// Processor time of this process so far.
pub(super) fn process_time() -> Duration {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split(' ')
        .collect();
    let ticks = |at: usize| {
        fields
            .get(at)
            .and_then(|t| t.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    // User and system time are fields 14 and 15, the 12th and 13th after the name.
    Duration::from_secs_f64((ticks(12) + ticks(13)) / TICKS_PER_S)
}

/// Counts what this process has allocated.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Bytes that this process has allocated and not freed.
pub(super) fn memory() -> u64 {
    ALLOCATOR.allocated() as u64
}

/// Bytes that the loopback device has carried.
pub(super) fn loopback_bytes() -> u64 {
    let devices = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = devices
        .lines()
        .find(|line| line.trim_start().starts_with("lo:"));
    let bytes = line.and_then(|line| {
        line.split(':')
            .nth(1)?
            .split_whitespace()
            .next()?
            .parse()
            .ok()
    });
    bytes.unwrap_or(0)
}
