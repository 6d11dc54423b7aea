//! Test harness: daemons, their clients and the wire format of the tests.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bitterncart_coordination::fleet::manifest::Backend;
use bitterncart_coordination::fleet::{Batch, Kind, Limits, Manifest, Part, Route};
use bitterncart_gateway::dialect::{Call, Dialect, HeaderNames};
use bitterncart_gateway::{Connector, Daemon, Settings};
use bitterncart_state::ledger::{Item, Job, Outcome};
use bytes::Bytes;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri};
use smol::Executor;
use smol::net::TcpStream;

use crate::replica::ScriptedReplica;
use crate::store::{CALL_BYTES, MemoryStore};

/// Timeout of every wait in a test.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(8);

/// Size of the body of an item whose id begins with `long`.
const LONG_ITEM_BYTES: usize = 200 << 10;

/// Limit of attempts to find a port that is free for TCP and for UDP: a daemon uses
/// one number for both, and the system chooses it for TCP alone.
const MAX_PORT_CHANGES: usize = 64;

/// Wire format of the tests: one item per line, results as `position id text`.
#[derive(Clone, Debug)]
pub(crate) struct LineDialect(Arc<HeaderNames>);

impl Default for LineDialect {
    fn default() -> Self {
        Self(Arc::new(HeaderNames {
            attempt_id: HeaderName::from_static("attempt"),
            caller: HeaderName::from_static("caller"),
            customer: HeaderName::from_static("customer"),
            deadline: HeaderName::from_static("deadline"),
            expected_replica: HeaderName::from_static("expect-replica"),
            not_run: HeaderName::from_static("not-run"),
            leaving: HeaderName::from_static("leaving"),
            rate_limit: HeaderName::from_static("limit"),
            signature: HeaderName::from_static("signature"),
            last_event_id: HeaderName::from_static("last-event"),
            resumes: HeaderName::from_static("resumes"),
            long_poll: HeaderName::from_static("wait"),
            reservation: HeaderName::from_static("reservation"),
        }))
    }
}

impl Dialect for LineDialect {
    fn header_names(&self) -> &HeaderNames {
        &self.0
    }

    fn parse_key<'a>(&self, credentials: &'a HeaderValue) -> Option<&'a [u8]> {
        credentials.as_bytes().strip_prefix(b"key ")
    }

    fn parse_call(&self, method: &Method, uri: &Uri) -> Option<Call> {
        let job = uri.path().strip_prefix("/jobs/")?.into();
        match *method {
            Method::DELETE => Some(Call::Cancel { job }),
            _ => Some(Call::Results { job, after: 0 }),
        }
    }

    fn parse_items(&self, body: &[u8]) -> Result<Vec<Item>, String> {
        let text = std::str::from_utf8(body).map_err(|e| e.to_string())?;
        let headers = |id: &str| match id {
            _ if id.starts_with("sized") => vec![("size".into(), "1".into())],
            _ if id.starts_with("bad") => vec![("prompt".into(), "1,7".into())],
            _ => Vec::new(),
        };
        let item = |id: &str| Item {
            id: id.into(),
            path: "/items/run".into(),
            headers: headers(id),
            body: match id.strip_prefix("long") {
                Some(_) => vec![b'x'; LONG_ITEM_BYTES].into(),
                None => id.as_bytes().into(),
            },
            tokens: 10,
        };
        Ok(text.lines().map(item).collect())
    }

    /// Only requests with a `size` header use reservations.
    fn encode_reservation(&self, headers: &HeaderMap, _: Duration) -> Option<(Uri, Bytes)> {
        headers.get("size")?;
        Some((Uri::from_static("/reserve"), Bytes::new()))
    }

    fn parse_reservation(&self, body: &[u8]) -> Option<HeaderValue> {
        HeaderValue::from_bytes(body).ok()
    }

    /// Decimal numbers, separated by commas.
    fn shared_parts(&self, headers: &HeaderMap) -> Vec<Part> {
        let text = headers.get("prompt").and_then(|v| v.to_str().ok());
        let numbers = text.into_iter().flat_map(|text| text.split(','));
        numbers
            .filter_map(|n| Some(Part(n.parse().ok()?)))
            .collect()
    }

    fn encode_results(&self, job: &Job, after: usize, max_bytes: usize) -> Bytes {
        let results = job.results.iter().enumerate().skip(after);
        let line = |(n, result): (usize, &bitterncart_state::ledger::ItemResult)| {
            let id = &job.submission.items[result.item as usize].id;
            match &result.end {
                Outcome::Completed(text) => format!("{n} {id} {}\n", text.replace('\n', ",")),
                Outcome::GivenUp => format!("{n} {id} given up\n"),
            }
        };
        let mut page = String::new();
        for line in results.map(line) {
            if !page.is_empty() && page.len() + line.len() > max_bytes {
                break;
            }
            page.push_str(&line);
        }
        Bytes::from(page)
    }
}

/// Route with a prefix.
pub(crate) fn route(prefix: &str, kind: Kind, max_attempts: u32) -> Route {
    Route {
        name: prefix.into(),
        host: "a.example".into(),
        prefix: prefix.into(),
        kind,
        backends: vec![Backend {
            service: "s".into(),
            weight: 1,
            reserves: Duration::from_secs(2),
        }],
        timeout: Duration::from_secs(4),
        objective: Duration::from_millis(300),
        max_attempts,
        priority: 0,
        batch: Batch {
            due: Duration::from_secs(20),
            give_up: Duration::from_secs(60),
            max_tokens: None,
        },
        is_public: false,
    }
}

/// Manifest with one route of each kind.
pub(crate) fn manifest(version: u64) -> Manifest {
    Manifest {
        version,
        routes: vec![
            route("/idempotent/", Kind::Idempotent, 2),
            route("/once/", Kind::Once, 2),
            route("/stream/", Kind::Stream, 1),
            route("/resumable/", Kind::Resumable, 2),
            route("/items/", Kind::Batch, 3),
        ],
        limits: Limits {
            max_body: 1 << 20,
            head: Duration::from_secs(3),
            idle: Duration::from_secs(15),
            max_head: 16 << 10,
        },
        customers: None,
        is_partial: false,
    }
}

/// Daemon with its own executor; dropping it kills the daemon.
pub(crate) struct Gateway {
    pub daemon: Daemon<MemoryStore, LineDialect>,
    executor: Arc<Executor<'static>>,
    _stop: async_channel::Sender<()>,
}

impl Gateway {
    /// Starts a daemon and waits until it is ready.
    pub(crate) async fn start(store: &MemoryStore) -> Self {
        let gateway = Self::start_without_waiting(store).await;
        wait_until("the daemon to be ready", || gateway.daemon.is_ready()).await;
        gateway
    }

    pub(crate) async fn start_without_waiting(store: &MemoryStore) -> Self {
        Self::start_with(store, "").await
    }

    /// Starts a daemon of a fleet whose ledger has a number of shards.
    pub(crate) async fn start_with_shards(store: &MemoryStore, shards: u16) -> Self {
        Self::start_with(store, &format!(r#""shards": {shards},"#)).await
    }

    /// Starts a daemon with further settings; the ledger has one shard unless they say
    /// otherwise.
    pub(crate) async fn start_with(store: &MemoryStore, settings: &str) -> Self {
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let shards = if settings.contains("\"shards\"") {
            ""
        } else {
            r#""shards": 1,"#
        };
        let text = format!(
            r#"{{"name": "d", "data_centre": "here", "clients": "{any}", "ready": "{any}",
                "peers": "{any}", "store": "{any}", {settings} {shards}
                "call_bytes": {CALL_BYTES}}}"#
        );
        let settings = Settings::parse(&text).expect("settings");
        let executor = Arc::new(Executor::new());
        let connector = Connector::new(Arc::clone(&executor));
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let executor_thread = Arc::clone(&executor);
        std::thread::spawn(move || {
            let stopped = async move {
                // Resolves when the sender is dropped with the daemon.
                let _end = stopped.recv().await;
            };
            smol::block_on(executor_thread.run(stopped));
        });
        let start = async || {
            Daemon::start(
                settings.clone(),
                store.clone(),
                LineDialect::default(),
                Arc::clone(&executor),
                connector.clone(),
            )
            .await
        };
        let mut started = start().await;
        for _ in 0..MAX_PORT_CHANGES {
            match &started {
                Err(e) if e.kind() == io::ErrorKind::AddrInUse => started = start().await,
                _ => break,
            }
        }
        Self {
            daemon: started.expect("daemon starts"),
            executor,
            _stop: stop,
        }
    }

    /// Stops all tasks of the daemon for a time, as when its process is suspended.
    pub(crate) fn freeze(&self, time: Duration) {
        let sleep = async move { std::thread::sleep(time) };
        self.executor.spawn(sleep).detach();
    }

    /// Processor time of the daemon's thread.
    pub(crate) async fn processor_time(&self) -> Duration {
        let read = async {
            let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
            Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
        };
        self.executor.spawn(read).await
    }

    /// Sends a request and reads the response until the connection is closed.
    pub(crate) async fn fetch(&self, request: &str) -> String {
        let mut stream = self.send(request).await;
        let mut response = Vec::new();
        let read = async {
            // A reset also ends the response.
            let _end = stream.read_to_end(&mut response).await;
        };
        let timer = async {
            smol::Timer::after(WAIT_TIMEOUT).await;
        };
        futures_lite::future::or(read, timer).await;
        String::from_utf8_lossy(&response).into_owned()
    }

    /// Sends a request, reads the response until it contains a text, and leaves.
    pub(crate) async fn fetch_until(&self, request: &str, text: &str) {
        let mut stream = self.send(request).await;
        let mut response = String::new();
        while !response.contains(text) {
            let mut bytes = [0; 256];
            let count = stream.read(&mut bytes).await.expect("a response");
            assert!(count > 0, "{response}");
            response += &String::from_utf8_lossy(&bytes[..count]);
        }
    }

    /// Sends a request.
    pub(crate) async fn send(&self, request: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.daemon.client_address())
            .await
            .expect("a connection");
        stream.write_all(request.as_bytes()).await.expect("sent");
        stream
    }
}

/// Request that asks to close the connection.
pub(crate) fn request(method: &str, path: &str, id: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: a.example\r\nattempt: {id}\r\ndeadline: 3000\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub(crate) fn post(path: &str, id: &str) -> String {
    request("POST", path, id, "body")
}

/// Request that reserves a slot.
pub(crate) fn sized(path: &str, id: &str) -> String {
    post(path, id).replacen("\r\n", "\r\nsize: 1\r\n", 1)
}

/// Whether a response looks like a success that is complete.
pub(crate) fn looks_complete(response: &str) -> bool {
    let is_chunked = response.contains("transfer-encoding: chunked");
    status(response) == 200 && (!is_chunked || response.ends_with("0\r\n\r\n"))
}

/// Status code of a response; 0 if there is none.
pub(crate) fn status(response: &str) -> u16 {
    response
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0)
}

/// Waits until a condition holds.
pub(crate) async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let started = std::time::Instant::now();
    while !holds() {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for {what}"
        );
        smol::Timer::after(Duration::from_millis(5)).await;
    }
}

/// Store with the manifest and the given replicas.
pub(crate) fn store(replicas: &[&ScriptedReplica]) -> MemoryStore {
    let store = MemoryStore::default();
    store.publish_manifest(&manifest(1));
    for replica in replicas {
        store.publish_replica(&replica.record());
    }
    store
}
