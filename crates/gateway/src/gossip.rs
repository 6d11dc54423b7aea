//! Gossip between daemons over UDP.
//!
//! Every daemon sends heartbeats to its peers with its load at each replica, the
//! shards that it owns and the batch items that it runs. A heartbeat is sent when
//! its content has changed, within the rate limit of a group of peers, and
//! otherwise as a keepalive. Peers in the same data centre and in others form
//! two groups; known addresses that send no heartbeats are contacted less often.
//! Lost datagrams are not repeated, as each heartbeat contains the full state.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use bitterncart_coordination::fleet::freshness::Message as FreshnessMessage;
use bitterncart_coordination::fleet::links;
use bitterncart_coordination::fleet::peers::{
    MAX_RECENT_JOBS, Ownership, RecentJobs, Usage, heartbeat_period,
};
use bitterncart_coordination::fleet::rate_limit::{self, Message};
use bitterncart_coordination::fleet::request_quota::Message as RequestQuotaMessage;
use bitterncart_coordination::fleet::streams::Message as StreamMessage;
use bitterncart_coordination::fleet::token_quota::{MAX_REPORTED_AGE, job_hash};
use bitterncart_coordination::fleet::{Group, Heartbeat, Kind, Queued, Route};
use compact_str::CompactString;
use futures_lite::future;
use smol::net::UdpSocket;

use crate::clock;
use crate::confirmation;
use crate::core::Core;
use crate::dialect::Dialect;
use crate::log;
use crate::ownership;
use crate::request_quota;
use crate::shard::Shard;
use crate::store::Store;
use crate::streams;
use crate::tokens;

/// Interval between checks for heartbeats to send, and delay after a receive error.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum time between heartbeats without changes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between heartbeats to known addresses from which none are received.
const INACTIVE_PEER_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between heartbeats with the speeds of replicas, which change over seconds.
const SPEEDS_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum size of a received datagram.
const MAX_DATAGRAM_BYTES: usize = 8192;

/// Datagrams that are received before other tasks have their turn.
const DATAGRAMS_PER_TURN: usize = 32;

/// Receives the heartbeats of peers.
pub(crate) async fn receive<S: Store, D: Dialect>(core: Core<S, D>, socket: UdpSocket) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    for number in (0..DATAGRAMS_PER_TURN).cycle() {
        if number == 0 {
            future::yield_now().await;
        }
        match socket.recv_from(&mut buffer).await {
            Ok((size, from)) if let Some(message) = Message::decode(&buffer[..size]) => {
                let report = Message::decode_report(&buffer[..size]);
                tokens::handle(&core, message, report, from).await;
            }
            Ok((size, from)) if let Some(message) = StreamMessage::decode(&buffer[..size]) => {
                streams::handle(&core, message, from).await;
            }
            Ok((size, from)) if let Some(message) = FreshnessMessage::decode(&buffer[..size]) => {
                confirmation::handle(&core, message, from).await;
            }
            Ok((size, from))
                if let Some(message) = RequestQuotaMessage::decode(&buffer[..size]) =>
            {
                request_quota::handle(&core, message, from).await;
            }
            Ok((size, _)) => match Heartbeat::decode(&buffer[..size]) {
                Ok(heartbeat) if heartbeat.from != core.peer_address() => {
                    let now = clock::now();
                    core.crashes.merge(now, &heartbeat.quarantine);
                    core.pool().merge_limits(now, &heartbeat.limits);
                    let (from, speeds) = (heartbeat.from, &heartbeat.speeds);
                    if !speeds.is_empty() && core.current_settings().learn_capacity {
                        core.pool().set_peer_speeds(now, from, speeds);
                    }
                    core.peers().receive(now, heartbeat);
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

/// Peers that receive the same heartbeats: those of the same data centre, or all
/// others.
#[derive(Debug, Default)]
struct PeerGroup {
    is_local: bool,
    /// Last heartbeat without what differs in each.
    last_content: Option<Heartbeat>,
    sent_at: Duration,
    speeds_sent_at: Duration,
}

impl PeerGroup {
    /// Sends the heartbeat if it has changed and the period of the group has passed,
    /// or if a keepalive is due.
    async fn send_if_due(
        &mut self,
        socket: &UdpSocket,
        now: Duration,
        heartbeat: &Heartbeat,
        peers: &[SocketAddr],
    ) {
        let period = heartbeat_period(peers.len(), self.is_local);
        let since_sent = now.saturating_sub(self.sent_at);
        let mut heartbeat = Heartbeat {
            period_ms: period.max(KEEPALIVE_INTERVAL).as_millis() as u32,
            ..heartbeat.clone()
        };
        let are_speeds_due = now.saturating_sub(self.speeds_sent_at) >= SPEEDS_INTERVAL;
        if !are_speeds_due {
            heartbeat.speeds.clear();
        }
        let content = Heartbeat {
            seq: 0,
            speeds: Vec::new(),
            // A job that is new also changes the tokens; one that is no longer recent does not
            // matter.
            recent_jobs: None,
            links: heartbeat.links.map(|links| links::Report {
                cut_off: links.cut_off,
                ..links::Report::default()
            }),
            quarantine: heartbeat.quarantine.without_ages(),
            limits: heartbeat
                .limits
                .iter()
                .map(|report| rate_limit::Report {
                    age_ms: 0,
                    ..*report
                })
                .collect(),
            ..heartbeat.clone()
        };
        let is_new = self.last_content.as_ref() != Some(&content);
        // Tolerates a check that runs slightly early.
        let elapsed = since_sent + CHECK_INTERVAL / 4;
        if elapsed >= period.max(KEEPALIVE_INTERVAL) || (is_new && elapsed >= period) {
            send(socket, &heartbeat, peers).await;
            self.sent_at = now;
            if are_speeds_due {
                self.speeds_sent_at = now;
            }
            self.last_content = Some(content);
        }
    }
}

/// Sends heartbeats to the peers, and updates shard ownership and the load at
/// replicas from the heartbeats received.
pub(crate) async fn send_heartbeats<S: Store, D: Dialect>(core: Core<S, D>, socket: UdpSocket) {
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
        if core.peers().tick(now) {
            core.shards.iter().for_each(|shard| shard.require_read(now));
        }
        ownership::update(&core, now);
        request_quota::update(&core, now);
        let heartbeat = build_heartbeat(&core, born_us, seq, now);
        let (local_peers, remote_peers) = live_peers(&core, now);
        local
            .send_if_due(&socket, now, &heartbeat, &local_peers)
            .await;
        remote
            .send_if_due(&socket, now, &heartbeat, &remote_peers)
            .await;
        if now.saturating_sub(inactive_sent_at) >= INACTIVE_PEER_INTERVAL {
            inactive_sent_at = now;
            core.request_quotas.expire(now);
            let mut inactive = known_peers(&core);
            inactive.retain(|peer| !local_peers.contains(peer) && !remote_peers.contains(peer));
            let inactive: Vec<SocketAddr> = inactive.into_iter().collect();
            send(&socket, &heartbeat, &inactive).await;
        }
        let peers = core.peers();
        let load = peers.load_by_replica(now);
        let queued: Vec<Queued> = peers.queued(now).chain(heartbeat.queued).collect();
        drop(peers);
        let mut pool = core.pool();
        pool.set_peer_load(|replica| load.get(&replica).copied().unwrap_or_default());
        pool.set_backlog(queued);
        let changes = if core.current_settings().learn_capacity {
            pool.update_capacities(now)
        } else {
            Vec::new()
        };
        drop(pool);
        for (replica, change) in changes {
            core.metrics.capacity_changed(change.new > change.old);
            log::capacity_changed(&replica, &change);
        }
    }
}

/// Builds the heartbeat of this daemon.
fn build_heartbeat<S: Store, D: Dialect>(
    core: &Core<S, D>,
    born_us: u64,
    seq: u64,
    now: Duration,
) -> Heartbeat {
    let runs = core.runs();
    let (waiting, running) = (runs.waiting, runs.running_items());
    drop(runs);
    let speeds = if core.current_settings().learn_capacity {
        core.pool().speed_reports(now)
    } else {
        Vec::new()
    };
    // The tokens have to include these jobs, so they are read later.
    let recent_jobs = recent_jobs(core);
    Heartbeat {
        from: core.peer_address(),
        born_us,
        seq,
        data_centre: core.settings.data_centre.clone(),
        period_ms: INACTIVE_PEER_INTERVAL.as_millis() as u32,
        leaving: core.shutdown.has_begun(),
        writes: !core.is_store_unavailable(now),
        capacity: core.current_settings().capacity_millicores(),
        shards: owned_shards(core),
        waiting,
        load: usage_by_replica(core),
        running,
        queued: queued_requests(core),
        quarantine: core.crashes.digest(now),
        limits: core.pool().limit_reports(now),
        links: Some(core.links.report()),
        speeds,
        recent_jobs: Some(recent_jobs),
    }
}

/// Online requests in the admission queue of this daemon.
fn queued_requests<S: Store, D: Dialect>(core: &Core<S, D>) -> Vec<Queued> {
    let lengths = core.admission_queue().lengths();
    let queued = lengths.into_iter().map(|(service, length)| Queued {
        group: Group::new(&service, &core.settings.data_centre),
        requests: u16::try_from(length).unwrap_or(u16::MAX),
    });
    queued.collect()
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
fn usage_by_replica<S: Store, D: Dialect>(core: &Core<S, D>) -> Vec<Usage> {
    let pool = core.pool();
    let usage = pool.own_load().map(|(replica, load)| Usage {
        replica,
        online: load.online as u16,
        batch: load.batch as u16,
    });
    usage.collect()
}

/// Shards that this daemon owns and has loaded, with the open tokens of each
/// batch route, or of each customer on it.
fn owned_shards<S: Store, D: Dialect>(core: &Core<S, D>) -> Vec<Ownership> {
    let manifest = core.manifest();
    let has_customers = manifest.as_ref().is_some_and(|m| m.customers.is_some());
    let routes = manifest.iter().flat_map(|m| &m.routes);
    let routes: Vec<&Route> = routes.filter(|r| r.kind == Kind::Batch).collect();
    let serving = core.shards.iter().filter(|shard| shard.is_serving());
    let ownership = |shard: &Shard| {
        let ledger = shard.ledger();
        let tokens = routes.iter().flat_map(|route| {
            if has_customers {
                let by_customer = ledger.open_tokens_by_customer(&route.host, &route.prefix);
                let of_customer = |(customer, tokens): (CompactString, u64)| {
                    (ownership::route_hash(route, Some(&customer)), tokens)
                };
                by_customer.into_iter().map(of_customer).collect()
            } else {
                let tokens = ledger.open_tokens(&route.host, &route.prefix, None);
                vec![(ownership::route_hash(route, None), tokens)]
            }
        });
        Ownership {
            shard: shard.number(),
            tokens: tokens.filter(|(_, tokens)| *tokens > 0).collect(),
        }
    };
    serving.map(ownership).collect()
}

/// Jobs that were submitted lately to the shards that this daemon owns and has loaded, by
/// shard; the newest ones if there are too many. Only token quotas need them.
fn recent_jobs<S: Store, D: Dialect>(core: &Core<S, D>) -> Vec<RecentJobs> {
    let manifest = core.manifest();
    let mut routes = manifest.iter().flat_map(|m| &m.routes);
    if !routes.any(|route| route.batch.max_tokens.is_some()) {
        return Vec::new();
    }
    let oldest_ms = clock::wall().saturating_sub(MAX_REPORTED_AGE).as_millis() as u64;
    let mut recent: Vec<(u64, u16, u32)> = Vec::new();
    for shard in core.shards.iter().filter(|shard| shard.is_serving()) {
        let ledger = shard.ledger();
        let submissions = ledger.jobs().map(|(_, job)| &job.submission);
        let submissions = submissions.filter(|job| job.submitted_ms >= oldest_ms);
        recent.extend(submissions.map(|job| (job.submitted_ms, shard.number(), job_hash(&job.id))));
    }
    recent.sort_unstable();
    let first = recent.len().saturating_sub(MAX_RECENT_JOBS);
    let mut by_shard: BTreeMap<u16, Vec<u32>> = BTreeMap::new();
    for (_, shard, job) in recent.drain(first..) {
        by_shard.entry(shard).or_default().push(job);
    }
    by_shard
        .into_iter()
        .map(|(shard, jobs)| RecentJobs { shard, jobs })
        .collect()
}

/// Addresses of all peers that may exist: the seeds, those registered in the
/// store and those from which a heartbeat was received.
pub(crate) fn known_peers<S: Store, D: Dialect>(core: &Core<S, D>) -> BTreeSet<SocketAddr> {
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

async fn send(socket: &UdpSocket, heartbeat: &Heartbeat, peers: &[SocketAddr]) {
    match heartbeat.encode() {
        Ok(bytes) => {
            for peer in peers {
                // A failed send is treated as a lost datagram.
                drop(socket.send_to(&bytes, *peer).await);
            }
        }
        Err(e) => log::datagram_error(&e.to_string()),
    }
}
