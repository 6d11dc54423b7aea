//! Gives up items of owned shards that will not be finished: those past the give-up time
//! of their job, and those of a job whose route has ended.
//!
//! It needs no replica, so it goes on while there is none, or no path to one. An item that
//! runs, here or at a peer, is left to its run.

use std::collections::HashMap;
use std::time::Duration;

use bitterncart_coordination::fleet::peers::short_hash;
use bitterncart_coordination::fleet::{Eligibility, Manifest, withdrawal};
use bitterncart_state::ledger::{self, Submission};
use compact_str::CompactString;

use super::{GIVE_UP_MARGIN, ItemId, finish_item};
use crate::clock;
use crate::core::Core;
use crate::dialect::Dialect;
use crate::jobs;
use crate::log;
use crate::store::Store;

/// Maximum number of items whose ends wait to be recorded, beyond which no more are given
/// up. A job may have hundreds of thousands.
const MAX_PENDING_ENDS: usize = 1000;

/// Item to give up, with its short id and the reason.
type GivenUp = (ItemId, u32, &'static str);

/// Gives up items, and updates which jobs lack their route.
pub(super) fn give_up_items<S: Store, D: Dialect>(
    core: &Core<S, D>,
    withdrawals: &mut withdrawal::Table,
) {
    // Read before the manifest, which then is at least as new as what was confirmed.
    let confirmed_at = core.freshness().confirmed_at();
    let Some(manifest) = core.manifest() else {
        return;
    };
    let ledgers = core.shards.iter().filter(|shard| shard.is_serving());
    let ledgers: Vec<_> = ledgers
        .map(|shard| (shard.read_at(), shard.ledger()))
        .collect();
    let open_jobs = || {
        let jobs = ledgers
            .iter()
            .flat_map(|(read_at, ledger)| ledger.jobs().map(move |(_, job)| (*read_at, job)));
        jobs.filter(|(_, job)| job.is_open())
    };
    let routed = open_jobs().map(|(_, job)| routed_job(&job.submission));
    withdrawals.update(clock::now(), &manifest, routed);
    let mut given_up: Vec<GivenUp> = Vec::new();
    let eligibility = Eligibility::new(clock::now(), &core.peers());
    let runs = core.runs();
    let mut room = MAX_PENDING_ENDS.saturating_sub(runs.finishing());
    for (read_at, job) in open_jobs() {
        let has_ended = withdrawals.has_ended(&job.submission.id, confirmed_at);
        let Some(reason) = reason(&manifest, &job.submission, has_ended) else {
            continue;
        };
        let ids = job.unfinished_items().map(|index| {
            let id = &job.submission.id;
            let item_hash = short_hash(&[id.as_bytes(), &index.to_be_bytes()]);
            ((id.clone(), index), item_hash, reason)
        });
        let idle = ids.filter(|(id, item_hash, _)| {
            !runs.is_active(id) && eligibility.may_start(*item_hash, read_at)
        });
        let before = given_up.len();
        given_up.extend(idle.take(room));
        room -= given_up.len() - before;
    }
    drop((runs, ledgers));
    record(core, &manifest, given_up);
}

fn record<S: Store, D: Dialect>(core: &Core<S, D>, manifest: &Manifest, given_up: Vec<GivenUp>) {
    let mut counts: HashMap<(CompactString, &'static str), usize> = HashMap::new();
    for (id, item_hash, reason) in given_up {
        *counts.entry((id.0.clone(), reason)).or_default() += 1;
        finish_item(core, id, item_hash, ledger::Outcome::GivenUp, reason);
    }
    for ((job, reason), count) in counts {
        log::items_given_up(&job, count, reason, manifest.version);
    }
}

fn routed_job(job: &Submission) -> withdrawal::Job<'_> {
    withdrawal::Job {
        id: &job.id,
        host: &job.host,
        path: &job.path,
        accepted_under: job.terms.map(|terms| terms.manifest_version),
    }
}

/// Why the unfinished items of a job are given up; `None` if they are not.
fn reason(manifest: &Manifest, job: &Submission, has_route_ended: bool) -> Option<&'static str> {
    let age = clock::wall().as_millis() as u64;
    let age = Duration::from_millis(age.saturating_sub(job.submitted_ms));
    match give_up_time(manifest, job) {
        Some(time) if age > time.saturating_add(GIVE_UP_MARGIN) => Some("give_up_time"),
        _ if has_route_ended => Some("route_ended"),
        _ => None,
    }
}

/// Time from its submission after which the items of a job are given up: the longer one of
/// that of its route and that under which it was accepted; `None` if neither is known.
fn give_up_time(manifest: &Manifest, job: &Submission) -> Option<Duration> {
    let current = jobs::route_of(manifest, job).map(|route| route.batch.give_up);
    let accepted = job
        .terms
        .map(|terms| Duration::from_millis(terms.give_up_ms));
    current.max(accepted)
}
