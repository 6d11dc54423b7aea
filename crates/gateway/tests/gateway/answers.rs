//! Answers whose end is not stated, and bytes that never end.

use std::time::{Duration, Instant};

use bitterncart_testing::cases;

use crate::batch::results;
use crate::harness::{Gateway, looks_complete, post, request, sized, status, store, wait_until};
use crate::replica::{Action, RESERVED, ScriptedReplica};

/// Head of an answer that ends with its connection.
const UNFRAMED: Action = Action::Respond(200, "signature: s\r\n", "");
const CHUNKED: Action = Action::Respond(200, "signature: s\r\ntransfer-encoding: chunked\r\n", "");

/// Most bytes of one endless answer that are taken, with those in socket buffers.
const MAX_TAKEN_BYTES: usize = 24 << 20;

/// Requests that are sent while an endless answer comes.
const MEANWHILE: usize = 20;

cases! {
    /// The end of the connection is the end of the answer, if it is not inside an
    /// event and no reset.
    fn unframed_answer(path: &str, rest: &[Action], expected_complete: bool) {
        smol::block_on(async {
            let head = if path == "/chunked/a" { CHUNKED } else { UNFRAMED };
            let script = [&[head], rest].concat();
            let replica = ScriptedReplica::start("r", vec![script]).await;
            let gateway = Gateway::start(&store(&[&replica])).await;
            let path = path.replace("chunked", "stream");
            let response = gateway.fetch(&post(&path, "id")).await;
            assert_eq!(looks_complete(&response), expected_complete, "{response}");
        });
    }
    unframed_call_is_whole("/once/a", &[Action::Send("ok".into()), Action::Close], true);
    unframed_call_that_is_reset_is_not(
        "/once/a",
        &[Action::Send("ok".into()), Action::Wait(Duration::from_millis(50)), Action::Reset],
        false
    );
    unframed_stream_is_whole(
        "/stream/a",
        &[Action::Send("id: 1\ndata: a\n\n".into()), Action::Close],
        true
    );
    unframed_stream_that_ends_inside_an_event_is_not(
        "/stream/a",
        &[Action::Send("id: 1\ndata: a\n\nid: 2\nda".into()), Action::Close],
        false
    );
    unframed_stream_that_is_reset_is_not(
        "/stream/a",
        &[
            Action::Send("id: 1\ndata: a\n\n".into()),
            Action::Wait(Duration::from_millis(50)),
            Action::Reset
        ],
        false
    );
    unframed_stream_without_an_event_is_not("/stream/a", &[Action::Close], false);
    framed_stream_without_an_event_is_whole(
        "/chunked/a",
        &[Action::Send("0\r\n\r\n".into()), Action::Close],
        true
    );
}

const ENDLESS_HEAD: [Action; 2] = [
    Action::Respond(200, "signature: s\r\nx: ", ""),
    Action::SendForever("aaaaaaaa"),
];

/// Heads of interim answers, which the HTTP library skips.
const INTERIM_HEADS: Action = Action::SendForever("HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n");

fn endless_body(head: Action) -> Vec<Action> {
    vec![head, Action::SendForever("aaaaaaaa")]
}

fn after_reservation(head: &str, answer: Vec<Action>) -> Vec<Action> {
    if head.starts_with("POST /reserve ") {
        vec![RESERVED]
    } else {
        answer
    }
}

cases! {
    /// The connection is closed within the time of the request, after bounded bytes,
    /// and the caller learns that there is no answer.
    fn endless_answer_ends(request: String, script: fn(&str) -> Vec<Action>) {
        smol::block_on(async {
            let replica = ScriptedReplica::start_with("r", script).await;
            let gateway = Gateway::start(&store(&[&replica])).await;
            let started = Instant::now();
            let response = gateway.fetch(&request).await;
            assert!(!looks_complete(&response), "{response}");
            assert!(started.elapsed() < Duration::from_millis(4500));
            wait_until("the end of the connection", || replica.disconnects() > 0).await;
            let taken = replica.endless_bytes();
            assert!(taken <= MAX_TAKEN_BYTES, "{taken} bytes");
        });
    }
    endless_head_of_a_call(post("/once/a", "id"), |_| ENDLESS_HEAD.to_vec());
    endless_head_of_a_stream(post("/stream/a", "id"), |_| ENDLESS_HEAD.to_vec());
    endless_lines_of_a_head(post("/once/a", "id"), |_| vec![
        Action::Respond(200, "signature: s\r\n", ""),
        Action::SendForever("x: y\r\n")
    ]);
    endless_interim_heads_of_a_call(post("/once/a", "id"), |_| vec![INTERIM_HEADS]);
    endless_interim_heads_of_a_stream(post("/stream/a", "id"), |_| vec![INTERIM_HEADS]);
    endless_interim_heads_after_a_reservation(
        sized("/once/a", "id"),
        |head| after_reservation(head, vec![INTERIM_HEADS])
    );
    endless_body_of_a_call(post("/once/a", "id"), |_| endless_body(UNFRAMED));
    endless_body_of_a_stream(post("/stream/a", "id"), |_| endless_body(UNFRAMED));
    endless_head_after_a_reservation(
        sized("/once/a", "id"),
        |head| after_reservation(head, ENDLESS_HEAD.to_vec())
    );
    endless_body_after_a_reservation(
        sized("/once/a", "id"),
        |head| after_reservation(head, endless_body(UNFRAMED))
    );
}

cases! {
    /// A reservation that never ends counts as unreachable; the bytes are bounded.
    fn endless_reservation_ends(script: fn(&str) -> Vec<Action>) {
        smol::block_on(async {
            let replica = ScriptedReplica::start_with("r", script).await;
            let gateway = Gateway::start(&store(&[&replica])).await;
            gateway.fetch(&sized("/once/a", "id")).await;
            let ended = replica.disconnects();
            assert!(ended > 0, "the connection stays open");
            let taken = replica.endless_bytes() / ended;
            assert!(taken <= MAX_RESERVATION_BYTES, "{taken} bytes");
        });
    }
    endless_head_of_a_reservation(|_| ENDLESS_HEAD.to_vec());
    endless_interim_heads_of_a_reservation(|_| vec![INTERIM_HEADS]);
    endless_body_of_a_reservation(|_| endless_body(Action::Respond(200, "", "")));
}

/// Guards against a daemon that does nothing else while the heads of one answer come.
#[test]
fn other_requests_are_answered_while_interim_heads_come() {
    smol::block_on(async {
        let replica = ScriptedReplica::start_with("r", |head| match head {
            _ if head.contains("/endless ") => vec![INTERIM_HEADS],
            _ => vec![Action::Respond(
                200,
                "signature: s\r\ncontent-length: 2\r\n",
                "ok",
            )],
        });
        let replica = replica.await;
        let gateway = Gateway::start(&store(&[&replica])).await;
        let _endless = gateway.send(&post("/once/endless", "e")).await;
        wait_until("the endless heads", || replica.endless_bytes() > 0).await;
        for n in 0..MEANWHILE {
            let started = Instant::now();
            let response = gateway.fetch(&post("/once/a", &format!("id{n}"))).await;
            assert_eq!(status(&response), 200, "request {n}: {response}");
            let took = started.elapsed();
            assert!(took < Duration::from_secs(1), "request {n}: {took:?}");
        }
        wait_until("the end of the connection", || replica.disconnects() > 0).await;
    });
}

/// Guards against an item whose attempt holds its daemon for as long as heads come.
#[test]
fn item_whose_heads_never_end_runs_again() {
    smol::block_on(async {
        let complete = Action::Respond(
            200,
            "signature: s\r\nconnection: close\r\n",
            "id: 1\ndata: a\n\n",
        );
        let scripts = vec![vec![INTERIM_HEADS], vec![complete, Action::Finish]];
        let replica = ScriptedReplica::start("r", scripts).await;
        let gateway = Gateway::start(&store(&[&replica])).await;
        let job = request("POST", "/items/", "job", "one\n");
        assert_eq!(status(&gateway.fetch(&job).await), 202);
        assert_eq!(results(&gateway, "job", 1).await, ["0 one a"]);
        assert_eq!(replica.disconnects(), 1);
    });
}

/// Most bytes of one endless answer to a reservation, with those in socket buffers.
const MAX_RESERVATION_BYTES: usize = 8 << 20;
