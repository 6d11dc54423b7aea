//! Client input over HTTP: malformed requests are refused with the matching status
//! and error code and reported as not run, and valid requests are answered.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::OnceLock;
use std::time::Duration;

use bitterncart_testing::cases;
use bitterncart_trial::Site;
use bitterncart_trial::client::{Caller, End};
use serde_json::{Value, json};

const SUNHAVEN: &str = include_str!("../../../examples/sunhaven.jsonc");
const KEY: &str = "trial-front-desk";

/// Read timeout of a connection.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

fn site() -> &'static Site {
    static SITE: OnceLock<Site> = OnceLock::new();
    SITE.get_or_init(|| Site::start(SUNHAVEN, 1).expect("the deployment starts"))
}

fn address() -> SocketAddr {
    site().callers()[0]
}

fn connect() -> TcpStream {
    let stream = TcpStream::connect(address()).expect("the daemon listens");
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("the read timeout can be set");
    stream
}

/// Sends raw bytes and returns the status and body of the response.
fn send_raw(bytes: &[u8]) -> (u16, String) {
    let mut stream = connect();
    // A server may refuse a request and close before it has read all bytes.
    stream.write_all(bytes).ok();
    read_response(&mut stream)
}

/// Reads until the connection closes. The status is 0 if there is no response.
fn read_response(stream: &mut TcpStream) -> (u16, String) {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).ok();
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or(0);
    let body = text
        .split_once("\r\n\r\n")
        .map(|(_, body)| body.to_owned())
        .unwrap_or_default();
    (status, body)
}

/// Request with a customer key that asks the server to close the connection.
fn request(head: &str, body: &str) -> Vec<u8> {
    format!("{head}\r\nhost: x\r\nauthorization: Bearer {KEY}\r\nconnection: close\r\n\r\n{body}")
        .into_bytes()
}

fn post_with_length(path: &str, body: &str) -> Vec<u8> {
    request(
        &format!("POST {path} HTTP/1.1\r\ncontent-length: {}", body.len()),
        body,
    )
}

fn completion_with_deadline(deadline: &str) -> Vec<u8> {
    let body = r#"{"model": "assistant", "prompt": "late"}"#;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nx-deadline-ms: {deadline}\r\ncontent-length: {}",
        body.len()
    );
    request(&head, body)
}

/// Code of an error body, which must state that the request was not run.
fn not_run_code(body: &str) -> u64 {
    let value: Value = serde_json::from_str(body).unwrap_or_default();
    assert_eq!(value["error"]["ran"], "not_run", "{body}");
    value["error"]["code"].as_u64().unwrap_or(0)
}

cases! {
    fn malformed_request_is_refused_as_not_run(bytes: Vec<u8>, status: u16, code: u64) {
        let (actual, body) = send_raw(&bytes);
        assert_eq!((actual, not_run_code(&body)), (status, code), "{body}");
    }
    non_http_bytes(b"\x16\x03\x01 not http\r\n\r\n".to_vec(), 400, 1001);
    head_too_large(request(&format!("GET /healthz HTTP/1.1\r\nx: {}", "y".repeat(20_000)), ""), 400, 1001);
    // All of it is read, so that no reset overtakes the response.
    head_without_end(format!("{:y<24576}", "GET /healthz HTTP/1.1\r\nx: ").into_bytes(), 431, 1009);
    content_length_and_transfer_encoding(request("POST /v1/completions HTTP/1.1\r\ncontent-length: 3\r\ntransfer-encoding: chunked", "0\r\n\r\n"), 400, 1001);
    conflicting_content_lengths(request("POST /v1/completions HTTP/1.1\r\ncontent-length: 3\r\ncontent-length: 4", "{}  "), 400, 1004);
    unknown_transfer_encoding(request("POST /v1/completions HTTP/1.1\r\ntransfer-encoding: xchunked", "0\r\n\r\n"), 400, 1004);
    malformed_json(post_with_length("/v1/completions", "{\"model\": "), 400, 1002);
    missing_prompt(post_with_length("/v1/completions", "{\"model\": \"assistant\"}"), 400, 1002);
    unknown_model(post_with_length("/v1/completions", "{\"model\": \"x\", \"prompt\": \"y\"}"), 404, 1101);
    too_many_tokens(post_with_length("/v1/completions", "{\"model\": \"assistant\", \"prompt\": \"y\", \"max_tokens\": 99999}"), 400, 1002);
    body_too_large(request("POST /v1/completions HTTP/1.1\r\ncontent-length: 99000000", ""), 413, 1003);
    unknown_path(request("GET /v2/models HTTP/1.1", ""), 404, 1006);
    wrong_method(request("DELETE /v1/models HTTP/1.1", ""), 405, 1007);
    unknown_service(post_with_length("/services/x/y", "{}"), 404, 1102);
    non_numeric_deadline(completion_with_deadline("soon"), 400, 1004);
    zero_deadline(completion_with_deadline("0"), 400, 1004);
    long_idempotency_key(request(&format!("POST /services/minutes/topups HTTP/1.1\r\nidempotency-key: {}\r\ncontent-length: 2", "k".repeat(300)), "{}"), 400, 1004);
    missing_api_key(b"GET /v1/models HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n".to_vec(), 401, 1201);
    item_without_required_fields(post_with_length("/v1/files", "{\"custom_id\": 3}\n"), 400, 1008);
    empty_file(post_with_length("/v1/files", "\n\n"), 400, 1008);
    unknown_job(request("GET /v1/batches/batch_00000000000000000000000000000000000 HTTP/1.1", ""), 404, 1006);
}

#[test]
fn slow_sender_is_refused_with_timeout() {
    let mut stream = connect();
    stream
        .write_all(b"POST /v1/completions HTTP/1.1\r\nhost:")
        .expect("the daemon reads");
    let (status, body) = read_response(&mut stream);
    assert_eq!((status, not_run_code(&body)), (408, 1005));
}

#[test]
fn truncated_body_is_refused() {
    let mut stream = connect();
    let bytes = request(
        "POST /v1/completions HTTP/1.1\r\ncontent-length: 100",
        "{\"model\"",
    );
    stream.write_all(&bytes).expect("the daemon reads");
    stream
        .shutdown(Shutdown::Write)
        .expect("the write half can be closed");
    let (status, body) = read_response(&mut stream);
    assert_eq!((status, not_run_code(&body)), (400, 1001));
}

#[test]
fn half_closed_connection_gets_its_response() {
    let mut stream = connect();
    let body = r#"{"model": "assistant", "prompt": "half closed", "max_tokens": 4}"#;
    stream
        .write_all(&post_with_length("/v1/completions", body))
        .expect("the daemon reads");
    stream
        .shutdown(Shutdown::Write)
        .expect("the write half can be closed");
    let (status, body) = read_response(&mut stream);
    let value: Value = serde_json::from_str(&body).expect("the response is JSON");
    let expected = bitterncart_standin::engine::completion_text("half closed", 4);
    assert_eq!(
        (status, value["choices"][0]["text"].as_str()),
        (200, Some(expected.as_str()))
    );
}

cases! {
    fn completion_returns_expected_text(path: &str, body: Value, prompt: &str, stream: bool) {
        let client = Caller::new(KEY.to_owned());
        let mut body = body;
        body["model"] = json!("assistant");
        body["max_tokens"] = json!(12);
        let end = smol::block_on(async {
            if stream {
                client.stream(address(), path, &body).await.0
            } else {
                client.complete(address(), path, &body).await
            }
        });
        assert_eq!(end, End::Whole(bitterncart_standin::engine::completion_text(prompt, 12)));
    }
    completion("/v1/completions", json!({"prompt": "a"}), "a", false);
    completion_stream("/v1/completions", json!({"prompt": "b"}), "b", true);
    chat("/v1/chat/completions", json!({"messages": [{"role": "user", "content": "c"}]}), "c", false);
    chat_stream("/v1/chat/completions", json!({"messages": [{"role": "user", "content": "d"}]}), "d", true);
}

#[test]
fn multipart_upload_creates_a_file() {
    let line = json!({
        "custom_id": "one", "method": "POST", "url": "/v1/completions",
        "body": {"model": "assistant", "prompt": "form", "max_tokens": 3},
    });
    let body = format!(
        "--b\r\ncontent-disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n--b\r\n\
         content-disposition: form-data; name=\"file\"; filename=\"in.jsonl\"\r\n\r\n{line}\n\r\n--b--\r\n"
    );
    let head = format!(
        "POST /v1/files HTTP/1.1\r\ncontent-type: multipart/form-data; boundary=b\r\ncontent-length: {}",
        body.len()
    );
    let (status, body) = send_raw(&request(&head, &body));
    let value: Value = serde_json::from_str(&body).expect("the response is JSON");
    assert_eq!(
        (status, value["object"].as_str()),
        (200, Some("file")),
        "{body}"
    );
}

#[test]
fn reused_idempotency_key_with_another_body_conflicts() {
    let client = Caller::new(KEY.to_owned());
    let post = |call: &str| {
        let body = json!({"call": call}).to_string();
        let sent =
            smol::block_on(client.post(address(), "/services/minutes/topups", Some("same"), body));
        sent.expect("the daemon responds")
    };
    assert_eq!(post("first").0, 200);
    assert_eq!(post("first").0, 200);
    let (status, body) = post("second");
    assert_eq!(
        (status, not_run_code(&String::from_utf8_lossy(&body))),
        (422, 1401)
    );
    assert_eq!(site().service_runs().get("first"), Some(&1));
    assert_eq!(site().service_runs().get("second"), None);
}
