//! Limiter policies under comparison.
//!
//! The product's policy is compared with three variants of it, each with one
//! mechanism replaced, and with four baselines that do not use its sharing rule. The
//! variants show what that mechanism contributes; the baselines are the
//! reference for latency and throughput.

use std::str::FromStr;

/// Rule by which batch work shares the engines with online work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Policy {
    /// The product's policy.
    Shared,
    /// The product's policy, except that each change of use is sent to all
    /// daemons of the data centre.
    Broadcast,
    /// The product's policy, except that routing ignores prompt prefixes.
    NoAffinity,
    /// The product's policy, except that the hash of the prompt prefix alone
    /// selects the replica.
    Hashing,
    /// Baseline: batch may use all sequences of an engine, whatever the online load.
    NoRule,
    /// Baseline: batch always has a quarter of an engine's sequences.
    Fixed,
    /// Baseline: online traffic without batch work.
    OnlineOnly,
    /// Baseline: batch work without online traffic.
    BatchOnly,
}

impl Policy {
    /// All policies, with the product's first.
    pub const ALL: [Self; 8] = [
        Self::Shared,
        Self::Broadcast,
        Self::NoAffinity,
        Self::Hashing,
        Self::NoRule,
        Self::Fixed,
        Self::OnlineOnly,
        Self::BatchOnly,
    ];

    /// Name on the command line.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Shared => "shared",
            Self::Broadcast => "broadcast",
            Self::NoAffinity => "no-affinity",
            Self::Hashing => "hashing",
            Self::NoRule => "no-rule",
            Self::Fixed => "fixed",
            Self::OnlineOnly => "online-only",
            Self::BatchOnly => "batch-only",
        }
    }

    /// Whether the product's sharing rule sets the number of batch sequences.
    #[must_use]
    pub fn uses_sharing(self) -> bool {
        matches!(
            self,
            Self::Shared | Self::Broadcast | Self::NoAffinity | Self::Hashing
        )
    }

    /// Whether online traffic runs.
    #[must_use]
    pub fn has_online(self) -> bool {
        self != Self::BatchOnly
    }

    /// Whether batch work runs.
    #[must_use]
    pub fn has_batch(self) -> bool {
        self != Self::OnlineOnly
    }
}

impl FromStr for Policy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let known = Self::ALL.into_iter().find(|policy| policy.name() == text);
        known.ok_or_else(|| {
            "expected shared, broadcast, no-affinity, hashing, no-rule, fixed, online-only or batch-only".to_owned()
        })
    }
}
