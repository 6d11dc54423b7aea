//! File of the stand-in of the store: what it acknowledged, one append after the other.

use std::io::{self, Read};

use bitterncart_platform::{decode_records, encode_records};
use bitterncart_state::ledger::Record;

/// Encodes an append: its length, topic, partition and records.
#[must_use]
pub fn encode(topic: &str, part: u16, records: &[Record]) -> Vec<u8> {
    let records = encode_records(records);
    let length = 1 + topic.len() + 2 + records.len();
    let mut bytes = (length as u32).to_be_bytes().to_vec();
    bytes.push(topic.len() as u8);
    bytes.extend_from_slice(topic.as_bytes());
    bytes.extend_from_slice(&part.to_be_bytes());
    bytes.extend_from_slice(&records);
    bytes
}

/// Reads the next append of a file; `None` at its end or at a torn append.
pub fn read(file: &mut impl Read) -> Option<(String, u16, Vec<Record>)> {
    let mut read = |count: usize| -> io::Result<Vec<u8>> {
        let mut bytes = vec![0; count];
        file.read_exact(&mut bytes)?;
        Ok(bytes)
    };
    let length = u32::from_be_bytes(read(4).ok()?.try_into().ok()?);
    let bytes = read(length as usize).ok()?;
    let (topic_length, bytes) = bytes.split_first()?;
    let (topic, bytes) = bytes.split_at_checked(usize::from(*topic_length))?;
    let (part, records) = bytes.split_first_chunk::<2>()?;
    let topic = String::from_utf8(topic.to_vec()).ok()?;
    Some((topic, u16::from_be_bytes(*part), decode_records(records)?))
}
