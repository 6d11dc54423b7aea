//! Seeded plan of faults. Each fault begins and ends at times of its own, so that faults
//! overlap.

use std::str::FromStr;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use crate::fleet::Fleet;
use crate::process::Signal;

/// Kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A replica is killed and comes back.
    KillReplica,
    /// A replica stands still and goes on.
    FreezeReplica,
    /// All replicas are replaced by those of another software version, one by one.
    Release,
    /// A daemon is killed and comes back.
    KillDaemon,
    /// All daemons are killed and come back.
    KillDaemons,
    /// A daemon is asked to stop and comes back.
    StopDaemon,
    /// A daemon stands still and goes on.
    FreezeDaemon,
    /// A daemon loses its links to all replicas.
    CutDaemon,
    /// A daemon loses its link to one replica.
    CutLink,
    /// A daemon that is cut off loses the daemons that relay for it, one by one.
    KillRelay,
    /// The same, with daemons that are asked to stop.
    StopRelay,
    /// All connections of a daemon to replicas are reset once.
    Reset,
    /// The store is killed and comes back.
    KillStore,
    /// The store fails a daemon.
    CutStore,
    /// Replicas repeat answers.
    Copies,
    /// Replicas repeat answers, and some copies do not name the attempt.
    BlindCopies,
    /// Replicas break answers.
    Breaks,
    /// Replicas fail and refuse requests.
    Failures,
}

/// All kinds.
pub const KINDS: [Kind; 18] = [
    Kind::KillReplica,
    Kind::FreezeReplica,
    Kind::Release,
    Kind::KillDaemon,
    Kind::KillDaemons,
    Kind::StopDaemon,
    Kind::FreezeDaemon,
    Kind::CutDaemon,
    Kind::CutLink,
    Kind::KillRelay,
    Kind::StopRelay,
    Kind::Reset,
    Kind::KillStore,
    Kind::CutStore,
    Kind::Copies,
    Kind::BlindCopies,
    Kind::Breaks,
    Kind::Failures,
];

impl Kind {
    /// Name as an argument.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::KillReplica => "kill-replica",
            Self::FreezeReplica => "freeze-replica",
            Self::Release => "release",
            Self::KillDaemon => "kill-daemon",
            Self::KillDaemons => "kill-daemons",
            Self::StopDaemon => "stop-daemon",
            Self::FreezeDaemon => "freeze-daemon",
            Self::CutDaemon => "cut-daemon",
            Self::CutLink => "cut-link",
            Self::KillRelay => "kill-relay",
            Self::StopRelay => "stop-relay",
            Self::Reset => "reset",
            Self::KillStore => "kill-store",
            Self::CutStore => "cut-store",
            Self::Copies => "copies",
            Self::BlindCopies => "blind-copies",
            Self::Breaks => "breaks",
            Self::Failures => "failures",
        }
    }
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        let found = KINDS.iter().find(|kind| kind.name() == name);
        found.copied().ok_or_else(|| {
            let names: Vec<&str> = KINDS.iter().map(|kind| kind.name()).collect();
            format!(
                "fault {name:?} is not known; use one of {}",
                names.join(", ")
            )
        })
    }
}

/// Step of a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Kills a replica.
    KillReplica(usize),
    /// Starts a replica, under a new id or its old one.
    StartReplica(usize, bool),
    /// Kills a replica and starts the next version of its software.
    ReleaseReplica(usize),
    /// Sends a signal to a replica.
    SignalReplica(usize, Signal),
    /// Sends a command to a replica.
    CommandReplica(usize, String),
    /// Kills a daemon.
    KillDaemon(usize),
    /// Asks a daemon to stop.
    StopDaemon(usize),
    /// Starts a daemon.
    StartDaemon(usize),
    /// Sends a signal to a daemon.
    SignalDaemon(usize, Signal),
    /// Kills the store.
    KillStore,
    /// Starts the store.
    StartStore,
    /// Sends a command to the store.
    CommandStore(String),
}

impl Action {
    /// Carries it out.
    pub fn run(&self, fleet: &Fleet) {
        match self {
            Self::KillReplica(n) => fleet.kill_replica(*n),
            Self::StartReplica(n, is_new) => fleet.start_replica(*n, *is_new),
            Self::ReleaseReplica(n) => fleet.release_replica(*n),
            Self::SignalReplica(n, signal) => fleet.signal_replica(*n, *signal),
            Self::CommandReplica(n, command) => fleet.command_replica(*n, command),
            Self::KillDaemon(n) => fleet.kill_daemon(*n),
            Self::StopDaemon(n) => fleet.stop_daemon(*n),
            Self::StartDaemon(n) => fleet.start_daemon(*n),
            Self::SignalDaemon(n, signal) => fleet.signal_daemon(*n, *signal),
            Self::KillStore => fleet.kill_store(),
            Self::StartStore => fleet.start_store(),
            Self::CommandStore(command) => fleet.command_store(command),
        }
    }
}

/// Actions with their times, in order.
pub type Plan = Vec<(Duration, Action)>;

/// Share of the answers that are unusual, in thousandths.
const SHARE: u32 = 100;

/// Share of the copies that do not name the attempt, in thousandths.
const BLIND_SHARE: u32 = 500;

/// Mean time between two faults.
const MEAN_INTERVAL_MS: u64 = 900;

/// Time that a daemon has to stop before it is killed.
const STOP_TIME_MS: u64 = 8200;

/// Number of daemons and of replicas.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Daemons.
    pub daemons: usize,
    /// Replicas.
    pub replicas: usize,
}

/// Draws a plan of some kinds.
#[must_use]
pub fn draw(kinds: &[Kind], size: Size, length: Duration, random: &mut SmallRng) -> Plan {
    let mut plan = Plan::new();
    let length_ms = length.as_millis() as u64;
    let mut at = random.random_range(0..MEAN_INTERVAL_MS);
    while at < length_ms && !kinds.is_empty() {
        let kind = kinds.choose(random).copied().unwrap_or(Kind::KillReplica);
        let steps = steps(kind, size, random);
        let steps = steps.into_iter();
        plan.extend(steps.map(|(after, action)| (Duration::from_millis(at + after), action)));
        at += random.random_range(1..2 * MEAN_INTERVAL_MS);
    }
    plan.sort_by_key(|(at, _)| *at);
    plan
}

/// Steps of one fault with their times after its beginning, in milliseconds.
fn steps(kind: Kind, size: Size, random: &mut SmallRng) -> Vec<(u64, Action)> {
    let daemon = random.random_range(0..size.daemons);
    let replica = random.random_range(0..size.replicas);
    let short = random.random_range(300..3000);
    let long = random.random_range(1000..6000);
    let gap = random.random_range(100..1500);
    let is_new = random.random_range(0..10) < 7;
    let all = 0..size.replicas;
    let link = |replica, behaviour: &str| {
        Action::CommandReplica(replica, format!("link {daemon} {behaviour}"))
    };
    let shares = |name: &str, share| {
        let command = format!("share {name} {share}");
        let all = 0..size.replicas;
        all.map(move |n| Action::CommandReplica(n, command.clone()))
    };
    let cuts = ["reset", "refusing", "silent"];
    let cut = *cuts.choose(random).unwrap_or(&"reset");
    let cut_all = |cut: &str| -> Vec<(u64, Action)> {
        let cut = all.clone().map(|n| (0, link(n, cut)));
        let end = all.clone().map(|n| (long, link(n, "up")));
        cut.chain(end).collect()
    };
    let for_time = |first: Vec<Action>, time, last: Vec<Action>| {
        let first = first.into_iter().map(|action| (0, action));
        let last = last.into_iter().map(|action| (time, action));
        first.chain(last).collect::<Vec<_>>()
    };
    match kind {
        Kind::KillReplica => vec![
            (0, Action::KillReplica(replica)),
            (short, Action::StartReplica(replica, is_new)),
        ],
        Kind::FreezeReplica => vec![
            (0, Action::SignalReplica(replica, Signal::STOP)),
            (short, Action::SignalReplica(replica, Signal::CONT)),
        ],
        Kind::Release => {
            let releases = all
                .clone()
                .map(|n| (n as u64 * gap, Action::ReleaseReplica(n)));
            releases.collect()
        }
        Kind::KillDaemon => vec![
            (0, Action::KillDaemon(daemon)),
            (short, Action::StartDaemon(daemon)),
        ],
        Kind::KillDaemons => {
            let kill = (0..size.daemons).map(Action::KillDaemon).collect();
            let start = (0..size.daemons).map(Action::StartDaemon).collect();
            for_time(kill, short, start)
        }
        Kind::StopDaemon => vec![
            (0, Action::StopDaemon(daemon)),
            (STOP_TIME_MS, Action::StartDaemon(daemon)),
        ],
        Kind::FreezeDaemon => vec![
            (0, Action::SignalDaemon(daemon, Signal::STOP)),
            (long, Action::SignalDaemon(daemon, Signal::CONT)),
        ],
        Kind::CutDaemon => cut_all(cut),
        Kind::CutLink => vec![(0, link(replica, cut)), (long, link(replica, "up"))],
        Kind::KillRelay | Kind::StopRelay => {
            let mut steps = cut_all(cut);
            let others = (1..size.daemons).map(|n| (daemon + n) % size.daemons);
            for (n, relay) in others.enumerate() {
                let at = 800 + n as u64 * random.random_range(700..2000);
                let (end, down) = match kind {
                    Kind::StopRelay => (Action::StopDaemon(relay), STOP_TIME_MS),
                    _ => (Action::KillDaemon(relay), short),
                };
                steps.push((at, end));
                steps.push((at + down, Action::StartDaemon(relay)));
            }
            steps
        }
        Kind::Reset => {
            let cut = all.clone().map(|n| (0, link(n, "reset")));
            let end = all.clone().map(|n| (60, link(n, "up")));
            cut.chain(end).collect()
        }
        Kind::KillStore => for_time(vec![Action::KillStore], short, vec![Action::StartStore]),
        Kind::CutStore => {
            let behaviours = ["silent", "refusing", "losing", "ending"];
            let behaviour = *behaviours.choose(random).unwrap_or(&"silent");
            let command = |text: &str| vec![Action::CommandStore(format!("link {daemon} {text}"))];
            for_time(command(behaviour), long, command("up"))
        }
        Kind::Copies => for_time(
            shares("copy", SHARE).collect(),
            long,
            shares("copy", 0).collect(),
        ),
        Kind::BlindCopies => {
            let first = shares("copy", SHARE).chain(shares("blind", BLIND_SHARE));
            let last = shares("copy", 0).chain(shares("blind", 0));
            for_time(first.collect(), long, last.collect())
        }
        Kind::Breaks => for_time(
            shares("breaks", SHARE).collect(),
            long,
            shares("breaks", 0).collect(),
        ),
        Kind::Failures => {
            let first = shares("fail", SHARE).chain(shares("refuse", SHARE));
            let last = shares("fail", 0).chain(shares("refuse", 0));
            for_time(first.collect(), long, last.collect())
        }
    }
}

/// Actions that end all faults.
#[must_use]
pub fn repair(size: Size) -> Vec<Action> {
    let mut actions = vec![Action::StartStore];
    actions.extend((0..size.daemons).map(Action::StartDaemon));
    for replica in 0..size.replicas {
        actions.push(Action::StartReplica(replica, false));
        for daemon in 0..size.daemons {
            let command = format!("link {daemon} up");
            actions.push(Action::CommandReplica(replica, command));
        }
        for name in ["copy", "blind", "breaks", "fail", "refuse"] {
            actions.push(Action::CommandReplica(replica, format!("share {name} 0")));
        }
    }
    let store = (0..size.daemons).map(|n| Action::CommandStore(format!("link {n} up")));
    actions.extend(store);
    actions
}
