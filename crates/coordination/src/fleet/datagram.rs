//! Datagrams between daemons that are no heartbeats.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// First byte of the datagrams of one kind of message. A heartbeat on the same port
/// begins with the variant of an IP address, 0 or 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Mark(pub u8);

impl Mark {
    /// Encodes a message of this kind.
    pub(crate) fn encode(self, message: &impl Serialize) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_extend(message, vec![self.0])
    }

    /// Decodes a message of this kind; `None` if the datagram is none.
    pub(crate) fn decode<T: DeserializeOwned>(self, datagram: &[u8]) -> Option<T> {
        let (mark, message) = datagram.split_first()?;
        if *mark != self.0 {
            return None;
        }
        postcard::from_bytes(message).ok()
    }
}
