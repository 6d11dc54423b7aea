//! Place of a request among those under way.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bitterncart_protocol::{Code, Name};

use super::Refusal;
use crate::core::Core;

/// Admitted request; dropping it ends it.
#[derive(Debug)]
pub(super) struct Permit {
    core: Arc<Core>,
    customer: Name,
    /// Tokens made for it so far.
    pub(super) tokens: u32,
}

impl Permit {
    /// Admits a request of a customer.
    pub(super) fn admit(core: &Arc<Core>, customer: &Name) -> Result<Self, Refusal> {
        if core.is_draining() {
            return Err(Refusal::from(Code::Draining));
        }
        core.admission().admit(core.now(), customer)?;
        core.running.fetch_add(1, Ordering::SeqCst);
        Ok(Self {
            core: Arc::clone(core),
            customer: customer.clone(),
            tokens: 0,
        })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.core
            .admission()
            .finish(self.core.now(), &self.customer, self.tokens);
        self.core.running.fetch_sub(1, Ordering::SeqCst);
    }
}
