//! Memory and descriptors of processes.

use std::fs;

/// Peak of the resident memory of the process so far, in megabytes.
///
/// # Panics
///
/// If the system does not tell it.
#[must_use]
pub fn peak_mb() -> u64 {
    peak_kb_of("self").expect("the peak of the resident memory") >> 10
}

/// Peak of the resident memory of a process, in kilobytes; `None` if it does not run.
#[must_use]
pub fn peak_kb_of(process: &str) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Number of open descriptors of a process; `None` if it does not run.
#[must_use]
pub fn descriptors_of(process: &str) -> Option<usize> {
    Some(fs::read_dir(format!("/proc/{process}/fd")).ok()?.count())
}
