//! Quotas of customers that are kept by all daemons together.

use std::time::Duration;

use bitterncart_coordination::fleet::{Customer, Customers, RequestQuota};

use crate::harness::{Gateway, manifest, post, status, wait_until};
use crate::replica::{OK_RESPONSE, ScriptedReplica, header};
use crate::store::MemoryStore;

/// Requests that a limited customer may send at once; the rate adds next to none.
const BURST: u64 = 40;

/// Requests that each test sends.
const SENT: usize = 80;

/// A bucket that begins holds half of the burst.
const GRANTED: usize = BURST as usize / 2;

/// Time after its start from which a daemon holds buckets, with a margin.
const SETTLING_TIME: Duration = Duration::from_millis(1000);

async fn store_of(replica: &ScriptedReplica) -> MemoryStore {
    let mut customers = Customers::default();
    let limited = RequestQuota {
        per_1000_s: 100,
        burst: BURST,
    };
    for (name, key, quota) in [("limited", "k1", Some(limited)), ("free", "k2", None)] {
        let customer = Customer {
            name: name.into(),
            priority: None,
            quota,
        };
        customers.insert(customer, [key]).expect("distinct keys");
    }
    let mut manifest = manifest(1);
    manifest.customers = Some(customers);
    let store = MemoryStore::default();
    store.publish_manifest(&manifest);
    store.publish_replica(&replica.record());
    store
}

fn keyed(n: usize, key: &str) -> String {
    let line = format!("\r\ncaller: key {key}\r\n");
    post("/idempotent/a", &format!("id{n}")).replacen("\r\n", &line, 1)
}

/// Statuses of the requests of the limited customer at daemons by turns.
async fn send_all(daemons: &[Gateway]) -> Vec<u16> {
    let mut statuses = Vec::new();
    for n in 0..SENT {
        let response = daemons[n % daemons.len()].fetch(&keyed(n, "k1")).await;
        if status(&response) == 429 {
            assert!(header(&response, "retry-after").is_some(), "{response}");
        }
        statuses.push(status(&response));
    }
    statuses
}

fn served(statuses: &[u16]) -> usize {
    assert!(
        statuses.iter().all(|status| matches!(status, 200 | 429)),
        "{statuses:?}"
    );
    statuses.iter().filter(|status| **status == 200).count()
}

/// Guards against a customer that is served beyond its quota, and one that pays for it.
#[test]
fn customer_beyond_its_request_quota_is_refused_alone() {
    smol::block_on(async {
        let replica = ScriptedReplica::start("r1", vec![vec![OK_RESPONSE]]).await;
        let store = store_of(&replica).await;
        let daemons = [Gateway::start(&store).await];
        smol::Timer::after(SETTLING_TIME).await;
        let count = served(&send_all(&daemons).await);
        assert!((GRANTED..=GRANTED + 1).contains(&count), "{count} served");
        let other = daemons[0].fetch(&keyed(SENT, "k2")).await;
        assert_eq!(status(&other), 200);
        assert_eq!(replica.requests().len(), count + 1);
    });
}

/// Guards against daemons that each grant the whole quota.
#[test]
fn daemons_share_a_request_quota() {
    smol::block_on(async {
        let replica = ScriptedReplica::start("r1", vec![vec![OK_RESPONSE]]).await;
        let store = store_of(&replica).await;
        let mut daemons = Vec::new();
        for _ in 0..3 {
            daemons.push(Gateway::start(&store).await);
        }
        wait_until("the peers", || {
            daemons.iter().all(|d| d.daemon.live_peers() == 2)
        })
        .await;
        smol::Timer::after(SETTLING_TIME).await;
        let count = served(&send_all(&daemons).await);
        assert!(count <= BURST as usize * 11 / 10 + 1, "{count} served");
        assert!(count >= GRANTED / 2, "{count} served");
        assert_eq!(replica.requests().len(), count);
    });
}
