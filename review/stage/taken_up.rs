//! Streams that their clients take up again after the last replica of their software version has
//! crashed and has started again, under its id, with the next version.

use std::collections::BTreeSet;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, HOST, Record};
use crate::{Verdict, has_trouble, http};

/// Clients, each with one stream.
const CLIENTS: usize = 36;

/// Replicas; one of them crashes, a share of 0.167.
const REPLICAS: [&str; 6] = ["i-1a", "i-2b", "i-3c", "i-4d", "i-5e", "i-6f"];

/// Entry daemons.
const DAEMONS: usize = 4;

/// Time for which a client waits.
const DEADLINE: Duration = Duration::from_secs(8);

/// Client attempts after the first.
const RETRIES: usize = 3;

/// Time for which the crashed replica is away.
const AWAY: Duration = Duration::from_millis(300);

const MANIFEST: &str = "{\"version\":1,\"routes\":[{\"name\":\"ask\",\"host\":\"ficu95.example\",\
\"path_prefix\":\"/ask/\",\"route_type\":\"streaming\",\"timeout_ms\":8000,\"target_latency_ms\":300,\
\"priority\":0,\"service\":\"lm\",\"max_attempts\":2,\"sticky\":true,\"resumable\":true,\
\"gap_aim_ms\":400}],\"services\":[{\"name\":\"lm\",\"health_path\":\"/health\",\"max_conns\":360,\
\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

/// What a client has of its stream.
struct Stream {
    name: String,
    /// Data of its events, over all attempts.
    events: Vec<String>,
    whole: bool,
}

impl Stream {
    fn versions(&self) -> BTreeSet<&str> {
        self.events.iter().filter_map(|event| event.split(' ').next()).collect()
    }
}

/// Whole events in the bytes of an answer: id and data.
fn events(bytes: &[u8]) -> Vec<(u64, String)> {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let mut found = Vec::new();
    let whole = text.rfind("\n\n").map_or("", |end| &text[..end]);
    for event in whole.split("\n\n") {
        let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
        if let (Some(id), Some(data)) = (field("id: "), field("data: ")) {
            found.push((id.parse().unwrap_or(0), data.to_owned()));
        }
    }
    found
}

/// Sends a request and takes the stream up again after a broken channel, at other daemons.
fn client(n: usize, daemons: &[std::net::SocketAddr], record: &Record) -> Stream {
    let begun = Instant::now();
    let mut stream = Stream { name: format!("stream-{n}"), events: Vec::new(), whole: false };
    let first = format!("{n:04x}0000c0ffee00");
    let mut begun_by: Option<String> = None;
    for attempt in 0..=RETRIES {
        let left = DEADLINE.saturating_sub(begun.elapsed());
        let id = format!("{}{attempt:02x}", &first[..14]);
        let (length, last) = (left.as_millis().to_string(), stream.events.len().to_string());
        let mut headers = vec![
            ("Host", HOST),
            ("Attempt-Id", &id),
            ("Model", "m"),
            ("Token-Counts", "350,60"),
            ("Deadline-Ms", &length),
            ("Connection", "close"),
        ];
        if let Some(begun_by) = &begun_by {
            headers.push(("Last-Event-Id", &last));
            headers.push(("Resumes", begun_by));
        }
        let path = format!("/ask/{n}");
        let message = http::request("POST", &path, &headers, b"question");
        // The platform leads the clients to one daemon, and their retries to others.
        let at = match attempt {
            0 => 0,
            _ => 1 + (n + attempt) % (daemons.len() - 1),
        };
        record.say(&format!("{} {id} sent to front-{} after={last}", stream.name, at + 1));
        let answer = http::call(daemons[at], &message, left, |_| {});
        let Some(answer) = answer else {
            record.say(&format!("{} {id} got no answer", stream.name));
            continue;
        };
        for (event, data) in events(&answer.body) {
            if event == stream.events.len() as u64 + 1 {
                stream.events.push(data);
            }
        }
        if begun_by.is_none() && !stream.events.is_empty() {
            begun_by = Some(id.clone());
        }
        let count = stream.events.len();
        record.say(&format!(
            "{} {id} answered {} whole={} events={count} versions={:?} {}",
            stream.name,
            answer.status,
            answer.whole,
            stream.versions(),
            if answer.status == 200 { String::new() } else { answer.text() }
        ));
        if answer.status == 200 && answer.whole {
            stream.whole = true;
            break;
        }
        if matches!(answer.status, 400..=428 | 430..=499) {
            break;
        }
        let pause = answer.header("retry-after").and_then(|text| text.parse().ok());
        thread::sleep(Duration::from_secs_f64(pause.unwrap_or(0.05)));
    }
    stream
}

pub fn play(folder: &Path) -> Verdict {
    let mut fleet = Fleet::start(folder);
    fleet.put_manifest(MANIFEST);
    for _ in 0..DAEMONS {
        fleet.add_daemon();
    }
    // The end of a release: one replica still has the version before.
    for (n, id) in REPLICAS.into_iter().enumerate() {
        let version = if n == 0 { "v1" } else { "v2" };
        let options = fleet.replica(id, "lm", version);
        fleet.add_replica(options);
    }
    if !fleet.wait_until_ready() {
        return Verdict::CouldNotRun;
    }
    let daemons: Arc<Vec<_>> = Arc::new(fleet.daemons.iter().map(|d| d.clients).collect());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (daemons, record) = (Arc::clone(&daemons), Arc::clone(&fleet.record));
            thread::sleep(Duration::from_millis(20));
            thread::spawn(move || client(n, &daemons, &record))
        })
        .collect();
    thread::sleep(Duration::from_millis(1000));
    if has_trouble() {
        let mut options = fleet.kill_replica("i-1a");
        thread::sleep(AWAY);
        options.version = "v2".into();
        fleet.add_replica(options);
    }
    let streams: Vec<Stream> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let mixed: Vec<&Stream> = streams.iter().filter(|stream| stream.versions().len() > 1).collect();
    let whole = streams.iter().filter(|stream| stream.whole).count();
    for stream in &mixed {
        fleet.record.say(&format!("MIXED {}: {:?}", stream.name, stream.events));
    }
    fleet.record.say(&format!(
        "{whole} of {CLIENTS} streams whole; {} hold events of two versions (rule: not more than 2)",
        mixed.len()
    ));
    if !has_trouble() && whole < CLIENTS {
        return Verdict::CouldNotRun;
    }
    if mixed.len() > 2 { Verdict::Broken } else { Verdict::Held }
}
