//! Reasons why records cannot be used, each of which is reported once.

use std::collections::HashMap;

use compact_str::CompactString;

/// Maximum number of records whose reasons are remembered; further ones are not reported.
pub const MAX_RECORDS: usize = 256;

/// Reasons that were reported, by key of the record.
#[derive(Debug, Default)]
pub struct Reasons(HashMap<CompactString, CompactString>);

impl Reasons {
    /// Records why a record cannot be used; returns whether that is to be reported.
    pub fn record(&mut self, key: &str, why: &str) -> bool {
        let is_reported = match self.0.get(key) {
            Some(known) => known != why,
            None => self.0.len() < MAX_RECORDS,
        };
        if is_reported {
            self.0.insert(key.into(), why.into());
        }
        is_reported
    }

    /// Records that a record can be used or was removed.
    pub fn remove(&mut self, key: &str) {
        self.0.remove(key);
    }
}
