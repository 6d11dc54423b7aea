//! Time until a version is up everywhere, in virtual time.

use std::time::Duration;

use bitterncart_coordination::rollout::{Action, Plan, Replica};
use bitterncart_coordination::{Bucket, Rollout};
use bitterncart_protocol::Name;
use bitterncart_protocol::engine::{Placed, Role, Weights};
use bitterncart_state::rollout::History;

use super::{Point, Slope};

/// Time between two looks of the issuer, as in the daemon.
const LOOK: Duration = Duration::from_millis(250);

/// Loads a second that the data centre may make.
const LOADS_PER_S: f64 = 1.0;

/// Time of one load from its turn on.
const LOAD: Duration = Duration::from_secs(20);

/// Time after which the others send to a replica that is back.
const BACK: Duration = Duration::from_secs(5);

struct Engine {
    placed: Placed,
    loaded_at: Option<Duration>,
    up_at: Option<Duration>,
    requests: u32,
}

fn weights(version: &str) -> Weights {
    Weights {
        version: Name::from(version),
        adapters: Vec::new(),
    }
}

/// Seconds until all replicas of a data centre run a version and were observed.
fn seconds(count: u32, at_once: u32) -> f64 {
    let plan = Plan {
        target: weights("next"),
        min_in_service: count / 2,
        max_concurrent: at_once,
        observe: Duration::from_secs(30),
        drain: Duration::from_secs(20),
        max_failure_share: 0.05,
        max_slowdown: 3.0,
    };
    let outcome = History {
        good: Some(weights("first")),
        halted: None,
    };
    let mut engines: Vec<Engine> = (0..count)
        .map(|_| Engine {
            placed: Placed {
                weights: Some(weights("first")),
                ..Placed::default()
            },
            loaded_at: None,
            up_at: Some(Duration::ZERO),
            requests: 0,
        })
        .collect();
    let mut rollout = Rollout::default();
    let mut loads = Bucket::new(LOADS_PER_S, 1.0);
    let mut now = Duration::ZERO;
    loop {
        now += LOOK;
        let replicas: Vec<Replica<usize>> =
            engines.iter().enumerate().map(|e| view(now, e)).collect();
        let take = || loads.take(now, 1.0);
        for action in rollout.decide(now, &plan, &outcome, &replicas, take) {
            match action {
                Action::Order(key, role, weights) => order(&mut engines[key], now, role, weights),
                Action::Good(_) => return now.as_secs_f64(),
                Action::Prefer(..) | Action::Halt(..) => {}
            }
        }
        for engine in &mut engines {
            engine.pass(now);
        }
    }
}

fn view(now: Duration, (key, engine): (usize, &Engine)) -> Replica<usize> {
    Replica {
        key,
        placement: Some(engine.placed.clone()),
        up: engine.up_at.is_some_and(|at| now >= at),
        requests: engine.requests,
        failures: 0,
        ttft: Duration::from_millis(30),
    }
}

fn order(engine: &mut Engine, now: Duration, role: Role, weights: Option<Weights>) {
    engine.placed.role = role;
    engine.up_at = (role == Role::Serving).then_some(now + BACK);
    if let Some(weights) = weights {
        engine.placed.weights = Some(weights);
        engine.placed.loading = true;
        engine.loaded_at = Some(now + LOAD);
    }
}

impl Engine {
    fn pass(&mut self, now: Duration) {
        if self.loaded_at.is_some_and(|at| now >= at) {
            self.loaded_at = None;
            self.placed.loading = false;
        }
        self.requests += u32::from(self.placed.role == Role::Serving);
    }
}

/// Rollout: time until a version is up everywhere.
pub(super) fn rollout() -> Slope {
    const SIZES: [u32; 5] = [3, 12, 24, 48, 86];
    let points = SIZES.map(|size| Point {
        size: size.into(),
        costs: vec![seconds(size, 1), seconds(size, size.div_ceil(8))],
    });
    Slope::new(
        "rollout",
        "replicas in a data centre",
        &["s with one at once", "s with an eighth at once"],
        points.into(),
    )
}
