//! Output of batch items that run for seconds, kept across the loss of daemons.
//!
//! Without it, a loss of all daemons, a restart or a new owner of a shard starts
//! every unfinished item from its first event, while replicas still run the lost
//! attempts. An [`Output`] grows event by event and gives the part that the ledger
//! does not have yet. An item can run at two daemons for a moment; a part is given
//! only if the ledger's output is the beginning of this one, so that the stored
//! output never joins two runs.

use std::time::Duration;

use bitterncart_state::ledger::{Build, OutputPart, Progress};

/// Interval between two checkpoints of a daemon: the run time that a loss of the
/// daemon costs an item at most.
pub const INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of events of an output.
pub const MAX_EVENTS: u64 = 65_536;

/// Output of an item, as far as it was received.
#[derive(Clone, Debug, Default)]
pub struct Output {
    text: String,
    last_event_id: u64,
    /// Length of the text after each event, from the one after `resumed_after`.
    lengths: Vec<usize>,
    /// Last event of the stored output with which this one begins; 0 for none.
    resumed_after: u64,
    resumed_length: usize,
    /// Build that writes it, if it is known.
    build: Option<Build>,
}

impl Output {
    /// Empty output that a build is going to write.
    #[must_use]
    pub fn begin(build: Option<Build>) -> Self {
        Self {
            build,
            ..Self::default()
        }
    }

    /// Build that writes it, if it is known. No other one can continue it.
    #[must_use]
    pub fn build(&self) -> Option<&Build> {
        self.build.as_ref()
    }

    /// Output that goes on after what the ledger has.
    #[must_use]
    pub fn resume(stored: &Progress) -> Self {
        Self {
            text: stored.output.clone(),
            last_event_id: stored.last_event_id,
            lengths: Vec::new(),
            resumed_after: stored.last_event_id,
            resumed_length: stored.output.len(),
            build: stored.build.clone(),
        }
    }

    /// Data of all events, separated by line feeds.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Id of the last event; ids count from 1.
    #[must_use]
    pub fn last_event_id(&self) -> u64 {
        self.last_event_id
    }

    /// Bytes in memory, with those of the copy that is stored in the end.
    #[must_use]
    pub fn kept_bytes(&self) -> usize {
        2 * self.text.len() + size_of_val(self.lengths.as_slice())
    }

    /// Whether the next event fits: the text takes `max_bytes` at most, and there are
    /// [`MAX_EVENTS`] at most.
    #[must_use]
    pub fn fits(&self, data: &str, max_bytes: usize) -> bool {
        let separator = usize::from(self.last_event_id > 0);
        self.text.len() + separator + data.len() <= max_bytes && self.last_event_id < MAX_EVENTS
    }

    /// Adds the data of the next event.
    pub fn push(&mut self, data: &str) {
        if self.last_event_id > 0 {
            self.text.push('\n');
        }
        self.text.push_str(data);
        self.last_event_id += 1;
        self.lengths.push(self.text.len());
    }

    /// Part of this output behind the stored one; `None` if there is none, or the
    /// stored output is of another run. All of it if it is longer than that of another
    /// build.
    #[must_use]
    pub fn part_behind(&self, item: u32, stored: Option<&Progress>) -> Option<OutputPart> {
        if let Some(stored) = stored.filter(|stored| stored.build != self.build) {
            return (self.last_event_id > stored.last_event_id).then(|| OutputPart {
                item,
                after: 0,
                last_event_id: self.last_event_id,
                text: self.text.as_str().into(),
                build: self.build.clone(),
            });
        }
        let (after, prefix) = stored.map_or((0, ""), |p| (p.last_event_id, p.output.as_str()));
        let length = self.length_after(after)?;
        let is_continued = self.last_event_id > after && self.text.get(..length)? == prefix;
        // A line feed separates the part from the events before it.
        let start = if after > 0 { length + 1 } else { 0 };
        is_continued.then(|| OutputPart {
            item,
            after,
            last_event_id: self.last_event_id,
            text: self.text[start..].into(),
            build: self.build.clone(),
        })
    }

    /// Length of the text after an event; `None` if it is not known.
    fn length_after(&self, event_id: u64) -> Option<usize> {
        match event_id.checked_sub(self.resumed_after)? {
            0 => Some(self.resumed_length),
            n => self.lengths.get(n as usize - 1).copied(),
        }
    }
}
