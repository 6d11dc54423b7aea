//! Rules that are broken on purpose, to see that the checks catch it.

use std::str::FromStr;

use bitterncart_protocol::log::Page;
use bitterncart_protocol::record::{Group, Record};
use bitterncart_state::Shard;

/// Rule that is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// Folds accept a group of an older epoch.
    StaleEpoch,
    /// A submission is acknowledged before its append is confirmed.
    EarlyAck,
    /// A call whose outcome is unknown runs again.
    RepeatCall,
    /// The log drops records that no snapshot holds.
    NoSnapshot,
    /// The last snapshot written is taken for the newest state.
    LastSnapshot,
    /// A reader passes over records that expired unread.
    PassedGap,
    /// Folds ignore cancellations.
    IgnoredCancel,
}

impl Broken {
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

impl FromStr for Broken {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.iter().find(|(name, _)| *name == text);
        found.map(|(_, broken)| *broken).ok_or_else(|| {
            let names = Self::ALL.map(|(name, _)| name);
            format!("write one of {}", names.join(", "))
        })
    }
}

/// Page as folds with a broken rule see it.
pub(super) fn rewrite(broken: Option<Broken>, shard: &Shard, mut page: Page) -> Page {
    let change: fn(&mut Group, &Shard) = match broken {
        Some(Broken::StaleEpoch) => look_current,
        Some(Broken::IgnoredCancel) => drop_cancels,
        _ => return page,
    };
    let mut fold = shard.clone();
    for entry in &mut page.entries {
        let Some(mut group) = Group::decode(&entry.payload) else {
            continue;
        };
        change(&mut group, &fold);
        entry.payload = group.encode();
        fold.apply(entry.offset, entry.at_ms, &group);
    }
    page
}

fn look_current(group: &mut Group, fold: &Shard) {
    group.epoch = group.epoch.map(|_| fold.epoch());
}

fn drop_cancels(group: &mut Group, _: &Shard) {
    let keep = |record: &Record| !matches!(record, Record::Cancel { .. });
    group.records.retain(keep);
}
