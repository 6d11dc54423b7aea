//! Contents of answers, which name the request that they belong to, and the version of the
//! software that wrote an event.

/// Number of events of a stream.
pub const EVENTS: u64 = 20;

/// Number of lines of a body, about 800 bytes.
const BODY_LINES: u32 = 32;

/// Part of a path whose requests have large answers.
const LARGE_MARK: &str = "/large/";

/// Part of a path whose requests are never run.
const HELD_MARK: &str = "/held/";

/// Size of the body of a large answer, and what a large event has beside the usual data.
const LARGE_BODY_BYTES: usize = 900_000;
const LARGE_EVENT_BYTES: usize = 400;

/// What stands before the version in the data of an event.
const VERSION_MARK: &str = " by ";

/// Body of the answer to a call.
#[must_use]
pub fn body(attempt: &str) -> String {
    (0..BODY_LINES)
        .map(|line| format!("{attempt} line {line}\n"))
        .collect()
}

/// Whether requests to a path have large answers.
#[must_use]
pub fn is_large(path: &str) -> bool {
    path.contains(LARGE_MARK)
}

/// Whether requests to a path are refused by each replica.
#[must_use]
pub fn is_held(path: &str) -> bool {
    path.contains(HELD_MARK)
}

/// Body of a large answer to a call.
#[must_use]
pub fn large_body(attempt: &str) -> String {
    let line = format!("{attempt} line\n");
    line.repeat(LARGE_BODY_BYTES / line.len())
}

/// Large event of a stream.
#[must_use]
pub fn large_event(attempt: &str, event: u64, version: &str) -> String {
    let filler = "x".repeat(LARGE_EVENT_BYTES);
    let data = data(attempt, event, version);
    encode_event(event, &format!("{data} {filler}"))
}

fn encode_event(id: u64, data: &str) -> String {
    format!("id: {id}\ndata: {data}\n\n")
}

/// Data of an event of a stream.
#[must_use]
fn data(attempt: &str, event: u64, version: &str) -> String {
    format!("{attempt} event {event}{VERSION_MARK}{version}")
}

/// Event of a stream.
#[must_use]
pub fn event(attempt: &str, event: u64, version: &str) -> String {
    encode_event(event, &data(attempt, event, version))
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
