//! Enforces the request, token and concurrency limits of customers.
//!
//! Each daemon enforces its share of a customer's limits without a message per
//! request. Rates are divided by the number of live daemons, concurrency by those
//! in the same data centre, so the shares add up to the configured limit. Demand
//! that the load balancer spreads at random is admitted to within a tenth of the
//! limit. While the membership converges, each daemon can admit one burst in
//! addition, and each side of a partition admits the full limit.

use std::collections::HashMap;
use std::time::Duration;

use bitterncart_protocol::{Code, Name, admin, document};

use crate::bucket::Bucket;

/// Burst that a rate allows, as seconds of that rate.
const BURST_S: f64 = 2.0;

/// Refusal of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Limit that was reached.
    pub code: Code,
    /// Time after which a retry may succeed.
    pub retry_after: Duration,
}

#[derive(Clone, Debug)]
struct Account {
    requests: Bucket,
    tokens: Bucket,
    concurrency: u32,
    running: u32,
    admitted: u64,
    refused: u64,
}

/// Admission control of one daemon for all customers.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    accounts: HashMap<Name, Account>,
}

impl Admission {
    /// Applies the customers of a configuration document.
    ///
    /// `daemons` is the number of live daemons, `local` that of the live daemons in
    /// this data centre. A customer that remains in the document keeps its usage.
    pub fn configure(
        &mut self,
        now: Duration,
        customers: &[document::Customer],
        daemons: usize,
        local: usize,
    ) {
        let share = 1.0 / daemons.max(1) as f64;
        self.accounts
            .retain(|name, _| customers.iter().any(|customer| customer.name == *name));
        for customer in customers {
            let requests = f64::from(customer.requests_per_s) * share;
            let tokens = f64::from(customer.tokens_per_s) * share;
            let request_burst = (requests * BURST_S).max(1.0);
            let token_burst = tokens * BURST_S;
            let account = self
                .accounts
                .entry(customer.name.clone())
                .or_insert_with(|| Account {
                    requests: Bucket::new(requests, request_burst),
                    tokens: Bucket::new(tokens, token_burst),
                    concurrency: 0,
                    running: 0,
                    admitted: 0,
                    refused: 0,
                });
            account.requests.adjust(now, requests, request_burst);
            account.tokens.adjust(now, tokens, token_burst);
            let local = u32::try_from(local.max(1)).unwrap_or(u32::MAX);
            account.concurrency = customer.concurrency.div_ceil(local);
        }
    }

    /// Admits a request within the limits of its customer.
    ///
    /// # Errors
    ///
    /// The limit that was reached, or [`Code::BadCredentials`] for an unknown
    /// customer. The request must not run.
    pub fn admit(&mut self, now: Duration, customer: &Name) -> Result<(), Refusal> {
        let Some(account) = self.accounts.get_mut(customer) else {
            return Err(Refusal {
                code: Code::BadCredentials,
                retry_after: Duration::ZERO,
            });
        };
        let result = account.admit(now);
        match result {
            Ok(()) => account.admitted += 1,
            Err(_) => account.refused += 1,
        }
        result
    }

    /// Records the end of an admitted request and charges its tokens.
    pub fn finish(&mut self, now: Duration, customer: &Name, tokens: u32) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.running = account.running.saturating_sub(1);
            account.tokens.charge(now, f64::from(tokens));
        }
    }

    /// Rows for the admin API: customers with any requests so far, sorted by name.
    #[must_use]
    pub fn admin_rows(&self) -> Vec<admin::Customer> {
        let mut rows: Vec<_> = self
            .accounts
            .iter()
            .filter(|(_, account)| account.admitted + account.refused > 0)
            .map(|(name, account)| admin::Customer {
                name: name.clone(),
                running: account.running,
                admitted: account.admitted,
                refused: account.refused,
            })
            .collect();
        rows.sort_by(|a, b| a.name.cmp(&b.name));
        rows
    }
}

impl Account {
    /// Suggested retry delay at the concurrency limit.
    const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_millis(500);

    fn admit(&mut self, now: Duration) -> Result<(), Refusal> {
        if self.running >= self.concurrency {
            return Err(Refusal {
                code: Code::ConcurrencyLimited,
                retry_after: Self::CONCURRENCY_RETRY_AFTER,
            });
        }
        // Tokens are charged when a request ends; a negative level delays the next one.
        let debt = self.tokens.wait(now, 0.0);
        if debt > Duration::ZERO {
            return Err(Refusal {
                code: Code::TokenLimited,
                retry_after: debt,
            });
        }
        if !self.requests.take(now, 1.0) {
            return Err(Refusal {
                code: Code::RateLimited,
                retry_after: self.requests.wait(now, 1.0),
            });
        }
        self.running += 1;
        Ok(())
    }
}
