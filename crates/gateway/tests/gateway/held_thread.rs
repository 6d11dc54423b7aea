//! Longest time for which endless bytes hold the thread of a daemon. The tests print it.

use std::time::Duration;

use bitterncart_testing::cases;
use futures_lite::{AsyncWriteExt, future};

use crate::harness::{Gateway, WAIT_TIMEOUT, post, status, store, wait_until};
use crate::link::{Link, State};
use crate::replica::{Action, OK_RESPONSE, ScriptedReplica};

/// Time for which bytes come.
const TIME: Duration = Duration::from_millis(1500);

/// Time for which a thread is held that serves one source of bytes at least.
const MAX_HELD_MS: u64 = TIME.as_millis() as u64 / 2;

const CHUNKED: Action = Action::Respond(200, "signature: s\r\ntransfer-encoding: chunked\r\n", "");

/// Time in which the daemon's timers have a turn again.
const TIMER_INTERVAL: Duration = Duration::from_millis(100);

/// Longest delay of a timer of a daemon so far, in milliseconds. A thread that is still
/// held has recorded nothing, so it must have a turn first.
async fn held_ms(gateway: &Gateway) -> u64 {
    let turn = async {
        gateway.processor_time().await;
        smol::Timer::after(TIMER_INTERVAL).await;
        true
    };
    let timer = async {
        smol::Timer::after(WAIT_TIMEOUT).await;
        false
    };
    assert!(future::or(turn, timer).await, "the thread is still held");
    let text = gateway.daemon.metrics_text();
    let name = "bitterncart_scheduling_delay_max_ms ";
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|ms| ms.parse().ok()).expect("the metric")
}

/// Replica that answers `/once/endless` with endless bytes.
async fn start(begun: Vec<Action>, endless: &'static str) -> ScriptedReplica {
    ScriptedReplica::start_with("r", move |head| match head {
        _ if head.contains("/endless ") => {
            let endless = Action::SendForever(endless);
            [&begun[..], &[endless]].concat()
        }
        _ => vec![OK_RESPONSE],
    })
    .await
}

cases! {
    /// Guards against a daemon that answers nothing while the bytes of a replica come.
    fn held_by_a_replica(begun: Vec<Action>, endless: &'static str) {
        smol::block_on(async {
            let replica = start(begun, endless).await;
            let gateway = Gateway::start(&store(&[&replica])).await;
            let before = held_ms(&gateway).await;
            let _streams = [
                gateway.send(&post("/once/endless", "e1")).await,
                gateway.send(&post("/stream/endless", "e2")).await,
                gateway.send(&post("/idempotent/endless", "e3")).await,
            ];
            smol::Timer::after(TIME).await;
            let held = held_ms(&gateway).await;
            println!("held for {held} ms ({before} ms before), {} bytes", replica.endless_bytes());
            assert!(held <= MAX_HELD_MS, "{held} ms");
        });
    }
    interim_heads(Vec::new(), "HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n");
    lines_of_a_head(vec![Action::Respond(200, "signature: s\r\n", "")], "x: y\r\n");
    one_line_of_a_head(vec![Action::Respond(200, "signature: s\r\nx: ", "")], "aaaaaaaa");
    chunks_of_one_byte(vec![CHUNKED], "1\r\na\r\n");
    line_feeds_in_chunks(vec![CHUNKED], "8\r\n\n\n\n\n\n\n\n\n\r\n");
    chunk_extension(vec![CHUNKED, Action::Send("1;".into())], "aaaaaaaa");
    size_of_a_chunk(vec![CHUNKED], "00000000");
    trailers(vec![CHUNKED, Action::Send("0\r\n".into())], "x: y\r\n");
    body_without_a_length(vec![Action::Respond(200, "signature: s\r\n", "")], "\n\n\n\n");
}

cases! {
    /// See [`held_by_a_replica`]; one daemon relays the bytes to another.
    fn held_behind_a_relay(begun: Vec<Action>, endless: &'static str) {
        smol::block_on(async {
            let replica = start(begun, endless).await;
            let links = [Link::start(&replica)];
            let store = store(&[&replica]);
            let relay = Gateway::start(&store).await;
            let gateway = Gateway::start(&store.seen_over(&links)).await;
            wait_until("heartbeats", || gateway.daemon.live_peers() == 1).await;
            links[0].set(State::Silent);
            wait_until("a request to be served during the cut", || {
                let before = post("/idempotent/a", "before");
                status(&smol::block_on(gateway.fetch(&before))) == 200
            })
            .await;
            let _streams = [
                gateway.send(&post("/once/endless", "e1")).await,
                gateway.send(&post("/stream/endless", "e2")).await,
            ];
            smol::Timer::after(TIME).await;
            let held = [held_ms(&gateway).await, held_ms(&relay).await];
            println!("held for {held:?} ms, {} bytes", replica.endless_bytes());
            assert!(held.iter().all(|held| *held <= MAX_HELD_MS), "{held:?} ms");
        });
    }
    relayed_interim_heads(Vec::new(), "HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n");
    relayed_chunks_of_one_byte(vec![CHUNKED], "1\r\na\r\n");
    relayed_line_feeds(vec![CHUNKED], "8\r\n\n\n\n\n\n\n\n\n\r\n");
    relayed_trailers(vec![CHUNKED, Action::Send("0\r\n".into())], "x: y\r\n");
}

cases! {
    /// See [`held_by_a_replica`]; the bytes come from a client.
    fn held_by_a_client(begun: &str, endless: &str) {
        smol::block_on(async {
            let replica = ScriptedReplica::start("r", vec![vec![OK_RESPONSE]]).await;
            let gateway = Gateway::start(&store(&[&replica])).await;
            let mut stream = gateway.send(begun).await;
            let bytes = endless.repeat(65_536 / endless.len());
            let write = async {
                while stream.write_all(bytes.as_bytes()).await.is_ok() {}
                smol::Timer::after(TIME).await;
            };
            let timer = async {
                smol::Timer::after(TIME).await;
            };
            future::or(write, timer).await;
            let held = held_ms(&gateway).await;
            println!("held for {held} ms");
            assert!(held <= MAX_HELD_MS, "{held} ms");
        });
    }
    client_head("POST /once/a HTTP/1.1\r\nhost: a.example\r\n", "x: y\r\n");
    client_line("POST /once/a HTTP/1.1\r\nhost: a.example\r\nx: ", "aaaaaaaa");
    client_empty_lines("", "\r\n");
    client_chunks(
        "POST /once/a HTTP/1.1\r\nhost: a.example\r\ntransfer-encoding: chunked\r\n\r\n",
        "1\r\na\r\n"
    );
    client_chunk_extension(
        "POST /once/a HTTP/1.1\r\nhost: a.example\r\ntransfer-encoding: chunked\r\n\r\n1;",
        "aaaaaaaa"
    );
    client_trailers(
        "POST /once/a HTTP/1.1\r\nhost: a.example\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
        "x: y\r\n"
    );
    client_requests("", "GET /ready HTTP/1.1\r\nhost: a.example\r\n\r\n");
}
