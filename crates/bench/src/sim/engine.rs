//! Modelled engine: the stand-in's steps without its sockets.

use std::collections::VecDeque;
use std::time::Duration;

use bitterncart_standin::engine::Model;

/// Number of a sequence in a run.
pub(super) type Number = u64;

/// Sequence at an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sequence {
    pub(super) number: Number,
    pub(super) left: u32,
    pub(super) prefix: u64,
}

/// Engine with continuous batching.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    model: Model,
    pub(super) slow: f64,
    pub(super) silent: bool,
    pub(super) waiting: VecDeque<Sequence>,
    pub(super) running: Vec<Sequence>,
    prefixes: VecDeque<u64>,
    pub(super) hits: u64,
    pub(super) misses: u64,
    pub(super) stepping: bool,
}

impl Engine {
    pub(super) fn new(model: Model) -> Self {
        Self {
            model,
            slow: 1.0,
            silent: false,
            waiting: VecDeque::new(),
            running: Vec::new(),
            prefixes: VecDeque::new(),
            hits: 0,
            misses: 0,
            stepping: false,
        }
    }

    /// Admits in order of arrival and returns the time of the next step.
    pub(super) fn begin(&mut self) -> Option<Duration> {
        let (mut admitted, mut cached) = (0, 0);
        while self.running.len() < self.model.max_sequences {
            let Some(sequence) = self.waiting.pop_front() else {
                break;
            };
            admitted += 1;
            cached += usize::from(self.touch(sequence.prefix));
            self.running.push(sequence);
        }
        self.stepping = !self.running.is_empty();
        let step = self.model.step(self.running.len(), admitted, cached);
        self.stepping.then(|| step.mul_f64(self.slow))
    }

    /// Ends a step: each running sequence has a token more.
    pub(super) fn end(&mut self) -> Vec<(Number, bool)> {
        if self.silent {
            return Vec::new();
        }
        let mut tokens = Vec::with_capacity(self.running.len());
        for sequence in &mut self.running {
            sequence.left -= 1;
            tokens.push((sequence.number, sequence.left == 0));
        }
        self.running.retain(|sequence| sequence.left > 0);
        tokens
    }

    /// Takes a sequence out and returns the tokens that it lacked.
    pub(super) fn cancel(&mut self, number: Number) -> Option<u32> {
        let of = |sequence: &Sequence| sequence.number == number;
        if let Some(at) = self.running.iter().position(of) {
            return Some(self.running.swap_remove(at).left);
        }
        let at = self.waiting.iter().position(of)?;
        self.waiting.remove(at).map(|sequence| sequence.left)
    }

    fn touch(&mut self, prefix: u64) -> bool {
        let at = self.prefixes.iter().position(|known| *known == prefix);
        match at {
            Some(at) => {
                self.prefixes.remove(at);
                self.hits += 1;
            }
            None => self.misses += 1,
        }
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > self.model.prefixes {
            self.prefixes.pop_front();
        }
        at.is_some()
    }
}
