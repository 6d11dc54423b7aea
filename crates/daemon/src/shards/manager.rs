//! Which shards this daemon reads.
//!
//! A daemon reads a shard if it should own it or does; so control traffic does
//! not grow with the number of shards.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bitterncart_protocol::id;
use spdlog::warn;

use super::recover::recover;
use super::{Handle, commit, maintain, tail};
use crate::core::Core;

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(250);

/// Keeps the handles of a daemon until its runtime stops.
pub async fn watch(core: Arc<Core>) {
    loop {
        if let Ok(document) = core.document() {
            let ordered = document.models.iter().any(|model| model.weights.is_some());
            let orders = id::Shard::orders(core.settings.data_centre.as_str());
            let orders = Some(orders).filter(|_| ordered);
            for number in (0..document.log.shards).map(id::Shard).chain(orders) {
                look(&core, number).await;
            }
        }
        smol::Timer::after(LOOK).await;
    }
}

async fn look(core: &Arc<Core>, number: id::Shard) {
    let handle = core.shards().get(&number).cloned();
    let wanted = !core.is_draining() && core.winner(number).as_ref() == Some(&core.me);
    match handle {
        Some(handle) if !wanted && !handle.is_mine() => close(core, &handle),
        None if wanted => open(core, number).await,
        _ => {}
    }
}

/// Stops following a shard; the next look may open it anew.
pub(super) fn close(core: &Core, handle: &Handle) {
    core.shards().remove(&handle.number);
    handle.changed.notify(usize::MAX);
    handle.filled.notify(usize::MAX);
}

async fn open(core: &Arc<Core>, number: id::Shard) {
    let recovered = match recover(core, number).await {
        Ok(recovered) => recovered,
        Err(e) => {
            core.log_answered(false);
            warn!("shard cannot be read", kv: { shard = number.0, why: = e });
            return;
        }
    };
    let handle = Arc::new(Handle::new(number, core.me.clone(), recovered));
    let weak = Arc::downgrade(&handle);
    let shards: &mut BTreeMap<_, _> = &mut core.shards();
    shards.insert(number, handle);
    core.runtime
        .spawn(tail::run(Arc::clone(core), weak.clone()))
        .detach();
    core.runtime
        .spawn(commit::run(Arc::clone(core), weak.clone()))
        .detach();
    core.runtime
        .spawn(maintain::run(Arc::clone(core), weak))
        .detach();
}
