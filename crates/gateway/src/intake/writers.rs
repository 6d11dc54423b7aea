//! Connections on which a large response is written, by the time at which it began.
//!
//! A response takes memory until the other side has read it. While memory is short, those that
//! have been written for longer than any client waits give way, the oldest first.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use super::registry::Closer;

/// Time for which a response is written in any case, if the daemon lives: the longest for which
/// the users' clients wait for the answer to a call.
pub const MIN_WRITE_TIME: Duration = Duration::from_secs(5);

#[derive(Debug, Default)]
struct State {
    next: u64,
    open: BTreeMap<(Duration, u64), Closer>,
}

/// Connections on which a large response is written.
#[derive(Clone, Debug, Default)]
pub struct Writers {
    state: Arc<Mutex<State>>,
}

impl Writers {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a connection whose response begins now.
    pub(super) fn start(&self, now: Duration, closer: Closer) -> Writer {
        let mut state = self.lock();
        let key = (now, state.next);
        state.next += 1;
        state.open.insert(key, closer);
        Writer {
            writers: self.clone(),
            key,
        }
    }

    /// Closes the connection whose response has been written longest; `false` if none has been
    /// for [`MIN_WRITE_TIME`].
    #[must_use]
    pub fn close_slowest(&self, now: Duration) -> bool {
        let mut state = self.lock();
        let Some(first) = state.open.first_entry() else {
            return false;
        };
        let (begun, _) = *first.key();
        if now.saturating_sub(begun) < MIN_WRITE_TIME {
            return false;
        }
        let closer = first.remove();
        drop(state);
        closer.close();
        true
    }
}

/// Entry of a connection, removed on drop.
#[derive(Debug)]
pub(super) struct Writer {
    writers: Writers,
    key: (Duration, u64),
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.writers.lock().open.remove(&self.key);
    }
}
