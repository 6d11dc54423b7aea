//! Clients of the deployment: online requests and batch jobs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::http;
use crate::store::{base64, json_text};

pub const HOST: &str = "ficu95.example";

/// Item of a batch job.
#[derive(Clone, Debug)]
pub struct Item {
    pub id: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub tokens: u64,
}

impl Item {
    pub fn new(id: String) -> Self {
        let headers = [("Model", "m"), ("Token-Counts", "540,400"), ("Prompt-Prefix", "9c2e41:300,5d07b8:240")];
        Self {
            id,
            headers: headers.iter().map(|(n, v)| ((*n).to_owned(), (*v).to_owned())).collect(),
            body: b"an item".to_vec(),
            tokens: 940,
        }
    }

    fn json(&self, prefix: &str) -> String {
        let headers: Vec<String> =
            self.headers.iter().map(|(n, v)| format!("{}:{}", json_text(n), json_text(v))).collect();
        format!(
            "{{\"id\":\"{}\",\"path\":\"{prefix}3/{}\",\"headers\":{{{}}},\"body\":\"{}\",\"tokens\":{}}}",
            self.id,
            self.id,
            headers.join(","),
            base64(&self.body),
            self.tokens
        )
    }
}

/// Submits a job; returns the status, or 0 without a response.
pub fn submit(to: SocketAddr, prefix: &str, job: &str, items: &[Item], timeout: Duration) -> u16 {
    let items: Vec<String> = items.iter().map(|item| item.json(prefix)).collect();
    let body = format!("{{\"items\":[{}]}}", items.join(","));
    let headers = [("Host", HOST), ("Attempt-Id", job), ("Content-Type", "application/json")];
    let request = http::request("POST", &format!("{prefix}{job}"), &headers, body.as_bytes());
    http::call(to, &request, timeout).map_or(0, |answer| answer.status())
}

/// Results of a job.
#[derive(Clone, Debug, Default)]
pub struct Results {
    pub status: u16,
    pub total: u64,
    /// State and output by the id of the item.
    pub listed: HashMap<String, (String, String)>,
}

/// Reads all results of a job, page by page.
pub fn results(to: SocketAddr, job: &str) -> Results {
    let mut all = Results::default();
    let mut after = 0;
    loop {
        let path = format!("/bitterncart/lots/{job}?after={after}");
        let request = http::request("GET", &path, &[("Host", HOST)], b"");
        let Ok(answer) = http::call(to, &request, Duration::from_millis(2500)) else {
            return all;
        };
        all.status = answer.status();
        if all.status != 200 {
            return all;
        }
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        all.total = number(&text, "\"total\":");
        let next = number(&text, "\"next\":");
        for entry in text.split("{\"id\":\"").skip(1) {
            let id = entry.split('"').next().unwrap_or("").to_owned();
            let field = |name: &str| {
                let value = entry.split(name).nth(1).unwrap_or("");
                value.split('"').next().unwrap_or("").replace("\\n", "\n")
            };
            all.listed.insert(id, (field("\"state\":\""), field("\"output\":\"")));
        }
        if next <= after || next >= all.total {
            return all;
        }
        after = next;
    }
}

fn number(text: &str, name: &str) -> u64 {
    let digits = text.split(name).nth(1).unwrap_or("0");
    let digits: String = digits.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}

/// Makes an online request that may be repeated; returns the status, or 0 without a response.
pub fn acknowledge(to: SocketAddr, id: &str) -> u16 {
    let headers = [("Host", HOST), ("Attempt-Id", id), ("Deadline-Ms", "1000")];
    let request = http::request("POST", "/ack/1", &headers, b"an upload");
    http::call(to, &request, Duration::from_millis(1500)).map_or(0, |answer| answer.status())
}

/// Makes an online request that may be repeated; returns the status and the body.
pub fn fetch(to: SocketAddr, id: &str) -> (u16, Vec<u8>) {
    let headers = [("Host", HOST), ("Attempt-Id", id), ("Deadline-Ms", "1000")];
    let request = http::request("POST", "/ack/1", &headers, b"an upload");
    let answer = http::call(to, &request, Duration::from_millis(1500));
    answer.map_or((0, Vec::new()), |answer| (answer.status(), answer.body))
}

/// Manifest of the operator, with the batch route or without it.
pub fn manifest(version: u64, has_batch: bool, max_queued_tokens: u64) -> String {
    let stream = "\"priority\":0,\"timeout_ms\":5000,\"target_latency_ms\":300,\"sticky\":true,\"gap_aim_ms\":400";
    let mut routes = vec![
        format!(
            "{{\"name\":\"ask\",\"host\":\"{HOST}\",\"path_prefix\":\"/ask/\",\"route_type\":\"streaming\",\
             \"resumable\":true,\"service\":\"lm\",\"max_attempts\":2,{stream}}}"
        ),
        format!(
            "{{\"name\":\"ack\",\"host\":\"{HOST}\",\"path_prefix\":\"/ack/\",\"route_type\":\"idempotent\",\
             \"service\":\"desk\",\"priority\":0,\"timeout_ms\":1000,\"target_latency_ms\":100,\"max_attempts\":2}}"
        ),
    ];
    if has_batch {
        routes.push(format!(
            "{{\"name\":\"sum\",\"host\":\"{HOST}\",\"path_prefix\":\"/sum/\",\"route_type\":\"batch\",\
             \"service\":\"lm\",\"priority\":2,\"timeout_ms\":15000,\"target_latency_ms\":500,\
             \"max_attempts\":3,\"result_deadline_ms\":18000,\"max_wait_s\":60,\
             \"max_queued_tokens\":{max_queued_tokens},\"sticky\":true,\"gap_aim_ms\":400}}"
        ));
    }
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"lm\",\"health_path\":\"/health\",\"max_conns\":360,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"hold_ms\":2000}}}},\
         {{\"name\":\"desk\",\"health_path\":\"/health\",\"max_conns\":100,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    )
}
