//! Token quota of a route whose jobs are spread over the shards of several daemons.

use std::cell::Cell;
use std::time::Duration;

use bitterncart_coordination::fleet::Kind;
use bitterncart_gateway::store::Topic;

use crate::harness::{Gateway, manifest, request, status, wait_until};
use crate::owner::send_heartbeats_as_owner;
use crate::replica::{Action, ScriptedReplica};
use crate::store::MemoryStore;

/// Daemons of the fleet.
const DAEMONS: usize = 4;

const SHARDS: u16 = 16;

/// Tokens of a job with one item.
const JOB_TOKENS: u64 = 10;

/// Jobs for which the quota has room.
const MAX_JOBS: u64 = 170;

/// Jobs that clients submit.
const SUBMITTED: u64 = 300;

/// Rate at which they come, about a hundred times that of the deployments.
const JOBS_PER_S: u32 = 50;

/// Jobs for which the quota has room while a shard has no owner that answers.
const FEW_JOBS: u64 = 5;

/// Store with a quota on the batch route, and without replicas, so that no item ends.
fn store_with_quota(max_jobs: u64) -> MemoryStore {
    let store = MemoryStore::default();
    let mut manifest = manifest(1);
    let mut routes = manifest.routes.iter_mut();
    let batch = routes.find(|route| route.kind == Kind::Batch);
    batch.expect("a route").batch.max_tokens = Some(max_jobs * JOB_TOKENS);
    store.publish_manifest(&manifest);
    store
}

/// Daemons that know each other and serve all shards.
async fn start_fleet(store: &MemoryStore) -> Vec<Gateway> {
    let mut daemons = Vec::new();
    for _ in 0..DAEMONS {
        daemons.push(Gateway::start_with_shards(store, SHARDS).await);
    }
    let serves = |shard| {
        daemons
            .iter()
            .filter(|d| d.daemon.is_serving(shard))
            .count()
    };
    wait_until("one owner of each shard", || {
        let is_known = |d: &Gateway| d.daemon.live_peers() == DAEMONS - 1;
        daemons.iter().all(is_known) && (0..usize::from(SHARDS)).all(|n| serves(n) == 1)
    })
    .await;
    // The heartbeats that tell of the shards.
    smol::Timer::after(Duration::from_millis(500)).await;
    daemons
}

/// Guards against a fleet that accepts more than a tenth beyond the quota, as each
/// owner counts what the others reported a moment ago.
#[test]
fn accepted_jobs_keep_the_quota() {
    smol::block_on(async {
        let store = store_with_quota(MAX_JOBS);
        let daemons = start_fleet(&store).await;
        let accepted = Cell::new(0);
        let executor = smol::LocalExecutor::new();
        let submit = async |n: u64| {
            smol::Timer::after(Duration::from_secs(n) / JOBS_PER_S).await;
            let job = request("POST", "/items/", &format!("job{n}"), "one\n");
            let response = daemons[n as usize % DAEMONS].fetch(&job).await;
            match status(&response) {
                202 => accepted.set(accepted.get() + 1),
                429 => {}
                _ => panic!("{response}"),
            }
        };
        let tasks: Vec<_> = (0..SUBMITTED).map(|n| executor.spawn(submit(n))).collect();
        let all = async {
            for task in tasks {
                task.await;
            }
        };
        executor.run(all).await;
        let accepted = accepted.get();
        assert!(accepted * 10 <= MAX_JOBS * 11, "{accepted} of {MAX_JOBS}");
        assert!(accepted * 10 >= MAX_JOBS * 9, "{accepted} of {MAX_JOBS}");
    });
}

/// Guards against jobs that a daemon accepts for an owner which does not answer, and that
/// the daemon then does not count for the other shards.
#[test]
fn jobs_accepted_for_an_absent_owner_count() {
    smol::block_on(async {
        let store = store_with_quota(FEW_JOBS);
        let gateway = Gateway::start_with_shards(&store, 2).await;
        wait_until("both shards", || {
            gateway.daemon.is_serving(0) && gateway.daemon.is_serving(1)
        })
        .await;
        let absent = ScriptedReplica::start("absent", vec![vec![Action::Close]]).await;
        let _heartbeats = send_heartbeats_as_owner(&store, absent.address).await;
        wait_until("the other owner", || !gateway.daemon.is_serving(0)).await;
        let mut accepted = 0;
        for n in 0..4 * FEW_JOBS {
            let job = request("POST", "/items/", &format!("job{n}"), "one\n");
            let response = gateway.fetch(&job).await;
            accepted += u64::from(status(&response) == 202);
        }
        assert!(!store.records(Topic::Ledger(0)).is_empty());
        assert!(!store.records(Topic::Ledger(1)).is_empty());
        assert_eq!(accepted, FEW_JOBS);
    });
}
