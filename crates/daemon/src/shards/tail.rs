//! Following a shard's stream.

use std::sync::{Arc, Weak};
use std::time::Duration;

use bitterncart_coordination::participant::Surroundings;
use bitterncart_protocol::log::Page;
use bitterncart_transport::log::Log as _;
use spdlog::{info, warn};

use super::{Handle, commit, manager};
use crate::core::Core;
use crate::counters::Count;

/// Wait of one read while the shard's owner is decided.
const UNDECIDED: Duration = Duration::from_millis(200);

/// Wait of one read while the owner stands.
const CALM: Duration = Duration::from_secs(1);

/// Wait after a failed read.
const PAUSE: Duration = Duration::from_millis(300);

/// Follows the stream until the handle is closed.
pub(super) async fn run(core: Arc<Core>, handle: Weak<Handle>) {
    loop {
        let Some(open) = handle.upgrade() else { return };
        let (stream, next, mine) = {
            let participant = open.participant();
            let next = participant.shard().next();
            (open.number.stream(), next, participant.is_mine())
        };
        drop(open);
        let wait = if mine { CALM } else { UNDECIDED };
        let began = core.now();
        let page = core.log.read(&stream, next, wait).await;
        core.log_answered(page.is_ok());
        let Some(open) = handle.upgrade() else { return };
        match page {
            Ok(page) if page.first > next => {
                // A snapshot holds what expired unread.
                warn!("the stream went on without this daemon", kv: {
                    shard = open.number.0, expected = next, first = page.first
                });
                manager::close(&core, &open);
            }
            Ok(page) => {
                take(&core, &open, &page, began);
                open.changed.notify(usize::MAX);
                look(&core, &open).await;
            }
            Err(_) => {
                drop(open);
                smol::Timer::after(PAUSE).await;
            }
        }
    }
}

/// Applies a page whose read began at a time.
fn take(core: &Core, handle: &Handle, page: &Page, began: Duration) {
    let applied = {
        let mut participant = handle.participant();
        let applied = participant.apply(began, page);
        handle.retention().read(page.entries.len());
        applied
    };
    if applied.owner_changed {
        note_owner(core, handle);
    }
    let mut streams = core.streams();
    for lease in &applied.revoked {
        streams.revoke(lease);
    }
}

fn note_owner(core: &Core, handle: &Handle) {
    let view = handle.view();
    let owner = view
        .owner
        .map(|owner| owner.to_string())
        .unwrap_or_default();
    info!("shard changed its owner", kv: {
        shard = handle.number.0, owner = owner.as_str(), epoch = view.epoch.0, mine = view.mine
    });
    if view.mine {
        core.counters.add(Count::Claims, 1);
    }
}

/// Decides this daemon's part in the ownership.
async fn look(core: &Core, handle: &Handle) {
    let winner = core.winner(handle.number);
    let owner = handle.participant().shard().owner().cloned();
    let steady = core.reach().is_steady(core.now());
    let owner_alive = owner.is_some_and(|owner| {
        let members = core.members();
        members.is_alive(&owner) && !(steady && members.has_lost_log(&owner))
    });
    let draining = core.is_draining();
    let around = Surroundings {
        winner: winner.as_ref(),
        owner_alive,
        draining,
    };
    let record = handle.participant().look(core.now(), around);
    handle.wake();
    if let Some(record) = record {
        // A lost append is decided again at the next look.
        drop(commit::open(core, handle.number, vec![record]).await);
    }
}
