//! Pool of HTTP connections to replicas, peers and the store.
//!
//! A connection is reused only after its last response has been read
//! completely. TCP keep-alive probes at a short interval and a limit on
//! unacknowledged data detect connections that go silent without an error.
//! An idle connection is discarded before the idle timeout that the server
//! advertises, as a request could otherwise be lost to the close.

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use event_listener::Event;
use futures_lite::future;
use http::{StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use smol::net::TcpStream;
use smol::{Executor, Task};
use smol_hyper::rt::FuturesIo;
use socket2::{SockRef, TcpKeepalive};

use crate::bounded::{Bounded, HeadLimit, MAX_HEAD_BYTES, Sending};
use crate::clock::{self, with_timeout};
use crate::links::AnswerTime;
use crate::relay;

/// Time after which a connection with unacknowledged data, or with an unanswered
/// keep-alive probe, is closed. Longer than a sound peer may be silent, plus the time
/// before the first probe.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval between TCP keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of idle connections to one address.
const MAX_IDLE_PER_ADDRESS: usize = 16;

/// Idle timeout of a connection if the server does not advertise one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time before the advertised idle timeout at which a connection is no longer
/// reused, as the server may close it while a request is in flight.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);

/// Maximum idle timeout, whatever the server advertises.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Why a request has no response.
#[derive(Debug)]
pub enum Error {
    /// Nothing was sent.
    NotSent(io::Error),
    /// The connection broke or timed out after data may have been sent.
    Broken(String),
    /// The connection was given up, as the link brings no answers; data may have been
    /// sent.
    LinkLost,
    /// The head of the response exceeds [`MAX_HEAD_BYTES`].
    HeadTooLarge,
    /// The response has a status that ends no request; it is none.
    OddStatus(u16),
}

impl Error {
    /// Name in logs and metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::NotSent(e) => match e.kind() {
                io::ErrorKind::TimedOut => "connect_timeout",
                io::ErrorKind::ConnectionRefused => "connect_refused",
                io::ErrorKind::ConnectionReset => "connect_reset",
                _ => "not_sent",
            },
            Self::Broken(_) => "broken",
            Self::LinkLost => "link_lost",
            Self::HeadTooLarge => "head_too_large",
            Self::OddStatus(_) => "odd_status",
        }
    }

    /// Error of a connection that no relay could open.
    pub(crate) fn relay(failure: &relay::Failure) -> Self {
        Self::NotSent(match failure {
            relay::Failure::Refused => io::ErrorKind::ConnectionRefused.into(),
            relay::Failure::Unreachable => io::ErrorKind::TimedOut.into(),
            relay::Failure::NoRelay => io::Error::other("no relay"),
        })
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(e) => e.fmt(f),
            Self::Broken(reason) => f.write_str(reason),
            Self::LinkLost => f.write_str("the link brings no answers"),
            Self::HeadTooLarge => write!(
                f,
                "the head of the response exceeds {MAX_HEAD_BYTES} bytes; the connection is closed"
            ),
            Self::OddStatus(status) => write!(
                f,
                "the response has status {status}, which ends no request; the connection is closed"
            ),
        }
    }
}

/// Whether a connection may be given up, and was.
#[derive(Debug, Default)]
struct Fate {
    /// The request in flight may be repeated elsewhere.
    is_abortable: AtomicBool,
    is_aborted: AtomicBool,
}

impl Fate {
    /// Waits until the connection is given up.
    async fn aborted(&self, requested: &Event) {
        loop {
            requested.listen().await;
            if self.is_abortable.load(Ordering::Relaxed) {
                self.is_aborted.store(true, Ordering::Relaxed);
                return;
            }
        }
    }
}

/// Relay of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Relay {
    /// Address of the daemon.
    pub address: SocketAddr,
    /// Whether it resets a connection whose other side breaks.
    pub passes_resets: bool,
}

/// Where the answers of a connection come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Origin {
    /// Address of the process.
    pub address: SocketAddr,
    /// Relay through which the connection leads.
    pub relay: Option<Relay>,
}

/// Connection to one address.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    // Dropping the task closes the connection.
    _driver: Task<()>,
    fate: Arc<Fate>,
    head: Arc<HeadLimit>,
    sending: Arc<Sending>,
    /// Relay through which it leads.
    relay: Option<Relay>,
    /// Where its answers are recorded.
    answered: Option<AnswerTime>,
    idle_since: Duration,
    /// Time for which it may stay idle.
    idle_timeout: Duration,
}

impl Connection {
    /// Sends a request and returns the response, whose body is still to be read.
    ///
    /// # Errors
    ///
    /// Says whether any data may have been sent.
    pub async fn send(
        &mut self,
        request: http::Request<Full<Bytes>>,
    ) -> Result<http::Response<Incoming>, Error> {
        let asks_upgrade = request.headers().contains_key(header::UPGRADE);
        self.sender.ready().await.map_err(not_sent)?;
        self.head.start();
        let response = self.sender.send_request(request).await;
        let response = response.map_err(|e| match e {
            _ if self.is_aborted() => Error::LinkLost,
            _ if self.head.is_exceeded() => Error::HeadTooLarge,
            e if e.is_canceled() => not_sent(e),
            e => Error::Broken(e.to_string()),
        })?;
        self.head.end();
        self.idle_timeout =
            advertised_idle_timeout(response.headers()).unwrap_or(self.idle_timeout);
        self.record_answer();
        if is_final(response.status(), asks_upgrade) {
            Ok(response)
        } else {
            Err(Error::OddStatus(response.status().as_u16()))
        }
    }

    /// Marks a connection whose answers show that this daemon's links work.
    pub(crate) fn answering(self, answered: &AnswerTime) -> Self {
        Self {
            answered: Some(answered.clone()),
            ..self
        }
    }

    /// Marks a connection that leads through a relay.
    pub(crate) fn over_relay(self, relay: Relay) -> Self {
        Self {
            relay: Some(relay),
            ..self
        }
    }

    /// Where it leads, and how.
    pub(crate) fn origin(&self) -> Origin {
        Origin {
            address: self.address,
            relay: self.relay,
        }
    }

    /// Whether the other side has not closed it, as far as it is known.
    pub(crate) fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Relay through which it leads.
    pub(crate) fn relay(&self) -> Option<Relay> {
        self.relay
    }

    /// Records that a part of an answer arrived.
    pub(crate) fn record_answer(&self) {
        if let Some(answered) = &self.answered {
            answered.record();
        }
    }

    /// Whether the request in flight is given up if the link brings no answers. One
    /// that leads through a relay is not.
    pub(crate) fn set_abortable(&self, is_abortable: bool) {
        let is_abortable = is_abortable && self.relay.is_none();
        self.fate
            .is_abortable
            .store(is_abortable, Ordering::Relaxed);
    }

    /// Whether the request has not been sent to its end.
    pub(crate) fn is_sending(&self) -> bool {
        self.sending.is_incomplete()
    }

    /// Whether the connection was given up.
    pub(crate) fn is_aborted(&self) -> bool {
        self.fate.is_aborted.load(Ordering::Relaxed)
    }

    fn is_reusable(&self, now: Duration) -> bool {
        // The driver may still be processing the end of the last response;
        // sending waits for it.
        self.is_open() && now.saturating_sub(self.idle_since) < self.idle_timeout
    }
}

/// Whether a status is that of a final response. The library takes any number of three
/// digits, while the classes of statuses end with that of 599.
fn is_final(status: StatusCode, asks_upgrade: bool) -> bool {
    match status {
        StatusCode::SWITCHING_PROTOCOLS => asks_upgrade,
        status => (200..600).contains(&status.as_u16()),
    }
}

/// Idle timeout from a `Keep-Alive` header, less the margin.
fn advertised_idle_timeout(headers: &http::HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let advertised = Duration::from_secs(seconds.trim().parse().ok()?);
    Some(
        advertised
            .saturating_sub(IDLE_TIMEOUT_MARGIN)
            .min(MAX_IDLE_TIMEOUT),
    )
}

fn not_sent(error: hyper::Error) -> Error {
    Error::NotSent(io::Error::other(error))
}

/// Opens connections and keeps idle ones for reuse.
#[derive(Clone)]
pub struct Connector {
    executor: Arc<Executor<'static>>,
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Connection>>>>,
    abort_requested: Arc<Event>,
}

impl fmt::Debug for Connector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connector").finish_non_exhaustive()
    }
}

impl Connector {
    /// Creates a connector whose connections are driven by an executor.
    #[must_use]
    pub fn new(executor: Arc<Executor<'static>>) -> Self {
        Self {
            executor,
            idle: Arc::default(),
            abort_requested: Arc::default(),
        }
    }

    /// Returns an idle connection to an address, or opens one within `timeout`.
    ///
    /// # Errors
    ///
    /// If no connection can be made in time.
    pub async fn acquire(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Connection, Error> {
        match self.take_idle(address, |_| true) {
            Some(connection) => Ok(connection),
            None => self.open(address, timeout).await,
        }
    }

    /// Takes an idle connection to an address whose relay, if it has one, is usable.
    pub(crate) fn take_idle(
        &self,
        address: SocketAddr,
        is_usable: impl Fn(Option<SocketAddr>) -> bool,
    ) -> Option<Connection> {
        let now = clock::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        connections.retain(|connection| connection.is_reusable(now));
        let relay = |c: &Connection| c.relay.map(|relay| relay.address);
        let usable = connections.iter().rposition(|c| is_usable(relay(c)))?;
        Some(connections.remove(usable))
    }

    /// Opens a new connection within `timeout`.
    ///
    /// # Errors
    ///
    /// If no connection can be made in time.
    pub async fn open(&self, address: SocketAddr, timeout: Duration) -> Result<Connection, Error> {
        let stream = connect(address, timeout).await.map_err(Error::NotSent)?;
        self.handshake(stream, address).await
    }

    /// Makes a connection to an address of a stream that leads there.
    pub(crate) async fn handshake(
        &self,
        stream: TcpStream,
        address: SocketAddr,
    ) -> Result<Connection, Error> {
        let head = Arc::<HeadLimit>::default();
        let sending = Arc::<Sending>::default();
        let stream = Bounded::new(stream)
            .with_head_limit(Arc::clone(&head))
            .with_sending(Arc::clone(&sending));
        let (sender, driver) = http1::Builder::new()
            // Bodies are written from where they are, and count in their budget until then.
            .writev(true)
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(not_sent)?;
        let fate = Arc::<Fate>::default();
        let (own_fate, abort_requested) = (Arc::clone(&fate), Arc::clone(&self.abort_requested));
        let driver = self.executor.spawn(async move {
            // Errors of the connection are reported to the request in flight.
            let driver = async { drop(driver.with_upgrades().await) };
            future::or(driver, own_fate.aborted(&abort_requested)).await;
        });
        Ok(Connection {
            address,
            sender,
            _driver: driver,
            fate,
            head,
            sending,
            relay: None,
            answered: None,
            idle_since: Duration::ZERO,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        })
    }

    /// Gives up the connections whose request may be repeated elsewhere.
    pub(crate) fn abort_repeatable(&self) {
        self.abort_requested.notify(usize::MAX);
    }

    /// Whether an address refuses connections, so that no process listens there;
    /// `None` if it neither accepts nor refuses one within `timeout`.
    pub(crate) async fn is_refused(&self, address: SocketAddr, timeout: Duration) -> Option<bool> {
        match with_timeout(timeout, TcpStream::connect(address)).await? {
            Ok(_) => Some(false),
            Err(e) => match e.kind() {
                io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset => Some(true),
                _ => None,
            },
        }
    }

    /// Keeps a connection for reuse; its last response must have been read
    /// completely.
    pub fn release(&self, mut connection: Connection) {
        connection.set_abortable(false);
        connection.idle_since = clock::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(connection.address).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(connection);
        }
    }

    /// Closes the idle connections to an address; used after one of them failed.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.remove(&address);
        drop(idle);
        drop(connections);
    }

    /// Closes idle connections through relays unless `is_needed` holds for the address
    /// and the relay.
    pub(crate) fn close_relayed(&self, is_needed: impl Fn(SocketAddr, SocketAddr) -> bool) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for connections in idle.values_mut() {
            connections.retain(|connection| {
                let relay = connection.relay;
                relay.is_none_or(|relay| is_needed(connection.address, relay.address))
            });
        }
    }

    /// Closes connections whose idle timeout has passed.
    pub(crate) fn close_expired(&self) {
        let now = clock::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for connections in idle.values_mut() {
            connections.retain(|connection| {
                now.saturating_sub(connection.idle_since) < connection.idle_timeout
            });
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}

/// Connects to an address within `timeout`.
pub(crate) async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = with_timeout(timeout, TcpStream::connect(address))
        .await
        .unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))?;
    configure_socket(&stream)?;
    Ok(stream)
}

/// Configures a socket for small messages and early detection of silent
/// connections.
///
/// # Errors
///
/// If the system refuses an option.
pub fn configure_socket(stream: &impl AsFd) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)
}
