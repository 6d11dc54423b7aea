//! One online answer over as many attempts as it takes.
//!
//! Before the first token a failed attempt is made again elsewhere; after it
//! the answer goes on at another replica from the tokens that the caller has.
//! The deadline and the retry budget bound both.

use std::sync::Arc;
use std::time::Duration;

use bitterncart_coordination::retry::{Attempt, Failure, Verdict};
use bitterncart_coordination::routing::{Class, Key, Query};
use bitterncart_protocol::code::Ran;
use bitterncart_protocol::{Code, Name};
use serde_json::Value;

use super::Refusal;
use crate::core::Core;
use crate::engine::{Broken, Dispatch, Sequence, Token, request_prefix};

/// Share of the first-token bound after which a replica is taken for silent,
/// so that another attempt can still meet the bound.
const PATIENCE: f64 = 0.5;

/// What is asked of the engines.
#[derive(Clone, Debug)]
pub(super) struct Question {
    /// Model.
    pub(super) model: Name,
    /// API path.
    pub(super) endpoint: String,
    /// Request body.
    pub(super) body: Value,
    /// When the answer is due, by the daemon's clock.
    pub(super) until: Duration,
    /// Time to first token that the document allows.
    pub(super) ttft: Duration,
}

/// Answer in the making.
#[derive(Debug)]
pub(super) struct Relay {
    core: Arc<Core>,
    question: Question,
    sequence: Option<Sequence>,
    made: usize,
    tried: Vec<Key>,
    may_have_run: bool,
}

impl Relay {
    pub(super) fn new(core: &Arc<Core>, question: Question) -> Self {
        core.budget().earn();
        Self {
            core: Arc::clone(core),
            question,
            sequence: None,
            made: 0,
            tried: Vec::new(),
            may_have_run: false,
        }
    }

    /// Next token; `None` when the answer is whole.
    pub(super) async fn next(&mut self) -> Result<Option<Token>, Refusal> {
        loop {
            let left = self.left();
            if left.is_zero() {
                return Err(self.give_up(Code::DeadlineUnreachable, Code::BackendTimeout));
            }
            let step = smol::future::or(self.step(left), async {
                smol::Timer::after(left).await;
                Err(Broken::Failed(Failure::Silent))
            });
            match step.await {
                Ok(Some(token)) => {
                    self.made += 1;
                    self.may_have_run = true;
                    return Ok(Some(token));
                }
                Ok(None) => return Ok(None),
                Err(Broken::Rejected(status, body)) => {
                    let message = format!("the engine answered {status}: {body}");
                    return Err(Refusal::new(Code::BackendRejected, message));
                }
                Err(Broken::Failed(failure)) => self.recover(failure)?,
            }
        }
    }

    async fn step(&mut self, left: Duration) -> Result<Option<Token>, Broken> {
        if self.sequence.is_none() {
            let key = self.choose(left).ok_or(Broken::Failed(Failure::Connect))?;
            self.tried.push(key);
            let dispatch = Dispatch {
                key,
                class: Class::Online,
                endpoint: &self.question.endpoint,
                request: &self.question.body,
                done: self.made,
                patience: self.patience(left),
            };
            self.sequence = Some(Sequence::start(&self.core, dispatch).await?);
        }
        match self.sequence.as_mut() {
            Some(sequence) => sequence.next().await,
            None => Err(Broken::Failed(Failure::Connect)),
        }
    }

    /// Time for a first token; without another attempt to make, all that is left.
    fn patience(&self, left: Duration) -> Duration {
        let can_retry = self.core.budget().can_retry();
        if can_retry {
            self.question.ttft.mul_f64(PATIENCE).min(left)
        } else {
            left
        }
    }

    fn choose(&self, left: Duration) -> Option<Key> {
        let prefix = request_prefix(&self.question.body);
        let query = Query {
            serves: self.question.model.as_str(),
            prefix,
            left,
            tried: &self.tried,
        };
        self.core.routing().choose(self.core.now(), query)
    }

    /// Prepares another attempt or gives up.
    fn recover(&mut self, failure: Failure) -> Result<(), Refusal> {
        self.sequence = None;
        self.may_have_run |= !failure.not_run();
        let left = self.left();
        if self.choose(left).is_none() {
            return Err(self.give_up(Code::NoReplica, Code::BackendFailed));
        }
        let made = self.tried.len() as u32;
        let attempt = Attempt {
            failure,
            repeatable: true,
            made,
            left,
        };
        let verdict = self.core.budget().judge(attempt);
        match verdict {
            Verdict::Retry => {
                let reason = if self.made > 0 {
                    Code::RetryResume
                } else {
                    failure.reason()
                };
                self.core.counters.code(reason);
                Ok(())
            }
            Verdict::Stop(code) => {
                self.core.counters.code(Code::RetryBudget);
                Err(self.give_up(code, Code::BackendFailed))
            }
        }
    }

    /// Refusal with a code that does not claim more than is known.
    fn give_up(&self, code: Code, if_run: Code) -> Refusal {
        let code = match (self.may_have_run, code.ran()) {
            _ if self.made > 0 => Code::StreamBroken,
            (true, Ran::NotRun) => if_run,
            _ => code,
        };
        Refusal::from(code)
    }

    fn left(&self) -> Duration {
        self.question.until.saturating_sub(self.core.now())
    }
}
