//! Shard participation: ownership, keyed calls and stale groups.

use std::time::Duration;

use bitterncart_coordination::Participant;
use bitterncart_coordination::call::Step;
use bitterncart_coordination::participant::Context;
use bitterncart_protocol::log::{Entry, Page};
use bitterncart_protocol::record::{Group, Outcome, Record};
use bitterncart_protocol::{Code, id};
use bitterncart_state::Shard;
use bitterncart_testing::cases;

const CALL: id::Call = id::Call(1);
const REQUEST: u128 = 5;
const STEP: Duration = Duration::from_millis(500);

/// In-memory log of one shard.
#[derive(Default)]
struct Log {
    entries: Vec<Entry>,
}

impl Log {
    fn append(&mut self, group: &Group) {
        let offset = self.entries.len() as u64;
        self.entries.push(Entry {
            offset,
            at_ms: offset,
            payload: group.encode(),
        });
    }

    fn append_unfenced(&mut self, record: Record) {
        self.append(&Group {
            epoch: None,
            records: vec![record],
        });
    }

    fn read(&self, now: Duration, participant: &mut Participant) {
        let from = participant.shard().next();
        let entries = self
            .entries
            .iter()
            .filter(|entry| entry.offset >= from)
            .cloned()
            .collect();
        let page = Page {
            first: 0,
            next: self.entries.len() as u64,
            entries,
        };
        participant.apply(now, &page);
    }

    fn claims(&self) -> usize {
        let groups = self
            .entries
            .iter()
            .filter_map(|entry| Group::decode(&entry.payload));
        let is_claim = |record: &Record| matches!(record, Record::Claim { .. });
        groups
            .flat_map(|group| group.records)
            .filter(is_claim)
            .count()
    }
}

fn participant(name: &str) -> Participant {
    Participant::new(id::Daemon::from(name), Shard::default())
}

fn only_live_daemon(name: &id::Daemon) -> Context<'_> {
    Context {
        preferred_owner: Some(name),
        owner_alive: false,
        draining: false,
    }
}

fn owner(log: &mut Log) -> Participant {
    let me = id::Daemon::from("a");
    let mut participant = participant("a");
    let claim = participant
        .decide(STEP, only_live_daemon(&me))
        .expect("a vacant shard is claimed");
    log.append_unfenced(claim);
    log.read(STEP, &mut participant);
    assert!(participant.is_mine());
    participant
}

#[test]
fn call_runs_after_an_older_announcement_was_withdrawn() {
    let mut log = Log::default();
    let mut owner = owner(&mut log);
    assert_eq!(owner.call(CALL, 1, REQUEST, 0), Step::Announce);
    let late_announcement = owner.take_group().expect("the announcement is queued");
    owner.withdraw(CALL, 1, Code::LogUnavailable);
    assert_eq!(owner.call(CALL, 2, REQUEST, 0), Step::Announce);
    log.append(&late_announcement);
    let next = owner
        .take_group()
        .expect("the withdrawal and the next announcement are queued");
    log.append(&next);
    log.read(STEP, &mut owner);
    assert!(!owner.is_announced(CALL, 1));
    assert!(owner.is_announced(CALL, 2));
}

#[test]
fn announced_call_of_a_dead_owner_has_unknown_outcome() {
    let mut log = Log::default();
    let mut first = owner(&mut log);
    first.call(CALL, 1, REQUEST, 0);
    log.append(&first.take_group().expect("the announcement is queued"));
    let mut second = take_over(&mut log, "b");
    assert_eq!(
        second.call(CALL, 2, REQUEST, 0),
        Step::Replay(Outcome::Unknown)
    );
}

/// Takes over the shard from an owner that does not answer the challenge.
fn take_over(log: &mut Log, name: &str) -> Participant {
    let me = id::Daemon::from(name);
    let mut participant = participant(name);
    for step in 1..20 {
        let now = STEP * step;
        log.read(now, &mut participant);
        if let Some(record) = participant.decide(now, only_live_daemon(&me)) {
            log.append_unfenced(record);
        }
    }
    log.read(STEP * 20, &mut participant);
    assert!(
        participant.is_mine(),
        "an owner that does not answer loses the shard"
    );
    participant
}

#[test]
fn group_of_a_stale_owner_has_no_effect() {
    let mut log = Log::default();
    let mut first = owner(&mut log);
    first.call(CALL, 1, REQUEST, 0);
    let stale = first.take_group().expect("the announcement is queued");
    let mut second = take_over(&mut log, "b");
    log.append(&stale);
    log.read(STEP, &mut second);
    log.read(STEP, &mut first);
    assert!(second.shard().call(CALL).is_none());
    assert!(!first.is_mine());
    assert!(!first.is_announced(CALL, 1));
    first.push([Record::Present]);
    assert_eq!(first.take_group(), None);
}

cases! {
    fn partitioned_daemons_that_reach_the_log_do_not_alternate(seconds: u32, claims: usize) {
        let mut log = Log::default();
        let names = [id::Daemon::from("a"), id::Daemon::from("b")];
        let mut participants = [participant("a"), participant("b")];
        for step in 1..=seconds * 2 {
            let now = STEP * step;
            for (participant, name) in participants.iter_mut().zip(&names) {
                log.read(now, participant);
                // Each participant considers the other daemon dead.
                if let Some(record) = participant.decide(now, only_live_daemon(name)) {
                    log.append_unfenced(record);
                }
                if let Some(group) = participant.take_group() {
                    log.append(&group);
                }
            }
        }
        assert_eq!(log.claims(), claims);
    }
    one_claim_within_a_minute(60, 1);
    one_claim_within_an_hour(3600, 1);
}
