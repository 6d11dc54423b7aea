//! Quotas of queued batch tokens: decisions about jobs by grants and by what is known of the
//! ledgers.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use bitterncart_coordination::fleet::peers::RecentJobs;
use bitterncart_coordination::fleet::token_quota::{
    Ask, Change, GRANT_TTL, Grant, Jobs, Known, Plan, Shards, Table, Verdict, job_hash,
};
use bitterncart_coordination::fleet::{Heartbeat, Peers};
use bitterncart_testing::cases;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::ownership::heartbeat;

const QUOTA: u32 = 0xab;

/// Limit of the quota, in tokens.
const MAX_TOKENS: u64 = 100;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn ask(job: &str, tokens: u64, nonce: u32) -> Ask {
    Ask {
        quota: QUOTA,
        max_tokens: MAX_TOKENS,
        grant: Grant {
            job: job.into(),
            shard: 0,
            tokens,
            nonce,
        },
    }
}

fn shard(tokens: u64, jobs: Jobs) -> Shards {
    Some(vec![Known { tokens, jobs }])
}

/// A shard that has been read and holds none of the granted jobs.
fn empty_shard() -> Shards {
    shard(0, Jobs::Read(HashSet::new()))
}

fn apply(table: &mut Table, now: Duration, plan: &Plan) {
    for (key, value) in &plan.records {
        assert!(table.apply(now, key, Some(value)));
    }
}

/// Plans changes while no shard holds a job.
fn plan_alone(table: &Table, now: Duration, changes: &[Change]) -> Plan {
    let shards = empty_shard();
    table.plan(now, changes, |_| &shards)
}

/// Decides about one change and applies its records.
fn decide(table: &mut Table, now: Duration, change: Change, shards: &Shards) -> Verdict {
    let plan = table.plan(now, [&change], |_| shards);
    apply(table, now, &plan);
    plan.decisions[0].verdict
}

/// Table with a grant of 60 tokens.
fn with_grant() -> Table {
    let mut table = Table::default();
    let add = Change::Add(ask("first", 60, 1));
    let verdict = decide(&mut table, at(0), add, &empty_shard());
    assert_eq!(verdict, Verdict::Granted);
    table
}

cases! {
    /// A job of 60 tokens got a grant at the time 0, and one of 30 tokens asks later: it fits
    /// unless the first one counts twice. One of 60 tokens fits only if the grant no longer
    /// counts.
    fn grant_counts_until_its_job_is_seen(now: Duration, shards: Shards, fitting: u64) {
        let mut table = with_grant();
        for tokens in [fitting, fitting + 1] {
            let add = Change::Add(ask("second", tokens, 2));
            let expected = match tokens == fitting {
                true => Verdict::Granted,
                false => Verdict::Exceeded,
            };
            let mut table = table.clone();
            assert_eq!(decide(&mut table, now, add, &shards), expected, "{tokens}");
        }
        assert!(decide(&mut table, now, Change::Release(ask("first", 60, 1)), &shards) == Verdict::Granted);
    }
    job_in_no_ledger(at(1), empty_shard(), 40);
    job_in_a_ledger_that_was_read(at(1), shard(60, Jobs::Read(["first".into()].into())), 40);
    job_with_finished_items(at(1), shard(20, Jobs::Read(["first".into()].into())), 80);
    job_that_its_owner_reports(at(1), shard(60, Jobs::Reported(vec![job_hash("first")])), 40);
    job_that_its_owner_does_not_know(at(1), shard(20, Jobs::Reported(vec![job_hash("x")])), 20);
    job_at_an_owner_of_an_earlier_version(at(1), shard(0, Jobs::Unreported), 40);
    old_job_at_an_owner_of_an_earlier_version(at(3_000), shard(60, Jobs::Unreported), 40);
    grant_that_is_almost_over(at(GRANT_TTL.as_millis() as u64 - 1), empty_shard(), 40);
    grant_that_is_over(at(GRANT_TTL.as_millis() as u64), empty_shard(), 100);
}

/// Guards against a release that takes away the grant on which a repetition of the job at
/// another daemon relies.
#[test]
fn release_of_a_submission_keeps_the_grant_of_another() {
    let mut table = with_grant();
    let again = ask("first", 60, 2);
    assert_eq!(
        decide(
            &mut table,
            at(1),
            Change::Add(again.clone()),
            &empty_shard()
        ),
        Verdict::Granted
    );
    let failed = Change::Release(ask("first", 60, 1));
    decide(&mut table, at(2), failed, &empty_shard());
    assert_eq!(table.grants(at(2), QUOTA).count(), 1);
    decide(&mut table, at(3), Change::Release(again), &empty_shard());
    assert_eq!(table.grants(at(3), QUOTA).count(), 0);
}

/// Guards against an append that is planned once more, as its answer was lost, and is then
/// refused for its own tokens or written twice.
#[test]
fn grant_that_was_written_is_not_written_again() {
    let table = with_grant();
    let again = Change::Add(ask("first", 60, 1));
    let plan = plan_alone(&table, at(1), &[again]);
    assert_eq!(plan.decisions[0].verdict, Verdict::Granted);
    assert_eq!(plan.records, []);
}

/// Jobs that are decided together count for each other.
#[test]
fn jobs_of_one_group_share_what_is_left() {
    let jobs = ["a", "b", "c"].map(|job| Change::Add(ask(job, 40, 1)));
    let plan = plan_alone(&Table::default(), at(0), &jobs);
    let verdicts = plan.decisions.iter().map(|decision| decision.verdict);
    let expected = [Verdict::Granted, Verdict::Granted, Verdict::Exceeded];
    assert!(verdicts.eq(expected), "{plan:?}");
    assert_eq!(plan.records.len(), 1);
}

#[test]
fn job_is_not_granted_while_a_shard_is_unknown() {
    let mut table = Table::default();
    let add = Change::Add(ask("first", 1, 1));
    assert_eq!(decide(&mut table, at(0), add, &None), Verdict::Unknown);
    assert_eq!(table.grants(at(0), QUOTA).count(), 0);
}

/// Guards against a daemon whose wall clock has jumped and that drops the grants of others:
/// it rewrites their record with all that count by its own steady clock.
#[test]
fn grants_of_others_are_kept_when_a_record_is_written() {
    let now = at(GRANT_TTL.as_millis() as u64 * 10);
    let plan = plan_alone(
        &Table::default(),
        at(0),
        &[Change::Add(ask("first", 60, 1))],
    );
    let mut other = Table::default();
    apply(&mut other, now, &plan);
    let add = Change::Add(ask("second", 30, 2));
    assert_eq!(
        decide(&mut other, now, add, &empty_shard()),
        Verdict::Granted
    );
    assert_eq!(other.grants(now, QUOTA).count(), 2);
}

/// Without the records, all daemons together accept no more than is left.
#[test]
fn shares_of_all_daemons_keep_the_quota() {
    const DAEMONS: usize = 4;
    let mut accepted = 0;
    for _ in 0..DAEMONS {
        let mut table = Table::default();
        for n in 0..MAX_TOKENS {
            let ask = ask(&format!("job{n}"), 1, 1);
            let decision = table.decide_locally(at(n), &ask, &empty_shard(), DAEMONS);
            accepted += u64::from(decision.verdict == Verdict::Granted);
        }
    }
    assert!(accepted <= MAX_TOKENS, "{accepted}");
    assert!(accepted >= MAX_TOKENS / 2, "{accepted}");
}

/// The stored form: daemons of other versions read it.
#[test]
fn record_of_grants_keeps_its_form() {
    let plan = plan_alone(&Table::default(), at(0), &[Change::Add(ask("ab", 300, 7))]);
    assert_eq!(plan.records, [], "more than the limit");
    let plan = plan_alone(&Table::default(), at(0), &[Change::Add(ask("ab", 30, 7))]);
    let value = [1, 2, b'a', b'b', 0, 30, 7];
    assert_eq!(plan.records, [("000000ab".into(), value.to_vec())]);
}

#[test]
fn odd_records_of_grants_are_ignored() {
    let mut table = with_grant();
    for (key, value) in [("x", &[0][..]), ("000000ab", &[9]), ("", &[])] {
        assert!(!table.apply(Duration::ZERO, key, Some(value)), "{key}");
    }
    assert_eq!(table.grants(at(1), QUOTA).count(), 1);
    assert!(table.apply(Duration::ZERO, "000000ab", None));
    assert_eq!(table.grants(at(1), QUOTA).count(), 0);
}

/// Earlier builds ignore what follows the speeds, and their heartbeats are decoded.
#[test]
fn recent_jobs_follow_the_speeds_in_a_heartbeat() {
    let without = heartbeat(1, 1);
    let sent = Heartbeat {
        recent_jobs: Some(vec![RecentJobs {
            shard: 3,
            jobs: vec![1, 2],
        }]),
        ..without.clone()
    };
    let datagram = sent.encode().expect("a datagram");
    assert_eq!(Heartbeat::decode(&datagram).expect("a heartbeat"), sent);
    let of_earlier_build = without.encode().expect("a datagram");
    let decoded = Heartbeat::decode(&of_earlier_build).expect("a heartbeat");
    assert_eq!(decoded.recent_jobs, None);
    // An earlier build reads the speeds, which are empty, with `postcard::from_bytes`.
    assert!(datagram.starts_with(&of_earlier_build));
}

/// Guards against a daemon that decides by what it heard before it was suspended; one that
/// has just started has heard nothing that is outdated.
#[test]
fn reports_from_before_a_suspension_are_outdated() {
    let ms = Duration::from_millis;
    let mut peers = Peers::default();
    assert!(!peers.may_be_outdated(ms(5)));
    peers.tick(ms(10));
    assert!(!peers.may_be_outdated(ms(60)));
    assert!(peers.may_be_outdated(ms(3_000)), "before it has noticed");
    peers.tick(ms(3_010));
    assert!(peers.may_be_outdated(ms(3_020)));
    for n in 0..30 {
        peers.tick(ms(3_010 + 50 * n));
    }
    assert!(!peers.may_be_outdated(ms(4_500)));
}

/// Number of daemons and of shards of the simulated fleet.
const DAEMONS: usize = 6;
const SHARDS: u16 = 4;

/// Jobs of one simulated run.
const JOBS: usize = 400;

/// Longest time for which a daemon has not heard of a shard.
const MAX_LAG_MS: u64 = 5_000;

/// Longest time from a grant to the append of its job.
const MAX_APPEND_MS: u64 = 2_000;

/// Job of the simulation, with the times at which it was appended and finished.
#[derive(Clone, Debug)]
struct SimulatedJob {
    ask: Ask,
    appended_ms: u64,
    finished_ms: u64,
}

/// Jobs in all ledgers over time.
#[derive(Debug, Default)]
struct Ledgers(Vec<SimulatedJob>);

impl Ledgers {
    /// Tokens at a time in one shard, or in all.
    fn tokens(&self, ms: u64, shard: Option<u16>) -> u64 {
        let open = self.0.iter().filter(|job| {
            let is_there = shard.is_none_or(|shard| job.ask.grant.shard == shard);
            is_there && job.appended_ms <= ms && ms < job.finished_ms
        });
        open.map(|job| job.ask.grant.tokens).sum()
    }

    /// What a daemon knows of each shard that it heard of `lags` before.
    fn known(&self, ms: u64, lags: &[u64]) -> Shards {
        let known = (0..SHARDS).zip(lags).map(|(shard, lag)| {
            let as_of = ms.saturating_sub(*lag);
            let jobs = self.0.iter().filter(|job| job.appended_ms <= as_of);
            Known {
                tokens: self.tokens(as_of, Some(shard)),
                jobs: Jobs::Reported(jobs.map(|job| job_hash(&job.ask.grant.job)).collect()),
            }
        });
        Some(known.collect())
    }
}

/// Guards against a sum over all daemons above the quota, however late each of them hears
/// of the others' shards, and against jobs that are refused although they fit by all that
/// was queued within that time.
#[test]
fn daemons_with_outdated_views_keep_the_quota() {
    for seed in 0..60 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut log: Vec<(u64, Plan)> = Vec::new();
        let mut tables: Vec<(Table, usize)> = vec![(Table::default(), 0); DAEMONS];
        let mut ledgers = Ledgers::default();
        let mut refused_ms: HashMap<usize, u64> = HashMap::new();
        let mut ms = 0;
        for n in 0..JOBS {
            ms += random.random_range(0..200);
            let now = at(ms);
            let mut ask = ask(&format!("job{n}"), random.random_range(1..30), n as u32);
            ask.grant.shard = random.random_range(0..SHARDS);
            // An append takes effect only behind all that was read.
            let (table, read) = &mut tables[random.random_range(0..DAEMONS)];
            for (_, plan) in &log[*read..] {
                apply(table, now, plan);
            }
            let lags: Vec<u64> = (0..SHARDS)
                .map(|_| random.random_range(0..MAX_LAG_MS))
                .collect();
            let change = Change::Add(ask.clone());
            let known = ledgers.known(ms, &lags);
            let plan = table.plan(now, [&change], |_| &known);
            apply(table, now, &plan);
            let verdict = plan.decisions[0].verdict;
            if !plan.records.is_empty() {
                log.push((ms, plan));
            }
            *read = log.len();
            if verdict == Verdict::Granted {
                let appended_ms = ms + random.random_range(0..MAX_APPEND_MS);
                let finished_ms = appended_ms + random.random_range(100..6_000);
                ledgers.0.push(SimulatedJob {
                    ask,
                    appended_ms,
                    finished_ms,
                });
            } else {
                refused_ms.insert(n, ms);
                let since = ms.saturating_sub(MAX_LAG_MS);
                let counted = ledgers.0.iter().filter(|job| job.finished_ms > since);
                let counted: u64 = counted.map(|job| job.ask.grant.tokens).sum();
                assert!(
                    counted + ask.grant.tokens > MAX_TOKENS,
                    "seed {seed}: job {n} fits"
                );
            }
            assert!(
                ledgers.tokens(ms, None) <= MAX_TOKENS,
                "seed {seed}: {} tokens at {ms} ms",
                ledgers.tokens(ms, None)
            );
        }
        assert!(refused_ms.len() > JOBS / 20, "the quota was met");
        assert!(refused_ms.len() < JOBS, "some jobs were accepted");
    }
}
