//! Faults at random times from a seed, together and twice.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bitterncart_protocol::admin::Publish;
use bitterncart_standin::fault::{Faults, Injector};
use bitterncart_transport::Error;
use bitterncart_transport::http::Client;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::site::Site;

/// Which faults a trial brings about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// None.
    None,
    /// Backend servers and the log.
    Some,
    /// Those and the daemons, the list and the operators.
    All,
}

impl std::str::FromStr for Level {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "none" => Ok(Self::None),
            "some" => Ok(Self::Some),
            "all" => Ok(Self::All),
            _ => Err("write none, some or all".to_owned()),
        }
    }
}

/// Fault of one kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    DeadReplica,
    SilentReplica,
    SlowReplica,
    LeavingReplica,
    LogOutage,
    LogSlow,
    LogLosesAnswers,
    ServiceLosesAnswers,
    DeadEntry,
    PausedEntry,
    ListOutage,
    RacingOperators,
}

const SOME: [Kind; 8] = [
    Kind::DeadReplica,
    Kind::SilentReplica,
    Kind::SlowReplica,
    Kind::LeavingReplica,
    Kind::LogOutage,
    Kind::LogSlow,
    Kind::LogLosesAnswers,
    Kind::ServiceLosesAnswers,
];

const ALL: [Kind; 12] = [
    Kind::DeadReplica,
    Kind::SilentReplica,
    Kind::SlowReplica,
    Kind::LeavingReplica,
    Kind::LogOutage,
    Kind::LogSlow,
    Kind::LogLosesAnswers,
    Kind::ServiceLosesAnswers,
    Kind::DeadEntry,
    Kind::PausedEntry,
    Kind::ListOutage,
    Kind::RacingOperators,
];

/// Brings faults about until a time; all are healed when it returns.
pub fn run(site: &Arc<Site>, level: Level, seed: u64, until: Instant, say: impl Fn(&str)) {
    let kinds: &[Kind] = match level {
        Level::None => return,
        Level::Some => &SOME,
        Level::All => &ALL,
    };
    let mut rng = StdRng::seed_from_u64(seed ^ 3);
    let mut threads = Vec::new();
    while Instant::now() < until {
        std::thread::sleep(Duration::from_millis(rng.random_range(200..900)));
        let kind = kinds[rng.random_range(0..kinds.len())];
        let length = Duration::from_millis(rng.random_range(300..3000));
        say(&format!("fault {kind:?} for {} ms", length.as_millis()));
        let site = Arc::clone(site);
        let choice = rng.random::<u32>() as usize;
        threads.push(std::thread::spawn(move || {
            bring(&site, kind, choice, length);
        }));
    }
    for thread in threads {
        if thread.join().is_err() {
            say("a fault's thread panicked");
        }
    }
}

const SILENT: Faults = Faults {
    silent: true,
    ..Faults::NONE
};
const SLOW: Faults = Faults {
    slow: 6.0,
    ..Faults::NONE
};
const LEAVING: Faults = Faults {
    leaving: true,
    ..Faults::NONE
};
const OUTAGE: Faults = Faults {
    outage: true,
    ..Faults::NONE
};
const DELAYED: Faults = Faults {
    delay_ms: 400,
    ..Faults::NONE
};
const LOSES_HALF: Faults = Faults {
    lose_answers: 0.5,
    ..Faults::NONE
};
const LOSES_MOST: Faults = Faults {
    lose_answers: 0.7,
    ..Faults::NONE
};

fn bring(site: &Site, kind: Kind, choice: usize, length: Duration) {
    let count = site.replicas().len();
    let replica = choice % count.max(1);
    let entry = choice % site.entries().len();
    match kind {
        Kind::DeadReplica => dead_replica(site, replica, length),
        Kind::SilentReplica => hold(&engine(site, replica), SILENT, length),
        Kind::SlowReplica => hold(&engine(site, replica), SLOW, length),
        Kind::LeavingReplica => hold(&engine(site, replica), LEAVING, length),
        Kind::LogOutage => hold(&site.log.faults, OUTAGE, length),
        Kind::LogSlow => hold(&site.log.faults, DELAYED, length),
        Kind::LogLosesAnswers => hold(&site.log.faults, LOSES_HALF, length),
        Kind::ServiceLosesAnswers => service_fault(site, choice, length),
        Kind::DeadEntry => dead_entry(site, entry, length),
        Kind::PausedEntry => paused_entry(site, entry, length * 4),
        Kind::ListOutage => hold(&site.list.faults, OUTAGE, length),
        Kind::RacingOperators => race(site),
    }
}

fn dead_replica(site: &Site, index: usize, length: Duration) {
    if site.replicas()[index].running.is_none() {
        return;
    }
    site.kill_replica(index);
    std::thread::sleep(length);
    restarted(site.restart_replica(index));
}

fn restarted(result: Result<(), Error>) {
    if let Err(e) = result {
        panic!("a process could not be started again: {e}");
    }
}

fn engine(site: &Site, index: usize) -> Injector {
    site.replicas()[index].engine.faults.clone()
}

/// Puts faults in force for a time.
fn hold(switch: &Injector, faults: Faults, length: Duration) {
    switch.set(faults);
    std::thread::sleep(length);
    switch.set(Faults::default());
}

fn service_fault(site: &Site, choice: usize, length: Duration) {
    if site.servers.is_empty() {
        return;
    }
    let switch = &site.servers[choice % site.servers.len()].handler.faults;
    hold(switch, LOSES_MOST, length);
}

fn dead_entry(site: &Site, index: usize, length: Duration) {
    if site.entries()[index].daemon.is_none() {
        return;
    }
    site.kill_entry(index);
    std::thread::sleep(length);
    restarted(site.restart_entry(index));
}

fn paused_entry(site: &Site, index: usize, length: Duration) {
    pause(site, index, true);
    std::thread::sleep(length);
    pause(site, index, false);
}

fn pause(site: &Site, index: usize, on: bool) {
    if let Some(daemon) = &site.entries()[index].daemon {
        if on {
            daemon.workers.pause();
        } else {
            daemon.workers.resume();
        }
    }
}

/// Two operators publish on top of the same version at once.
fn race(site: &Site) {
    let admins: Vec<_> = site
        .entries()
        .iter()
        .map(|entry| entry.settings.admin)
        .collect();
    let Some(base) = admins.iter().find_map(|admin| version(*admin)) else {
        return;
    };
    let text = |who: &str| format!("{}\n// {who}\n", site.text);
    let post = |admin, who: &str| {
        let publish = Publish {
            base,
            text: text(who),
            operator: who.into(),
        };
        std::thread::spawn(move || {
            // The race's verdict is checked on the versions that follow.
            drop(smol::block_on(
                Client::default().post(admin, "/config", &publish),
            ));
        })
    };
    let threads = [
        post(admins[0], "first"),
        post(admins[admins.len() - 1], "second"),
    ];
    for thread in threads {
        drop(thread.join());
    }
}

fn version(admin: std::net::SocketAddr) -> Option<u64> {
    let client = Client::default();
    let read = client.get::<serde_json::Value>(admin, "/status");
    smol::block_on(read).ok()?["version"].as_u64()
}
