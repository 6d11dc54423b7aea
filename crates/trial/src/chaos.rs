//! Random fault injection.
//!
//! A schedule of faults is drawn from a seed: kind, target, start and duration.
//! Faults overlap, and the same target can fail repeatedly. The level decides which
//! kinds occur. Every fault is removed again before [`run`] returns, and processes
//! that were killed are restarted by then.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bitterncart_protocol::admin::Publish;
use bitterncart_standin::fault::{Faults, Injector};
use bitterncart_transport::Error;
use bitterncart_transport::http::Client;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::site::Site;

/// Set of faults that a trial injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// No faults.
    None,
    /// Faults of backend servers and the log.
    Some,
    /// Also faults of daemons and the instance list, and concurrent publications.
    All,
}

impl std::str::FromStr for Level {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "none" => Ok(Self::None),
            "some" => Ok(Self::Some),
            "all" => Ok(Self::All),
            _ => Err("expected none, some or all".to_owned()),
        }
    }
}

/// Kind of fault; progress messages print the variant names.
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

const BACKEND_AND_LOG_KINDS: [Kind; 8] = [
    Kind::DeadReplica,
    Kind::SilentReplica,
    Kind::SlowReplica,
    Kind::LeavingReplica,
    Kind::LogOutage,
    Kind::LogSlow,
    Kind::LogLosesAnswers,
    Kind::ServiceLosesAnswers,
];

const ALL_KINDS: [Kind; 12] = [
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

/// Injects faults until a time, and returns when all faults have been removed.
/// A process that cannot be restarted is reported through `progress`.
pub fn run(site: &Arc<Site>, level: Level, seed: u64, until: Instant, progress: impl Fn(&str)) {
    let kinds: &[Kind] = match level {
        Level::None => return,
        Level::Some => &BACKEND_AND_LOG_KINDS,
        Level::All => &ALL_KINDS,
    };
    let mut rng = StdRng::seed_from_u64(seed ^ 3);
    let mut threads = Vec::new();
    while Instant::now() < until {
        std::thread::sleep(Duration::from_millis(rng.random_range(200..900)));
        let kind = kinds[rng.random_range(0..kinds.len())];
        let duration = Duration::from_millis(rng.random_range(300..3000));
        progress(&format!(
            "injecting fault {kind:?} for {} ms",
            duration.as_millis()
        ));
        let site = Arc::clone(site);
        let target = rng.random::<u32>() as usize;
        threads.push(std::thread::spawn(move || {
            inject(&site, kind, target, duration);
        }));
    }
    for thread in threads {
        if thread.join().is_err() {
            progress("a fault injection thread panicked");
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

/// Injects one fault and returns when it has been removed. The target index is
/// reduced modulo the number of candidates.
fn inject(site: &Site, kind: Kind, target: usize, duration: Duration) {
    let count = site.replicas().len();
    let replica = target % count.max(1);
    let entry = target % site.entries().len();
    match kind {
        Kind::DeadReplica => dead_replica(site, replica, duration),
        Kind::SilentReplica => inject_for(&engine_faults(site, replica), SILENT, duration),
        Kind::SlowReplica => inject_for(&engine_faults(site, replica), SLOW, duration),
        Kind::LeavingReplica => inject_for(&engine_faults(site, replica), LEAVING, duration),
        Kind::LogOutage => inject_for(&site.log.faults, OUTAGE, duration),
        Kind::LogSlow => inject_for(&site.log.faults, DELAYED, duration),
        Kind::LogLosesAnswers => inject_for(&site.log.faults, LOSES_HALF, duration),
        Kind::ServiceLosesAnswers => service_fault(site, target, duration),
        Kind::DeadEntry => dead_entry(site, entry, duration),
        Kind::PausedEntry => paused_entry(site, entry, duration * 4),
        Kind::ListOutage => inject_for(&site.instance_list.faults, OUTAGE, duration),
        Kind::RacingOperators => publish_concurrently(site),
    }
}

fn dead_replica(site: &Site, index: usize, duration: Duration) {
    if site.replicas()[index].handle.is_none() {
        return;
    }
    site.kill_replica(index);
    std::thread::sleep(duration);
    expect_restarted(site.restart_replica(index));
}

fn expect_restarted(result: Result<(), Error>) {
    if let Err(e) = result {
        panic!("failed to restart a process: {e}");
    }
}

fn engine_faults(site: &Site, index: usize) -> Injector {
    site.replicas()[index].engine.faults.clone()
}

/// Injects faults into a stand-in for a duration, then removes all its faults.
fn inject_for(injector: &Injector, faults: Faults, duration: Duration) {
    injector.set(faults);
    std::thread::sleep(duration);
    injector.set(Faults::default());
}

fn service_fault(site: &Site, target: usize, duration: Duration) {
    if site.servers.is_empty() {
        return;
    }
    let injector = &site.servers[target % site.servers.len()].handler.faults;
    inject_for(injector, LOSES_MOST, duration);
}

fn dead_entry(site: &Site, index: usize, duration: Duration) {
    if site.entries()[index].daemon.is_none() {
        return;
    }
    site.kill_entry(index);
    std::thread::sleep(duration);
    expect_restarted(site.restart_entry(index));
}

fn paused_entry(site: &Site, index: usize, duration: Duration) {
    set_paused(site, index, true);
    std::thread::sleep(duration);
    set_paused(site, index, false);
}

fn set_paused(site: &Site, index: usize, paused: bool) {
    if let Some(daemon) = &site.entries()[index].daemon {
        if paused {
            daemon.workers.pause();
        } else {
            daemon.workers.resume();
        }
    }
}

/// Publishes two documents concurrently on the same base version.
fn publish_concurrently(site: &Site) {
    let admins: Vec<_> = site
        .entries()
        .iter()
        .map(|entry| entry.settings.admin)
        .collect();
    let Some(base) = admins.iter().find_map(|admin| current_version(*admin)) else {
        return;
    };
    let text = |operator: &str| format!("{}\n// {operator}\n", site.document_text);
    let post = |admin, operator: &str| {
        let publish = Publish {
            base,
            text: text(operator),
            operator: operator.into(),
        };
        std::thread::spawn(move || {
            // The responses are ignored: the trial checks the resulting versions instead.
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

fn current_version(admin: std::net::SocketAddr) -> Option<u64> {
    let client = Client::default();
    let status = client.get::<serde_json::Value>(admin, "/status");
    smol::block_on(status).ok()?["version"].as_u64()
}
