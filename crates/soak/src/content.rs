//! Contents of answers, which name the request that they belong to, and the version of the
//! software that wrote an event.

/// Number of events of a stream.
pub const EVENTS: u64 = 20;

/// Number of lines of a body, about 800 bytes.
const BODY_LINES: u32 = 32;

/// What stands before the version in the data of an event.
const VERSION_MARK: &str = " by ";

/// Body of the answer to a call.
#[must_use]
pub fn body(attempt: &str) -> String {
    (0..BODY_LINES)
        .map(|line| format!("{attempt} line {line}\n"))
        .collect()
}

/// Data of an event of a stream.
#[must_use]
fn data(attempt: &str, event: u64, version: &str) -> String {
    format!("{attempt} event {event}{VERSION_MARK}{version}")
}

/// Event of a stream.
#[must_use]
pub fn event(attempt: &str, event: u64, version: &str) -> String {
    format!("id: {event}\ndata: {}\n\n", data(attempt, event, version))
}

/// Events of a stream behind the event `after`.
#[must_use]
pub fn events(attempt: &str, after: u64, version: &str) -> String {
    (after + 1..=EVENTS)
        .map(|n| event(attempt, n, version))
        .collect()
}

/// Version that the first event or line of a text names.
#[must_use]
pub fn version(text: &str) -> Option<&str> {
    let (_, rest) = text.split_once(VERSION_MARK)?;
    rest.lines().next()
}

/// Whole output of a batch item.
#[must_use]
pub fn output(item: &str, version: &str) -> String {
    let data: Vec<String> = (1..=EVENTS).map(|n| data(item, n, version)).collect();
    data.join("\n")
}
