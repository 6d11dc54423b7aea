//! A client whose requests ask for weights that the replicas do not have, and what other callers
//! get afterwards.

use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::fleet::{Fleet, HOST, Record};
use crate::{Verdict, has_trouble, http, lots};

const DAEMONS: usize = 3;
const REPLICAS: [&str; 3] = ["i-1a", "i-2b", "i-3c"];
const ITEMS: usize = 10;

/// Requests of the client at each daemon.
const REQUESTS: usize = 3;

/// Requests of other callers, a second apart.
const OTHERS: usize = 5;

/// `finish_s` of the pages: what batch jobs have after the traffic has ended.
const FINISH: Duration = Duration::from_secs(18);

const JOB: &str = "7c41e09b52d6a3f8";

fn manifest() -> String {
    let ask = "{\"name\":\"ask\",\"host\":\"ficu95.example\",\"path_prefix\":\"/ask/\",\
               \"route_type\":\"streaming\",\"timeout_ms\":5000,\"target_latency_ms\":300,\"priority\":0,\
               \"service\":\"lm\",\"max_attempts\":2,\"sticky\":true,\"resumable\":true,\
               \"gap_aim_ms\":400},";
    let lots = lots::manifest(1, "lm", 950_000);
    lots.replacen("\"routes\":[", &format!("\"routes\":[{ask}"), 1)
}

/// Sends a stream request; whether it is answered in full.
fn ask(to: SocketAddr, id: &str, weights: Option<&str>, record: &Record) -> bool {
    let mut headers = vec![
        ("Host", HOST),
        ("Attempt-Id", id),
        ("Model", "m"),
        ("Token-Counts", "350,60"),
        ("Deadline-Ms", "5000"),
        ("Connection", "close"),
    ];
    headers.extend(weights.map(|weights| ("Expect-Version", weights)));
    let message = http::request("POST", "/ask/1", &headers, b"question");
    let answer = http::call(to, &message, Duration::from_secs(5), |_| {}).unwrap_or_default();
    let text = if answer.status == 200 { String::new() } else { answer.text() };
    record.say(&format!(
        "request {id} with weights {weights:?}: {} whole={} {text}",
        answer.status, answer.whole
    ));
    answer.status == 200 && answer.whole
}

pub fn play(folder: &Path) -> Verdict {
    let mut fleet = Fleet::start(folder);
    fleet.put_manifest(&manifest());
    for _ in 0..DAEMONS {
        fleet.add_daemon();
    }
    for id in REPLICAS {
        let mut options = fleet.replica(id, "lm", "v1");
        options.gap_ms = 40;
        fleet.add_replica(options);
    }
    if !fleet.wait_until_ready() {
        return Verdict::CouldNotRun;
    }
    let at = |n: usize| fleet.daemons[n % DAEMONS].clients;
    if !(0..DAEMONS).all(|n| ask(at(n), &format!("before{n:010x}"), None, &fleet.record)) {
        return Verdict::CouldNotRun;
    }
    // The client has heard of weights that are not there yet, or no more.
    let weights = has_trouble().then_some("2");
    for n in 0..DAEMONS * REQUESTS {
        ask(at(n), &format!("client{n:010x}"), weights, &fleet.record);
        thread::sleep(Duration::from_millis(100));
    }
    thread::sleep(Duration::from_secs(2));
    if lots::submit(at(0), JOB, ITEMS, 410, &fleet.record) != Some(202) {
        return Verdict::CouldNotRun;
    }
    let mut served = 0;
    for n in 0..OTHERS {
        served += usize::from(ask(at(n), &format!("others{n:010x}"), None, &fleet.record));
        thread::sleep(Duration::from_secs(1));
    }
    fleet.record.say(&format!("{served} of {OTHERS} requests of others are served; the traffic ends"));
    thread::sleep(FINISH);
    let page = lots::read(at(1), JOB, 0).filter(|answer| answer.status == 200);
    let Some(page) = page else {
        return Verdict::CouldNotRun;
    };
    let listed = lots::results(&page.text()).len();
    let item = |words: &Vec<String>| {
        words.get(3).is_some_and(|word| word == "run") && words.last().is_some_and(|id| id.starts_with(JOB))
    };
    let begun = fleet.runs().iter().filter(|(_, words)| item(words)).count();
    fleet.record.say(&format!(
        "{FINISH:?} later {listed} of {ITEMS} items are listed; replicas had {begun} requests for them"
    ));
    if listed < ITEMS { Verdict::Broken } else { Verdict::Held }
}
