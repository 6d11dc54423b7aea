//! Failover of an online completion across replicas.
//!
//! The tokens of an answer are passed on from a sequence at one replica. If an
//! attempt fails before its first token, the request is retried on another replica;
//! after the first token it resumes on another replica from the tokens already
//! passed on. The request's deadline, the retry budget and the replicas not tried
//! yet limit the attempts. The final error never claims that the request did not run
//! if it may have run.

use std::sync::Arc;
use std::time::Duration;

use bitterncart_coordination::retry::{Attempt, Decision, Failure};
use bitterncart_coordination::routing::{Class, Key, Query};
use bitterncart_protocol::code::Ran;
use bitterncart_protocol::{Code, Name};
use serde_json::Value;

use super::ApiError;
use crate::core::Core;
use crate::engine::{AttemptError, Dispatch, Sequence, Token, prefix_hash};

/// Share of the bound on time to first token after which a replica counts as
/// silent, so that another attempt can still meet the bound.
const FIRST_TOKEN_TIMEOUT_SHARE: f64 = 0.5;

/// Online request to a model.
#[derive(Clone, Debug)]
pub(super) struct Inference {
    /// Model.
    pub(super) model: Name,
    /// API path.
    pub(super) endpoint: String,
    /// Request body.
    pub(super) body: Value,
    /// Deadline of the complete answer, by the daemon's clock.
    pub(super) deadline: Duration,
    /// Bound on the time to first token, from the document.
    pub(super) ttft_bound: Duration,
}

/// Answer whose tokens are relayed to the caller as they are generated.
#[derive(Debug)]
pub(super) struct Relay {
    core: Arc<Core>,
    inference: Inference,
    sequence: Option<Sequence>,
    tokens: usize,
    tried: Vec<Key>,
    may_have_run: bool,
}

impl Relay {
    pub(super) fn new(core: &Arc<Core>, inference: Inference) -> Self {
        core.budget().earn();
        Self {
            core: Arc::clone(core),
            inference,
            sequence: None,
            tokens: 0,
            tried: Vec::new(),
            may_have_run: false,
        }
    }

    /// Next token, over as many attempts as needed; `None` when the answer is complete.
    pub(super) async fn next(&mut self) -> Result<Option<Token>, ApiError> {
        loop {
            let time_left = self.time_left();
            if time_left.is_zero() {
                return Err(self.give_up(Code::DeadlineUnreachable, Code::BackendTimeout));
            }
            let token = smol::future::or(self.try_next(time_left), async {
                smol::Timer::after(time_left).await;
                Err(AttemptError::Failed(Failure::Timeout))
            });
            match token.await {
                Ok(Some(token)) => {
                    self.tokens += 1;
                    self.may_have_run = true;
                    return Ok(Some(token));
                }
                Ok(None) => return Ok(None),
                Err(AttemptError::Rejected(status, body)) => {
                    let message = format!("the engine answered {status}: {body}");
                    return Err(ApiError::new(Code::BackendRejected, message));
                }
                Err(AttemptError::Failed(failure)) => self.prepare_retry(failure)?,
            }
        }
    }

    /// Next token of the current attempt, which is started if there is none.
    async fn try_next(&mut self, time_left: Duration) -> Result<Option<Token>, AttemptError> {
        if self.sequence.is_none() {
            let key = self
                .choose_replica(time_left)
                .ok_or(AttemptError::Failed(Failure::Connect))?;
            self.tried.push(key);
            let dispatch = Dispatch {
                key,
                class: Class::Online,
                endpoint: &self.inference.endpoint,
                request: &self.inference.body,
                resume_tokens: self.tokens,
                first_token_timeout: self.first_token_timeout(time_left),
            };
            self.sequence = Some(Sequence::start(&self.core, dispatch).await?);
        }
        match self.sequence.as_mut() {
            Some(sequence) => sequence.next().await,
            None => Err(AttemptError::Failed(Failure::Connect)),
        }
    }

    /// Timeout of the first token; if the budget allows no retry, all the time left.
    fn first_token_timeout(&self, time_left: Duration) -> Duration {
        let can_retry = self.core.budget().can_retry();
        if can_retry {
            self.inference
                .ttft_bound
                .mul_f64(FIRST_TOKEN_TIMEOUT_SHARE)
                .min(time_left)
        } else {
            time_left
        }
    }

    fn choose_replica(&self, time_left: Duration) -> Option<Key> {
        let prefix = prefix_hash(&self.inference.body);
        let query = Query {
            serves: self.inference.model.as_str(),
            prefix,
            time_left,
            excluded: &self.tried,
        };
        self.core.routing().choose(self.core.now(), query)
    }

    /// Drops the failed attempt and decides whether another one may be made.
    fn prepare_retry(&mut self, failure: Failure) -> Result<(), ApiError> {
        self.sequence = None;
        self.may_have_run |= !failure.not_run();
        let time_left = self.time_left();
        if self.choose_replica(time_left).is_none() {
            return Err(self.give_up(Code::NoReplica, Code::BackendFailed));
        }
        let made = self.tried.len() as u32;
        let attempt = Attempt {
            failure,
            repeatable: true,
            made,
            time_left,
        };
        let decision = self.core.budget().decide(attempt);
        match decision {
            Decision::Retry => {
                let retry_code = if self.tokens > 0 {
                    Code::RetryResume
                } else {
                    failure.retry_code()
                };
                self.core.counters.count_code(retry_code);
                Ok(())
            }
            Decision::Stop(code) => {
                self.core.counters.count_code(Code::RetryBudget);
                Err(self.give_up(code, Code::BackendFailed))
            }
        }
    }

    /// Error with `code`, or with `code_if_run` if `code` says that the request did
    /// not run and it may have; [`Code::StreamBroken`] after the first token.
    fn give_up(&self, code: Code, code_if_run: Code) -> ApiError {
        let code = match (self.may_have_run, code.ran()) {
            _ if self.tokens > 0 => Code::StreamBroken,
            (true, Ran::NotRun) => code_if_run,
            _ => code,
        };
        ApiError::from(code)
    }

    fn time_left(&self) -> Duration {
        self.inference.deadline.saturating_sub(self.core.now())
    }
}
