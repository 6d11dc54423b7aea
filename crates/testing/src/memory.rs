//! Memory of the process of a test.

/// Peak of the resident memory of the process so far, in megabytes.
///
/// # Panics
///
/// If the system does not tell it.
#[must_use]
pub fn peak_mb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the status of the process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kb.expect("the peak of the resident memory") >> 10
}
