//! Manifests and replicas as the store has them.

use bitterncart_coordination::fleet::Manifest;
use bitterncart_gateway::store::Topic;

use crate::replica::{Act, Scripted};
use crate::store::Memory;
use crate::world::{Running, manifest, post, status, store, until};

const GOOD: Act = Act::Answer(200, "signature: s\r\ncontent-length: 2\r\n", "ok");

#[test]
fn without_a_manifest_nothing_is_denied() {
    smol::block_on(async {
        let daemon = Running::start_unready(&Memory::default()).await;
        let answer = daemon.ask(&post("/once/a", "id")).await;
        assert_eq!(status(&answer), 503, "{answer}");
        assert!(!daemon.daemon.is_ready());
    });
}

#[test]
fn bad_entries_name_no_replica_and_hide_none() {
    smol::block_on(async {
        let replica = Scripted::start("r", vec![vec![GOOD]]).await;
        let store = store(&[&replica]);
        store.put(Topic::Replicas, "x", "{\"service\": 7}");
        store.put(Topic::Replicas, "y", "\u{1}");
        let daemon = Running::start(&store).await;
        store.put(Topic::Replicas, "z", "[]");
        for n in 0..4 {
            let answer = daemon.ask(&post("/once/a", &format!("id{n}"))).await;
            assert_eq!(status(&answer), 200, "{answer}");
        }
    });
}

#[test]
fn older_manifest_after_a_newer_changes_nothing() {
    smol::block_on(async {
        let replica = Scripted::start("r", vec![vec![GOOD]]).await;
        let store = store(&[&replica]);
        let without = Manifest {
            routes: Vec::new(),
            ..manifest(7)
        };
        store.manifest(&without);
        let daemon = Running::start(&store).await;
        assert_eq!(status(&daemon.ask(&post("/once/a", "id0")).await), 404);
        store.manifest(&manifest(6));
        store.manifest(&Manifest {
            version: 9,
            ..without
        });
        let metrics = || daemon.daemon.version() == Some(9);
        until("version 9", metrics).await;
        assert_eq!(status(&daemon.ask(&post("/once/a", "id1")).await), 404);
    });
}
