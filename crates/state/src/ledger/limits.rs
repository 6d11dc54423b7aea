//! Sizes of records and calls that the store accepts.

use super::entry::Record;

/// Bytes of the framing of a record: its length, and the length of its key.
const FRAME_BYTES: usize = 5;

/// Maximum sizes of the store. It refuses what exceeds them, each time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a record, with its framing, in bytes.
    pub record_bytes: usize,
    /// Maximum size of the records of one call, with their framing, in bytes.
    pub call_bytes: usize,
}

impl Limits {
    /// No limits.
    pub const NONE: Self = Self {
        record_bytes: usize::MAX,
        call_bytes: usize::MAX,
    };

    /// Size of records in a call, in bytes; `None` if one of them is too large.
    pub(super) fn size(&self, records: &[Record]) -> Option<usize> {
        records.iter().try_fold(0, |size, record| {
            let value = record.value.as_ref().map_or(0, Vec::len);
            let record_size = FRAME_BYTES + record.key.len() + value;
            (record_size <= self.record_bytes).then_some(size + record_size)
        })
    }
}
