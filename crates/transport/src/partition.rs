//! Simulated network partitions.
//!
//! Tests block traffic between a daemon and a set of IP addresses. A blocked
//! address behaves as behind a partition that drops all packets: connection
//! attempts hang instead of being refused, and reads and writes on existing
//! connections make no progress until the address is unblocked. In production
//! no address is ever blocked.

use std::collections::HashSet;
use std::io;
use std::net::IpAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::task::{Context, Poll};
use std::time::Duration;

use futures_lite::{AsyncRead, AsyncWrite};
use smol::Timer;
use smol::net::TcpStream;

/// Interval at which a blocked operation checks whether its address is still blocked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Debug, Default)]
struct Shared {
    /// Whether `blocked` is non-empty, so that the common case needs no lock.
    any_blocked: AtomicBool,
    blocked: RwLock<HashSet<IpAddr>>,
}

/// Blocked addresses of other hosts; clones share their state.
#[derive(Clone, Debug, Default)]
pub struct Blocklist {
    shared: Arc<Shared>,
}

impl Blocklist {
    /// Replaces the set of blocked addresses; an empty set unblocks all.
    pub fn block_only(&self, addresses: impl IntoIterator<Item = IpAddr>) {
        let addresses: HashSet<IpAddr> = addresses.into_iter().collect();
        let any_blocked = !addresses.is_empty();
        let mut blocked = self
            .shared
            .blocked
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        *blocked = addresses;
        self.shared
            .any_blocked
            .store(any_blocked, Ordering::Relaxed);
    }

    /// Whether an address is blocked.
    #[must_use]
    pub fn is_blocked(&self, address: IpAddr) -> bool {
        let any_blocked = self.shared.any_blocked.load(Ordering::Relaxed);
        any_blocked
            && self
                .shared
                .blocked
                .read()
                .unwrap_or_else(PoisonError::into_inner)
                .contains(&address)
    }

    /// Waits until an address is not blocked.
    pub async fn wait_until_unblocked(&self, address: IpAddr) {
        while self.is_blocked(address) {
            Timer::after(POLL_INTERVAL).await;
        }
    }
}

/// TCP connection that makes no progress while its remote address is blocked.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    blocklist: Blocklist,
    address: IpAddr,
    timer: Option<Timer>,
}

impl Clone for Connection {
    fn clone(&self) -> Self {
        Self::new(self.stream.clone(), self.blocklist.clone(), self.address)
    }
}

impl Connection {
    pub(crate) fn new(stream: TcpStream, blocklist: Blocklist, address: IpAddr) -> Self {
        Self {
            stream,
            blocklist,
            address,
            timer: None,
        }
    }

    fn poll_unblocked(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.blocklist.is_blocked(self.address) {
            let timer = self
                .timer
                .get_or_insert_with(|| Timer::after(POLL_INTERVAL));
            match Pin::new(timer).poll(cx) {
                Poll::Ready(_) => self.timer = None,
                Poll::Pending => return Poll::Pending,
            }
        }
        Poll::Ready(())
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        match self.poll_unblocked(cx) {
            Poll::Ready(()) => Pin::new(&mut self.stream).poll_read(cx, buf),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.poll_unblocked(cx) {
            Poll::Ready(()) => Pin::new(&mut self.stream).poll_write(cx, buf),
            Poll::Pending => Poll::Pending,
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
