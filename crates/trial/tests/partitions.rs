//! Network partitions of one data centre: from the other data centres, from the
//! platform (log and instance list), or from both. Completions continue everywhere,
//! keyed calls run once or are refused as not run, and after the partition heals all
//! calls and jobs complete.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;

use bitterncart_protocol::Name;
use bitterncart_standin::engine;
use bitterncart_testing::cases;
use bitterncart_trial::client::End;
use bitterncart_trial::{Partition, Site};
use serde_json::Value;
use support::{
    assert_completes, batch_client, complete, counter_sum, start, submit, top_up, upload,
    wait_until,
};

const OTHER_DATA_CENTRES: Partition = Partition {
    other_data_centres: true,
    platform: false,
};
const PLATFORM: Partition = Partition {
    other_data_centres: false,
    platform: true,
};
const BOTH: Partition = Partition {
    other_data_centres: true,
    platform: true,
};

/// Number of calls with an idempotency key in each test.
const KEYED_CALLS: usize = 8;

const LOG_UNAVAILABLE: u64 = 1304;
const OWNER_UNREACHABLE: u64 = 1305;

/// Partitions the first data centre; returns its name and the client address of its
/// entry instance.
fn partition_first(site: &Site, partition: Partition) -> (Name, SocketAddr) {
    let entries = site.entries();
    let settings = entries[0].settings.clone();
    drop(entries);
    site.partition(&settings.data_centre, partition);
    (settings.data_centre, settings.callers)
}

/// Number of live members in the view of each daemon.
fn live_member_counts(site: &Site) -> Vec<usize> {
    let entries = site.entries();
    let daemons = entries.iter().filter_map(|entry| entry.daemon.as_ref());
    daemons
        .map(|daemon| daemon.core.membership().live().count())
        .collect()
}

fn claim_count(site: &Site) -> u64 {
    counter_sum(site, "shard.claims")
}

fn assert_serves(address: SocketAddr, prompt: &str) {
    assert_eq!(
        complete(address, prompt, 8),
        End::Whole(engine::completion_text(prompt, 8))
    );
}

/// Sends a call with an idempotency key. Returns whether it succeeded; asserts that it
/// was refused as not run otherwise.
fn call_succeeds(address: SocketAddr, call: &str) -> bool {
    let (status, body) = top_up(address, call, Some(call));
    if status == 200 {
        return true;
    }
    assert_refused_as_not_run(status, &body);
    false
}

fn assert_refused_as_not_run(status: u16, body: &Value) {
    assert_eq!(
        (status, body["error"]["ran"].as_str()),
        (503, Some("not_run")),
        "{body}"
    );
    let code = body["error"]["code"].as_u64();
    assert!(
        [Some(LOG_UNAVAILABLE), Some(OWNER_UNREACHABLE)].contains(&code),
        "{body}"
    );
}

/// Removes the partition and waits for full membership and shard ownership.
fn heal_and_wait(site: &Site) {
    site.heal();
    wait_until("all daemons are members again", || {
        live_member_counts(site) == [3, 3, 3]
    });
    wait_until("each shard has an owner", || site.all_shards_owned());
}

/// Waits until every call succeeds through every instance, and asserts that each ran
/// once.
fn assert_calls_ran_once(site: &Site) {
    for number in 0..KEYED_CALLS {
        let call = format!("cut-{number}");
        for address in site.callers() {
            wait_until("the call succeeds", || call_succeeds(address, &call));
        }
        assert_eq!(site.service_runs().get(&call), Some(&1), "{call}");
    }
}

#[test]
fn both_sides_serve_while_a_data_centre_is_cut_off_from_the_others() {
    let site = start(|_| {});
    let before = claim_count(&site);
    partition_first(&site, OTHER_DATA_CENTRES);
    wait_until("each side considers the other dead", || {
        live_member_counts(&site) == [1, 2, 2]
    });
    for (number, address) in site.callers().into_iter().enumerate() {
        assert_serves(address, &format!("side {number}"));
    }
    // Each call is sent through both sides; it succeeds on the side of its shard owner.
    for number in 0..KEYED_CALLS {
        let call = format!("cut-{number}");
        let successes = site
            .callers()
            .into_iter()
            .filter(|address| call_succeeds(*address, &call));
        assert!(successes.count() > 0, "{call} succeeds on one side");
    }
    let mut client = batch_client(&site);
    let job = submit(&mut client, "cut", 120, 0);
    assert_completes(&mut client, &job, 0);
    let new_claims = claim_count(&site) - before;
    let shards = u64::from(site.document.log.shards);
    assert!(
        new_claims <= shards,
        "{new_claims} claims for {shards} shards"
    );
    heal_and_wait(&site);
    assert_calls_ran_once(&site);
    assert_completes(&mut client, &job, 0);
}

cases! {
    fn jobs_continue_elsewhere_while_a_data_centre_is_cut_off(partition: Partition) {
        let site = start(|_| {});
        let mut client = batch_client(&site);
        let job = submit(&mut client, "before", 150, 0);
        let (_, inside) = partition_first(&site, partition);
        assert_serves(inside, "inside");
        assert_upload_is_refused(inside);
        for number in 0..KEYED_CALLS {
            call_succeeds(inside, &format!("cut-{number}"));
        }
        let shards = usize::from(site.document.log.shards);
        wait_until("the other data centres own all shards", || {
            site.owned_shard_counts()[1..].iter().sum::<usize>() == shards
        });
        assert_serves(inside, "inside, later");
        assert_calls_and_uploads_succeed_outside(&site, inside);
        heal_and_wait(&site);
        assert_calls_ran_once(&site);
        assert_completes(&mut client, &job, 0);
    }
    from_the_log_alone(PLATFORM);
    from_the_log_and_the_others(BOTH);
}

fn assert_upload_is_refused(address: SocketAddr) {
    let (status, body) = upload(address, "never appended");
    assert_eq!(
        body["error"]["code"].as_u64(),
        Some(LOG_UNAVAILABLE),
        "{body}"
    );
    assert_refused_as_not_run(status, &body);
}

/// Asserts that calls and uploads succeed through the instances that reach the log.
fn assert_calls_and_uploads_succeed_outside(site: &Arc<Site>, inside: SocketAddr) {
    let addresses: Vec<SocketAddr> = site.callers();
    for (number, address) in addresses
        .into_iter()
        .filter(|address| *address != inside)
        .enumerate()
    {
        let call = format!("cut-{number}");
        wait_until("a keyed call succeeds outside", || {
            call_succeeds(address, &call)
        });
        let (status, body) = upload(address, &format!("outside {number}"));
        assert_eq!(status, 200, "{body}");
    }
}
