//! Peer that sends heartbeats and relays connections, and does nothing else.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_channel::{Receiver, Sender};
use bitterncart_coordination::fleet::{Heartbeat, links};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use smol::net::{TcpListener, TcpStream, UdpSocket};

use crate::link::refuse_at;
use crate::replica::{ScriptedReplica, header};
use crate::store::MemoryStore;

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);

/// Limit of attempts to find a port that is free for TCP and for UDP.
const MAX_PORT_CHANGES: usize = 64;

#[derive(Debug)]
struct Shared {
    address: SocketAddr,
    store: MemoryStore,
    replicas: Vec<(String, SocketAddr)>,
}

/// Relay that closes a connection in order when the other side ends, however it ended,
/// and says nothing about resets, like the daemons before these were passed on.
#[derive(Debug)]
pub(crate) struct ScriptedRelay {
    process: Mutex<Option<Sender<()>>>,
}

impl ScriptedRelay {
    /// Starts a relay to replicas for the daemons that are registered in a store.
    pub(crate) async fn start(store: &MemoryStore, replicas: &[ScriptedReplica]) -> Self {
        let (listener, socket) = bind().await;
        let shared = Arc::new(Shared {
            address: listener.local_addr().expect("an address"),
            store: store.clone(),
            replicas: replicas
                .iter()
                .map(|replica| (replica.record().id.to_string(), replica.address))
                .collect(),
        });
        let address = shared.address;
        let (process, alive) = async_channel::bounded(1);
        let (serving, beating) = (Arc::clone(&shared), shared);
        let ended = alive.clone();
        let accept = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (serving, ended) = (Arc::clone(&serving), ended.clone());
                let connection = async move { serve(stream, &serving).await };
                smol::spawn(future::or(connection, end_of(ended))).detach();
            }
            None
        };
        let accepting = alive.clone();
        let serving_process = async move {
            future::or(accept, end_of(accepting)).await;
            refuse_at(address).await;
        };
        smol::spawn(serving_process).detach();
        let heartbeats = async move { send_heartbeats(socket, &beating).await };
        smol::spawn(future::or(heartbeats, end_of(alive))).detach();
        Self {
            process: Mutex::new(Some(process)),
        }
    }

    /// Ends the process: its connections close in order, and new ones are refused.
    pub(crate) fn kill(&self) {
        drop(self.process.lock().expect("lock").take());
    }
}

async fn bind() -> (TcpListener, UdpSocket) {
    for _ in 0..MAX_PORT_CHANGES {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        if let Ok(socket) = UdpSocket::bind(address).await {
            return (listener, socket);
        }
    }
    panic!("no port is free for TCP and for UDP");
}

/// Waits until the process ends.
async fn end_of(alive: Receiver<()>) -> Option<()> {
    // Nothing is ever sent.
    let _closed = alive.recv().await;
    None
}

async fn send_heartbeats(socket: UdpSocket, shared: &Shared) -> Option<()> {
    let started = SystemTime::now().duration_since(UNIX_EPOCH).ok()?;
    for seq in 1.. {
        let heartbeat = Heartbeat {
            from: shared.address,
            born_us: started.as_micros() as u64,
            seq,
            data_centre: "here".into(),
            period_ms: HEARTBEAT_INTERVAL.as_millis() as u32,
            leaving: false,
            writes: true,
            capacity: 100_000,
            shards: Vec::new(),
            waiting: 0,
            load: Vec::new(),
            running: Vec::new(),
            queued: Vec::new(),
            limits: Vec::new(),
            quarantine: Default::default(),
            links: Some(links::Report::default()),
            speeds: Vec::new(),
            recent_jobs: None,
        };
        let bytes = heartbeat.encode().expect("a heartbeat");
        for daemon in shared.store.registered_daemons() {
            socket.send_to(&bytes, daemon).await.ok()?;
        }
        smol::Timer::after(HEARTBEAT_INTERVAL).await;
    }
    None
}

async fn serve(mut peer: TcpStream, shared: &Shared) -> Option<()> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        peer.read_exact(&mut byte).await.ok()?;
        head.push(byte[0]);
    }
    let id = header(&String::from_utf8_lossy(&head), "replica")?;
    let (_, address) = shared.replicas.iter().find(|(known, _)| *known == id)?;
    let replica = TcpStream::connect(address).await.ok()?;
    let answer = "HTTP/1.1 101 X\r\nconnection: upgrade\r\nupgrade: bitterncart-relay\r\n\r\n";
    peer.write_all(answer.as_bytes()).await.ok()?;
    let requests = copy(peer.clone(), replica.clone());
    future::or(requests, copy(replica, peer)).await;
    None
}

async fn copy(from: TcpStream, to: TcpStream) {
    // However a side ends, the other one is closed in order.
    let _copied = futures_lite::io::copy(from, to).await;
}
