//! Link between one daemon and a replica, which a test can break.
//!
//! The daemon reaches the replica at the address of the link; other daemons use the
//! address of the replica itself.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use event_listener::Event;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use smol::net::{TcpListener, TcpStream};
use socket2::{Domain, SockRef, Socket, Type};

use crate::replica::ScriptedReplica;

/// Connections that fill the accept queue of a silent link, so that further ones time
/// out.
const QUEUE_FILLERS: usize = 4;

/// State of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// Bytes pass.
    Up,
    /// Nothing passes, and new connections time out.
    Silent,
    /// Open connections were reset, and new ones are refused.
    Reset,
    /// Open connections live on, and new ones are refused.
    Refusing,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: Event,
}

impl Shared {
    fn state(&self) -> State {
        *self.state.lock().expect("lock")
    }

    async fn wait_until(&self, holds: impl Fn(State) -> bool) {
        loop {
            let changed = self.changed.listen();
            if holds(self.state()) {
                return;
            }
            changed.await;
        }
    }
}

/// Link of one daemon to a replica.
#[derive(Debug)]
pub(crate) struct Link {
    /// Address at which the daemon reaches the replica.
    pub address: SocketAddr,
    /// Address of the replica.
    pub target: SocketAddr,
    shared: Arc<Shared>,
}

impl Link {
    pub(crate) fn start(replica: &ScriptedReplica) -> Self {
        Self::to(replica.address)
    }

    /// Starts a link to an address.
    pub(crate) fn to(target: SocketAddr) -> Self {
        let socket = bind(([127, 0, 0, 1], 0).into()).expect("a port");
        let listener = listen(socket).expect("a port");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared {
            state: Mutex::new(State::Up),
            changed: Event::new(),
        });
        smol::spawn(accept(listener, address, target, Arc::clone(&shared))).detach();
        Self {
            address,
            target,
            shared,
        }
    }

    pub(crate) fn set(&self, state: State) {
        *self.shared.state.lock().expect("lock") = state;
        self.shared.changed.notify(usize::MAX);
    }
}

/// Keeps the port of a process that has ended, and refuses connections there. Another test
/// might get the port otherwise, and accept them. A process may start there again.
pub(crate) async fn refuse_at(address: SocketAddr) {
    // In the moment between, another test may have got it.
    if let Ok(_held) = bind(address) {
        future::pending::<()>().await;
    }
}

/// Socket at an address, which refuses connections until it listens.
fn bind(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

fn listen(socket: Socket) -> io::Result<TcpListener> {
    socket.listen(0)?;
    TcpListener::try_from(std::net::TcpListener::from(socket))
}

async fn accept(
    mut listener: TcpListener,
    address: SocketAddr,
    target: SocketAddr,
    shared: Arc<Shared>,
) {
    loop {
        let is_down = async {
            shared.wait_until(|state| state != State::Up).await;
            None
        };
        let accepted = future::or(is_down, async { listener.accept().await.ok() }).await;
        if let Some((stream, _)) = accepted {
            smol::spawn(forward(stream, target, Arc::clone(&shared))).detach();
            continue;
        }
        if shared.state() == State::Silent {
            let fillers: Vec<_> = (0..QUEUE_FILLERS)
                .map(|_| smol::spawn(TcpStream::connect(address)))
                .collect();
            shared.wait_until(|state| state != State::Silent).await;
            drop(fillers);
        }
        if shared.state() != State::Up {
            drop(listener);
            // Another test might get the port and accept connections at it.
            let held = bind(address).expect("the port of the link");
            shared.wait_until(|state| state == State::Up).await;
            listener = listen(held).expect("the port of the link");
        }
    }
}

async fn forward(near: TcpStream, target: SocketAddr, shared: Arc<Shared>) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let reset = async {
        shared.wait_until(|state| state == State::Reset).await;
        for stream in [&near, &far] {
            // A connection that has closed needs no reset.
            let _set = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    };
    let copies = future::or(
        copy(near.clone(), far.clone(), &shared),
        copy(far.clone(), near.clone(), &shared),
    );
    future::or(reset, copies).await;
}

async fn copy(mut from: TcpStream, mut to: TcpStream, shared: &Shared) {
    let mut buffer = [0; 4096];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        shared.wait_until(|state| state != State::Silent).await;
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
