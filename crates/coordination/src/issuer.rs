//! Decides whether a daemon may issue orders to the engines of a data centre.
//!
//! The orders of a data centre have their own log stream. Its owner according to
//! the replayed state is the issuer, and the epoch is the fencing token; engines
//! that check it refuse an older one. For engines that do not check it, a read of
//! the end of the stream that shows no newer claim is a lease from the start of
//! the read. A new issuer reads its own claim only after the log has appended it,
//! and every read of the previous issuer that missed the claim started before. It
//! therefore waits until that lease has expired and no order can be in transit.
//! The wait also applies to engines that check the token: one that has not received
//! the new token could still accept an order of the previous issuer, and too many
//! replicas would be out of service.

use std::time::Duration;

use bitterncart_protocol::id;

/// Duration of the lease that a read gives, from the start of the read.
pub const READ_LEASE: Duration = Duration::from_secs(5);

/// Maximum time that an order can be in transit.
///
/// The sender closes the connection if it has no answer within this time.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum relative difference between the rates of two clocks.
const MAX_CLOCK_DRIFT: f64 = 0.01;

/// Permission of one daemon to issue orders.
#[derive(Clone, Copy, Debug, Default)]
pub struct Issuer {
    claimed: Option<Claimed>,
}

/// Ownership of the stream, and when this daemon first observed it.
#[derive(Clone, Copy, Debug)]
struct Claimed {
    epoch: id::Epoch,
    observed: Duration,
}

impl Issuer {
    /// Updates the epoch in which this daemon owns the stream, or `None` if it does not.
    pub fn set_epoch(&mut self, now: Duration, mine: Option<id::Epoch>) {
        self.claimed = match (self.claimed, mine) {
            (Some(claimed), Some(epoch)) if claimed.epoch == epoch => Some(claimed),
            (_, Some(epoch)) => Some(Claimed {
                epoch,
                observed: now,
            }),
            (_, None) => None,
        };
    }

    /// Fencing token for an order that is sent immediately; `None` if none may be sent.
    ///
    /// `last_read` is the start of the last read that reached the end of the stream.
    /// Call this with the current monotonic time immediately before each order, so
    /// that a daemon that was paused detects that its lease has expired.
    #[must_use]
    pub fn fencing_token(&self, now: Duration, last_read: Duration) -> Option<u64> {
        let claimed = self.claimed?;
        let has_lease = now < last_read + READ_LEASE;
        let waited =
            now >= claimed.observed + READ_LEASE.mul_f64(1.0 + MAX_CLOCK_DRIFT) + ORDER_TIMEOUT;
        (has_lease && waited).then_some(claimed.epoch.0)
    }
}
