//! Each row of the operators' table of cut-off data centres, brought about.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;

use bitterncart_protocol::Name;
use bitterncart_standin::engine;
use bitterncart_testing::cases;
use bitterncart_trial::client::End;
use bitterncart_trial::{Cut, Site};
use serde_json::Value;
use support::{complete, counted, finishes, sender, start, submit, top_up, upload, wait_until};

const OTHERS: Cut = Cut {
    others: true,
    platform: false,
};
const PLATFORM: Cut = Cut {
    others: false,
    platform: true,
};
const BOTH: Cut = Cut {
    others: true,
    platform: true,
};

/// Keyed calls of one test.
const CALLS: usize = 8;

const LOG_UNAVAILABLE: u64 = 1304;
const OWNER_UNREACHABLE: u64 = 1305;

/// Data centre that is cut off, and the entry instance in it.
fn cut_off(site: &Site, cut: Cut) -> (Name, SocketAddr) {
    let entries = site.entries();
    let settings = entries[0].settings.clone();
    drop(entries);
    site.cut(&settings.data_centre, cut);
    (settings.data_centre, settings.callers)
}

/// Live members as each daemon counts them.
fn live(site: &Site) -> Vec<usize> {
    let entries = site.entries();
    let daemons = entries.iter().filter_map(|entry| entry.daemon.as_ref());
    daemons
        .map(|daemon| daemon.core.members().live().count())
        .collect()
}

fn claims(site: &Site) -> u64 {
    counted(site, "shard.claims")
}

fn serves(to: SocketAddr, prompt: &str) {
    assert_eq!(
        complete(to, prompt, 8),
        End::Whole(engine::completion_text(prompt, 8))
    );
}

/// Sends a keyed call; one that is not answered is refused as not run.
fn tries(to: SocketAddr, call: &str) -> bool {
    let (status, body) = top_up(to, call, Some(call));
    if status == 200 {
        return true;
    }
    refused_as_not_run(status, &body);
    false
}

fn refused_as_not_run(status: u16, body: &Value) {
    assert_eq!(
        (status, body["error"]["ran"].as_str()),
        (503, Some("not_run")),
        "{body}"
    );
    let number = body["error"]["code"].as_u64();
    assert!(
        [Some(LOG_UNAVAILABLE), Some(OWNER_UNREACHABLE)].contains(&number),
        "{body}"
    );
}

fn heals(site: &Site) {
    site.heal();
    wait_until("all are members again", || live(site) == [3, 3, 3]);
    wait_until("each shard has an owner", || site.all_shards_owned());
}

/// Every call is answered through every instance, and ran once.
fn ran_once(site: &Site) {
    for number in 0..CALLS {
        let call = format!("cut-{number}");
        for to in site.callers() {
            wait_until("the call is answered", || tries(to, &call));
        }
        assert_eq!(site.service_runs().get(&call), Some(&1), "{call}");
    }
}

#[test]
fn data_centre_is_cut_off_from_the_others() {
    let site = start(|_| {});
    let before = claims(&site);
    cut_off(&site, OTHERS);
    wait_until("the sides lose each other", || live(&site) == [1, 2, 2]);
    for (number, to) in site.callers().into_iter().enumerate() {
        serves(to, &format!("side {number}"));
    }
    // Each call is sent through both sides; the owner's side answers.
    for number in 0..CALLS {
        let call = format!("cut-{number}");
        let answers = site.callers().into_iter().filter(|to| tries(*to, &call));
        assert!(answers.count() > 0, "{call} is answered on one side");
    }
    let mut sender = sender(&site);
    let job = submit(&mut sender, "cut", 120, 0);
    finishes(&mut sender, &job, 0);
    let moved = claims(&site) - before;
    let shards = u64::from(site.document.log.shards);
    assert!(moved <= shards, "{moved} claims over {shards} shards");
    heals(&site);
    ran_once(&site);
    finishes(&mut sender, &job, 0);
}

cases! {
    fn data_centre_is_cut_off_from_the_log(cut: Cut) {
        let site = start(|_| {});
        let mut sender = sender(&site);
        let job = submit(&mut sender, "before", 150, 0);
        let (_, inside) = cut_off(&site, cut);
        serves(inside, "inside");
        refused_as_not_run_upload(inside);
        for number in 0..CALLS {
            tries(inside, &format!("cut-{number}"));
        }
        let shards = usize::from(site.document.log.shards);
        wait_until("the others own all shards", || {
            site.owned_shards()[1..].iter().sum::<usize>() == shards
        });
        serves(inside, "inside, later");
        works_outside(&site, inside);
        heals(&site);
        ran_once(&site);
        finishes(&mut sender, &job, 0);
    }
    from_the_log_alone(PLATFORM);
    from_the_log_and_the_others(BOTH);
}

fn refused_as_not_run_upload(to: SocketAddr) {
    let (status, body) = upload(to, "never appended");
    assert_eq!(
        body["error"]["code"].as_u64(),
        Some(LOG_UNAVAILABLE),
        "{body}"
    );
    refused_as_not_run(status, &body);
}

/// Calls and jobs through the instances that still reach the log.
fn works_outside(site: &Arc<Site>, inside: SocketAddr) {
    let outside: Vec<SocketAddr> = site.callers();
    for (number, to) in outside.into_iter().filter(|to| *to != inside).enumerate() {
        let call = format!("cut-{number}");
        wait_until("a keyed call is answered outside", || tries(to, &call));
        let (status, body) = upload(to, &format!("outside {number}"));
        assert_eq!(status, 200, "{body}");
    }
}
