//! Membership: a process that has ended is not kept alive by its successor.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bitterncart_coordination::membership::{Action, Membership};
use bitterncart_protocol::id;
use bitterncart_protocol::peer::{Health, Member, Packet, Probe};
use bitterncart_testing::cases;

/// Step of the virtual clock.
const STEP: Duration = Duration::from_millis(10);

/// Steps that a packet needs to its destination.
const DELAY_STEPS: u32 = 1;

/// Time in which a dead member has to be detected by all others.
const DETECTION: Duration = Duration::from_secs(12);

fn address(port: u16) -> SocketAddr {
    ([10, 0, 0, 1], port).into()
}

/// Process `name` at the address with `port`.
fn member(name: &str, port: u16) -> Member {
    Member {
        daemon: name.into(),
        data_centre: "a".into(),
        heartbeat: address(port),
        peer: address(port),
        incarnation: 1,
        health: Health::Alive,
        log_lost: false,
    }
}

/// Daemons and the packets between them, in virtual time.
struct Network {
    now: Duration,
    daemons: BTreeMap<SocketAddr, Membership>,
    packets: Vec<(Duration, SocketAddr, Packet)>,
    /// Pairs of addresses between which packets are lost.
    cut: Vec<(SocketAddr, SocketAddr)>,
}

impl Network {
    fn start(members: &[Member]) -> Self {
        let mut daemons = BTreeMap::new();
        for (seed, me) in members.iter().enumerate() {
            let mut membership = Membership::new(me.clone(), seed as u64);
            membership.set_seeds(members.iter().map(|m| m.heartbeat));
            daemons.insert(me.heartbeat, membership);
        }
        Self {
            now: Duration::ZERO,
            daemons,
            packets: Vec::new(),
            cut: Vec::new(),
        }
    }

    fn send(&mut self, from: SocketAddr, actions: Vec<Action>) {
        for action in actions {
            if let Action::Send(to, packet) = action
                && !self.cut.contains(&(from, to))
                && !self.cut.contains(&(to, from))
            {
                let at = self.now + STEP * DELAY_STEPS;
                self.packets.push((at, to, *packet));
            }
        }
    }

    fn deliver(&mut self, to: SocketAddr, packet: &Packet) {
        if let Some(daemon) = self.daemons.get_mut(&to) {
            let actions = daemon.receive(self.now, packet);
            self.send(to, actions);
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            let now = self.now;
            let (due, later) = self.packets.drain(..).partition(|(at, ..)| *at <= now);
            self.packets = later;
            let due: Vec<(Duration, SocketAddr, Packet)> = due;
            for (_, to, packet) in &due {
                self.deliver(*to, packet);
            }
            let addresses: Vec<SocketAddr> = self.daemons.keys().copied().collect();
            for at in addresses {
                let actions = self
                    .daemons
                    .get_mut(&at)
                    .map(|daemon| daemon.tick(now))
                    .unwrap_or_default();
                self.send(at, actions);
            }
        }
    }

    /// Ids of the live members, as each daemon knows them.
    fn views(&self) -> Vec<Vec<String>> {
        let ids = |daemon: &Membership| {
            let mut ids: Vec<String> = daemon.live().map(|m| m.daemon.to_string()).collect();
            ids.sort();
            ids
        };
        self.daemons.values().map(ids).collect()
    }
}

cases! {
    /// All daemons have restarted; at `at_ms`, a packet that the old `b` sent before
    /// reaches the new `a`. Its gossip names the old `a` as alive.
    fn late_packet_keeps_no_ended_process_alive(at_ms: u64, gossip_about: &str, port: u16) {
        let restarted = [member("a2", 1), member("b2", 2), member("c2", 3)];
        let mut network = Network::start(&restarted);
        network.run(Duration::from_millis(at_ms));
        let late = Packet {
            from: member("b1", 2),
            probe: Probe::Ping { seq: 7 },
            gossip: vec![member(gossip_about, port)],
        };
        network.deliver(address(1), &late);
        network.run(DETECTION);
        assert_eq!(network.views(), vec![vec!["a2", "b2", "c2"]; 3]);
    }
    late_packet_about_the_receiver_right_after_the_start(20, "a1", 1);
    late_packet_about_the_receiver_before_the_first_probes(200, "a1", 1);
    late_packet_about_the_receiver_after_the_first_probes(1500, "a1", 1);
    late_packet_about_the_receiver_in_steady_state(4000, "a1", 1);
    late_packet_about_another_member_right_after_the_start(20, "c1", 3);
    late_packet_about_another_member_in_steady_state(4000, "c1", 3);
}

/// A member whose address answers under another id is not alive, even if the
/// process there has never heard of it.
#[test]
fn ack_proves_only_the_process_that_sent_it() {
    let mut daemon = Membership::new(member("b", 2), 1);
    let about_a1 = Packet {
        from: member("c", 3),
        probe: Probe::Ack { seq: 0 },
        gossip: vec![member("a2", 1), member("a1", 1)],
    };
    daemon.receive(Duration::ZERO, &about_a1);
    let refuted = Member {
        incarnation: 2,
        ..member("a2", 1)
    };
    let mut now = Duration::ZERO;
    while now < DETECTION {
        now += STEP;
        for action in daemon.tick(now) {
            let Action::Send(to, packet) = action else {
                continue;
            };
            let (Probe::Ping { seq }, true) = (&packet.probe, to == address(1)) else {
                continue;
            };
            let ack = Packet {
                from: refuted.clone(),
                probe: Probe::Ack { seq: *seq },
                gossip: Vec::new(),
            };
            daemon.receive(now, &ack);
        }
    }
    assert!(!daemon.is_alive(&"a1".into()));
    assert!(daemon.is_alive(&"a2".into()));
}

/// A relayed probe proves that the member lives that answered the relay.
#[test]
fn relayed_probe_keeps_a_member_alive_behind_a_cut() {
    let mut network = Network::start(&[member("a", 1), member("b", 2), member("c", 3)]);
    network.run(Duration::from_secs(5));
    network.cut.push((address(1), address(2)));
    let a = network.daemons[&address(1)].generation();
    network.run(DETECTION);
    assert_eq!(network.views(), vec![vec!["a", "b", "c"]; 3]);
    assert_eq!(network.daemons[&address(1)].generation(), a, "no flapping");
}

/// A member that has ended is detected although another process answers for its
/// address behind a relay.
#[test]
fn relayed_probe_answered_by_a_successor_proves_nothing() {
    let mut daemon = Membership::new(member("b", 2), 1);
    let packet = |from: Member, probe, gossip| Packet {
        from,
        probe,
        gossip,
    };
    let known = vec![member("a2", 1), member("a1", 1), member("c", 3)];
    daemon.receive(
        Duration::ZERO,
        &packet(member("d", 4), Probe::Ack { seq: 0 }, known),
    );
    let mut now = Duration::ZERO;
    while now < DETECTION {
        now += STEP;
        for action in daemon.tick(now) {
            let Action::Send(to, sent) = action else {
                continue;
            };
            let from = match to.port() {
                3 => member("c", 3),
                4 => member("d", 4),
                _ => continue,
            };
            match sent.probe {
                Probe::Ping { seq } => {
                    let ack = packet(from, Probe::Ack { seq }, Vec::new());
                    daemon.receive(now, &ack);
                }
                Probe::Relay { seq, target } if target == address(1) => {
                    let answered_by = vec![member("a2", 1)];
                    let ack = packet(from, Probe::Ack { seq }, answered_by);
                    daemon.receive(now, &ack);
                }
                _ => {}
            }
        }
    }
    let a1: id::Daemon = "a1".into();
    assert!(!daemon.is_alive(&a1));
}
