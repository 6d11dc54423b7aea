//! Model of an inference engine with continuous batching.
//!
//! The engine admits waiting sequences in order of arrival up to its maximum,
//! and each step generates one token for every running sequence. The duration
//! of a step comes from the same model as the stand-in engine, so the two agree
//! without sockets in between. A cache of recent prompt prefixes makes the
//! prefill of a repeated prefix shorter.

use std::collections::VecDeque;
use std::time::Duration;

use bitterncart_standin::engine::Model;

/// Identifier of a sequence, unique within a run.
pub(super) type SequenceId = u64;

/// Sequence that waits or runs at an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sequence {
    pub(super) id: SequenceId,
    pub(super) remaining_tokens: u32,
    pub(super) prefix: u64,
}

/// Modelled engine.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    model: Model,
    /// Factor on the duration of each step.
    pub(super) slow_factor: f64,
    /// Whether steps end without any token.
    pub(super) silent: bool,
    pub(super) waiting: VecDeque<Sequence>,
    pub(super) running: Vec<Sequence>,
    /// Cached prompt prefixes, least recently used first.
    cached_prefixes: VecDeque<u64>,
    pub(super) cache_hits: u64,
    pub(super) cache_misses: u64,
    pub(super) stepping: bool,
}

impl Engine {
    pub(super) fn new(model: Model) -> Self {
        Self {
            model,
            slow_factor: 1.0,
            silent: false,
            waiting: VecDeque::new(),
            running: Vec::new(),
            cached_prefixes: VecDeque::new(),
            cache_hits: 0,
            cache_misses: 0,
            stepping: false,
        }
    }

    /// Admits waiting sequences and returns the duration of the next step, or
    /// `None` if no sequence runs.
    pub(super) fn begin_step(&mut self) -> Option<Duration> {
        let (mut admitted, mut cached) = (0, 0);
        while self.running.len() < self.model.max_sequences {
            let Some(sequence) = self.waiting.pop_front() else {
                break;
            };
            admitted += 1;
            cached += usize::from(self.touch_prefix(sequence.prefix));
            self.running.push(sequence);
        }
        self.stepping = !self.running.is_empty();
        let step = self.model.step(self.running.len(), admitted, cached);
        self.stepping.then(|| step.mul_f64(self.slow_factor))
    }

    /// Generates one token for each running sequence; `true` marks its last one.
    pub(super) fn end_step(&mut self) -> Vec<(SequenceId, bool)> {
        if self.silent {
            return Vec::new();
        }
        let mut tokens = Vec::with_capacity(self.running.len());
        for sequence in &mut self.running {
            sequence.remaining_tokens -= 1;
            tokens.push((sequence.id, sequence.remaining_tokens == 0));
        }
        self.running
            .retain(|sequence| sequence.remaining_tokens > 0);
        tokens
    }

    /// Removes a sequence and returns the number of tokens still to generate.
    pub(super) fn cancel(&mut self, id: SequenceId) -> Option<u32> {
        let matches = |sequence: &Sequence| sequence.id == id;
        if let Some(index) = self.running.iter().position(matches) {
            return Some(self.running.swap_remove(index).remaining_tokens);
        }
        let index = self.waiting.iter().position(matches)?;
        self.waiting
            .remove(index)
            .map(|sequence| sequence.remaining_tokens)
    }

    /// Moves a prefix to the newest place in the cache; returns whether it was cached.
    fn touch_prefix(&mut self, prefix: u64) -> bool {
        let index = self
            .cached_prefixes
            .iter()
            .position(|known| *known == prefix);
        match index {
            Some(index) => {
                self.cached_prefixes.remove(index);
                self.cache_hits += 1;
            }
            None => self.cache_misses += 1,
        }
        self.cached_prefixes.push_back(prefix);
        if self.cached_prefixes.len() > self.model.prefixes {
            self.cached_prefixes.pop_front();
        }
        index.is_some()
    }
}
