//! Clients of batch jobs.

use std::net::SocketAddr;
use std::time::Duration;

use crate::fleet::{HOST, Record};
use crate::http::{self, Answer};
use crate::store::base64;

/// Route of batch jobs in a manifest; `service` runs the items.
pub fn manifest(version: u64, service: &str, max_queued_tokens: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"lots\",\"host\":\"ficu95.example\",\
         \"path_prefix\":\"/lots/\",\"route_type\":\"batch\",\"timeout_ms\":15000,\
         \"target_latency_ms\":500,\"priority\":2,\"service\":\"{service}\",\"max_attempts\":3,\
         \"sticky\":true,\"resumable\":true,\"gap_aim_ms\":400,\"result_deadline_ms\":18000,\
         \"max_wait_s\":60,\"max_queued_tokens\":{max_queued_tokens}}}],\
         \"services\":[{{\"name\":\"{service}\",\"health_path\":\"/health\",\"max_conns\":360,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// Submits a job of some items; the answer, if there is one.
pub fn submit(to: SocketAddr, job: &str, items: usize, tokens: u64, record: &Record) -> Option<u16> {
    let body = base64(b"a prompt");
    let listed: Vec<String> = (0..items)
        .map(|n| {
            format!(
                "{{\"id\":\"{job}{n:04x}\",\"path\":\"/lots/{job}/{n}\",\"headers\":{{\"Model\":\"m\",\
                 \"Token-Counts\":\"350,{}\"}},\"body\":\"{body}\",\"tokens\":{tokens}}}",
                tokens.saturating_sub(350)
            )
        })
        .collect();
    let text = format!("{{\"items\":[{}]}}", listed.join(","));
    let headers = [
        ("Host", HOST),
        ("Attempt-Id", job),
        ("Content-Type", "application/json"),
        ("Connection", "close"),
    ];
    let message = http::request("POST", &format!("/lots/{job}"), &headers, text.as_bytes());
    let answer = http::call(to, &message, Duration::from_secs(4), |_| {});
    let status = answer.map(|answer| answer.status);
    record.say(&format!("job {job} of {items} items, {tokens} tokens each: {status:?}"));
    status
}

/// Reads the results of a job from a position.
pub fn read(to: SocketAddr, job: &str, after: usize) -> Option<Answer> {
    let headers = [("Host", HOST), ("Wait-Ms", "1000"), ("Connection", "close")];
    let target = format!("/bitterncart/lots/{job}?after={after}");
    http::call(to, &http::request("GET", &target, &headers, b""), Duration::from_secs(3), |_| {})
}

/// Results in a page: id, state and output. Ids and outputs of the stand-ins need no escapes but
/// that of the line feed.
pub fn results(page: &str) -> Vec<(String, String, Vec<String>)> {
    let field = |text: &str, name: &str| {
        let start = text.find(&format!("\"{name}\":\""))? + name.len() + 4;
        let end = start + text[start..].find('"')?;
        Some(text[start..end].to_owned())
    };
    let entries = page.split("{\"id\":").skip(1).map(|entry| format!("{{\"id\":{entry}"));
    let parsed = entries.filter_map(|entry| {
        let output = field(&entry, "output")?;
        let lines = output.split("\\n").filter(|line| !line.is_empty()).map(str::to_owned);
        Some((field(&entry, "id")?, field(&entry, "state")?, lines.collect()))
    });
    parsed.collect()
}
