//! Tracks which daemons are alive.
//!
//! A SWIM-style failure detector: in each period a daemon probes one member, asks
//! two other members to relay the probe when the direct one is not answered in
//! time, and piggybacks membership updates on the packets that it sends anyway. A
//! member that answers neither probe is suspected, and declared dead unless it
//! refutes the suspicion in time. The load on a daemon does not depend on the size
//! of the fleet. The platform's instance list only gives addresses to contact.
//!
//! A restarted daemon has a new id at the address that it had. An
//! acknowledgement therefore counts only for the id that sent it, and a daemon
//! declares every other id at its own address dead: packets that were sent before
//! the restart would otherwise keep the ended process alive.
//!
//! After "SWIM: Scalable Weakly-consistent Infection-style Process Group
//! Membership Protocol" (Das, Gupta, Motivala, 2002).

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use bitterncart_protocol::id;
use bitterncart_protocol::peer::{Health, Member, Packet, Probe};
use bitterncart_state::invariant;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

/// Interval between probes.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(1000);

/// Time for a direct answer before other members are asked to relay the probe.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for a suspect to refute the suspicion before it is declared dead.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1500);

/// Interval of the scan for suspicion timeouts and old tombstones.
const SUSPECT_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which a dead member is kept, so that an outdated update does not revive it.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(600);

/// Members asked to relay a probe.
const RELAYS: usize = 2;

/// Maximum membership updates on one packet.
const MAX_UPDATES: usize = 6;

/// Action for the daemon to take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a packet to an address.
    Send(SocketAddr, Box<Packet>),
    /// Handle a change of the live members or of their access to the log.
    Changed,
}

#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    since: Duration,
}

/// Membership update to gossip on further packets.
#[derive(Clone, Debug)]
struct Update {
    daemon: id::Daemon,
    sends_left: u32,
}

#[derive(Clone, Debug)]
struct PendingProbe {
    seq: u64,
    daemon: id::Daemon,
    sent: Duration,
    relayed: bool,
}

#[derive(Clone, Debug)]
struct RelayedProbe {
    /// Sequence number of the ping that this daemon sent.
    seq: u64,
    /// Sequence number of the relay request.
    requester_seq: u64,
    requester: SocketAddr,
}

/// Local view of the membership.
#[derive(Clone, Debug)]
pub struct Membership {
    me: Member,
    members: BTreeMap<id::Daemon, Entry>,
    probe_order: Vec<id::Daemon>,
    pending_probe: Option<PendingProbe>,
    relayed_probes: VecDeque<RelayedProbe>,
    updates: Vec<Update>,
    seeds: Vec<SocketAddr>,
    seq: u64,
    next_probe: Duration,
    next_suspect_check: Duration,
    generation: u64,
    rng: SmallRng,
}

impl Membership {
    /// Membership of `me` alone; `seed` seeds the random choice of members.
    #[must_use]
    pub fn new(me: Member, seed: u64) -> Self {
        Self {
            me,
            members: BTreeMap::new(),
            probe_order: Vec::new(),
            pending_probe: None,
            relayed_probes: VecDeque::new(),
            updates: Vec::new(),
            seeds: Vec::new(),
            seq: 0,
            next_probe: Duration::ZERO,
            next_suspect_check: Duration::ZERO,
            generation: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// This daemon.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Replaces the seed addresses by the heartbeat addresses of the instance list.
    pub fn set_seeds(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let own = self.me.heartbeat;
        self.seeds = addresses
            .into_iter()
            .filter(|address| *address != own)
            .collect();
    }

    /// Counter that increases whenever the live members or their access to the log change.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Live members that can reach the log and so may own shards.
    pub fn reaching_log(&self) -> impl Iterator<Item = &Member> {
        self.live().filter(|member| !member.log_lost)
    }

    /// Whether a daemon reports that it cannot reach the log.
    #[must_use]
    pub fn has_lost_log(&self, daemon: &id::Daemon) -> bool {
        self.member(daemon).is_some_and(|member| member.log_lost)
    }

    /// Sets whether this daemon has lost the log, which gossip spreads.
    pub fn report_log(&mut self, lost: bool) -> Vec<Action> {
        if self.me.log_lost == lost {
            return Vec::new();
        }
        self.me.log_lost = lost;
        self.me.incarnation += 1;
        self.generation += 1;
        vec![Action::Changed]
    }

    /// Whether a daemon is alive or suspected.
    #[must_use]
    pub fn is_alive(&self, daemon: &id::Daemon) -> bool {
        let is_live = |entry: &Entry| entry.member.health <= Health::Suspect;
        *daemon == self.me.daemon || self.members.get(daemon).is_some_and(is_live)
    }

    /// Live members in a fixed order: this daemon, unless it has left, then the others by id.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        let me = Some(&self.me).filter(|me| me.health == Health::Alive);
        let others = self.members.values().map(|entry| &entry.member);
        me.into_iter()
            .chain(others.filter(|member| member.health <= Health::Suspect))
    }

    /// All known members, dead ones included, without this daemon.
    pub fn known(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|entry| &entry.member)
    }

    /// Member with the given id.
    #[must_use]
    pub fn member(&self, daemon: &id::Daemon) -> Option<&Member> {
        match self.members.get(daemon) {
            Some(entry) => Some(&entry.member),
            None if *daemon == self.me.daemon => Some(&self.me),
            None => None,
        }
    }

    /// Marks this daemon as left and returns packets that announce it to all live members.
    pub fn leave(&mut self) -> Vec<Action> {
        self.me.incarnation += 1;
        self.me.health = Health::Left;
        self.generation += 1;
        let targets: Vec<SocketAddr> = self.live().map(|member| member.heartbeat).collect();
        targets.into_iter().map(|to| self.ping(to)).collect()
    }

    /// Runs the periodic work: probe timeouts, suspicion timeouts and new probes.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        self.check_probe_timeout(now, &mut actions);
        if now >= self.next_suspect_check {
            self.next_suspect_check = now + SUSPECT_CHECK_INTERVAL;
            self.check_suspicion_timeouts(now, &mut actions);
        }
        if now >= self.next_probe && self.me.health == Health::Alive {
            self.next_probe = now + PROBE_INTERVAL;
            self.start_probe(now, &mut actions);
            self.ping_unknown_seed(&mut actions);
        }
        actions
    }

    /// Handles a received packet.
    pub fn receive(&mut self, now: Duration, packet: &Packet) -> Vec<Action> {
        let mut actions = Vec::new();
        let from = &packet.from;
        if from.daemon == self.me.daemon {
            return actions;
        }
        self.merge(now, from, &mut actions);
        for member in &packet.gossip {
            self.merge(now, member, &mut actions);
        }
        match packet.probe {
            Probe::Ping { seq } => {
                // A sender that is suspected or dead learns so and can refute it.
                let reported = self
                    .members
                    .get(&from.daemon)
                    .map(|entry| entry.member.clone());
                let reported = reported.filter(|member| member.health != Health::Alive);
                actions.push(self.send(from.heartbeat, Probe::Ack { seq }, reported));
            }
            Probe::Relay { seq, target } => {
                self.forward_probe(seq, target, from.heartbeat, &mut actions);
            }
            Probe::Ack { seq } => self.receive_ack(seq, packet, &mut actions),
        }
        actions
    }

    /// Pings a member on behalf of the sender of a relay request.
    fn forward_probe(
        &mut self,
        requester_seq: u64,
        target: SocketAddr,
        requester: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        const MAX_RELAYED_PROBES: usize = 64;
        self.seq += 1;
        self.relayed_probes.push_back(RelayedProbe {
            seq: self.seq,
            requester_seq,
            requester,
        });
        if self.relayed_probes.len() > MAX_RELAYED_PROBES {
            self.relayed_probes.pop_front();
        }
        let seq = self.seq;
        actions.push(self.send(target, Probe::Ping { seq }, None));
    }

    fn receive_ack(&mut self, seq: u64, packet: &Packet, actions: &mut Vec<Action>) {
        if self
            .pending_probe
            .as_ref()
            .is_some_and(|probe| probe.seq == seq && self.proves(packet, probe))
        {
            self.pending_probe = None;
        }
        if let Some(at) = self
            .relayed_probes
            .iter()
            .position(|relayed| relayed.seq == seq)
        {
            let relayed = self
                .relayed_probes
                .remove(at)
                .expect("the position was just found");
            actions.push(self.send(
                relayed.requester,
                Probe::Ack {
                    seq: relayed.requester_seq,
                },
                Some(packet.from.clone()),
            ));
        }
    }

    /// Whether an acknowledgement proves that the probed member is alive: it sent
    /// the packet, or a relay reports first in its gossip that it answered.
    fn proves(&self, packet: &Packet, probe: &PendingProbe) -> bool {
        let is_direct = self
            .member(&probe.daemon)
            .is_none_or(|probed| probed.heartbeat == packet.from.heartbeat);
        let answered_by = match packet.gossip.first() {
            Some(reported) if !is_direct => &reported.daemon,
            _ => &packet.from.daemon,
        };
        *answered_by == probe.daemon
    }

    fn check_probe_timeout(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(probe) = self.pending_probe.clone() else {
            return;
        };
        let waited = now.saturating_sub(probe.sent);
        if waited >= PROBE_INTERVAL.saturating_sub(Duration::from_millis(50)) {
            self.pending_probe = None;
            self.suspect(now, &probe.daemon);
        } else if waited >= DIRECT_TIMEOUT && !probe.relayed {
            self.request_relays(&probe, actions);
        }
    }

    /// Asks random members to relay a probe that was not answered directly.
    fn request_relays(&mut self, probe: &PendingProbe, actions: &mut Vec<Action>) {
        let Some(target) = self.member(&probe.daemon).map(|member| member.heartbeat) else {
            return;
        };
        let mut others: Vec<SocketAddr> = self
            .known()
            .filter(|member| member.health == Health::Alive && member.daemon != probe.daemon)
            .map(|member| member.heartbeat)
            .collect();
        others.shuffle(&mut self.rng);
        for to in others.into_iter().take(RELAYS) {
            actions.push(self.send(
                to,
                Probe::Relay {
                    seq: probe.seq,
                    target,
                },
                None,
            ));
        }
        self.pending_probe = Some(PendingProbe {
            relayed: true,
            ..probe.clone()
        });
    }

    fn suspect(&mut self, now: Duration, daemon: &id::Daemon) {
        if let Some(entry) = self.members.get_mut(daemon)
            && entry.member.health == Health::Alive
        {
            entry.member.health = Health::Suspect;
            entry.since = now;
            self.enqueue_update(daemon.clone());
        }
    }

    fn check_suspicion_timeouts(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let mut dead = Vec::new();
        for entry in self.members.values_mut() {
            let timed_out = now.saturating_sub(entry.since) >= SUSPICION_TIMEOUT;
            if entry.member.health == Health::Suspect && timed_out {
                entry.member.health = Health::Dead;
                entry.since = now;
                dead.push(entry.member.daemon.clone());
            }
        }
        if !dead.is_empty() {
            self.generation += 1;
            actions.push(Action::Changed);
        }
        for daemon in dead {
            self.enqueue_update(daemon);
        }
        self.members.retain(|_, entry| {
            entry.member.health <= Health::Suspect
                || now.saturating_sub(entry.since) < TOMBSTONE_RETENTION
        });
    }

    fn start_probe(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(daemon) = self.next_probe_target() else {
            return;
        };
        let Some(to) = self.member(&daemon).map(|member| member.heartbeat) else {
            return;
        };
        let reported = self
            .member(&daemon)
            .filter(|m| m.health != Health::Alive)
            .cloned();
        self.seq += 1;
        let seq = self.seq;
        self.pending_probe = Some(PendingProbe {
            seq,
            daemon,
            sent: now,
            relayed: false,
        });
        actions.push(self.send(to, Probe::Ping { seq }, reported));
    }

    fn next_probe_target(&mut self) -> Option<id::Daemon> {
        loop {
            if self.probe_order.is_empty() {
                self.probe_order = self
                    .known()
                    .filter(|member| member.health <= Health::Suspect)
                    .map(|member| member.daemon.clone())
                    .collect();
                self.probe_order.shuffle(&mut self.rng);
            }
            let daemon = self.probe_order.pop()?;
            if self.is_alive(&daemon) {
                return Some(daemon);
            }
        }
    }

    /// Pings one random seed address that no live member has.
    ///
    /// Such an address belongs to a new daemon or to the other side of a partition
    /// that has healed.
    fn ping_unknown_seed(&mut self, actions: &mut Vec<Action>) {
        let unknown_seeds: Vec<SocketAddr> = self
            .seeds
            .iter()
            .copied()
            .filter(|seed| !self.live().any(|member| member.heartbeat == *seed))
            .collect();
        if unknown_seeds.is_empty() {
            return;
        }
        let to = unknown_seeds[self.rng.random_range(0..unknown_seeds.len())];
        let reported = self.known().find(|member| member.heartbeat == to).cloned();
        self.seq += 1;
        let seq = self.seq;
        actions.push(self.send(to, Probe::Ping { seq }, reported));
    }

    fn ping(&mut self, to: SocketAddr) -> Action {
        self.seq += 1;
        let seq = self.seq;
        self.send(to, Probe::Ping { seq }, None)
    }

    fn send(&mut self, to: SocketAddr, probe: Probe, reported: Option<Member>) -> Action {
        let mut gossip: Vec<Member> = reported.into_iter().collect();
        self.updates
            .sort_by_key(|update| std::cmp::Reverse(update.sends_left));
        for update in self.updates.iter_mut().take(MAX_UPDATES) {
            update.sends_left -= 1;
            gossip.extend(
                self.members
                    .get(&update.daemon)
                    .map(|entry| entry.member.clone()),
            );
        }
        self.updates.retain(|update| update.sends_left > 0);
        Action::Send(
            to,
            Box::new(Packet {
                from: self.me.clone(),
                probe,
                gossip,
            }),
        )
    }

    fn merge(&mut self, now: Duration, member: &Member, actions: &mut Vec<Action>) {
        if member.daemon == self.me.daemon {
            self.refute(member);
            return;
        }
        if member.heartbeat == self.me.heartbeat {
            self.declare_ended(now, member, actions);
            return;
        }
        let before = self.members.get(&member.daemon).map(|entry| &entry.member);
        let rank = |member: &Member| (member.incarnation, member.health);
        if before.is_some_and(|before| rank(member) <= rank(before)) {
            return;
        }
        let was_alive = before.is_some_and(|before| before.health <= Health::Suspect);
        let is_alive = member.health <= Health::Suspect;
        let log_lost_changed = before.is_some_and(|before| before.log_lost != member.log_lost);
        if before.is_none() && !is_alive {
            return;
        }
        let superseded = is_alive && before.is_none() && self.supersede(now, member);
        let entry = Entry {
            member: member.clone(),
            since: now,
        };
        self.members.insert(member.daemon.clone(), entry);
        self.enqueue_update(member.daemon.clone());
        if was_alive != is_alive || superseded || log_lost_changed {
            self.generation += 1;
            actions.push(Action::Changed);
        }
    }

    /// Declares an earlier process at this daemon's address dead, in each report
    /// that says otherwise, so that the sender of the report learns it.
    fn declare_ended(&mut self, now: Duration, reported: &Member, actions: &mut Vec<Action>) {
        if reported.health > Health::Suspect {
            return;
        }
        let was_alive = self.is_alive(&reported.daemon);
        let known = self.member(&reported.daemon).map(|m| m.incarnation);
        let member = Member {
            health: Health::Dead,
            incarnation: reported.incarnation.max(known.unwrap_or(0)),
            ..reported.clone()
        };
        let entry = Entry { member, since: now };
        self.members.insert(reported.daemon.clone(), entry);
        self.enqueue_update(reported.daemon.clone());
        if was_alive {
            self.generation += 1;
            actions.push(Action::Changed);
        }
    }

    /// Declares earlier daemons at the address of a new member dead; returns whether any was.
    ///
    /// A restarted daemon has a new id at the same address.
    fn supersede(&mut self, now: Duration, member: &Member) -> bool {
        let mut dead = Vec::new();
        for entry in self.members.values_mut() {
            let same = entry.member.heartbeat == member.heartbeat;
            if same && entry.member.health <= Health::Suspect {
                entry.member.health = Health::Dead;
                entry.since = now;
                dead.push(entry.member.daemon.clone());
            }
        }
        let any = !dead.is_empty();
        for daemon in dead {
            self.enqueue_update(daemon);
        }
        any
    }

    fn refute(&mut self, reported: &Member) {
        let is_false = reported.health != Health::Alive && self.me.health == Health::Alive;
        if is_false && reported.incarnation >= self.me.incarnation {
            let before = self.me.incarnation;
            self.me.incarnation = reported.incarnation + 1;
            invariant::check(
                self.me.incarnation > before,
                "a refutation raises the incarnation",
            );
        }
    }

    /// Queues a member's state for gossip.
    ///
    /// The number of sends grows with the logarithm of the fleet size, so that the
    /// update reaches all members.
    fn enqueue_update(&mut self, daemon: id::Daemon) {
        let size = self.members.len() as u32 + 2;
        let sends_left = 3 * (u32::BITS - size.leading_zeros());
        self.updates.retain(|update| update.daemon != daemon);
        self.updates.push(Update { daemon, sends_left });
    }
}
