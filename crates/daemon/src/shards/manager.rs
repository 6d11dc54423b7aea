//! Selection of the shards that this daemon follows.
//!
//! A daemon follows the log of a shard while it is the shard's preferred owner by
//! rendezvous hashing or its actual owner. Other shards are not followed, so that
//! control traffic per daemon does not grow with the number of shards. Opening a
//! shard recovers its state from the log and starts the tasks that follow, commit
//! and maintain it. If the document states weights for a model, the orders shard of
//! this data centre is managed in the same way.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bitterncart_protocol::id;
use spdlog::warn;

use super::recover::recover;
use super::{Handle, commit, maintain, tail};
use crate::core::Core;

/// Interval between two passes over all shards.
const INTERVAL: Duration = Duration::from_millis(250);

/// Opens and closes the shards of this daemon until the runtime stops.
pub async fn run_manager(core: Arc<Core>) {
    loop {
        if let Ok(document) = core.document() {
            let has_weights = document.models.iter().any(|model| model.weights.is_some());
            let orders = id::Shard::orders(core.settings.data_centre.as_str());
            let orders = Some(orders).filter(|_| has_weights);
            for number in (0..document.log.shards).map(id::Shard).chain(orders) {
                open_or_close(&core, number).await;
            }
        }
        smol::Timer::after(INTERVAL).await;
    }
}

async fn open_or_close(core: &Arc<Core>, number: id::Shard) {
    let handle = core.shards().get(&number).cloned();
    let wanted =
        !core.is_draining() && core.preferred_owner(number).as_ref() == Some(&core.daemon_id);
    match handle {
        Some(handle) if !wanted && !handle.is_owner() => close(core, &handle),
        None if wanted => open(core, number).await,
        _ => {}
    }
}

/// Stops following a shard; a later pass may open it again.
pub(super) fn close(core: &Core, handle: &Handle) {
    core.shards().remove(&handle.number);
    handle.state_changed.notify(usize::MAX);
    handle.records_queued.notify(usize::MAX);
}

async fn open(core: &Arc<Core>, number: id::Shard) {
    let recovered = match recover(core, number).await {
        Ok(recovered) => recovered,
        Err(e) => {
            core.record_log_result(false);
            warn!("failed to read the shard from the log", kv: { shard = number.0, why: = e });
            return;
        }
    };
    let handle = Arc::new(Handle::new(number, core.daemon_id.clone(), recovered));
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
