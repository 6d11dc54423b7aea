//! Records of the replicas: which requests they ran.

use std::collections::HashMap;
use std::fs;
use std::path::Path;

use bitterncart_platform::wire;

/// Runs of one id.
#[derive(Clone, Debug, Default)]
pub struct Runs {
    /// Runs that began.
    pub started: usize,
    /// Runs that were answered with a failure.
    pub failed: usize,
    /// Requests that named another customer than that of all requests, or none.
    pub strangers: usize,
    /// Requests that had a key.
    pub keys: usize,
    /// Lines of the record.
    pub lines: Vec<String>,
}

/// Reads the record of all replicas by id.
///
/// # Errors
///
/// If the record cannot be read.
pub fn read(path: &Path) -> std::io::Result<HashMap<String, Runs>> {
    let mut all: HashMap<String, Runs> = HashMap::new();
    for line in fs::read_to_string(path)?.lines() {
        let words: Vec<&str> = line.split(' ').collect();
        let (Some(id), Some(what)) = (words.get(3), words.get(4)) else {
            continue;
        };
        let runs = all.entry((*id).to_owned()).or_default();
        runs.started += usize::from(*what == "run");
        runs.failed += usize::from(*what == "failed");
        let is_customer = words.get(5) == Some(&wire::CUSTOMER_NAME);
        runs.strangers += usize::from(*what == "customer" && !is_customer);
        runs.keys += usize::from(*what == "key");
        runs.lines.push(line.to_owned());
    }
    Ok(all)
}
