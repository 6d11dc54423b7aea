//! Requests of customers with keys.

use std::time::Duration;

use bitterncart_coordination::fleet::{Customer, Customers, Kind, Manifest};
use bitterncart_gateway::store::Topic;
use bitterncart_testing::cases;
use futures_lite::{AsyncReadExt, AsyncWriteExt};

use crate::harness::{Gateway, manifest, post, request, status, wait_until};
use crate::owner::send_heartbeats_as_owner;
use crate::replica::{Action, OK_RESPONSE, ScriptedReplica, header};
use crate::store::MemoryStore;

/// Settings with a bound on the age of the manifest.
const MAX_AGE: &str = r#""max_manifest_age_ms": 3000,"#;

const EVENTS: &str = "signature: s\r\ncontent-type: text/event-stream\r\nconnection: close\r\n";
const COMPLETE: Action = Action::Respond(200, EVENTS, "id: 1\ndata: a\n\n");

fn customer(name: &str) -> Customer {
    Customer {
        name: name.into(),
        priority: None,
        quota: None,
    }
}

/// Manifest with customers, each with its keys.
fn manifest_of(version: u64, customers: &[(&str, &[&str])]) -> Manifest {
    let mut table = Customers::default();
    for (name, keys) in customers {
        let keys = keys.iter().copied();
        table.insert(customer(name), keys).expect("distinct keys");
    }
    let mut manifest = manifest(version);
    let once = manifest.routes.iter_mut().find(|r| r.prefix == "/once/");
    once.expect("a route").is_public = true;
    manifest.customers = Some(table);
    manifest
}

const CUSTOMERS: &[(&str, &[&str])] = &[("acme", &["k1", "k2"]), ("initech", &["k3"])];

fn script(head: &str) -> Vec<Action> {
    match head {
        _ if head.starts_with("POST /items/run ") => vec![COMPLETE, Action::Finish],
        _ => vec![OK_RESPONSE],
    }
}

async fn store_of(replica: &ScriptedReplica) -> MemoryStore {
    let store = MemoryStore::default();
    store.publish_manifest(&manifest_of(1, CUSTOMERS));
    store.publish_replica(&replica.record());
    store
}

/// Adds a header to a request.
fn with(request: &str, line: &str) -> String {
    request.replacen("\r\n", &format!("\r\n{line}\r\n"), 1)
}

fn keyed(path: &str, id: &str, key: &str) -> String {
    with(&post(path, id), &format!("caller: key {key}"))
}

/// Guards against keys that reach a replica and customers' names that a client chose.
#[test]
fn replica_gets_the_customer_and_no_key() {
    smol::block_on(async {
        let replica = ScriptedReplica::start_with("r1", script).await;
        let gateway = Gateway::start(&store_of(&replica).await).await;
        let forged = with(&keyed("/idempotent/a", "id0", "k2"), "customer: initech");
        assert_eq!(status(&gateway.fetch(&forged).await), 200);
        let head = replica.requests().pop().expect("a request");
        assert_eq!(header(&head, "customer").as_deref(), Some("acme"));
        assert_eq!(header(&head, "caller"), None);
    });
}

cases! {
    /// Guards against requests that run without a known key, and public ones that need one.
    fn answer_without_a_known_key(path: &str, line: &str, expected: u16) {
        smol::block_on(async {
            let replica = ScriptedReplica::start_with("r1", script).await;
            let gateway = Gateway::start(&store_of(&replica).await).await;
            let request = with(&post(path, "id0"), line);
            assert_eq!(status(&gateway.fetch(&request).await), expected);
            assert_eq!(replica.requests().len(), usize::from(expected == 200));
            for head in replica.requests() {
                assert_eq!(header(&head, "customer"), None);
                assert!(!head.contains("key k"), "{head}");
            }
        });
    }
    unknown_key_is_refused("/idempotent/a", "caller: key k9", 401);
    missing_key_is_refused("/idempotent/a", "x: y", 401);
    other_credentials_are_refused("/idempotent/a", "caller: k1", 401);
    name_without_a_key_is_refused("/idempotent/a", "customer: acme", 401);
    public_route_needs_no_key("/once/a", "customer: acme", 200);
    public_route_gets_no_key("/once/a", "caller: key k1", 200);
    public_route_gets_no_withdrawn_key("/once/a", "caller: key k9", 200);
    public_route_gets_no_second_key("/once/a", "caller: other\r\ncaller: key k1", 200);
    job_without_a_key_is_refused("/items/", "x: y", 401);
}

/// Guards against an unknown key that is told to come back, as the age of the manifest grows
/// to two seconds between the answers of the store.
#[test]
fn unknown_key_is_refused_between_two_readings() {
    smol::block_on(async {
        let replica = ScriptedReplica::start_with("r1", script).await;
        let gateway = Gateway::start_with(&store_of(&replica).await, MAX_AGE).await;
        wait_until("the daemon to be ready", || gateway.daemon.is_ready()).await;
        for n in 0..12 {
            let request = keyed("/idempotent/a", &format!("id{n}"), "k9");
            assert_eq!(status(&gateway.fetch(&request).await), 401);
            smol::Timer::after(Duration::from_millis(250)).await;
        }
    });
}

/// Guards against requests with a withdrawn key on a connection that was opened before.
#[test]
fn withdrawn_key_stops_on_a_kept_connection() {
    smol::block_on(async {
        let replica = ScriptedReplica::start_with("r1", script).await;
        let store = store_of(&replica).await;
        let gateway = Gateway::start(&store).await;
        let request = keyed("/idempotent/a", "id0", "k1").replace("connection: close\r\n", "");
        let mut stream = gateway.send(&request).await;
        let mut answer = [0; 1024];
        let count = stream.read(&mut answer).await.expect("an answer");
        assert_eq!(status(&String::from_utf8_lossy(&answer[..count])), 200);
        store.publish_manifest(&manifest_of(2, &[("acme", &["k2"])]));
        wait_until("version 2", || gateway.daemon.manifest_version() == Some(2)).await;
        stream.write_all(request.as_bytes()).await.expect("sent");
        let count = stream.read(&mut answer).await.expect("an answer");
        assert_eq!(status(&String::from_utf8_lossy(&answer[..count])), 401);
        let other = keyed("/idempotent/a", "id1", "k2");
        assert_eq!(status(&gateway.fetch(&other).await), 200);
    });
}

/// Guards against keys that go on at a daemon which the store turns away.
#[test]
fn daemon_without_the_store_refuses_keys_until_it_reads_again() {
    smol::block_on(async {
        let replica = ScriptedReplica::start_with("r1", script).await;
        let store = store_of(&replica).await.handle();
        let gateway = Gateway::start_with(&store, MAX_AGE).await;
        wait_until("the daemon to be ready", || gateway.daemon.is_ready()).await;
        store.turn_away(true);
        wait_until("an old manifest", || !gateway.daemon.is_ready()).await;
        let request = keyed("/idempotent/a", "id0", "k1");
        assert_eq!(status(&gateway.fetch(&request).await), 503);
        assert_eq!(status(&gateway.fetch(&post("/once/a", "id1")).await), 200);
        store.turn_away(false);
        wait_until("a new reading", || gateway.daemon.is_ready()).await;
        assert_eq!(status(&gateway.fetch(&request).await), 200);
    });
}

/// Guards against a daemon that wakes from a suspension and goes on with what it knew.
#[test]
fn key_withdrawn_during_a_suspension_does_not_run() {
    smol::block_on(async {
        let replica = ScriptedReplica::start_with("r1", script).await;
        let store = store_of(&replica).await.handle();
        let gateway = Gateway::start_with(&store, r#""max_manifest_age_ms": 500,"#).await;
        wait_until("the daemon to be ready", || gateway.daemon.is_ready()).await;
        gateway.freeze(Duration::from_millis(1500));
        smol::Timer::after(Duration::from_millis(100)).await;
        store.turn_away(true);
        store.publish_manifest(&manifest_of(2, &[("acme", &["k2"])]));
        let request = keyed("/idempotent/a", "id0", "k1");
        assert_eq!(status(&gateway.fetch(&request).await), 503);
        assert_eq!(replica.requests().len(), 0);
    });
}

/// Guards against a data centre that loses the store and with it all its callers, while
/// peers still read it.
#[test]
fn peer_that_reads_the_store_confirms_the_manifest() {
    smol::block_on(async {
        let replica = ScriptedReplica::start_with("r1", script).await;
        let store = store_of(&replica).await;
        let view = store.handle();
        let reader = Gateway::start_with(&store, MAX_AGE).await;
        let cut_off = Gateway::start_with(&view, MAX_AGE).await;
        wait_until("both daemons", || {
            reader.daemon.live_peers() == 1 && cut_off.daemon.is_ready()
        })
        .await;
        view.turn_away(true);
        smol::Timer::after(Duration::from_millis(4000)).await;
        let request = keyed("/idempotent/a", "id0", "k1");
        assert_eq!(status(&cut_off.fetch(&request).await), 200);
        // The peer has a newer version, and can no longer confirm the older one.
        store.publish_manifest(&manifest_of(2, &[("acme", &["k2"])]));
        view.hold_manifests();
        wait_until("an old manifest", || !cut_off.daemon.is_ready()).await;
        assert_eq!(status(&cut_off.fetch(&request).await), 503);
    });
}

/// Guards against a manifest that cannot be read and hides that keys were withdrawn.
#[test]
fn unreadable_manifest_makes_keys_expire() {
    smol::block_on(async {
        let replica = ScriptedReplica::start_with("r1", script).await;
        let store = store_of(&replica).await;
        let gateway = Gateway::start_with(&store, MAX_AGE).await;
        wait_until("the daemon to be ready", || gateway.daemon.is_ready()).await;
        store.put(Topic::Operator, "manifest", "{");
        wait_until("an old manifest", || !gateway.daemon.is_ready()).await;
        let request = keyed("/idempotent/a", "id0", "k1");
        assert_eq!(status(&gateway.fetch(&request).await), 503);
        store.publish_manifest(&manifest_of(2, CUSTOMERS));
        wait_until("a new reading", || gateway.daemon.is_ready()).await;
        assert_eq!(status(&gateway.fetch(&request).await), 200);
    });
}

fn call(method: &str, id: &str, key: &str) -> String {
    let call = request(method, &format!("/jobs/{id}"), "call", "");
    with(&call, &format!("caller: key {key}"))
}

/// Guards against jobs that another customer reads or cancels, that a withdrawn key ends,
/// and items without their customer's name.
#[test]
fn job_belongs_to_its_customer() {
    smol::block_on(async {
        let replica = ScriptedReplica::start_with("r1", script).await;
        let store = store_of(&replica).await;
        let gateway = Gateway::start(&store).await;
        let job = with(
            &request("POST", "/items/", "job1", "one\n"),
            "caller: key k1",
        );
        assert_eq!(status(&gateway.fetch(&job).await), 202);
        assert_eq!(
            status(&gateway.fetch(&call("GET", "job1", "k3")).await),
            404
        );
        assert_eq!(
            status(&gateway.fetch(&call("DELETE", "job1", "k3")).await),
            404
        );
        assert_eq!(
            status(&gateway.fetch(&call("GET", "job1", "k9")).await),
            401
        );
        let foreign = job.replace("key k1", "key k3");
        assert_eq!(status(&gateway.fetch(&foreign).await), 422);
        store.publish_manifest(&manifest_of(2, &[("acme", &["k2"])]));
        wait_until("version 2", || gateway.daemon.manifest_version() == Some(2)).await;
        wait_until("an item", || !replica.requests().is_empty()).await;
        let head = replica.requests().pop().expect("a request");
        assert_eq!(header(&head, "customer").as_deref(), Some("acme"));
        assert_eq!(header(&head, "caller"), None);
        assert_eq!(
            status(&gateway.fetch(&call("GET", "job1", "k2")).await),
            200
        );
    });
}

/// Guards against keys that are passed on to the owner of a shard, and owners that do not
/// know whose job it is.
#[test]
fn owner_gets_the_customer_and_no_key() {
    smol::block_on(async {
        let replica = ScriptedReplica::start_with("r1", script).await;
        let store = store_of(&replica).await;
        let gateway = Gateway::start_with_shards(&store, 1).await;
        let owner = ScriptedReplica::start_with("owner", |_: &str| {
            vec![Action::Respond(202, "content-length: 0\r\n", "")]
        })
        .await;
        wait_until("the shard", || gateway.daemon.is_serving(0)).await;
        let _heartbeats = send_heartbeats_as_owner(&store, owner.address).await;
        wait_until("the other owner", || !gateway.daemon.is_serving(0)).await;
        let job = with(
            &request("POST", "/items/", "job1", "one\n"),
            "caller: key k1",
        );
        gateway.fetch(&job).await;
        gateway.fetch(&call("GET", "job1", "k1")).await;
        let heads = owner.requests();
        assert_eq!(heads.len(), 2);
        for head in heads {
            assert_eq!(header(&head, "customer").as_deref(), Some("acme"));
            assert_eq!(header(&head, "caller"), None);
        }
    });
}

/// Guards against a customer that fills the queue of others, and against jobs from before
/// the deployment named customers that can no longer be read.
#[test]
fn quota_counts_each_customer_by_itself() {
    smol::block_on(async {
        let store = MemoryStore::default();
        store.publish_manifest(&manifest(1));
        let gateway = Gateway::start(&store).await;
        let early = request("POST", "/items/", "early", "one\ntwo\n");
        assert_eq!(status(&gateway.fetch(&early).await), 202);
        let mut limited = manifest_of(2, CUSTOMERS);
        let mut routes = limited.routes.iter_mut();
        let batch = routes.find(|route| route.kind == Kind::Batch);
        batch.expect("a route").batch.max_tokens = Some(20);
        store.publish_manifest(&limited);
        wait_until("version 2", || gateway.daemon.manifest_version() == Some(2)).await;
        let submit = async |id: &str, key: &str| {
            let job = request("POST", "/items/", id, "one\n");
            let job = with(&job, &format!("caller: key {key}"));
            status(&gateway.fetch(&job).await)
        };
        assert_eq!(submit("a1", "k1").await, 202);
        assert_eq!(submit("a2", "k2").await, 202);
        assert_eq!(submit("a3", "k1").await, 429);
        assert_eq!(submit("b1", "k3").await, 202);
        let early = call("GET", "early", "k3");
        assert_eq!(status(&gateway.fetch(&early).await), 200);
    });
}
