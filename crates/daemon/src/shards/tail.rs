//! Following a shard's stream.

use std::sync::{Arc, Weak};
use std::time::Duration;

use bitterncart_coordination::Queue;
use bitterncart_coordination::ownership::{Action, View};
use bitterncart_protocol::log::Page;
use bitterncart_protocol::peer::Lease;
use bitterncart_state::shard::Event;
use bitterncart_transport::log::Log as _;
use spdlog::info;

use super::desk::Table;
use super::{Desk, commit, recover};
use crate::core::Core;
use crate::counters::Count;

/// Wait of one read while the shard's owner is decided.
const UNDECIDED: Duration = Duration::from_millis(200);

/// Wait of one read while the owner stands.
const CALM: Duration = Duration::from_secs(1);

/// Wait after a failed read.
const PAUSE: Duration = Duration::from_millis(300);

/// Follows the stream until the desk is closed.
pub(super) async fn run(core: Arc<Core>, desk: Weak<Desk>) {
    loop {
        let Some(open) = desk.upgrade() else { return };
        let (stream, next, mine) = {
            let table = open.table();
            (
                open.number.stream(),
                table.shard.next(),
                table.ownership.is_mine(&table.shard),
            )
        };
        drop(open);
        let wait = if mine { CALM } else { UNDECIDED };
        let began = core.now();
        let page = core.log.read(&stream, next, wait).await;
        core.log_answered(page.is_ok());
        let Some(open) = desk.upgrade() else { return };
        match page {
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
fn take(core: &Core, desk: &Desk, page: &Page, began: Duration) {
    let revoked = {
        let mut table = desk.table();
        let events = recover::apply(&mut table.shard, page);
        table.since_snapshot += page.entries.len() as u32;
        if table.shard.next() >= page.next {
            table.read = began;
        }
        follow(core, &mut table, &events)
    };
    stop(core, &revoked);
}

/// Takes what the fold changed into the schedule.
fn follow(core: &Core, table: &mut Table, events: &[Event]) -> Vec<Lease> {
    let mut revoked = Vec::new();
    for event in events {
        match event {
            Event::Claimed | Event::Released => owner_changed(core, table),
            Event::Settled(call) => {
                table.running.remove(call);
            }
            _ => {}
        }
        let Some(queue) = table.queue.as_mut() else {
            continue;
        };
        match event {
            Event::Submitted(key) => queue.submitted(*key),
            Event::Finished(key, item) => queue.committed(*key, *item),
            Event::Tried(key, item, _) => queue.counted(*key, *item),
            Event::Cancelled(key) | Event::Ended(key) => {
                let job = table.shard.job(*key).map(|job| job.submit.job);
                revoked.extend(job.map(|job| queue.ended(*key, job)).unwrap_or_default());
            }
            _ => {}
        }
    }
    revoked
}

fn owner_changed(core: &Core, table: &mut Table) {
    let mine = table.ownership.is_mine(&table.shard);
    let owner = table
        .shard
        .owner()
        .map(ToString::to_string)
        .unwrap_or_default();
    info!("shard changed its owner", kv: { owner = owner.as_str(), epoch = table.shard.epoch().0, mine });
    table.pending.clear();
    table.running.clear();
    table.queue = mine.then(|| Queue::new(&table.shard));
    if mine {
        core.counters.add(Count::Claims, 1);
    }
}

/// Stops streams of this daemon whose leases no longer stand.
fn stop(core: &Core, revoked: &[Lease]) {
    let mut streams = core.streams();
    for lease in revoked {
        streams.remove(lease);
    }
}

/// Decides this daemon's part in the ownership.
async fn look(core: &Core, desk: &Desk) {
    let winner = core.winner(desk.number);
    let draining = core.is_draining();
    let now = core.now();
    let owner = desk.table().shard.owner().cloned();
    let owner_alive = owner.is_some_and(|owner| core.members().is_alive(&owner));
    let action = {
        let mut table = desk.table();
        let table = &mut *table;
        let unfinished = table.pending.len() + table.running.len();
        let view = View {
            shard: &table.shard,
            read: table.read,
            winner: winner.as_ref(),
            owner_alive,
            draining,
            unfinished: unfinished as u32,
        };
        table.ownership.look(now, view)
    };
    match action {
        // A lost append is decided again at the next look.
        Some(Action::Open(record)) => drop(commit::open(core, desk.number, vec![record]).await),
        Some(Action::Owned(epoch, record)) if desk.table().shard.epoch() == epoch => {
            desk.push([record]);
        }
        _ => {}
    }
}
