//! Resource use of this process, its threads and the loopback device.
//!
//! Processor times and bytes come from `/proc`, and allocated memory from a
//! counting global allocator. Times and bytes are totals since the start of the
//! process or device, so a measurement takes the difference of two readings. A
//! file that cannot be read counts as zero.

use std::alloc::System;
use std::fs;
use std::time::Duration;

use cap::Cap;

/// Ticks per second of the processor times in `/proc/self/stat`.
const TICKS_PER_S: f64 = 100.0;

/// Total processor time of the threads of this process with the name `name`.
pub(super) fn thread_time(name: &str) -> Duration {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    let mut total = Duration::ZERO;
    for task in tasks.flatten() {
        let comm = fs::read_to_string(task.path().join("comm")).unwrap_or_default();
        if comm.trim_end() == name {
            // The first field of `schedstat` is the processor time in nanoseconds.
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

/// Total processor time of this process, in user and kernel mode.
pub(super) fn process_time() -> Duration {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split(' ')
        .collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|t| t.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    // User and system time are fields 14 and 15 of the file. The text after the `)`
    // that ends the name starts with a space, so they have index 12 and 13 here.
    Duration::from_secs_f64((ticks(12) + ticks(13)) / TICKS_PER_S)
}

/// Global allocator that counts the bytes allocated.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Bytes that this process has allocated and not freed.
pub(super) fn allocated_bytes() -> u64 {
    ALLOCATOR.allocated() as u64
}

/// Total bytes received by the loopback device, which equals the bytes sent.
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
