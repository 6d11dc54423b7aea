//! Preferred owners follow the membership.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use bitterncart_coordination::{Membership, Placement};
use bitterncart_protocol::peer::{Health, Member, Packet, Probe};
use bitterncart_protocol::{Name, id};

fn member(number: u16, health: Health) -> Member {
    Member {
        daemon: id::Daemon::from(format!("daemon-{number}").as_str()),
        data_centre: Name::from("a"),
        heartbeat: SocketAddr::from(([10, 0, 0, 1], number)),
        peer: SocketAddr::from(([10, 0, 0, 2], number)),
        incarnation: u64::from(health != Health::Alive),
        health,
        log_lost: false,
    }
}

fn receive_gossip(members: &mut Membership, about: Member) {
    let packet = Packet {
        from: member(2, Health::Alive),
        probe: Probe::Ack { seq: 0 },
        gossip: vec![about],
    };
    members.receive(Duration::ZERO, &packet);
}

fn owners(placement: &mut Placement, members: &Membership) -> BTreeSet<id::Daemon> {
    (0..64)
        .filter_map(|shard| placement.shard(members, id::Shard(shard)))
        .collect()
}

#[test]
fn preferred_owners_are_the_live_members() {
    let mut members = Membership::new(member(1, Health::Alive), 1);
    let mut placement = Placement::default();
    assert_eq!(owners(&mut placement, &members).len(), 1);
    receive_gossip(&mut members, member(3, Health::Alive));
    assert_eq!(owners(&mut placement, &members).len(), 3);
    receive_gossip(&mut members, member(3, Health::Dead));
    assert_eq!(owners(&mut placement, &members).len(), 2);
    members.leave();
    assert_eq!(owners(&mut placement, &members).len(), 1);
}
