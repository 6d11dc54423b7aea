//! Replica that follows a script for each request.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use bitterncart_coordination::fleet::{Replica, Stage};
use compact_str::CompactString;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use smol::net::{TcpListener, TcpStream};
use socket2::SockRef;

use crate::link::refuse_at;

/// Software version of a replica, unless a test sets another one.
pub(crate) const VERSION: &str = "1";

/// Size of one write of an endless answer.
const ENDLESS_CHUNK_BYTES: usize = 16 << 10;

/// Headers and body of an answer behind the last event of a stream.
const END_OF_STREAM: &str = "signature: s\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n";

/// Success of a call.
pub(crate) const OK_RESPONSE: Action =
    Action::Respond(200, "signature: s\r\ncontent-length: 2\r\n", "ok");

/// Grant of a reservation.
pub(crate) const RESERVED: Action = Action::Respond(200, "content-length: 2\r\n", "p7");

/// Action of a script.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    /// Sends a response with a status, headers and body that echoes the attempt id.
    Respond(u16, &'static str, &'static str),
    /// Sends raw bytes.
    Send(String),
    /// Sends bytes again and again until the peer disconnects, which it counts.
    SendForever(&'static str),
    /// Waits.
    Wait(Duration),
    /// Closes the connection.
    Close,
    /// Closes the connection behind a whole stream. A request that resumes behind its last
    /// event is answered with the end of the stream, and does not count as one.
    Finish,
    /// Resets the connection.
    Reset,
    /// Waits until the peer disconnects, and counts it.
    AwaitDisconnect,
    /// Ends the process: all connections close, and new ones are refused.
    End,
}

impl Action {
    /// Sends raw bytes.
    pub(crate) fn send(bytes: &str) -> Self {
        Self::Send(bytes.to_owned())
    }
}

/// Chooses the script of a request by its number and head.
trait Script: Fn(usize, &str) -> Option<Vec<Action>> + Clone + Send + Sync + 'static {}

impl<T: Fn(usize, &str) -> Option<Vec<Action>> + Clone + Send + Sync + 'static> Script for T {}

/// Requests and disconnects that a replica observed.
#[derive(Debug, Default)]
pub(crate) struct Observed {
    /// Heads of the requests.
    pub requests: Vec<String>,
    /// Number of disconnects during [`Action::AwaitDisconnect`].
    pub disconnects: usize,
    /// Bytes written in [`Action::SendForever`].
    pub endless_bytes: usize,
}

/// Replica with scripted responses.
#[derive(Clone, Debug)]
pub(crate) struct ScriptedReplica {
    pub address: SocketAddr,
    id: String,
    version: Option<CompactString>,
    observed: Arc<Mutex<Observed>>,
    /// Closed when the process ends.
    alive: Receiver<()>,
}

impl ScriptedReplica {
    /// Starts a replica that uses script `n` for request `n`, and the last script
    /// for all further requests.
    pub(crate) async fn start(id: &str, scripts: Vec<Vec<Action>>) -> Self {
        Self::serve_scripts(id, move |number, _| {
            scripts.get(number).or(scripts.last()).cloned()
        })
        .await
    }

    /// Starts a replica that chooses the script by the head of a request.
    pub(crate) async fn start_with(
        id: &str,
        script: impl Fn(&str) -> Vec<Action> + Clone + Send + Sync + 'static,
    ) -> Self {
        Self::serve_scripts(id, move |_, head| Some(script(head))).await
    }

    /// Starts another process at the same address, which must be free again.
    pub(crate) async fn restart(
        &self,
        script: impl Fn(&str) -> Vec<Action> + Clone + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind(self.address).await.expect("the port");
        Self::serve_at(listener, &self.id, move |_, head| Some(script(head)))
    }

    async fn serve_scripts(id: &str, script: impl Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        Self::serve_at(listener, id, script)
    }

    fn serve_at(listener: TcpListener, id: &str, script: impl Script) -> Self {
        let (process, alive) = async_channel::bounded(1);
        let replica = Self {
            address: listener.local_addr().expect("an address"),
            id: id.to_owned(),
            version: Some(VERSION.into()),
            observed: Arc::default(),
            alive,
        };
        let observed = Arc::clone(&replica.observed);
        let ended = replica.alive.clone();
        let accept = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (observed, script) = (Arc::clone(&observed), script.clone());
                let (process, ended) = (process.clone(), ended.clone());
                let connection = async move { serve(stream, &script, &observed, &process).await };
                smol::spawn(future::or(connection, end_of(ended))).detach();
            }
            None
        };
        let (address, alive) = (replica.address, replica.alive.clone());
        let process = async move {
            future::or(accept, end_of(alive)).await;
            refuse_at(address).await;
        };
        smol::spawn(process).detach();
        replica
    }

    /// Whether its process runs.
    pub(crate) fn is_running(&self) -> bool {
        !self.alive.is_closed()
    }

    pub(crate) fn record(&self) -> Replica {
        Replica {
            id: self.id.as_str().into(),
            service: "s".into(),
            address: self.address,
            data_centre: "here".into(),
            slots: 4,
            stage: Stage::Ready,
            born_ms: 1,
            version: self.version.clone(),
        }
    }

    /// Lists it with another software version.
    pub(crate) fn with_version(self, version: &str) -> Self {
        Self {
            version: Some(version.into()),
            ..self
        }
    }

    /// Software version.
    pub(crate) fn version(&self) -> &str {
        self.version.as_deref().unwrap_or_default()
    }

    pub(crate) fn requests(&self) -> Vec<String> {
        self.observed.lock().expect("lock").requests.clone()
    }

    pub(crate) fn endless_bytes(&self) -> usize {
        self.observed.lock().expect("lock").endless_bytes
    }

    pub(crate) fn disconnects(&self) -> usize {
        self.observed.lock().expect("lock").disconnects
    }
}

/// Value of a header in a head.
pub(crate) fn header(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}

/// Whether a request resumes right behind the last event of a whole stream.
fn has_ended_behind(actions: &[Action], head: &str) -> bool {
    let resumed = header(head, "last-event").and_then(|id| id.parse().ok());
    let ids = actions.iter().flat_map(|action| match action {
        Action::Respond(_, _, text) => event_ids(text),
        Action::Send(text) => event_ids(text),
        _ => Vec::new(),
    });
    matches!(actions.last(), Some(Action::Finish)) && resumed.is_some() && resumed == ids.max()
}

fn event_ids(text: &str) -> Vec<u64> {
    let lines = text.lines();
    lines
        .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
        .collect()
}

/// Waits until the process ends.
async fn end_of(alive: Receiver<()>) -> Option<()> {
    // Nothing is ever sent.
    let _closed = alive.recv().await;
    None
}

async fn serve(
    mut stream: TcpStream,
    script: &impl Script,
    observed: &Mutex<Observed>,
    process: &Sender<()>,
) -> Option<()> {
    loop {
        let head = read_request(&mut stream).await?;
        let id = header(&head, "attempt").unwrap_or_default();
        let number = observed.lock().expect("lock").requests.len();
        let actions = script(number, &head)?;
        if has_ended_behind(&actions, &head) {
            let end = format!("HTTP/1.1 200 X\r\nattempt: {id}\r\n{END_OF_STREAM}");
            stream.write_all(end.as_bytes()).await.ok()?;
            continue;
        }
        observed.lock().expect("lock").requests.push(head);
        for action in &actions {
            match action {
                Action::Respond(status, headers, body) => {
                    let head = format!("HTTP/1.1 {status:03} X\r\nattempt: {id}\r\n{headers}\r\n");
                    stream.write_all(head.as_bytes()).await.ok()?;
                    stream.write_all(body.as_bytes()).await.ok()?;
                }
                Action::Send(bytes) => stream.write_all(bytes.as_bytes()).await.ok()?,
                Action::SendForever(text) => {
                    let bytes = text.repeat(ENDLESS_CHUNK_BYTES / text.len());
                    while stream.write_all(bytes.as_bytes()).await.is_ok() {
                        observed.lock().expect("lock").endless_bytes += bytes.len();
                    }
                    observed.lock().expect("lock").disconnects += 1;
                    return None;
                }
                Action::Wait(time) => drop(smol::Timer::after(*time).await),
                Action::Close | Action::Finish => return None,
                Action::End => {
                    process.close();
                    return None;
                }
                Action::Reset => {
                    SockRef::from(&stream)
                        .set_linger(Some(Duration::ZERO))
                        .ok()?;
                    return None;
                }
                Action::AwaitDisconnect => {
                    let mut byte = [0];
                    if matches!(stream.read(&mut byte).await, Ok(0) | Err(_)) {
                        observed.lock().expect("lock").disconnects += 1;
                    }
                    return None;
                }
            }
        }
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).await.ok()? == 0 {
            return None;
        }
        bytes.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&bytes).into_owned();
    let length = header(&head, "content-length")
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some(head)
}
