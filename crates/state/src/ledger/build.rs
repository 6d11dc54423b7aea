//! Software that writes the output of items and streams.

use std::fmt;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Software of a service in one version. What two versions write does not fit together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Build {
    /// Name of the service.
    pub service: CompactString,
    /// Version. Versions have no order.
    pub version: CompactString,
}

impl fmt::Display for Build {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.service, self.version)
    }
}
