//! Manifests and replicas read from the store.

use bitterncart_coordination::fleet::Manifest;
use bitterncart_gateway::store::Topic;

use crate::harness::{Gateway, manifest, post, status, store, wait_until};
use crate::replica::{OK_RESPONSE, ScriptedReplica};
use crate::store::MemoryStore;

#[test]
fn request_without_manifest_is_unavailable() {
    smol::block_on(async {
        let gateway = Gateway::start_without_waiting(&MemoryStore::default()).await;
        let response = gateway.fetch(&post("/once/a", "id")).await;
        assert_eq!(status(&response), 503, "{response}");
        assert!(!gateway.daemon.is_ready());
    });
}

#[test]
fn invalid_replica_records_are_skipped() {
    smol::block_on(async {
        let replica = ScriptedReplica::start("r", vec![vec![OK_RESPONSE]]).await;
        let store = store(&[&replica]);
        store.put(Topic::Replicas, "x", "{\"service\": 7}");
        store.put(Topic::Replicas, "y", "\u{1}");
        let gateway = Gateway::start(&store).await;
        store.put(Topic::Replicas, "z", "[]");
        for n in 0..4 {
            let response = gateway.fetch(&post("/once/a", &format!("id{n}"))).await;
            assert_eq!(status(&response), 200, "{response}");
        }
    });
}

#[test]
fn older_manifest_is_ignored() {
    smol::block_on(async {
        let replica = ScriptedReplica::start("r", vec![vec![OK_RESPONSE]]).await;
        let store = store(&[&replica]);
        let without = Manifest {
            routes: Vec::new(),
            ..manifest(7)
        };
        store.publish_manifest(&without);
        let gateway = Gateway::start(&store).await;
        assert_eq!(status(&gateway.fetch(&post("/once/a", "id0")).await), 404);
        store.publish_manifest(&manifest(6));
        store.publish_manifest(&Manifest {
            version: 9,
            ..without
        });
        let metrics = || gateway.daemon.manifest_version() == Some(9);
        wait_until("version 9", metrics).await;
        assert_eq!(status(&gateway.fetch(&post("/once/a", "id1")).await), 404);
    });
}
