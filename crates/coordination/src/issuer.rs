//! Who may give orders to the engines of a data centre, and when.
//!
//! The orders of a data centre have a stream of their own in the log; who owns
//! it by its fold is the issuer, and the epoch is the fencing number. Engines
//! that check it refuse an older one. For those that do not, time decides:
//! a read of the stream's end that shows no newer claim is a lease from the
//! moment the read began. A new issuer saw its claim after it had landed, and
//! every read of the one before it that missed the claim began before, so the
//! new issuer waits out that lease and what may still be on the wire. It waits
//! for engines that check too: an order of the one before it to another replica
//! would still be taken there, and too many replicas would be out.

use std::time::Duration;

use bitterncart_protocol::id;

/// Time from the beginning of a read for which it is a lease.
pub const LEASE: Duration = Duration::from_secs(5);

/// Time after which an order that was sent is on no wire any more: the bound
/// on a connection and its answer, after which the sender closes it.
pub const WIRE: Duration = Duration::from_secs(2);

/// Difference between two clocks' rates at most.
const DRIFT: f64 = 0.01;

/// One daemon's right to give orders.
#[derive(Clone, Copy, Debug, Default)]
pub struct Issuer {
    claimed: Option<Claimed>,
}

#[derive(Clone, Copy, Debug)]
struct Claimed {
    epoch: id::Epoch,
    seen: Duration,
}

impl Issuer {
    /// Takes note of the epoch in which this daemon is the owner, if it is.
    pub fn follow(&mut self, now: Duration, mine: Option<id::Epoch>) {
        self.claimed = match (self.claimed, mine) {
            (Some(claimed), Some(epoch)) if claimed.epoch == epoch => Some(claimed),
            (_, Some(epoch)) => Some(Claimed { epoch, seen: now }),
            (_, None) => None,
        };
    }

    /// Fencing number for an order that is sent at once, if one may be.
    ///
    /// `read` is when the last read of the stream's end began. It has to be
    /// asked by the daemon's monotonic clock immediately before each order: a
    /// daemon that was held still finds its lease gone.
    #[must_use]
    pub fn fencing(&self, now: Duration, read: Duration) -> Option<u64> {
        let claimed = self.claimed?;
        let held = now < read + LEASE;
        let waited = now >= claimed.seen + LEASE.mul_f64(1.0 + DRIFT) + WIRE;
        (held && waited).then_some(claimed.epoch.0)
    }
}
