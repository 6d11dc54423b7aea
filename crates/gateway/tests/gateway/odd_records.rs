//! Records of other writers beside those of the operator and the replicas.

use bitterncart_coordination::fleet::{Kind, Route};
use bitterncart_gateway::store::Topic;
use bitterncart_testing::cases;

use crate::harness::{Gateway, manifest, post, request, status, store, wait_until};
use crate::replica::{OK_RESPONSE, ScriptedReplica};
use crate::store::Fault;

/// Value of a counter of the daemon; 0 if it has none.
fn counter(gateway: &Gateway, name: &str) -> u64 {
    let text = gateway.daemon.metrics_text();
    let mut lines = text.lines();
    lines
        .find_map(|line| line.strip_prefix(name)?.trim().parse().ok())
        .unwrap_or(0)
}

fn invalid_replicas(gateway: &Gateway) -> u64 {
    counter(
        gateway,
        "bitterncart_invalid_records_total{kind=\"replica\"}",
    )
}

async fn is_served(gateway: &Gateway, id: &str) -> bool {
    status(&gateway.fetch(&post("/idempotent/a", id)).await) == 200
}

/// Entry of a replica with one field changed.
async fn odd_entry(old: &str, new: &str) -> String {
    let replica = ScriptedReplica::start("odd", Vec::new()).await;
    let text = serde_json::to_string(&replica.record()).expect("a replica");
    let odd = text.replace(old, new);
    assert_ne!(odd, text);
    odd
}

cases! {
    /// A daemon that reads an odd entry, before it is ready or later, goes on serving and
    /// following the list.
    fn odd_entry_leaves_the_daemon_serving(old: &str, new: &str) {
        smol::block_on(async {
            let first = ScriptedReplica::start("first", vec![vec![OK_RESPONSE; 8]; 8]).await;
            let second = ScriptedReplica::start("second", vec![vec![OK_RESPONSE; 8]; 8]).await;
            let odd = odd_entry(old, new).await;
            let store = store(&[&first]);
            store.put(Topic::Replicas, "before", &odd);
            let gateway = Gateway::start(&store).await;
            assert_eq!(invalid_replicas(&gateway), 1);
            store.put(Topic::Replicas, "after", &odd);
            wait_until("the odd entry", || invalid_replicas(&gateway) == 2).await;
            assert!(is_served(&gateway, "one").await);
            store.publish_replica(&second.record());
            store.put(Topic::Replicas, "first", "");
            store.put(Topic::Replicas, "after", &odd);
            wait_until("the later entries", || invalid_replicas(&gateway) == 3).await;
            assert!(is_served(&gateway, "two").await);
        });
    }
    nested_entry_leaves_the_daemon_serving(
        "\"born_ms\":",
        &format!("\"born_ms\":{}{},\"n\":", "[".repeat(100_000), "]".repeat(100_000)),
    );
    number_too_large_leaves_the_daemon_serving("\"born_ms\":", "\"born_ms\":1e300,\"n\":");
    port_out_of_range_leaves_the_daemon_serving("127.0.0.1:", "127.0.0.1:7");
    entry_of_another_type_leaves_the_daemon_serving("{", "[{");
    entry_that_is_cut_off_leaves_the_daemon_serving("}", "");
}

/// The entry of a replica names it no longer, but the replica may write it again.
#[test]
fn replica_whose_entry_becomes_odd_is_used_for_a_time() {
    smol::block_on(async {
        let replica = ScriptedReplica::start("r", vec![vec![OK_RESPONSE; 8]; 8]).await;
        let store = store(&[&replica]);
        let gateway = Gateway::start(&store).await;
        store.put(Topic::Replicas, "r", "{}");
        wait_until("the odd entry", || invalid_replicas(&gateway) == 1).await;
        assert!(is_served(&gateway, "one").await);
        smol::Timer::after(std::time::Duration::from_secs(5)).await;
        assert!(!is_served(&gateway, "two").await);
        store.publish_replica(&replica.record());
        smol::Timer::after(std::time::Duration::from_secs(1)).await;
        assert!(is_served(&gateway, "three").await);
    });
}

#[test]
fn odd_manifest_leaves_the_one_before_in_force() {
    smol::block_on(async {
        let replica = ScriptedReplica::start("r", vec![vec![OK_RESPONSE; 8]; 8]).await;
        let store = store(&[&replica]);
        let gateway = Gateway::start(&store).await;
        let name = "bitterncart_invalid_records_total{kind=\"manifest\"}";
        store.put(Topic::Operator, "manifest", "{\"version\":-1}");
        wait_until("the odd manifest", || counter(&gateway, name) == 1).await;
        assert!(is_served(&gateway, "one").await);
        store.publish_manifest(&manifest(5));
        let is_installed = || gateway.daemon.manifest_version() == Some(5);
        wait_until("the next version", is_installed).await;
        assert!(is_served(&gateway, "two").await);
    });
}

/// The requests of a route that cannot be used must not go to that of a shorter prefix.
#[test]
fn unusable_route_refuses_its_requests() {
    smol::block_on(async {
        let replica = ScriptedReplica::start("r", vec![vec![OK_RESPONSE; 8]; 8]).await;
        let store = store(&[&replica]);
        let mut odd = manifest(5);
        let prefix = "/idempotent/odd/";
        let unusable = Route::unusable("odd".into(), "a.example".into(), prefix.into());
        odd.routes.push(unusable);
        store.publish_manifest(&odd);
        let gateway = Gateway::start(&store).await;
        assert!(is_served(&gateway, "one").await);
        let response = gateway.fetch(&post("/idempotent/odd/a", "two")).await;
        assert_eq!(status(&response), 503, "{response}");
        let refused = "bitterncart_refused_total{code=\"no_replica\"}";
        assert_eq!(counter(&gateway, refused), 1);
        assert!(is_served(&gateway, "three").await);
    });
}

/// A job that was accepted under an earlier version waits for a later one.
#[test]
fn job_of_a_route_that_becomes_unusable_is_not_given_up() {
    smol::block_on(async {
        let store = store(&[]);
        let gateway = Gateway::start(&store).await;
        wait_until("the shard", || gateway.daemon.is_serving(0)).await;
        let response = gateway
            .fetch(&request("POST", "/items/", "job", "a\nb"))
            .await;
        assert_eq!(status(&response), 202, "{response}");
        let mut odd = manifest(5);
        odd.routes.retain(|route| route.kind != Kind::Batch);
        let unusable = Route::unusable("items".into(), "a.example".into(), "/items/".into());
        odd.routes.push(unusable);
        store.publish_manifest(&odd);
        let is_installed = || gateway.daemon.manifest_version() == Some(5);
        wait_until("the odd route", is_installed).await;
        let replica = ScriptedReplica::start("r", vec![vec![OK_RESPONSE; 8]; 8]).await;
        store.publish_replica(&replica.record());
        smol::Timer::after(std::time::Duration::from_secs(5)).await;
        assert_eq!(store.count_records("r/"), 0);
    });
}

/// Guards against a daemon that asks for the same records forever.
#[test]
fn undecodable_reads_do_not_stop_the_daemon_from_following() {
    smol::block_on(async {
        let replica = ScriptedReplica::start("r", vec![vec![OK_RESPONSE; 8]; 8]).await;
        let store = store(&[]);
        store.set_fault(Fault::Undecodable);
        let gateway = Gateway::start(&store).await;
        store.publish_replica(&replica.record());
        store.publish_manifest(&manifest(5));
        let is_installed = || gateway.daemon.manifest_version() == Some(5);
        wait_until("the next version", is_installed).await;
        smol::Timer::after(std::time::Duration::from_secs(1)).await;
        assert!(is_served(&gateway, "one").await);
    });
}
