//! Following of a shard's stream.
//!
//! A long-polling loop reads the entries after the last one applied, applies them
//! to the shard's state and notifies the tasks that wait for a change. After each
//! page the daemon decides its part in the shard's ownership: whether to claim,
//! challenge or release it, from the preferred owner, the owner's liveness and
//! whether the owner can reach the log. If entries expired before they were read,
//! the shard is closed and recovered from a snapshot.

use std::sync::{Arc, Weak};
use std::time::Duration;

use bitterncart_coordination::participant::Context;
use bitterncart_protocol::log::Page;
use bitterncart_transport::log::Log as _;
use spdlog::{info, warn};

use super::{Handle, commit, manager};
use crate::core::Core;
use crate::counters::Count;

/// Long-poll time of a read while another daemon or none owns the shard; short, as
/// ownership is decided after each read.
const POLL_TIME_NOT_OWNER: Duration = Duration::from_millis(200);

/// Long-poll time of a read while this daemon owns the shard.
const POLL_TIME_OWNER: Duration = Duration::from_secs(1);

/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Follows the stream until the handle is dropped.
pub(super) async fn run(core: Arc<Core>, handle: Weak<Handle>) {
    loop {
        let Some(open) = handle.upgrade() else { return };
        let (stream, next, mine) = {
            let participant = open.participant();
            let next = participant.shard().next();
            (open.number.record_stream(), next, participant.is_mine())
        };
        drop(open);
        let wait = if mine {
            POLL_TIME_OWNER
        } else {
            POLL_TIME_NOT_OWNER
        };
        let began = core.now();
        let page = core.log.read(&stream, next, wait).await;
        core.record_log_result(page.is_ok());
        let Some(open) = handle.upgrade() else { return };
        match page {
            Ok(page) if page.first > next => {
                // Closed to be recovered: a snapshot covers the expired entries.
                warn!("entries of the shard expired before they were read", kv: {
                    shard = open.number.0, expected = next, first = page.first
                });
                manager::close(&core, &open);
            }
            Ok(page) => {
                apply_page(&core, &open, &page, began);
                open.state_changed.notify(usize::MAX);
                update_ownership(&core, &open).await;
            }
            Err(_) => {
                drop(open);
                smol::Timer::after(RETRY_DELAY).await;
            }
        }
    }
}

/// Applies a page whose read began at `began` and drops batch streams whose lease
/// it revokes.
fn apply_page(core: &Core, handle: &Handle, page: &Page, began: Duration) {
    let applied = {
        let mut participant = handle.participant();
        let applied = participant.apply(began, page);
        handle.retention().read(page.entries.len());
        applied
    };
    if applied.owner_changed {
        log_owner_change(core, handle);
    }
    let mut streams = core.streams();
    for lease in &applied.revoked {
        streams.revoke(lease);
    }
}

fn log_owner_change(core: &Core, handle: &Handle) {
    let status = handle.status();
    let owner = status
        .owner
        .map(|owner| owner.to_string())
        .unwrap_or_default();
    info!("shard owner changed", kv: {
        shard = handle.number.0, owner = owner.as_str(), epoch = status.epoch.0, mine = status.mine
    });
    if status.mine {
        core.counters.add(Count::Claims, 1);
    }
}

/// Decides whether this daemon claims, challenges or releases the shard.
///
/// An owner counts as alive while its membership is alive and it reaches the log.
/// Only a daemon that has a stable connection to the log itself judges that the owner
/// does not.
async fn update_ownership(core: &Core, handle: &Handle) {
    let preferred = core.preferred_owner(handle.number);
    let owner = handle.participant().shard().owner().cloned();
    let is_stable = core.log_health().is_stable(core.now());
    let owner_alive = owner.is_some_and(|owner| {
        let membership = core.membership();
        membership.is_alive(&owner) && !(is_stable && membership.has_lost_log(&owner))
    });
    let draining = core.is_draining();
    let context = Context {
        preferred_owner: preferred.as_ref(),
        owner_alive,
        draining,
    };
    let record = handle.participant().decide(core.now(), context);
    handle.notify_committer();
    if let Some(record) = record {
        // A failed append needs no retry: the next page leads to the same decision.
        drop(commit::append_without_epoch(core, handle.number, vec![record]).await);
    }
}
