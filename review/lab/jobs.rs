//! Batch jobs of clients.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use std::{io, thread};

use crate::fleet;
use crate::http::Response;
use crate::record::Record;
use crate::store::base64;
use crate::sys::Random;

/// Timeout of a call about a job.
const TIMEOUT: Duration = Duration::from_secs(4);

/// Batch job.
#[derive(Clone)]
pub struct Lot {
    pub id: String,
    pub items: Vec<String>,
    prefix: String,
}

impl Lot {
    /// Job with items of random ids.
    pub fn draw(random: &mut Random, prefix: &str, count: usize) -> Self {
        Self {
            id: random.id(),
            items: (0..count).map(|_| random.id()).collect(),
            prefix: prefix.to_owned(),
        }
    }

    fn body(&self) -> String {
        let prefix = &self.prefix;
        let items = self.items.iter().map(|id| {
            let body = base64(format!("body of {id}").as_bytes());
            format!(
                "{{\"id\":\"{id}\",\"path\":\"{prefix}run/{id}\",\"headers\":{{\"Model\":\"m\",\
                 \"Token-Counts\":\"540,400\",\"Prompt-Prefix\":\"9c2e41:300,{id}:240\"}},\
                 \"body\":\"{body}\",\"tokens\":940}}"
            )
        });
        format!("{{\"items\":[{}]}}", items.collect::<Vec<_>>().join(","))
    }
}

/// Data of an event.
fn data(item: &str, event: u64) -> String {
    format!("{item} event {event}")
}

/// Event of the answer to an item.
pub fn event(item: &str, event: u64) -> String {
    format!("id: {event}\ndata: {}\n\n", data(item, event))
}

/// Whole output of an item.
pub fn output(item: &str, events: u64) -> String {
    let data: Vec<String> = (1..=events).map(|event| data(item, event)).collect();
    data.join("\n")
}

fn status(answer: &io::Result<Response>) -> String {
    match answer {
        Ok(answer) => answer.status.to_string(),
        Err(e) => format!("no answer ({e})"),
    }
}

/// Submits a job once; the status, or why there is none.
pub fn submit(record: &Record, daemon: SocketAddr, lot: &Lot) -> String {
    let headers = [
        ("Attempt-Id", lot.id.as_str()),
        ("Content-Type", "application/json"),
    ];
    let target = format!("{}{}", lot.prefix, &lot.id[..6]);
    let answer = fleet::send(
        daemon,
        ("POST", &target),
        &headers,
        lot.body().as_bytes(),
        TIMEOUT,
    );
    let status = status(&answer);
    record.line(&format!(
        "client at {daemon}: job {} of {}: {status}",
        lot.id, lot.prefix
    ));
    status
}

/// Reads the results of a job from a position; `None` without a 200.
pub fn read(daemon: SocketAddr, id: &str, after: usize) -> Option<Vec<(String, String, String)>> {
    let target = format!("/bitterncart/lots/{id}?after={after}");
    let answer = fleet::send(daemon, ("GET", &target), &[], b"", TIMEOUT).ok()?;
    (answer.status == 200).then(|| parse(&String::from_utf8_lossy(&answer.body)))
}

/// Results in a page: item, state and output.
fn parse(page: &str) -> Vec<(String, String, String)> {
    let field = |text: &str, name: &str| -> Option<String> {
        let start = text.find(&format!("\"{name}\":\""))? + name.len() + 4;
        let rest = &text[start..];
        Some(rest[..rest.find('"')?].replace("\\n", "\n"))
    };
    let results = page.split("{\"id\"").skip(1).filter_map(|text| {
        let text = format!("{{\"id\"{text}");
        Some((
            field(&text, "id")?,
            field(&text, "state")?,
            field(&text, "output")?,
        ))
    });
    results.collect()
}

/// Reads all results of the jobs until they are complete or the time is over.
pub fn read_all(
    record: &Record,
    daemons: &[SocketAddr],
    lots: &[Lot],
    time: Duration,
) -> Vec<Vec<(String, String, String)>> {
    let until = Instant::now() + time;
    let mut results: HashMap<String, Vec<(String, String, String)>> = HashMap::new();
    loop {
        let mut open = 0;
        for (n, lot) in lots.iter().enumerate() {
            let known = results.entry(lot.id.clone()).or_default();
            if known.len() < lot.items.len() {
                let after = known.len();
                let daemon = daemons[n % daemons.len()];
                known.extend(read(daemon, &lot.id, after).unwrap_or_default());
                open += usize::from(known.len() < lot.items.len());
            }
        }
        if open == 0 || Instant::now() > until {
            break;
        }
        thread::sleep(Duration::from_millis(300));
    }
    for lot in lots {
        let known = &results[&lot.id];
        let done = known
            .iter()
            .filter(|(_, state, _)| state == "completed")
            .count();
        record.line(&format!(
            "job {}: {} items, {} results, {done} completed",
            lot.id,
            lot.items.len(),
            known.len()
        ));
    }
    lots.iter().map(|lot| results[&lot.id].clone()).collect()
}
