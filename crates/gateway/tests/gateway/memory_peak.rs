//! Peak of the memory of the process under many endless answers at once. Each measurement
//! is run alone; the replicas and clients of the test are part of the process.

use std::time::Duration;

use bitterncart_testing::memory;
use futures_lite::AsyncWriteExt;

use crate::harness::{Gateway, post, request, status, store, wait_until};
use crate::link::{Link, State};
use crate::replica::{Action, OK_RESPONSE, ScriptedReplica};
use crate::store::MemoryStore;

/// Endless answers, or bodies, at once.
const COUNT: usize = 48;

/// Memory of the process by its settings, in megabytes.
const SETTINGS: &str = r#""memory_mb": 130,"#;

/// Time for which bytes come.
const TIME: Duration = Duration::from_secs(4);

const UNFRAMED: Action = Action::Respond(200, "signature: s\r\n", "");

/// Replica whose answers to `/endless` and to items have no end.
async fn start(id: &str) -> ScriptedReplica {
    ScriptedReplica::start_with(id, |head| match head {
        _ if head.contains("/endless ") => vec![UNFRAMED, Action::SendForever("aaaaaaaa")],
        _ if head.starts_with("POST /items/run ") => vec![
            Action::Respond(200, "signature: s\r\n", "id: 1\ndata: a\n\nid: 2\ndata: "),
            Action::SendForever("aaaaaaaa"),
        ],
        _ => vec![OK_RESPONSE],
    })
    .await
}

async fn replicas() -> Vec<ScriptedReplica> {
    let mut replicas = Vec::new();
    for id in ["r1", "r2", "r3", "r4", "r5", "r6"] {
        replicas.push(start(id).await);
    }
    replicas
}

fn store_of(replicas: &[ScriptedReplica]) -> MemoryStore {
    store(&replicas.iter().collect::<Vec<_>>())
}

/// Sends endless calls and streams, and prints the peak.
async fn measure_answers(gateway: &Gateway, name: &str) {
    let before = memory::peak_mb();
    let mut streams = Vec::new();
    for n in 0..COUNT {
        let path = ["/once/endless", "/stream/endless", "/resumable/endless"][n % 3];
        streams.push(gateway.send(&post(path, &format!("e{n}"))).await);
    }
    smol::Timer::after(TIME).await;
    println!("{name}: {before} MB before, peak {} MB", memory::peak_mb());
}

#[test]
#[ignore = "a measurement"]
fn memory_peak_of_answers() {
    smol::block_on(async {
        let replicas = replicas().await;
        let gateway = Gateway::start_with(&store_of(&replicas), SETTINGS).await;
        wait_until("the daemon to be ready", || gateway.daemon.is_ready()).await;
        measure_answers(&gateway, "answers").await;
    });
}

#[test]
#[ignore = "a measurement"]
fn memory_peak_behind_a_relay() {
    smol::block_on(async {
        let replicas = replicas().await;
        let links: Vec<Link> = replicas.iter().map(Link::start).collect();
        let store = store_of(&replicas);
        let _relay = Gateway::start_with(&store, SETTINGS).await;
        let gateway = Gateway::start_with(&store.seen_over(&links), SETTINGS).await;
        wait_until("heartbeats", || gateway.daemon.live_peers() == 1).await;
        links.iter().for_each(|link| link.set(State::Silent));
        wait_until("a request to be served during the cut", || {
            let before = post("/idempotent/a", "before");
            status(&smol::block_on(gateway.fetch(&before))) == 200
        })
        .await;
        measure_answers(&gateway, "answers behind a relay, two daemons").await;
    });
}

#[test]
#[ignore = "a measurement"]
fn memory_peak_of_items() {
    smol::block_on(async {
        let replicas = replicas().await;
        let gateway = Gateway::start_with(&store_of(&replicas), SETTINGS).await;
        wait_until("the daemon to be ready", || gateway.daemon.is_ready()).await;
        let before = memory::peak_mb();
        let items: String = (0..COUNT).map(|n| format!("one{n}\n")).collect();
        let job = request("POST", "/items/", "job", &items);
        while status(&gateway.fetch(&job).await) != 202 {
            smol::Timer::after(Duration::from_millis(20)).await;
        }
        smol::Timer::after(TIME).await;
        println!("items: {before} MB before, peak {} MB", memory::peak_mb());
    });
}

#[test]
#[ignore = "a measurement"]
fn memory_peak_of_bodies() {
    smol::block_on(async {
        let replicas = replicas().await;
        let gateway = Gateway::start_with(&store_of(&replicas), SETTINGS).await;
        wait_until("the daemon to be ready", || gateway.daemon.is_ready()).await;
        let before = memory::peak_mb();
        let head = "POST /items/ HTTP/1.1\r\nhost: a.example\r\nattempt: id\r\n\
                    transfer-encoding: chunked\r\n\r\n";
        let chunk = format!("10000\r\n{}\r\n", "x".repeat(1 << 16));
        let mut clients = Vec::new();
        for _ in 0..COUNT {
            let mut stream = gateway.send(head).await;
            // Just below the limit of one body; a refusal may come before.
            for _ in 0..15 {
                let _sent = stream.write_all(chunk.as_bytes()).await;
            }
            clients.push(stream);
        }
        smol::Timer::after(TIME).await;
        println!(
            "bodies of jobs: {before} MB before, peak {} MB",
            memory::peak_mb()
        );
    });
}
