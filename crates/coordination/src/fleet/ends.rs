//! Ends of a stream that its answers do not state.
//!
//! An answer with neither a length nor chunks ends with its connection, whether its
//! replica has finished or has cut it off and lives on. So the stream is resumed behind
//! its last event. It is complete once an answer states its own end, or once
//! [`AGREEING_ENDS`] answers have ended behind the same event, of which one brought it.

/// Number of answers that end behind the same event if the stream is complete.
pub const AGREEING_ENDS: u32 = 3;

/// What follows an end that was not stated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The stream is complete.
    Complete,
    /// The stream is to be resumed behind its last event.
    Resume,
    /// As many answers as could confirm the end brought no event, and none before them
    /// ended behind one.
    Unfounded,
}

/// Ends of one stream that were not stated, over its attempts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ends {
    last_event_id: u64,
    /// An answer that brought the last event has ended behind it.
    is_founded: bool,
    /// Number of ends behind the last event.
    count: u32,
}

impl Ends {
    /// Records that an answer, which brought events or none, ended behind an event.
    pub fn record(&mut self, last_event_id: u64, has_events: bool) -> Verdict {
        if has_events || last_event_id != self.last_event_id {
            *self = Self {
                last_event_id,
                is_founded: has_events,
                count: 0,
            };
        }
        self.count += 1;
        match self.count {
            ..AGREEING_ENDS => Verdict::Resume,
            _ if self.is_founded => Verdict::Complete,
            _ => Verdict::Unfounded,
        }
    }
}
