//! Streams of replicas that run several versions of their software side by side.

use std::time::Duration;

use bitterncart_coordination::fleet::{Replica, Stage};
use bitterncart_gateway::store::Topic;

use crate::harness::{Gateway, WAIT_TIMEOUT, post, status, store, wait_until};
use crate::replica::{Action, ScriptedReplica, header};
use crate::store::MemoryStore;

const VERSIONS: [&str; 2] = ["1", "2"];

/// Breaks off each stream after its first event, or is silent after it if the request
/// asks for that, and completes streams that continue.
fn script(head: &str) -> Vec<Action> {
    const EVENTS: &str = "signature: s\r\ncontent-type: text/event-stream\r\nconnection: close\r\n";
    let continues = header(head, "last-event").is_some();
    let (body, end) = match header(head, "silent") {
        _ if continues => ("id: 2\ndata: b\n\n", Action::Close),
        Some(_) => ("id: 1\ndata: a\n\n", Action::AwaitDisconnect),
        None => ("id: 1\ndata: a\n\nid", Action::Close),
    };
    vec![Action::Respond(200, EVENTS, body), end]
}

/// Two replicas of each version, in one order.
async fn start_replicas() -> Vec<ScriptedReplica> {
    let mut replicas = Vec::new();
    for version in VERSIONS {
        for n in 0..2 {
            let id = format!("r{version}-{n}");
            let replica = ScriptedReplica::start_with(&id, script).await;
            replicas.push(replica.with_version(version));
        }
    }
    replicas
}

/// Versions at which a stream began and continued.
fn versions_of(replicas: &[ScriptedReplica], attempts: &[&str]) -> Vec<String> {
    let mut versions = Vec::new();
    for replica in replicas {
        for head in replica.requests() {
            let id = header(&head, "attempt").unwrap_or_default();
            if attempts.contains(&id.as_str()) {
                versions.push(replica.version().to_owned());
            }
        }
    }
    versions.sort_unstable();
    versions.dedup();
    versions
}

fn taken_up(id: &str, first: &str) -> String {
    let headers = format!("\r\nresumes: {first}\r\nlast-event: 1\r\n");
    post("/resumable/a", id).replacen("\r\n", &headers, 1)
}

/// Begins a stream, and leaves after its first event.
async fn begin(gateway: &Gateway, id: &str) {
    let request = post("/resumable/a", id).replacen("\r\n", "\r\nsilent: 1\r\n", 1);
    gateway.fetch_until(&request, "data: a").await;
}

/// Store with replicas of one version, which a daemon recorded long before.
fn store_of_one_version(replicas: &[ScriptedReplica]) -> MemoryStore {
    let store = store(&replicas.iter().collect::<Vec<_>>());
    let version = replicas[0].version();
    store.put(Topic::Members, &format!("version/s\u{1f}{version}"), "1");
    store
}

/// Waits until a daemon knows that there has been one version.
async fn wait_for_one_version(gateway: &Gateway) {
    let is_served = || {
        let response = smol::block_on(gateway.fetch(&taken_up("other", "unknown")));
        status(&response) == 200
    };
    wait_until("a stream without a record to go on", is_served).await;
}

async fn start_gateways(store: &MemoryStore, count: usize) -> Vec<Gateway> {
    let mut gateways = Vec::new();
    for _ in 0..count {
        gateways.push(Gateway::start(store).await);
    }
    for gateway in &gateways {
        wait_until("heartbeats", || gateway.daemon.live_peers() == count - 1).await;
    }
    gateways
}

/// Guards against a stream whose replica breaks off and that the daemon continues, in
/// the same answer, at a replica of another software version.
#[test]
fn broken_stream_continues_at_the_version_that_began_it() {
    smol::block_on(async {
        let replicas = start_replicas().await;
        let store = store(&replicas.iter().collect::<Vec<_>>());
        let gateway = Gateway::start(&store).await;
        for n in 0..12 {
            let id = format!("stream{n}");
            let response = gateway.fetch(&post("/resumable/a", &id)).await;
            assert!(response.contains("data: b"), "{response}");
            assert_eq!(versions_of(&replicas, &[&id]).len(), 1);
        }
    });
}

/// Guards against a stream that its client takes up at another daemon, which does not
/// know the software version that began it.
#[test]
fn stream_that_is_taken_up_continues_at_the_version_that_began_it() {
    smol::block_on(async {
        let replicas = start_replicas().await;
        let store = store(&replicas.iter().collect::<Vec<_>>());
        let gateways = start_gateways(&store, 3).await;
        for n in 0..12 {
            let (first, second) = (format!("first{n}"), format!("second{n}"));
            begin(&gateways[n % 3], &first).await;
            let response = gateways[(n + 1) % 3]
                .fetch(&taken_up(&second, &first))
                .await;
            assert_eq!(status(&response), 200, "{response}");
            assert_eq!(versions_of(&replicas, &[&first, &second]).len(), 1);
        }
    });
}

/// The daemon that began the stream is killed before the client comes back.
#[test]
fn stream_continues_when_the_daemon_that_began_it_is_gone() {
    smol::block_on(async {
        let replicas = start_replicas().await;
        let store = store(&replicas.iter().collect::<Vec<_>>());
        let mut gateways = start_gateways(&store, 3).await;
        for n in 0..6 {
            begin(&gateways[0], &format!("first{n}")).await;
        }
        drop(gateways.remove(0));
        for n in 0..6 {
            let (first, second) = (format!("first{n}"), format!("second{n}"));
            let response = gateways[n % 2].fetch(&taken_up(&second, &first)).await;
            assert_eq!(status(&response), 200, "{response}");
            assert_eq!(versions_of(&replicas, &[&first, &second]).len(), 1);
        }
    });
}

/// Number of requests that the replicas have received.
fn received(replicas: &[ScriptedReplica]) -> usize {
    replicas.iter().map(|r| r.requests().len()).sum()
}

/// The answer says that it has not run, and to begin anew; new streams begin.
async fn assert_not_resumable(gateway: &Gateway, replicas: &[ScriptedReplica], request: &str) {
    let before = received(replicas);
    let response = gateway.fetch(request).await;
    assert_eq!(status(&response), 503, "{response}");
    assert!(response.contains("stream_not_resumable"), "{response}");
    assert_eq!(received(replicas), before);
    begin(gateway, "new").await;
}

#[test]
fn stream_that_nobody_knows_is_refused() {
    smol::block_on(async {
        let replicas = start_replicas().await;
        let store = store(&replicas.iter().collect::<Vec<_>>());
        let gateway = Gateway::start(&store).await;
        let request = taken_up("second", "first");
        assert_not_resumable(&gateway, &replicas, &request).await;
    });
}

/// A release has gone through.
#[test]
fn stream_without_a_replica_of_its_version_is_refused() {
    smol::block_on(async {
        let replicas = start_replicas().await;
        let (old, new) = replicas.split_at(2);
        let store = store(&old.iter().collect::<Vec<_>>());
        let gateway = Gateway::start(&store).await;
        begin(&gateway, "first").await;
        let request = taken_up("second", "first");
        for replica in old {
            store.publish_replica(&Replica {
                stage: Stage::Draining,
                ..replica.record()
            });
        }
        for replica in new {
            store.publish_replica(&replica.record());
        }
        let deadline = std::time::Instant::now() + WAIT_TIMEOUT;
        while received(new) == 0 {
            assert!(
                std::time::Instant::now() < deadline,
                "no new replica is used"
            );
            gateway.fetch(&post("/stream/a", "probe")).await;
            smol::Timer::after(Duration::from_millis(20)).await;
        }
        assert_not_resumable(&gateway, &replicas, &request).await;
    });
}

/// Guards against clients that take up a stream after a loss of all daemons and are
/// refused, though the service has had one version all along.
#[test]
fn stream_continues_after_a_loss_of_all_daemons() {
    smol::block_on(async {
        let replicas = start_replicas().await;
        let store = store_of_one_version(&replicas[..2]);
        let gateway = Gateway::start(&store).await;
        wait_until("the daemon to be registered", || {
            store.count_records("127.") == 1
        })
        .await;
        let is_served = || {
            let response = smol::block_on(gateway.fetch(&taken_up("second", "first")));
            status(&response) == 200
        };
        let started = std::time::Instant::now();
        wait_until("the stream to go on", is_served).await;
        assert!(
            started.elapsed() < Duration::from_secs(4),
            "less than two timeouts"
        );
    });
}

/// Daemons record the versions of the list, each once.
#[test]
fn versions_are_recorded_once() {
    smol::block_on(async {
        let replicas = start_replicas().await;
        let store = store(&replicas.iter().collect::<Vec<_>>());
        let _gateways = start_gateways(&store, 3).await;
        wait_until("the records", || store.count_records("version/") >= 2).await;
        smol::Timer::after(Duration::from_millis(1500)).await;
        assert_eq!(store.count_records("version/"), 2);
    });
}

/// Guards against a daemon that takes the only version it has seen for that of a stream,
/// while replicas of another one have joined and its list is from before.
#[test]
fn stream_of_a_version_that_joined_unseen_is_refused() {
    smol::block_on(async {
        let replicas = start_replicas().await;
        let (old, new) = replicas.split_at(2);
        let store = store_of_one_version(old);
        let gateway = Gateway::start(&store).await;
        wait_for_one_version(&gateway).await;
        store.hold_list(true);
        wait_until("a read", || store.held() == 1).await;
        for replica in new {
            store.publish_replica(&replica.record());
        }
        let request = taken_up("second", "first");
        assert_not_resumable(&gateway, &replicas, &request).await;
    });
}

/// Guards against a daemon that was suspended during a read of the list, and takes what
/// it reads then for what is listed now.
#[test]
fn stream_of_a_version_that_joined_in_a_suspension_is_refused() {
    smol::block_on(async {
        let replicas = start_replicas().await;
        let (old, new) = replicas.split_at(2);
        let store = store_of_one_version(old);
        let gateway = Gateway::start(&store).await;
        wait_for_one_version(&gateway).await;
        store.hold_list(true);
        wait_until("a read", || store.held() == 1).await;
        for replica in new {
            store.publish_replica(&replica.record());
        }
        smol::Timer::after(Duration::from_millis(2500)).await;
        store.hold_list(false);
        wait_until("the old answer", || store.held() == 0).await;
        let request = taken_up("second", "first");
        assert_not_resumable(&gateway, &replicas, &request).await;
    });
}

/// Guards against a stream that began while its service had one version, and is refused
/// as the daemon that began it has told nobody.
#[test]
fn stream_continues_when_another_version_joined_meanwhile() {
    smol::block_on(async {
        let replicas = start_replicas().await;
        let (old, new) = replicas.split_at(2);
        let store = store_of_one_version(old);
        let mut gateways = start_gateways(&store, 3).await;
        for gateway in &gateways {
            wait_for_one_version(gateway).await;
        }
        for n in 0..6 {
            begin(&gateways[0], &format!("first{n}")).await;
        }
        drop(gateways.remove(0));
        for replica in new {
            store.publish_replica(&replica.record());
        }
        wait_until("the records", || store.count_records("version/") >= 2).await;
        for n in 0..6 {
            let (first, second) = (format!("first{n}"), format!("second{n}"));
            let response = gateways[n % 2].fetch(&taken_up(&second, &first)).await;
            assert_eq!(status(&response), 200, "{response}");
            assert_eq!(versions_of(&replicas, &[&first, &second]).len(), 1);
        }
    });
}

/// Guards against a catalog that is not written as the store turns away the daemon that
/// would write it.
#[test]
fn versions_are_recorded_when_the_store_turns_a_daemon_away() {
    smol::block_on(async {
        let replicas = start_replicas().await;
        let store = store_of_one_version(&replicas[..2]);
        let handles = [store.handle(), store.handle()];
        let gateways = [
            Gateway::start(&handles[0]).await,
            Gateway::start(&handles[1]).await,
        ];
        for gateway in &gateways {
            wait_until("heartbeats", || gateway.daemon.live_peers() == 1).await;
        }
        for (n, handle) in handles.iter().enumerate() {
            handle.turn_away(true);
            smol::Timer::after(Duration::from_millis(800)).await;
            // Each of the two daemons would write some of them.
            let versions: Vec<String> = (0..6).map(|m| format!("new{n}-{m}")).collect();
            for version in &versions {
                store.publish_replica(&Replica {
                    id: version.as_str().into(),
                    version: Some(version.as_str().into()),
                    ..replicas[2].record()
                });
            }
            let is_recorded = |version: &String| {
                let key = format!("version/s\u{1f}{version}");
                store.count_records(&key) >= 1
            };
            wait_until("the records", || versions.iter().all(is_recorded)).await;
            handle.turn_away(false);
            smol::Timer::after(Duration::from_millis(800)).await;
        }
    });
}

/// The store serves no daemon: nobody can be listed, and streams without a record go on.
#[test]
fn stream_continues_in_an_outage_of_the_store() {
    smol::block_on(async {
        let replicas = start_replicas().await;
        let store = store_of_one_version(&replicas[..2]);
        let gateways = start_gateways(&store, 3).await;
        for gateway in &gateways {
            wait_for_one_version(gateway).await;
        }
        store.turn_away(true);
        // The list of all daemons is out of date.
        smol::Timer::after(Duration::from_millis(3000)).await;
        for (n, gateway) in gateways.iter().enumerate() {
            let second = format!("second{n}");
            let response = gateway.fetch(&taken_up(&second, "unknown")).await;
            assert_eq!(status(&response), 200, "{response}");
        }
    });
}

/// Guards against a daemon that the store serves, and that takes an outage of all others
/// for one of its own: its list may be read, and is not.
#[test]
fn outage_of_other_daemons_makes_no_list_current() {
    smol::block_on(async {
        let replicas = start_replicas().await;
        let (old, new) = replicas.split_at(2);
        let store = store_of_one_version(old);
        let handles = [store.handle(), store.handle()];
        let gateways = [
            Gateway::start(&handles[0]).await,
            Gateway::start(&handles[1]).await,
        ];
        for gateway in &gateways {
            wait_until("heartbeats", || gateway.daemon.live_peers() == 1).await;
        }
        wait_for_one_version(&gateways[0]).await;
        handles[1].turn_away(true);
        smol::Timer::after(Duration::from_millis(3000)).await;
        store.hold_list(true);
        wait_until("a read", || store.held() >= 1).await;
        for replica in new {
            store.publish_replica(&replica.record());
        }
        let request = taken_up("second", "first");
        assert_not_resumable(&gateways[0], &replicas, &request).await;
    });
}

/// Guards against a daemon that has just started and does not know a version that came
/// and left before anyone recorded it.
#[test]
fn stream_of_a_version_that_came_and_left_is_refused() {
    smol::block_on(async {
        let replicas = start_replicas().await;
        let (old, new) = replicas.split_at(2);
        let store = store_of_one_version(old);
        for replica in new {
            store.publish_replica(&replica.record());
            store.put(Topic::Replicas, &replica.record().id, "");
        }
        let gateway = Gateway::start(&store).await;
        smol::Timer::after(Duration::from_millis(1500)).await;
        let request = taken_up("second", "first");
        assert_not_resumable(&gateway, &replicas, &request).await;
    });
}
