//! Bounds of heads and connections.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bitterncart_gateway::intake::registry::Ticket;
use bitterncart_gateway::intake::{Bounds, Capacity, Meter, Metered, Refusal, Registry};
use bitterncart_testing::{cases, fuzz};
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use proptest::collection::vec;

use crate::harness::{Gateway, post, status, store};
use crate::replica::{OK_RESPONSE, ScriptedReplica};

const S: Duration = Duration::from_secs(1);

/// Limit of a head in the manifest of these tests.
const MAX_HEAD: usize = 16 << 10;

fn registry(connections: usize, head_bytes: usize) -> Registry {
    Registry::new(Capacity {
        connections,
        head_bytes,
    })
}

fn admit(registry: &Registry, now: Duration) -> Ticket {
    registry.admit(now).expect("a connection is admitted")
}

/// Guards against an ordinary new client that is refused, or a request that is broken off, while
/// connections that send nothing stay open.
#[test]
fn longest_without_request_is_closed_first() {
    let registry = registry(3, 1 << 20);
    let (served, silent, recent) = (
        admit(&registry, S),
        admit(&registry, 2 * S),
        admit(&registry, 3 * S),
    );
    served.head_received();
    served.request_received();
    let new = admit(&registry, 4 * S);
    let evicted = [&served, &silent, &recent, &new].map(Ticket::is_evicted);
    assert_eq!(evicted, [false, true, false, false]);
    assert_eq!(registry.open(), 3);
}

/// Guards against a kept connection that is closed within four fifths of the idle timeout, and
/// one that is kept for ever.
#[test]
fn idle_connection_is_kept_for_its_time() {
    let registry = registry(1, 1 << 20);
    let kept = admit(&registry, S);
    kept.head_received();
    kept.request_received();
    assert!(registry.admit(2 * S).is_none(), "a request is served");
    kept.response_ended(15 * S);
    assert!(registry.admit(14 * S).is_none(), "it was idle shortly");
    assert!(!kept.is_evicted());
    let _new = admit(&registry, 15 * S);
    assert!(kept.is_evicted());
}

/// Guards against incomplete heads that take more memory than their share, and against a single
/// one that is closed for no other.
#[test]
fn oldest_heads_are_closed_for_memory() {
    let registry = registry(10, 100);
    let tickets = [1, 2, 3].map(|s| admit(&registry, s * S));
    tickets[2].add_head_bytes(120, 4 * S);
    assert!(!tickets[2].is_evicted(), "it is the only one");
    tickets[0].add_head_bytes(90, 5 * S);
    let evicted = tickets.each_ref().map(Ticket::is_evicted);
    assert_eq!(evicted, [false, false, true]);
    tickets[0].head_received();
    tickets[1].add_head_bytes(100, 6 * S);
    let evicted = tickets.each_ref().map(Ticket::is_evicted);
    assert_eq!(evicted, [false, false, true]);
}

cases! {
    /// Guards against limits of connections that leave no descriptors or memory for others.
    fn capacity_follows(memory_mb: usize, max_fds: usize, clients: usize, peers: usize) {
        let memory = memory_mb << 20;
        assert_eq!(Capacity::of_clients(memory, max_fds).connections, clients);
        assert_eq!(Capacity::of_peers(memory, max_fds).connections, peers);
        // A client's and a relayed connection take two descriptors.
        let sockets = max_fds - 200;
        assert!(2 * (clients + peers) <= sockets);
    }
    capacity_by_default(256, 4096, 1461, 487);
    capacity_of_little_memory(64, 4096, 512, 487);
    capacity_of_few_descriptors(256, 400, 75, 25);
}

/// Source of bytes in pieces; one piece is read at a time.
struct Pieces(VecDeque<usize>);

impl AsyncRead for Pieces {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let Some(piece) = self.0.front_mut() else {
            return Poll::Ready(Ok(0));
        };
        let count = buffer.len().min(*piece);
        buffer[..count].fill(b'a');
        *piece -= count;
        if *piece == 0 {
            self.0.pop_front();
        }
        Poll::Ready(Ok(count))
    }
}

/// Guards against a head in pieces that is refused within the limit, or read beyond it, also
/// behind earlier requests of its connection.
#[test]
fn head_in_pieces_is_bounded() {
    let pieces = || vec(1..9000_usize, 1..12);
    let strategy = (vec(pieces(), 1..4), 1..9000_usize);
    fuzz(&strategy, |(heads, buffer)| {
        let registry = registry(1, 1 << 20);
        let bounds = Bounds::new(MAX_HEAD, 3 * S);
        let ticket = admit(&registry, S);
        let meter = Arc::new(Meter::new(ticket, bounds, S));
        let mut all = VecDeque::new();
        let sizes: Vec<usize> = heads.iter().map(|head| head.iter().sum()).collect();
        heads.iter().for_each(|head| all.extend(head));
        let mut reader = Metered::new(Pieces(all), Arc::clone(&meter));
        let mut cx = Context::from_waker(std::task::Waker::noop());
        for size in sizes {
            let mut read = 0;
            while read < size {
                let mut bytes = vec![0; buffer.min(size - read)];
                match Pin::new(&mut reader).poll_read(&mut cx, &mut bytes) {
                    Poll::Ready(Ok(count)) => read += count,
                    Poll::Ready(Err(_)) => {
                        assert_eq!(read, bounds.bytes);
                        assert_eq!(meter.refusal(), Some(Refusal::TooLarge));
                        return;
                    }
                    Poll::Pending => panic!("there are bytes"),
                }
            }
            assert!(size <= bounds.bytes, "{size} bytes were read");
            meter.head_received(false);
            meter.response_ended(false);
            // The HTTP library flushes a response before it reads on.
            let flushed = Pin::new(&mut Written(&mut reader)).poll(&mut cx);
            assert!(flushed.is_ready());
        }
    });
}

/// Flush of a connection that is only read.
struct Written<'a>(&'a mut Metered<Pieces>);

impl Future for Written<'_> {
    type Output = io::Result<()>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        futures_lite::AsyncWrite::poll_flush(Pin::new(self.0), cx)
    }
}

impl futures_lite::AsyncWrite for Pieces {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Request whose head, with its request line and separators, has a size.
fn with_head(bytes: usize) -> String {
    let request = post("/idempotent/a", "id");
    let head = request.find("\r\n\r\n").expect("the end of the head") + 4;
    let filler = "a".repeat(bytes - head - "x: \r\n".len());
    request.replacen("\r\n", &format!("\r\nx: {filler}\r\n"), 1)
}

async fn start() -> (ScriptedReplica, Gateway) {
    let replica = ScriptedReplica::start_with("r", |_| vec![OK_RESPONSE]).await;
    let gateway = Gateway::start(&store(&[&replica])).await;
    (replica, gateway)
}

cases! {
    /// Guards against a request within the limit of a head that is refused, and one beyond it
    /// that is served or closed without an answer.
    fn head_is_answered(request: String, expected: u16, name: &str) {
        smol::block_on(async {
            let (_replica, gateway) = start().await;
            let response = gateway.fetch(&request).await;
            assert_eq!(status(&response), expected, "{response}");
            assert!(response.contains(name), "{response}");
        });
    }
    head_of_the_limit(with_head(MAX_HEAD), 200, "");
    head_of_twice_the_limit(with_head(2 * MAX_HEAD), 431, "head_too_large");
    head_without_end("GET /idempotent/a HTTP/1.1\r\nx: ".to_owned() + &"a".repeat(100_000),
        431, "head_too_large");
    empty_lines_without_end("\r\n".repeat(50_000), 431, "head_too_large");
    few_empty_lines("\r\n\r\n".to_owned() + &post("/idempotent/a", "id"), 200, "");
}

/// Guards against a request that is refused though it is sent within `header_timeout_ms`.
#[test]
fn head_sent_slowly_is_served() {
    smol::block_on(async {
        let (_replica, gateway) = start().await;
        let request = post("/idempotent/a", "id");
        let mut stream = gateway.send(&request[..10]).await;
        for n in 1..5 {
            smol::Timer::after(Duration::from_millis(700)).await;
            let end = if n < 4 { 10 + n } else { request.len() };
            let part = &request.as_bytes()[10 + n - 1..end];
            stream.write_all(part).await.expect("sent");
        }
        let mut response = String::new();
        stream
            .read_to_string(&mut response)
            .await
            .expect("a response");
        assert_eq!(status(&response), 200, "{response}");
    });
}

/// Guards against a client that keeps a head open by single bytes.
#[test]
fn single_bytes_do_not_renew_the_deadline() {
    smol::block_on(async {
        let (replica, gateway) = start().await;
        let mut stream = gateway.send("GET /idempotent/a HTTP/1.1\r\nx: ").await;
        let mut writer = stream.clone();
        let trickle = async {
            loop {
                // The daemon may have closed the connection.
                drop(writer.write_all(b"a").await);
                smol::Timer::after(Duration::from_millis(200)).await;
            }
        };
        let mut response = String::new();
        let read = async {
            stream
                .read_to_string(&mut response)
                .await
                .expect("a response");
        };
        futures_lite::future::or(read, trickle).await;
        assert_eq!(status(&response), 408, "{response}");
        assert!(response.contains("slow_sender"), "{response}");
        assert!(
            replica
                .requests()
                .iter()
                .all(|head| !head.contains("/idempotent/"))
        );
    });
}

/// Guards against connections that wait for the rest of a body and are kept before those that
/// have a request, and against one that is closed though its request is complete.
#[test]
fn incomplete_body_may_be_closed() {
    let read = |meter: &Arc<Meter>, count: usize| {
        let mut reader = Metered::new(Pieces(VecDeque::from([count])), Arc::clone(meter));
        let mut cx = Context::from_waker(std::task::Waker::noop());
        let polled = Pin::new(&mut reader).poll_read(&mut cx, &mut vec![0; count]);
        assert!(matches!(polled, Poll::Ready(Ok(n)) if n == count));
    };
    for (body_bytes, is_received, expected) in [
        (0, false, true),
        (1000, false, true),
        (1000, true, false),
        (0, true, false),
    ] {
        let registry = registry(1, 1 << 20);
        let bounds = Bounds::new(MAX_HEAD, 3 * S);
        let meter = Arc::new(Meter::new(admit(&registry, S), bounds, S));
        read(&meter, 100);
        meter.head_received(true);
        if body_bytes > 0 {
            read(&meter, body_bytes);
        }
        if is_received {
            meter.body_received();
        }
        let new = registry.admit(2 * S);
        assert_eq!(new.is_some(), expected, "{body_bytes}");
        assert_eq!(meter.ticket().is_evicted(), expected, "{body_bytes}");
    }
}
