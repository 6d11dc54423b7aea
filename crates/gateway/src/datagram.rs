//! Datagrams to other daemons on the port of the heartbeats, and asks that wait for
//! replies. A datagram may be lost; nothing is repeated here.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};

use async_channel::{Receiver, Sender};
use smol::net::UdpSocket;

use crate::log;

/// Socket of the heartbeats, once it is bound.
#[derive(Debug, Default)]
pub(crate) struct Socket(OnceLock<UdpSocket>);

impl Socket {
    pub(crate) fn set(&self, socket: UdpSocket) {
        // It is set once, at the start.
        drop(self.0.set(socket));
    }

    /// Sends an encoded message. A failed send is treated as a lost datagram.
    pub(crate) async fn send(&self, encoded: Result<Vec<u8>, postcard::Error>, to: SocketAddr) {
        match (self.0.get(), encoded) {
            (Some(socket), Ok(bytes)) => drop(socket.send_to(&bytes, to).await),
            (_, Err(e)) => log::datagram_error(&e.to_string()),
            (None, _) => {}
        }
    }
}

/// Asks of this daemon that wait for replies.
#[derive(Debug)]
pub(crate) struct Asks<T> {
    pending: Mutex<HashMap<u32, Sender<T>>>,
    next_id: AtomicU32,
}

impl<T> Default for Asks<T> {
    fn default() -> Self {
        Self {
            pending: Mutex::default(),
            // Replies to the asks of an earlier process may still come.
            next_id: AtomicU32::new(rand::random()),
        }
    }
}

impl<T> Asks<T> {
    fn pending(&self) -> MutexGuard<'_, HashMap<u32, Sender<T>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers an ask for up to `max_replies`.
    pub(crate) fn register(&self, max_replies: usize) -> Ask<'_, T> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (sender, replies) = async_channel::bounded(max_replies.max(1));
        self.pending().insert(id, sender);
        Ask {
            asks: self,
            id,
            replies,
        }
    }

    /// Hands a reply to the ask with its number, unless that no longer waits.
    pub(crate) fn reply(&self, id: u32, reply: T) {
        let sender = self.pending().get(&id).cloned();
        if let Some(sender) = sender {
            // One that has all its replies drops further ones.
            let _sent = sender.try_send(reply);
        }
    }
}

/// Ask that waits for replies until it is dropped.
pub(crate) struct Ask<'a, T> {
    asks: &'a Asks<T>,
    /// Number that the replies repeat.
    pub id: u32,
    pub replies: Receiver<T>,
}

impl<T> Drop for Ask<'_, T> {
    fn drop(&mut self) {
        self.asks.pending().remove(&self.id);
    }
}
