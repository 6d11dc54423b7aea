//! Ends the items of jobs whose model takes no batch work any more.
//!
//! The operator may remove a model, or its batch section, from the document. Its items are
//! then leased to nobody, and would stay open. The owner of the shard ends them once the
//! document has lacked the section for [`SETTLE_TIME`]. Items that run are left to their
//! run.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use bitterncart_protocol::peer::{Assignment, End, Lease};
use bitterncart_protocol::record::Answer;
use bitterncart_protocol::{Code, Document, Name};
use spdlog::info;

use super::{Handle, serve};
use crate::core::Core;

/// Time for which the batch section has to be missing. Longer than the 8 s that a document
/// may take to be in force everywhere, so that a version that is withdrawn at once ends no
/// job.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// Items that are ended at a time.
const ITEMS_A_STEP: u16 = 256;

/// Steps of one round, after which other maintenance has its turn.
const STEPS_A_ROUND: usize = 16;

/// Times at which models of open jobs were first found without a batch section.
pub(super) type Missing = HashMap<Name, Duration>;

/// Ends the items of the shard whose model is withdrawn, up to a number of them.
pub(super) async fn end_items(
    core: &Core,
    handle: &Handle,
    document: &Document,
    missing: &mut Missing,
) {
    let lacks_batch = |model: &Name| {
        let model = document.model(model.as_str());
        model.is_none_or(|model| model.batch.is_none())
    };
    let models: BTreeSet<Name> = {
        let participant = handle.participant();
        let jobs = participant.shard().jobs().map(|(_, job)| job);
        let models = jobs
            .filter(|job| job.is_open())
            .map(|job| &job.submit.model);
        models.filter(|model| lacks_batch(model)).cloned().collect()
    };
    missing.retain(|model, _| models.contains(model));
    let now = core.now();
    for model in models {
        let since = *missing.entry(model.clone()).or_insert(now);
        if now >= since + SETTLE_TIME {
            end_items_of(core, handle, &model).await;
        }
    }
}

async fn end_items_of(core: &Core, handle: &Handle, model: &Name) {
    for _ in 0..STEPS_A_ROUND {
        // Without the right to start items, another daemon ends them.
        let leased = serve::lease_items(core, handle.number, model, ITEMS_A_STEP).await;
        let items = leased.unwrap_or_default();
        if items.is_empty() {
            return;
        }
        info!("items ended, their model takes no batch work", kv: {
            shard = handle.number.0, model = model.as_str(), count = items.len()
        });
        let ends = items.into_iter().map(|item| end(model, item)).collect();
        if serve::finish_attempts(core, handle.number, ends).is_err() {
            return;
        }
    }
}

fn end(model: &Name, item: Assignment) -> (Lease, End) {
    let code = Code::ItemCancelled;
    let answer = Answer {
        custom_id: item.custom_id,
        status: code.status(),
        code: Some(code),
        body: format!(
            "the model `{}` takes no batch work any more",
            model.as_str()
        ),
    };
    (item.lease, End::Finished(answer))
}
