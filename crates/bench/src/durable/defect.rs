//! Defects planted on purpose.
//!
//! Each defect disables one rule of the durable decisions. A run with a defect
//! has to violate an invariant; if none is reported, the schedules or the checks
//! are too weak to detect that fault in the real code.

use std::str::FromStr;

use bitterncart_protocol::log::Page;
use bitterncart_protocol::record::{Group, Record};
use bitterncart_state::Shard;

/// Planted defect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Folds accept a group of an older epoch.
    StaleEpoch,
    /// A submission is acknowledged before its append is confirmed.
    EarlyAck,
    /// A call whose outcome is unknown runs again.
    RepeatCall,
    /// The log truncates records that no snapshot covers.
    NoSnapshot,
    /// Recovery takes the last snapshot written for the newest state.
    LastSnapshot,
    /// A reader skips records that were truncated before it read them.
    PassedGap,
    /// Folds ignore cancellations.
    IgnoredCancel,
}

impl Defect {
    const ALL: [(&'static str, Self); 7] = [
        ("stale-epoch", Self::StaleEpoch),
        ("early-ack", Self::EarlyAck),
        ("repeat-call", Self::RepeatCall),
        ("no-snapshot", Self::NoSnapshot),
        ("last-snapshot", Self::LastSnapshot),
        ("passed-gap", Self::PassedGap),
        ("ignored-cancel", Self::IgnoredCancel),
    ];
}

impl FromStr for Defect {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.iter().find(|(name, _)| *name == text);
        found.map(|(_, defect)| *defect).ok_or_else(|| {
            let names = Self::ALL.map(|(name, _)| name);
            format!("expected one of {}", names.join(", "))
        })
    }
}

/// Page as folds see it under a defect.
pub(super) fn rewrite_page(defect: Option<Defect>, shard: &Shard, mut page: Page) -> Page {
    let alter: fn(&mut Group, &Shard) = match defect {
        Some(Defect::StaleEpoch) => set_current_epoch,
        Some(Defect::IgnoredCancel) => remove_cancels,
        _ => return page,
    };
    let mut fold = shard.clone();
    for entry in &mut page.entries {
        let Some(mut group) = Group::decode(&entry.payload) else {
            continue;
        };
        alter(&mut group, &fold);
        entry.payload = group.encode();
        fold.apply(entry.offset, entry.at_ms, &group);
    }
    page
}

fn set_current_epoch(group: &mut Group, fold: &Shard) {
    group.epoch = group.epoch.map(|_| fold.epoch());
}

fn remove_cancels(group: &mut Group, _: &Shard) {
    let keep = |record: &Record| !matches!(record, Record::Cancel { .. });
    group.records.retain(keep);
}
