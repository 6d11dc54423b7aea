//! Calls about jobs between daemons of which one has an older manifest, or comes from
//! an earlier build.

use std::net::SocketAddr;
use std::time::Duration;

use bitterncart_coordination::fleet::{Batch, Kind, Manifest, Replica};
use bitterncart_testing::cases;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use smol::net::TcpStream;

use crate::batch::results;
use crate::harness::{Gateway, manifest, request, route, status, store, wait_until};
use crate::owner::{record_result, send_heartbeats_as_owner};
use crate::replica::{Action, OK_RESPONSE, ScriptedReplica};
use crate::store::{Fault, MemoryStore};

const EVENTS: &str = "signature: s\r\ncontent-type: text/event-stream\r\nconnection: close\r\n";
const COMPLETE: Action = Action::Respond(200, EVENTS, "id: 1\ndata: a\n\n");

/// Time beyond its give-up time after which an item is given up.
const GIVE_UP_MARGIN: Duration = Duration::from_secs(3);

/// Completes items, and answers all other requests at once.
fn script(head: &str) -> Vec<Action> {
    match head {
        _ if head.starts_with("POST /items/run ") => vec![COMPLETE, Action::Finish],
        _ => vec![OK_RESPONSE],
    }
}

/// Manifest with two more batch routes; one of them is split off an online route.
fn with_more_batch_routes(version: u64) -> Manifest {
    let mut manifest = manifest(version);
    manifest.routes.push(route("/more/", Kind::Batch, 3));
    manifest
        .routes
        .push(route("/idempotent/lots/", Kind::Batch, 3));
    manifest
}

/// Manifest in which a route is of another kind; without it if there is none.
fn with_route(version: u64, prefix: &str, kind: Option<Kind>) -> Manifest {
    let mut manifest = manifest(version);
    manifest.routes.retain(|route| route.prefix != prefix);
    manifest
        .routes
        .extend(kind.map(|kind| route(prefix, kind, 2)));
    manifest
}

/// Manifest with an online route without settings for batch jobs, off which a batch
/// route to the service `t` may be split.
fn split_to_another_service(version: u64, is_split: bool) -> Manifest {
    let mut manifest = manifest(version);
    let mut routes = manifest.routes.iter_mut();
    let online = routes.find(|route| route.prefix == "/idempotent/");
    online.expect("a route").batch = Batch::default();
    if is_split {
        let mut batch = route("/idempotent/lots/", Kind::Batch, 3);
        batch.backends[0].service = "t".into();
        manifest.routes.push(batch);
    }
    manifest
}

fn submit(path: &str, id: &str) -> String {
    request("POST", path, id, "one\n")
}

/// Daemon with its own view of the store.
struct Member {
    gateway: Gateway,
    view: MemoryStore,
}

impl Member {
    async fn start(store: &MemoryStore) -> Self {
        let view = store.separate_view();
        Self {
            gateway: Gateway::start(&view).await,
            view,
        }
    }

    async fn wait_for_manifest(&self, version: u64) {
        let has_version = || self.gateway.daemon.manifest_version() == Some(version);
        wait_until("the manifest", has_version).await;
    }
}

/// Two daemons that agree on the owner of the only shard, the owner first.
async fn owner_and_other(store: &MemoryStore) -> (Member, Member) {
    let (one, two) = (Member::start(store).await, Member::start(store).await);
    let is_owner = |member: &Member| member.gateway.daemon.is_serving(0);
    wait_until("an owner", || is_owner(&one) != is_owner(&two)).await;
    if is_owner(&one) {
        (one, two)
    } else {
        (two, one)
    }
}

/// Request lines that a replica got, but those of items.
fn online_requests(replica: &ScriptedReplica) -> Vec<String> {
    let heads = replica.requests().into_iter();
    heads
        .filter_map(|head| head.lines().next().map(str::to_owned))
        .filter(|line| !line.starts_with("POST /items/run "))
        .collect()
}

cases! {
    /// Guards against a job on a route that the owner does not know yet: it was refused
    /// with the owner's 404, or run by a replica of the route that had its path before.
    fn job_on_a_route_that_the_owner_does_not_know_is_accepted(path: &str) {
        smol::block_on(async {
            let replica = ScriptedReplica::start_with("r", script).await;
            let store = store(&[&replica]);
            let (owner, other) = owner_and_other(&store).await;
            owner.view.hold_manifests();
            store.publish_manifest(&with_more_batch_routes(2));
            other.wait_for_manifest(2).await;
            let response = other.gateway.fetch(&submit(path, "job")).await;
            assert_eq!(status(&response), 202, "{response}");
            assert_eq!(online_requests(&replica), Vec::<String>::new());
            assert_eq!(store.count_records("j/job"), 1);
        });
    }
    route_that_was_added("/more/");
    route_that_was_split_off("/idempotent/lots/");
}

/// Guards against a job that is refused with 413 as the owner has an older limit.
#[test]
fn job_beyond_the_older_limit_of_the_owner_is_accepted() {
    smol::block_on(async {
        let store = store(&[]);
        let (owner, other) = owner_and_other(&store).await;
        // Less than one call of the store takes.
        let mut manifest = manifest(2);
        manifest.limits.max_body = 1000;
        store.publish_manifest(&manifest);
        owner.wait_for_manifest(2).await;
        owner.view.hold_manifests();
        let body = "x".repeat(manifest.limits.max_body + 1);
        manifest.limits.max_body *= 2;
        manifest.version = 3;
        store.publish_manifest(&manifest);
        other.wait_for_manifest(3).await;
        let job = request("POST", "/items/", "job", &body);
        let response = other.gateway.fetch(&job).await;
        assert_eq!(status(&response), 202, "{response}");
    });
}

cases! {
    /// Guards against a job that the owner, which has a newer manifest, runs as an online
    /// request or refuses with 404 for a daemon that does not know that manifest yet.
    fn job_on_a_route_that_only_the_owner_knows_to_be_gone(kind: Option<Kind>, expected: u16) {
        smol::block_on(async {
            let replica = ScriptedReplica::start_with("r", script).await;
            let store = store(&[&replica]);
            let (owner, other) = owner_and_other(&store).await;
            other.view.hold_manifests();
            store.publish_manifest(&with_route(2, "/items/", kind));
            owner.wait_for_manifest(2).await;
            let response = other.gateway.fetch(&submit("/items/", "held")).await;
            assert_eq!(status(&response), 503, "{response}");
            assert_eq!(online_requests(&replica), Vec::<String>::new());
            let release = async {
                smol::Timer::after(Duration::from_millis(100)).await;
                other.view.release_manifests();
            };
            let job = submit("/items/", "job");
            let (response, ()) = future::zip(other.gateway.fetch(&job), release).await;
            assert_eq!(status(&response), expected, "{response}");
            assert_eq!(store.count_records("j/"), 0);
        });
    }
    route_that_was_removed(None, 404);
    route_that_is_online_now(Some(Kind::Idempotent), 200);
}

cases! {
    /// Guards against an owner that reads a job of a batch route which it does not know
    /// yet, and runs its items at the service that had the path before, or gives them up
    /// by the settings of that route.
    fn item_waits_until_its_owner_knows_the_route(has_replica: bool) {
        smol::block_on(async {
            let online = ScriptedReplica::start_with("online", script).await;
            let batch = ScriptedReplica::start_with("batch", script).await;
            let store = if has_replica { store(&[&online]) } else { store(&[]) };
            store.publish_replica(&Replica {
                service: "t".into(),
                ..batch.record()
            });
            let (owner, other) = owner_and_other(&store).await;
            store.publish_manifest(&split_to_another_service(2, false));
            owner.wait_for_manifest(2).await;
            owner.view.hold_manifests();
            store.publish_manifest(&split_to_another_service(3, true));
            other.wait_for_manifest(3).await;
            let job = submit("/idempotent/lots/", "job");
            let response = other.gateway.fetch(&job).await;
            assert_eq!(status(&response), 202, "{response}");
            smol::Timer::after(GIVE_UP_MARGIN + Duration::from_millis(1500)).await;
            assert_eq!(store.count_records("r/job"), 0);
            assert_eq!(online.requests(), Vec::<String>::new());
            owner.view.release_manifests();
            assert_eq!(results(&other.gateway, "job", 1).await, ["0 one a"]);
            assert_eq!(online.requests(), Vec::<String>::new());
        });
    }
    no_item_runs_by_an_online_route(true);
    no_item_is_given_up_by_an_online_route(false);
}

/// Time for which a daemon is suspended; another one takes its shards over meanwhile.
const FREEZE: Duration = Duration::from_secs(4);

cases! {
    /// Guards against an owner that has been suspended and answers from what it knew
    /// before, without a result that another owner recorded and a client has read.
    fn owner_that_was_suspended_answers_from_no_outdated_state(at_owner: bool) {
        smol::block_on(async {
            let store = store(&[]);
            let (owner, other) = owner_and_other(&store).await;
            let job = request("POST", "/items/", "job", "one\ntwo\n");
            assert_eq!(status(&owner.gateway.fetch(&job).await), 202);
            owner.gateway.freeze(FREEZE);
            let frozen_at = std::time::Instant::now();
            wait_until("the other owner", || other.gateway.daemon.is_serving(0)).await;
            record_result(&store, "job");
            assert_eq!(results(&other.gateway, "job", 1).await, ["0 one a"]);
            smol::Timer::at(frozen_at + FREEZE - Duration::from_millis(500)).await;
            store.set_fault(Fault::SlowReads(Duration::from_secs(20)));
            let member = if at_owner { &owner } else { &other };
            let read = request("GET", "/jobs/job", "r", "");
            while frozen_at.elapsed() < FREEZE + Duration::from_secs(3) {
                let response = member.gateway.fetch(&read).await;
                let is_outdated = status(&response) == 200 && !response.contains("0 one a");
                assert!(!is_outdated, "{response}");
                smol::Timer::after(Duration::from_millis(10)).await;
            }
        });
    }
    suspended_owner_is_asked_by_a_client(true);
    suspended_owner_is_asked_by_a_peer(false);
}

/// Sends bytes to the port for peers, and reads the response until the connection is
/// closed.
async fn fetch_as_peer(peer: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(peer).await.expect("a connection");
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut response = String::new();
    let read = stream.read_to_string(&mut response).await;
    read.expect("a response");
    response
}

cases! {
    /// A daemon of an earlier build forwards the call of the client as it is. It decides
    /// the call itself if it gets 503.
    fn call_of_an_earlier_build(method: &str, path: &str, body: &str, expected: u16) {
        smol::block_on(async {
            let replica = ScriptedReplica::start_with("r", script).await;
            let store = store(&[&replica]);
            let gateway = Gateway::start(&store).await;
            wait_until("the shard", || gateway.daemon.is_serving(0)).await;
            let call = format!(
                "{method} {path} HTTP/1.1\r\nhost: a.example\r\nattempt: job\r\n\
                 deadline: 3000\r\nwait: 0\r\nconnection: close\r\n\
                 content-length: {}\r\n\r\n{body}",
                body.len()
            );
            let response = fetch_as_peer(store.registered_daemons()[0], &call).await;
            assert_eq!(status(&response), expected, "{response}");
            assert_eq!(online_requests(&replica), Vec::<String>::new());
        });
    }
    earlier_build_submits_a_job("POST", "/items/", "one\n", 202);
    earlier_build_submits_a_job_on_a_route_that_is_online_here("POST", "/idempotent/a", "one\n", 503);
    earlier_build_submits_a_job_on_a_route_that_is_unknown_here("POST", "/more/", "one\n", 503);
    earlier_build_submits_a_job_beyond_the_limit_here(
        "POST", "/items/", &"x".repeat(2 << 20), 503
    );
    earlier_build_reads_a_job("GET", "/jobs/none", "", 404);
    earlier_build_cancels_a_job("DELETE", "/jobs/none", "", 404);
}

/// An owner of an earlier build does not know the call that submits a job for another
/// daemon, and answers it as a request without a host.
#[test]
fn owner_of_an_earlier_build_gets_no_job_as_a_request() {
    smol::block_on(async {
        let owner = ScriptedReplica::start_with("owner", |head| {
            let is_read = head.starts_with("GET /jobs/");
            vec![if is_read {
                Action::Respond(200, "content-length: 2\r\n", "ok")
            } else {
                Action::Respond(404, "content-length: 0\r\n", "")
            }]
        })
        .await;
        let store = store(&[]);
        let gateway = Gateway::start(&store).await;
        wait_until("the shard", || gateway.daemon.is_serving(0)).await;
        let _heartbeats = send_heartbeats_as_owner(&store, owner.address).await;
        wait_until("the other owner", || !gateway.daemon.is_serving(0)).await;
        let response = gateway.fetch(&submit("/items/", "job")).await;
        assert_eq!(status(&response), 202, "{response}");
        let response = gateway.fetch(&request("GET", "/jobs/job", "r", "")).await;
        assert!(response.ends_with("ok"), "{response}");
        let heads = owner.requests();
        assert!(
            heads[0].starts_with("POST /submit HTTP/1.1\r\n"),
            "{heads:?}"
        );
        assert!(!heads[0].contains("\r\nhost: "), "{heads:?}");
        assert!(heads[1].starts_with("GET /jobs/job "), "{heads:?}");
    });
}
