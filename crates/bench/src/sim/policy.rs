//! Policies that are compared.

use std::str::FromStr;

/// How batch work shares the engines with online work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Policy {
    /// The sharing policy of the product.
    Shared,
    /// The product's policy, but each change of use is told to all daemons of the
    /// data centre.
    Broadcast,
    /// The product's policy, but routing takes no notice of prompt prefixes.
    NoAffinity,
    /// The product's policy, but a prompt's prefix alone decides the replica.
    Hashing,
    /// Baseline: as many batch sequences as an engine runs, whatever online does.
    NoRule,
    /// Baseline: a quarter of an engine's sequences for batch at all times.
    Fixed,
    /// Baseline: online traffic alone.
    OnlineOnly,
    /// Baseline: batch work alone.
    BatchOnly,
}

impl Policy {
    /// All policies, the product's first.
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

    /// Whether the product's rules decide.
    #[must_use]
    pub fn is_ours(self) -> bool {
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
            "write shared, broadcast, no-affinity, hashing, no-rule, fixed, online-only or batch-only".to_owned()
        })
    }
}
