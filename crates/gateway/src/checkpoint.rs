//! Stores the output of unfinished items in the ledger.
//!
//! Another daemon resumes an item behind its stored output. If a part cannot be
//! stored, the next checkpoint stores a longer one.

use std::time::Duration;

use bitterncart_state::ledger::{Decision, Op, OutputPart};

use crate::clock;
use crate::core::Core;
use crate::dialect::Dialect;
use crate::jobs;
use crate::runner::ItemId;
use crate::shard::Undecided;
use crate::store::Store;

/// Timeout of storing a part of an output.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Stores the output that items have received since the last checkpoint.
pub(crate) fn store_outputs<S: Store, D: Dialect>(core: &Core<S, D>) {
    if core.is_store_unavailable(clock::now()) {
        return;
    }
    let is_owned = |shard: u16| core.shards[usize::from(shard)].is_owned();
    let ids = core.runs().with_output(is_owned);
    for id in ids {
        let ledger = jobs::shard_of(core, &id.0).ledger();
        let Some(job) = ledger.job(&id.0) else {
            continue;
        };
        let part = core.runs().start_checkpoint(&id, job.progress.get(&id.1));
        if let Some(part) = part {
            core.spawn(store_part(core.clone(), id, part)).detach();
        }
    }
}

/// Stores a part of an output; the writer of the shard logs why it fails.
async fn store_part<S: Store, D: Dialect>(core: Core<S, D>, id: ItemId, part: OutputPart) {
    let op = Op::RecordOutput(id.0.clone(), part);
    let shard = jobs::shard_of(&core, &id.0);
    let stored = shard.submit(op, clock::now() + TIMEOUT).await;
    core.metrics.checkpoint(match stored {
        Ok(Decision::Planned) => "stored",
        Ok(Decision::TooLarge) => "too_large",
        Ok(_) => "superseded",
        Err(Undecided::NotApplied) => "failed",
        Err(Undecided::Unknown) => "unknown",
    });
    core.runs().end_checkpoint(&id);
}
