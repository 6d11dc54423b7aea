//! Admission of a request and its count among the requests in flight.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bitterncart_protocol::{Code, Name};

use super::ApiError;
use crate::core::Core;

/// Guard of an admitted request; dropping it ends the request for admission.
#[derive(Debug)]
pub(super) struct Permit {
    core: Arc<Core>,
    customer: Name,
    /// Tokens generated for the request so far.
    pub(super) tokens: u32,
}

impl Permit {
    /// Admits a request of a customer.
    ///
    /// # Errors
    ///
    /// [`Code::Draining`] while the daemon drains; otherwise the code of the
    /// customer's limit that is exceeded.
    pub(super) fn admit(core: &Arc<Core>, customer: &Name) -> Result<Self, ApiError> {
        if core.is_draining() {
            return Err(ApiError::from(Code::Draining));
        }
        core.admission().admit(core.now(), customer)?;
        core.in_flight.fetch_add(1, Ordering::SeqCst);
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
        self.core.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
