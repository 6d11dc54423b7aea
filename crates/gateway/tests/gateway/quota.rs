//! Token quota of a route whose jobs are spread over the shards of several daemons.

use std::cell::Cell;
use std::time::Duration;

use bitterncart_coordination::fleet::Kind;
use bitterncart_coordination::fleet::token_quota::GRANT_TTL;
use bitterncart_gateway::store::Topic;
use bitterncart_testing::cases;

use crate::harness::{Gateway, manifest, request, status, wait_until};
use crate::owner::send_heartbeats_as_owner;
use crate::replica::{Action, ScriptedReplica};
use crate::store::{Fault, MemoryStore};

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

/// Runs futures at the same time; returns what they returned, in their order.
async fn join<T>(futures: impl Iterator<Item = impl Future<Output = T>>) -> Vec<T> {
    let executor = smol::LocalExecutor::new();
    let tasks: Vec<_> = futures.map(|future| executor.spawn(future)).collect();
    let all = async {
        let mut results = Vec::new();
        for task in tasks {
            results.push(task.await);
        }
        results
    };
    executor.run(all).await
}

/// Guards against a fleet that accepts more than a tenth beyond the quota, as each
/// owner counts what the others reported a moment ago.
#[test]
fn accepted_jobs_keep_the_quota() {
    smol::block_on(async {
        let store = store_with_quota(MAX_JOBS);
        let daemons = start_fleet(&store).await;
        let accepted = Cell::new(0);
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
        join((0..SUBMITTED).map(submit)).await;
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

/// Jobs that come one after the other, before those that come at once.
const FIRST_JOBS: u64 = 11;

/// Jobs that come at the same moment.
const JOBS_AT_ONCE: u64 = 9;

/// Answers to jobs that come one after the other, and then to others that come at the same
/// moment, at `daemons` in turn.
async fn submit_at_once(daemons: &[Gateway], before: impl FnOnce()) -> Vec<u16> {
    let submit = async |n: u64| {
        let job = request("POST", "/items/", &format!("job{n}"), "one\n");
        status(&daemons[n as usize % daemons.len()].fetch(&job).await)
    };
    for n in 0..FIRST_JOBS {
        assert_eq!(submit(n).await, 202, "job {n}");
    }
    before();
    join((FIRST_JOBS..FIRST_JOBS + JOBS_AT_ONCE).map(submit)).await
}

fn count(answers: &[u16], status: u16) -> u64 {
    answers.iter().filter(|answer| **answer == status).count() as u64
}

cases! {
    /// Guards against jobs that come at the same moment and are all accepted, as each is
    /// compared with the sum from before the others (review, case 14), and against jobs that
    /// fit and are refused.
    fn quota_of_jobs_at_the_same_moment(daemons: usize, room: u64, fault: Fault) {
        smol::block_on(async {
            let store = store_with_quota(FIRST_JOBS + room);
            let fleet = start_fleet(&store).await;
            let answers = submit_at_once(&fleet[..daemons], || store.set_fault(fault)).await;
            let fitting = room.min(JOBS_AT_ONCE);
            assert_eq!(count(&answers, 202), fitting, "{answers:?}");
            assert_eq!(count(&answers, 429), JOBS_AT_ONCE - fitting, "{answers:?}");
        });
    }
    jobs_at_once_at_one_daemon(1, 1, Fault::None);
    jobs_at_once_at_all_daemons(DAEMONS, 1, Fault::None);
    jobs_at_once_at_all_daemons_while_appends_are_slow(
        DAEMONS,
        1,
        Fault::Slow(Duration::from_millis(200))
    );
    jobs_at_once_that_fit_in_part(DAEMONS, 5, Fault::None);
    jobs_at_once_that_all_fit(DAEMONS, JOBS_AT_ONCE, Fault::None);
}

cases! {
    /// Guards against jobs that pass the quota while its records cannot be written, and
    /// against a fleet that accepts none then.
    fn quota_without_its_records(fault: Fault) {
        smol::block_on(async {
            const ROOM: u64 = JOBS_AT_ONCE * DAEMONS as u64;
            let store = store_with_quota(FIRST_JOBS + ROOM);
            let fleet = start_fleet(&store).await;
            let answers = submit_at_once(&fleet, || store.set_fault(fault)).await;
            // Each daemon has room for all of them.
            assert_eq!(count(&answers, 202), JOBS_AT_ONCE, "{answers:?}");
            let mut accepted = FIRST_JOBS + JOBS_AT_ONCE;
            for n in 0..SUBMITTED / 4 {
                let job = request("POST", "/items/", &format!("more{n}"), "one\n");
                let answer = status(&fleet[n as usize % DAEMONS].fetch(&job).await);
                assert!([202, 429].contains(&answer), "{answer}");
                accepted += u64::from(answer == 202);
            }
            assert!(accepted <= FIRST_JOBS + ROOM, "{accepted}");
        });
    }
    quota_while_its_records_are_refused(Fault::QuotasUnavailable);
    quota_while_its_records_get_no_answer(Fault::QuotasSilent);
}

/// Guards against a grant of a job that no shard took, which would keep other jobs out.
#[test]
fn grant_of_a_job_that_is_not_recorded_is_released() {
    smol::block_on(async {
        let store = store_with_quota(FEW_JOBS);
        let gateway = Gateway::start_with_shards(&store, 2).await;
        wait_until("both shards", || {
            gateway.daemon.is_serving(0) && gateway.daemon.is_serving(1)
        })
        .await;
        smol::Timer::after(Duration::from_millis(1500)).await;
        store.set_fault(Fault::Unavailable);
        for n in 0..FEW_JOBS {
            let job = request("POST", "/items/", &format!("lost{n}"), "one\n");
            assert_eq!(status(&gateway.fetch(&job).await), 503);
        }
        store.set_fault(Fault::None);
        let started = std::time::Instant::now();
        for n in 0..FEW_JOBS {
            let job = request("POST", "/items/", &format!("job{n}"), "one\n");
            wait_until("the store to be used again", || {
                status(&smol::block_on(gateway.fetch(&job))) == 202
            })
            .await;
        }
        assert!(started.elapsed() < GRANT_TTL / 2, "{:?}", started.elapsed());
    });
}

/// Guards against a job that is repeated elsewhere and counts twice.
#[test]
fn repeated_job_counts_once() {
    smol::block_on(async {
        let store = store_with_quota(1);
        let fleet = start_fleet(&store).await;
        let job = request("POST", "/items/", "job", "one\n");
        for gateway in &fleet {
            assert_eq!(status(&gateway.fetch(&job).await), 202);
        }
        let other = request("POST", "/items/", "other", "one\n");
        assert_eq!(status(&fleet[0].fetch(&other).await), 429);
        assert_eq!(store.records(Topic::Quotas).len(), 1);
    });
}
