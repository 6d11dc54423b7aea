//! Datagrams between daemons: load, liveness and running batch items.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use bitterncart_coordination::fleet::Notice;
use bitterncart_coordination::fleet::peers::Row;
use smol::net::UdpSocket;

use crate::clock;
use crate::core::Core;
use crate::dialect::Dialect;
use crate::log;
use crate::store::Store;

/// Time between notices while the load changes.
const CHANGED: Duration = Duration::from_millis(50);

/// Notices between two that are sent although nothing changed.
const QUIET: u32 = 5;

/// Notices between two to peers that are not heard.
const UNHEARD: u32 = 20;

/// Bytes of a datagram.
const MAX_DATAGRAM: usize = 8192;

/// Takes the notices of peers in.
pub(crate) async fn receive<S: Store, D: Dialect>(core: Core<S, D>, socket: UdpSocket) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((size, _)) => match postcard::from_bytes::<Notice>(&buffer[..size]) {
                Ok(notice) if notice.from != core.me() => core.peers().heard(clock::now(), notice),
                Ok(_) => {}
                Err(e) => log::datagram(&e.to_string()),
            },
            Err(e) => {
                log::datagram(&e.to_string());
                smol::Timer::after(CHANGED).await;
            }
        }
    }
}

/// Tells the peers.
pub(crate) async fn tell<S: Store, D: Dialect>(core: Core<S, D>, socket: UdpSocket) {
    let born_us = clock::wall().as_micros() as u64;
    let mut last: Option<Notice> = None;
    for seq in 1_u64.. {
        smol::Timer::after(CHANGED).await;
        let now = clock::now();
        core.peers().look(now);
        let running = core.runs().running();
        let notice = Notice {
            from: core.me(),
            born_us,
            seq,
            leaving: core.is_leaving(),
            writes: !core.is_store_away(now),
            waiting: core.runs().waiting,
            load: rows(&core),
            running,
        };
        let changed = last.as_ref().is_none_or(|old| {
            (old.leaving, old.writes, &old.load, &old.running)
                != (notice.leaving, notice.writes, &notice.load, &notice.running)
        });
        let to_heard = changed || seq.is_multiple_of(u64::from(QUIET));
        let to_unheard = seq.is_multiple_of(u64::from(UNHEARD));
        let heard: BTreeSet<SocketAddr> = core.peers().live(now).map(|n| n.from).collect();
        let Ok(bytes) = postcard::to_stdvec(&notice) else {
            continue;
        };
        if to_heard {
            send(&socket, &bytes, &heard).await;
        }
        if to_unheard {
            let known = known(&core);
            let unheard = known.difference(&heard).copied().collect();
            send(&socket, &bytes, &unheard).await;
        }
        if to_heard {
            last = Some(notice);
        }
        let load = core.peers().load(now);
        core.pool()
            .told(|replica| load.get(&replica).copied().unwrap_or_default());
    }
}

fn rows<S: Store, D: Dialect>(core: &Core<S, D>) -> Vec<Row> {
    let pool = core.pool();
    let rows = pool.own().map(|(replica, load)| Row {
        replica,
        online: load.online as u16,
        batch: load.batch as u16,
    });
    rows.collect()
}

/// Peers that may exist: the seeds, and those in the ledger.
fn known<S: Store, D: Dialect>(core: &Core<S, D>) -> BTreeSet<SocketAddr> {
    let me = core.me();
    let members = core.shards.first().map(|s| s.ledger().members().clone());
    let seeds = core.settings.seeds.iter().copied();
    seeds
        .chain(members.unwrap_or_default())
        .filter(|address| *address != me)
        .collect()
}

async fn send(socket: &UdpSocket, bytes: &[u8], peers: &BTreeSet<SocketAddr>) {
    for peer in peers {
        // A datagram that cannot be sent is one that got lost.
        drop(socket.send_to(bytes, *peer).await);
    }
}
