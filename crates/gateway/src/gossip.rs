//! Gossip between daemons over UDP.
//!
//! Every daemon sends notices to its peers with its load at each replica, the
//! shards that it owns and the batch items that it runs. A notice is sent when
//! its content has changed, within the rate limit of a group of peers, and
//! otherwise as a keepalive. Peers in the same data centre and in others form
//! two groups; known addresses that send no notices are contacted less often.
//! Lost datagrams are not repeated, as each notice contains the full state.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use bitterncart_coordination::fleet::peers::{Owned, Row, period};
use bitterncart_coordination::fleet::{Kind, Notice, Route};
use smol::net::UdpSocket;

use crate::clock;
use crate::core::Core;
use crate::dialect::Dialect;
use crate::log;
use crate::ownership;
use crate::shard::Shard;
use crate::store::Store;

/// Interval between checks for notices to send, and delay after a receive error.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum time between notices without changes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between notices to known addresses from which none are received.
const INACTIVE_PEER_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum size of a received datagram.
const MAX_DATAGRAM_BYTES: usize = 8192;

/// Receives the notices of peers.
pub(crate) async fn receive<S: Store, D: Dialect>(core: Core<S, D>, socket: UdpSocket) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((size, _)) => match postcard::from_bytes::<Notice>(&buffer[..size]) {
                Ok(notice) if notice.from != core.peer_address() => {
                    core.peers().heard(clock::now(), notice);
                }
                Ok(_) => {}
                Err(e) => log::datagram_error(&e.to_string()),
            },
            Err(e) => {
                log::datagram_error(&e.to_string());
                smol::Timer::after(CHECK_INTERVAL).await;
            }
        }
    }
}

/// Peers that receive the same notices: those of the same data centre, or all
/// others.
#[derive(Debug, Default)]
struct PeerGroup {
    is_local: bool,
    last_notice: Option<Notice>,
    sent_at: Duration,
}

impl PeerGroup {
    /// Sends the notice if it has changed and the period of the group has passed,
    /// or if a keepalive is due.
    async fn send_if_due(
        &mut self,
        socket: &UdpSocket,
        now: Duration,
        notice: &Notice,
        peers: &[SocketAddr],
    ) {
        let period = period(peers.len(), self.is_local);
        let since_sent = now.saturating_sub(self.sent_at);
        let notice = Notice {
            period_ms: period.max(KEEPALIVE_INTERVAL).as_millis() as u32,
            ..notice.clone()
        };
        let is_new = self.last_notice.as_ref().is_none_or(|last| {
            let seq = notice.seq;
            Notice {
                seq,
                ..last.clone()
            } != notice
        });
        // Tolerates a check that runs slightly early.
        let elapsed = since_sent + CHECK_INTERVAL / 4;
        if elapsed >= period.max(KEEPALIVE_INTERVAL) || (is_new && elapsed >= period) {
            send(socket, &notice, peers).await;
            self.sent_at = now;
            self.last_notice = Some(notice);
        }
    }
}

/// Sends notices to the peers, and updates shard ownership and the load at
/// replicas from the notices received.
pub(crate) async fn send_notices<S: Store, D: Dialect>(core: Core<S, D>, socket: UdpSocket) {
    let born_us = clock::wall().as_micros() as u64;
    let mut local = PeerGroup {
        is_local: true,
        ..PeerGroup::default()
    };
    let mut remote = PeerGroup::default();
    let mut inactive_sent_at = Duration::ZERO;
    for seq in 1_u64.. {
        smol::Timer::after(CHECK_INTERVAL).await;
        let now = clock::now();
        core.peers().look(now);
        ownership::update(&core, now);
        let notice = notice(&core, born_us, seq, now);
        let (local_peers, remote_peers) = live_peers(&core, now);
        local.send_if_due(&socket, now, &notice, &local_peers).await;
        remote
            .send_if_due(&socket, now, &notice, &remote_peers)
            .await;
        if now.saturating_sub(inactive_sent_at) >= INACTIVE_PEER_INTERVAL {
            inactive_sent_at = now;
            let mut inactive = known_peers(&core);
            inactive.retain(|peer| !local_peers.contains(peer) && !remote_peers.contains(peer));
            let inactive: Vec<SocketAddr> = inactive.into_iter().collect();
            send(&socket, &notice, &inactive).await;
        }
        let load = core.peers().load(now);
        core.pool()
            .told(|replica| load.get(&replica).copied().unwrap_or_default());
    }
}

/// Builds the notice of this daemon.
fn notice<S: Store, D: Dialect>(
    core: &Core<S, D>,
    born_us: u64,
    seq: u64,
    now: Duration,
) -> Notice {
    let runs = core.runs();
    let (waiting, running) = (runs.waiting, runs.running_items());
    drop(runs);
    Notice {
        from: core.peer_address(),
        born_us,
        seq,
        data_centre: core.settings.data_centre.clone(),
        period_ms: INACTIVE_PEER_INTERVAL.as_millis() as u32,
        leaving: core.is_draining(),
        writes: !core.is_store_unavailable(now),
        capacity: core.current_settings().capacity_millicores(),
        shards: owned_shards(core),
        waiting,
        load: load_rows(core),
        running,
    }
}

/// Live peers in this data centre and in others.
fn live_peers<S: Store, D: Dialect>(
    core: &Core<S, D>,
    now: Duration,
) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let peers = core.peers();
    let all = peers
        .live(now)
        .map(|n| (n.from, n.data_centre == core.settings.data_centre));
    let (local, remote): (Vec<_>, Vec<_>) = all.partition(|(_, is_local)| *is_local);
    let addresses =
        |peers: Vec<(SocketAddr, bool)>| peers.into_iter().map(|(from, _)| from).collect();
    (addresses(local), addresses(remote))
}

/// This daemon's own load at each replica.
fn load_rows<S: Store, D: Dialect>(core: &Core<S, D>) -> Vec<Row> {
    let pool = core.pool();
    let rows = pool.own().map(|(replica, load)| Row {
        replica,
        online: load.online as u16,
        batch: load.batch as u16,
    });
    rows.collect()
}

/// Shards that this daemon owns and has loaded, with the open tokens of each
/// batch route.
fn owned_shards<S: Store, D: Dialect>(core: &Core<S, D>) -> Vec<Owned> {
    let manifest = core.manifest();
    let routes = manifest.iter().flat_map(|m| &m.routes);
    let routes: Vec<&Route> = routes.filter(|r| r.kind == Kind::Batch).collect();
    let serving = core.shards.iter().filter(|shard| shard.is_serving());
    let row = |shard: &Shard| {
        let ledger = shard.ledger();
        let tokens = routes.iter().map(|route| {
            let tokens = ledger.open_tokens(&route.host, &route.prefix);
            (ownership::route_hash(route), tokens)
        });
        Owned {
            shard: shard.number(),
            tokens: tokens.filter(|(_, tokens)| *tokens > 0).collect(),
        }
    };
    serving.map(row).collect()
}

/// Addresses of all peers that may exist: the seeds, those registered in the
/// store and those from which a notice was received.
fn known_peers<S: Store, D: Dialect>(core: &Core<S, D>) -> BTreeSet<SocketAddr> {
    let own_address = core.peer_address();
    let received_from: Vec<SocketAddr> = core.peers().addresses().collect();
    let seeds = core.current_settings().seeds.clone();
    seeds
        .into_iter()
        .chain(core.members())
        .chain(received_from)
        .filter(|address| *address != own_address)
        .collect()
}

async fn send(socket: &UdpSocket, notice: &Notice, peers: &[SocketAddr]) {
    match postcard::to_stdvec(notice) {
        Ok(bytes) => {
            for peer in peers {
                // A failed send is treated as a lost datagram.
                drop(socket.send_to(&bytes, *peer).await);
            }
        }
        Err(e) => log::datagram_error(&e.to_string()),
    }
}
