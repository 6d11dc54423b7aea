//! Links of a process to others, which can be cut as a failing network would.
//!
//! A cut link loses everything without notice: connections are not refused and
//! those that stand go silent. In production nothing is ever cut.

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

/// Time between two looks at a cut link.
const LOOK: Duration = Duration::from_millis(50);

#[derive(Debug, Default)]
struct Shared {
    any: AtomicBool,
    cut: RwLock<HashSet<IpAddr>>,
}

/// Links of a process, cut or not.
#[derive(Clone, Debug, Default)]
pub struct Links {
    shared: Arc<Shared>,
}

impl Links {
    /// Cuts the links to exactly these machines; none heals all.
    pub fn cut(&self, machines: impl IntoIterator<Item = IpAddr>) {
        let machines: HashSet<IpAddr> = machines.into_iter().collect();
        let any = !machines.is_empty();
        let mut cut = self
            .shared
            .cut
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        *cut = machines;
        self.shared.any.store(any, Ordering::Relaxed);
    }

    /// Whether the link to a machine is cut.
    #[must_use]
    pub fn is_cut(&self, machine: IpAddr) -> bool {
        let any = self.shared.any.load(Ordering::Relaxed);
        any && self
            .shared
            .cut
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .contains(&machine)
    }

    /// Waits while the link to a machine is cut.
    pub async fn pass(&self, machine: IpAddr) {
        while self.is_cut(machine) {
            Timer::after(LOOK).await;
        }
    }
}

/// Connection over a link.
#[derive(Debug)]
pub(crate) struct Linked {
    stream: TcpStream,
    links: Links,
    machine: IpAddr,
    look: Option<Timer>,
}

impl Clone for Linked {
    fn clone(&self) -> Self {
        Self::new(self.stream.clone(), self.links.clone(), self.machine)
    }
}

impl Linked {
    pub(crate) fn new(stream: TcpStream, links: Links, machine: IpAddr) -> Self {
        Self {
            stream,
            links,
            machine,
            look: None,
        }
    }

    fn poll_link(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.links.is_cut(self.machine) {
            let look = self.look.get_or_insert_with(|| Timer::after(LOOK));
            match Pin::new(look).poll(cx) {
                Poll::Ready(_) => self.look = None,
                Poll::Pending => return Poll::Pending,
            }
        }
        Poll::Ready(())
    }
}

impl AsyncRead for Linked {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        match self.poll_link(cx) {
            Poll::Ready(()) => Pin::new(&mut self.stream).poll_read(cx, buf),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncWrite for Linked {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.poll_link(cx) {
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
