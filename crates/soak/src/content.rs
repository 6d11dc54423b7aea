//! Contents of answers, which name the request that they belong to.

/// Number of events of a stream.
pub const EVENTS: u64 = 20;

/// Number of lines of a body, about 800 bytes.
const BODY_LINES: u32 = 32;

/// Body of the answer to a call.
#[must_use]
pub fn body(attempt: &str) -> String {
    (0..BODY_LINES)
        .map(|line| format!("{attempt} line {line}\n"))
        .collect()
}

/// Data of an event of a stream.
#[must_use]
pub fn data(attempt: &str, event: u64) -> String {
    format!("{attempt} event {event}")
}

/// Event of a stream.
#[must_use]
pub fn event(attempt: &str, event: u64) -> String {
    format!("id: {event}\ndata: {}\n\n", data(attempt, event))
}

/// Events of a stream behind the event `after`.
#[must_use]
pub fn events(attempt: &str, after: u64) -> String {
    (after + 1..=EVENTS).map(|n| event(attempt, n)).collect()
}

/// Whole output of a batch item.
#[must_use]
pub fn output(item: &str) -> String {
    let data: Vec<String> = (1..=EVENTS).map(|event| data(item, event)).collect();
    data.join("\n")
}
