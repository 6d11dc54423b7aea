//! Which daemons live.
//!
//! A SWIM-style protocol: each period a daemon probes one member, asks two
//! others to probe it in its stead when no answer comes, and spreads news on
//! the packets that it sends anyway. The load on a daemon does not depend on
//! the size of the fleet. The platform's list only gives addresses to greet.
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

/// Time between two probes.
pub const PERIOD: Duration = Duration::from_millis(1000);

/// Time for a direct answer before others are asked to probe.
const DIRECT: Duration = Duration::from_millis(300);

/// Time that a suspect has to refute.
pub const SUSPICION: Duration = Duration::from_millis(1500);

/// Time between two looks at all members.
const CHECK: Duration = Duration::from_millis(250);

/// Time that a dead member is remembered, so that old news does not revive it.
const TOMBSTONE: Duration = Duration::from_secs(600);

/// Members asked to probe in one's stead.
const RELAYS: usize = 2;

/// News on one packet at most.
const NEWS: usize = 6;

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a packet.
    Send(SocketAddr, Box<Packet>),
    /// The set of live members changed.
    Changed,
}

#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    since: Duration,
}

#[derive(Clone, Debug)]
struct News {
    daemon: id::Daemon,
    left: u32,
}

#[derive(Clone, Debug)]
struct Outstanding {
    seq: u64,
    daemon: id::Daemon,
    sent: Duration,
    relayed: bool,
}

#[derive(Clone, Debug)]
struct Relayed {
    seq: u64,
    theirs: u64,
    back: SocketAddr,
}

/// Membership as one daemon knows it.
#[derive(Clone, Debug)]
pub struct Membership {
    me: Member,
    members: BTreeMap<id::Daemon, Entry>,
    round: Vec<id::Daemon>,
    probe: Option<Outstanding>,
    relayed: VecDeque<Relayed>,
    news: Vec<News>,
    seeds: Vec<SocketAddr>,
    seq: u64,
    next_probe: Duration,
    next_check: Duration,
    generation: u64,
    rng: SmallRng,
}

impl Membership {
    /// Membership that knows only its own daemon.
    #[must_use]
    pub fn new(me: Member, seed: u64) -> Self {
        Self {
            me,
            members: BTreeMap::new(),
            round: Vec::new(),
            probe: None,
            relayed: VecDeque::new(),
            news: Vec::new(),
            seeds: Vec::new(),
            seq: 0,
            next_probe: Duration::ZERO,
            next_check: Duration::ZERO,
            generation: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// This daemon.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Takes the heartbeat addresses of the platform's list.
    pub fn list(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let own = self.me.heartbeat;
        self.seeds = addresses
            .into_iter()
            .filter(|address| *address != own)
            .collect();
    }

    /// Number that rises whenever the set of live members changes.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Live members that may own shards: those that reach the log.
    pub fn reaching_log(&self) -> impl Iterator<Item = &Member> {
        self.live().filter(|member| !member.log_lost)
    }

    /// Whether a daemon says that it cannot reach the log.
    #[must_use]
    pub fn has_lost_log(&self, daemon: &id::Daemon) -> bool {
        self.member(daemon).is_some_and(|member| member.log_lost)
    }

    /// Tells the others whether this daemon reaches the log.
    pub fn report_log(&mut self, lost: bool) -> Vec<Action> {
        if self.me.log_lost == lost {
            return Vec::new();
        }
        self.me.log_lost = lost;
        self.me.incarnation += 1;
        self.generation += 1;
        vec![Action::Changed]
    }

    /// Whether a daemon seems alive; a suspect still counts.
    #[must_use]
    pub fn is_alive(&self, daemon: &id::Daemon) -> bool {
        let known = |entry: &Entry| entry.member.health <= Health::Suspect;
        *daemon == self.me.daemon || self.members.get(daemon).is_some_and(known)
    }

    /// Live members, this daemon among them unless it leaves, in a fixed order.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        let me = Some(&self.me).filter(|me| me.health == Health::Alive);
        let others = self.members.values().map(|entry| &entry.member);
        me.into_iter()
            .chain(others.filter(|member| member.health <= Health::Suspect))
    }

    /// All members that are remembered, without this daemon.
    pub fn known(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|entry| &entry.member)
    }

    /// Member of an id.
    #[must_use]
    pub fn member(&self, daemon: &id::Daemon) -> Option<&Member> {
        match self.members.get(daemon) {
            Some(entry) => Some(&entry.member),
            None if *daemon == self.me.daemon => Some(&self.me),
            None => None,
        }
    }

    /// Announces that this daemon leaves.
    pub fn leave(&mut self) -> Vec<Action> {
        self.me.incarnation += 1;
        self.me.health = Health::Left;
        self.generation += 1;
        let targets: Vec<SocketAddr> = self.live().map(|member| member.heartbeat).collect();
        targets.into_iter().map(|to| self.ping(to)).collect()
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        self.check_probe(now, &mut actions);
        if now >= self.next_check {
            self.next_check = now + CHECK;
            self.check_suspects(now, &mut actions);
        }
        if now >= self.next_probe && self.me.health == Health::Alive {
            self.next_probe = now + PERIOD;
            self.start_probe(now, &mut actions);
            self.greet(&mut actions);
        }
        actions
    }

    /// Takes a packet.
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
                // The sender learns what is said of it, so that it can refute.
                let said = self
                    .members
                    .get(&from.daemon)
                    .map(|entry| entry.member.clone());
                let said = said.filter(|member| member.health != Health::Alive);
                actions.push(self.send(from.heartbeat, Probe::Ack { seq }, said));
            }
            Probe::Relay { seq, target } => self.relay(seq, target, from.heartbeat, &mut actions),
            Probe::Ack { seq } => self.acknowledged(seq, &mut actions),
        }
        actions
    }

    fn relay(
        &mut self,
        theirs: u64,
        target: SocketAddr,
        back: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        const KEPT: usize = 64;
        self.seq += 1;
        self.relayed.push_back(Relayed {
            seq: self.seq,
            theirs,
            back,
        });
        if self.relayed.len() > KEPT {
            self.relayed.pop_front();
        }
        let seq = self.seq;
        actions.push(self.send(target, Probe::Ping { seq }, None));
    }

    fn acknowledged(&mut self, seq: u64, actions: &mut Vec<Action>) {
        if self.probe.as_ref().is_some_and(|probe| probe.seq == seq) {
            self.probe = None;
        }
        if let Some(at) = self.relayed.iter().position(|relayed| relayed.seq == seq) {
            let relayed = self
                .relayed
                .remove(at)
                .expect("the position was just found");
            actions.push(self.send(
                relayed.back,
                Probe::Ack {
                    seq: relayed.theirs,
                },
                None,
            ));
        }
    }

    fn check_probe(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(probe) = self.probe.clone() else {
            return;
        };
        let waited = now.saturating_sub(probe.sent);
        if waited >= PERIOD.saturating_sub(Duration::from_millis(50)) {
            self.probe = None;
            self.suspect(now, &probe.daemon);
        } else if waited >= DIRECT && !probe.relayed {
            self.ask_others(&probe, actions);
        }
    }

    fn ask_others(&mut self, probe: &Outstanding, actions: &mut Vec<Action>) {
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
        self.probe = Some(Outstanding {
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
            self.spread(daemon.clone());
        }
    }

    fn check_suspects(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let mut dead = Vec::new();
        for entry in self.members.values_mut() {
            let lapsed = now.saturating_sub(entry.since) >= SUSPICION;
            if entry.member.health == Health::Suspect && lapsed {
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
            self.spread(daemon);
        }
        self.members.retain(|_, entry| {
            entry.member.health <= Health::Suspect || now.saturating_sub(entry.since) < TOMBSTONE
        });
    }

    fn start_probe(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(daemon) = self.next_in_round() else {
            return;
        };
        let Some(to) = self.member(&daemon).map(|member| member.heartbeat) else {
            return;
        };
        let said = self
            .member(&daemon)
            .filter(|m| m.health != Health::Alive)
            .cloned();
        self.seq += 1;
        let seq = self.seq;
        self.probe = Some(Outstanding {
            seq,
            daemon,
            sent: now,
            relayed: false,
        });
        actions.push(self.send(to, Probe::Ping { seq }, said));
    }

    fn next_in_round(&mut self) -> Option<id::Daemon> {
        loop {
            if self.round.is_empty() {
                self.round = self
                    .known()
                    .filter(|member| member.health <= Health::Suspect)
                    .map(|member| member.daemon.clone())
                    .collect();
                self.round.shuffle(&mut self.rng);
            }
            let daemon = self.round.pop()?;
            if self.is_alive(&daemon) {
                return Some(daemon);
            }
        }
    }

    /// Pings one listed address that no live member has: a newcomer, or the
    /// other side of a partition that has healed.
    fn greet(&mut self, actions: &mut Vec<Action>) {
        let strangers: Vec<SocketAddr> = self
            .seeds
            .iter()
            .copied()
            .filter(|seed| !self.live().any(|member| member.heartbeat == *seed))
            .collect();
        if strangers.is_empty() {
            return;
        }
        let to = strangers[self.rng.random_range(0..strangers.len())];
        let said = self.known().find(|member| member.heartbeat == to).cloned();
        self.seq += 1;
        let seq = self.seq;
        actions.push(self.send(to, Probe::Ping { seq }, said));
    }

    fn ping(&mut self, to: SocketAddr) -> Action {
        self.seq += 1;
        let seq = self.seq;
        self.send(to, Probe::Ping { seq }, None)
    }

    fn send(&mut self, to: SocketAddr, probe: Probe, said: Option<Member>) -> Action {
        let mut gossip: Vec<Member> = said.into_iter().collect();
        self.news.sort_by_key(|news| std::cmp::Reverse(news.left));
        for news in self.news.iter_mut().take(NEWS) {
            news.left -= 1;
            gossip.extend(
                self.members
                    .get(&news.daemon)
                    .map(|entry| entry.member.clone()),
            );
        }
        self.news.retain(|news| news.left > 0);
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
        let before = self.members.get(&member.daemon).map(|entry| &entry.member);
        let rank = |member: &Member| (member.incarnation, member.health);
        if before.is_some_and(|before| rank(member) <= rank(before)) {
            return;
        }
        let was_alive = before.is_some_and(|before| before.health <= Health::Suspect);
        let is_alive = member.health <= Health::Suspect;
        let moved = before.is_some_and(|before| before.log_lost != member.log_lost);
        if before.is_none() && !is_alive {
            return;
        }
        let replaced = is_alive && before.is_none() && self.replace(now, member);
        let entry = Entry {
            member: member.clone(),
            since: now,
        };
        self.members.insert(member.daemon.clone(), entry);
        self.spread(member.daemon.clone());
        if was_alive != is_alive || replaced || moved {
            self.generation += 1;
            actions.push(Action::Changed);
        }
    }

    /// A new life at an address ends the one before.
    fn replace(&mut self, now: Duration, member: &Member) -> bool {
        let mut ended = Vec::new();
        for entry in self.members.values_mut() {
            let same = entry.member.heartbeat == member.heartbeat;
            if same && entry.member.health <= Health::Suspect {
                entry.member.health = Health::Dead;
                entry.since = now;
                ended.push(entry.member.daemon.clone());
            }
        }
        let any = !ended.is_empty();
        for daemon in ended {
            self.spread(daemon);
        }
        any
    }

    fn refute(&mut self, said: &Member) {
        let wrong = said.health != Health::Alive && self.me.health == Health::Alive;
        if wrong && said.incarnation >= self.me.incarnation {
            let before = self.me.incarnation;
            self.me.incarnation = said.incarnation + 1;
            invariant::check(self.me.incarnation > before, "incarnations rise");
        }
    }

    /// Puts a member's state on the next packets, often enough to reach all.
    fn spread(&mut self, daemon: id::Daemon) {
        let size = self.members.len() as u32 + 2;
        let left = 3 * (u32::BITS - size.leading_zeros());
        self.news.retain(|news| news.daemon != daemon);
        self.news.push(News { daemon, left });
    }
}
