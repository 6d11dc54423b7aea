//! Changes of valid inputs: of values in JSON texts, and of bytes.

use std::ops::Range;

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::sample::Index;
use proptest::strategy::Strategy;

/// Maximum number of changes of one input.
const MAX_CHANGES: usize = 4;

/// Levels of the nested values.
const DEPTH: usize = 10_000;

/// Values that take the place of others.
const ODD_VALUES: &[&str] = &[
    "-1",
    "0",
    "-0.0",
    "0.5",
    "1e22",
    "1e300",
    "-1e300",
    "1e999",
    "4294967295",
    "4294967296",
    "9007199254740993",
    "18446744073709551615",
    "18446744073709551616",
    "null",
    "true",
    "[]",
    "{}",
    "[1,\"a\"]",
    "\"\"",
    "\"a\"",
    "\"\\u0000\"",
    "\"\\ud800\"",
    "\"\\r\\nx: y\"",
    "\"127.0.0.1:70000\"",
    "\"0.0.0.0:80\"",
    "\"[::]:0\"",
    "\"\u{fffd}\"",
];

/// Names that take the place of others.
const ODD_NAMES: &[&str] = &["\"\"", "\"x\"", "\"version\"", "\"name\"", "\"state\""];

/// Change of one value or name in a JSON text.
#[derive(Clone, Debug)]
pub struct Edit {
    target: Index,
    replacement: Index,
}

/// Edits of one text.
pub fn edits() -> impl Strategy<Value = Vec<Edit>> {
    let edit = (any::<Index>(), any::<Index>());
    let edit = edit.prop_map(|(target, replacement)| Edit {
        target,
        replacement,
    });
    vec(edit, 1..=MAX_CHANGES)
}

/// Applies edits to a JSON text, which remains one.
#[must_use]
pub fn edit(text: &str, edits: &[Edit]) -> String {
    let nested = format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    let mut text = text.to_owned();
    for edit in edits {
        let tokens = tokens(&text);
        if tokens.is_empty() {
            return text;
        }
        let (range, is_name) = edit.target.get(&tokens).clone();
        let replacement = match edit.replacement.index(ODD_VALUES.len() + 1) {
            _ if is_name => *edit.replacement.get(ODD_NAMES),
            n => ODD_VALUES.get(n).copied().unwrap_or(&nested),
        };
        text.replace_range(range, replacement);
    }
    text
}

/// Ranges of the strings, numbers and words of a JSON text, and whether each is the name of
/// a field.
fn tokens(text: &str) -> Vec<(Range<usize>, bool)> {
    let bytes = text.as_bytes();
    let mut tokens = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let length = match bytes[at] {
            b'"' => string_length(&bytes[at..]),
            b'-' | b'0'..=b'9' | b'a'..=b'z' => word_length(&bytes[at..]),
            _ => 0,
        };
        if length > 0 {
            let rest = text[at + length..].trim_start();
            tokens.push((at..at + length, rest.starts_with(':')));
        }
        at += length.max(1);
    }
    tokens
}

fn string_length(bytes: &[u8]) -> usize {
    let mut is_escaped = false;
    let end = bytes.iter().skip(1).position(|byte| {
        let is_end = *byte == b'"' && !is_escaped;
        is_escaped = *byte == b'\\' && !is_escaped;
        is_end
    });
    end.map_or(bytes.len(), |end| end + 2)
}

fn word_length(bytes: &[u8]) -> usize {
    let is_part = |byte: &u8| byte.is_ascii_alphanumeric() || b"+-.".contains(byte);
    bytes
        .iter()
        .position(|byte| !is_part(byte))
        .unwrap_or(bytes.len())
}

/// Change of bytes.
#[derive(Clone, Debug)]
pub enum Damage {
    /// Sets a byte.
    Set(Index, u8),
    /// Inserts a byte.
    Insert(Index, u8),
    /// Removes a byte.
    Remove(Index),
    /// Removes all bytes from one on.
    Truncate(Index),
}

/// Damages of one input.
pub fn damages() -> impl Strategy<Value = Vec<Damage>> {
    let damage = (any::<u8>(), any::<Index>(), any::<u8>());
    let damage = damage.prop_map(|(kind, at, byte)| match kind % 8 {
        0 => Damage::Truncate(at),
        1 => Damage::Remove(at),
        2 | 3 => Damage::Insert(at, byte),
        _ => Damage::Set(at, byte),
    });
    vec(damage, 1..=MAX_CHANGES)
}

/// Applies damages to bytes.
#[must_use]
pub fn damage(bytes: &[u8], damages: &[Damage]) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    for damage in damages {
        let length = bytes.len();
        match damage {
            Damage::Insert(at, byte) => bytes.insert(at.index(length + 1), *byte),
            _ if length == 0 => {}
            Damage::Set(at, byte) => bytes[at.index(length)] = *byte,
            Damage::Remove(at) => {
                bytes.remove(at.index(length));
            }
            Damage::Truncate(at) => bytes.truncate(at.index(length)),
        }
    }
    bytes
}
