//! Limits per customer.
//!
//! Each daemon enforces its share of a customer's rates without a message per
//! request. The share is one over the live daemons, of those in its data centre
//! for concurrency, so the sum over all daemons is the stated limit; a demand
//! that the balancer spreads at random is admitted to within a tenth. While
//! membership settles a burst of each daemon comes on top, and the sides of a
//! partition each admit the whole.

use std::collections::HashMap;
use std::time::Duration;

use bitterncart_protocol::{Code, Name, admin, document};

use crate::bucket::Bucket;

/// Seconds of a rate that may come at once.
const BURST_S: f64 = 2.0;

/// Refusal with the time to come back after.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub code: Code,
    /// When to come back.
    pub after: Duration,
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

/// Limits of all customers at one daemon.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    accounts: HashMap<Name, Account>,
}

impl Admission {
    /// Takes the customers of a document and the number of live daemons, in all
    /// and in this data centre.
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

    /// Admits a request or tells why not.
    ///
    /// # Errors
    ///
    /// The limit that was reached; the request was not run.
    pub fn admit(&mut self, now: Duration, customer: &Name) -> Result<(), Refusal> {
        let Some(account) = self.accounts.get_mut(customer) else {
            return Err(Refusal {
                code: Code::BadCredentials,
                after: Duration::ZERO,
            });
        };
        let verdict = account.admit(now);
        match verdict {
            Ok(()) => account.admitted += 1,
            Err(_) => account.refused += 1,
        }
        verdict
    }

    /// Notes the end of an admitted request and the tokens that it used.
    pub fn finish(&mut self, now: Duration, customer: &Name, tokens: u32) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.running = account.running.saturating_sub(1);
            account.tokens.charge(now, f64::from(tokens));
        }
    }

    /// Customers with traffic.
    #[must_use]
    pub fn view(&self) -> Vec<admin::Customer> {
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
    /// Time after which a customer at its concurrency limit comes back.
    const RECHECK: Duration = Duration::from_millis(500);

    fn admit(&mut self, now: Duration) -> Result<(), Refusal> {
        if self.running >= self.concurrency {
            return Err(Refusal {
                code: Code::ConcurrencyLimited,
                after: Self::RECHECK,
            });
        }
        // Tokens are charged when a request ends; a debt holds back the next one.
        let debt = self.tokens.wait(now, 0.0);
        if debt > Duration::ZERO {
            return Err(Refusal {
                code: Code::TokenLimited,
                after: debt,
            });
        }
        if !self.requests.take(now, 1.0) {
            return Err(Refusal {
                code: Code::RateLimited,
                after: self.requests.wait(now, 1.0),
            });
        }
        self.running += 1;
        Ok(())
    }
}
