//! Duration of a rollout of new weights, in virtual time.
//!
//! Runs the rollout logic of the daemon against modelled engines: loads are
//! limited by a rate for the whole data centre, and each load takes a fixed
//! time. Measures how long it takes until all replicas serve the new version
//! and have been observed, by the number of replicas.

use std::time::Duration;

use bitterncart_coordination::rollout::{Action, Plan, Replica};
use bitterncart_coordination::{Bucket, Rollout};
use bitterncart_protocol::Name;
use bitterncart_protocol::engine::{Placement, Role, Weights};
use bitterncart_state::rollout::History;

use super::{Point, Slope};

/// Interval between decisions of the issuer, as in the daemon.
const DECISION_INTERVAL: Duration = Duration::from_millis(250);

/// Rate of weight loads in the data centre, per second.
const LOADS_PER_S: f64 = 1.0;

/// Duration of one load, from its admission by the rate limit.
const LOAD_DURATION: Duration = Duration::from_secs(20);

/// Delay until other daemons route requests to a replica that serves again.
const RETURN_DELAY: Duration = Duration::from_secs(5);

struct Engine {
    placement: Placement,
    /// End of the load in progress.
    loaded_at: Option<Duration>,
    /// Time from which requests are routed to the engine, if it serves.
    up_at: Option<Duration>,
    requests: u32,
}

fn weights(version: &str) -> Weights {
    Weights {
        version: Name::from(version),
        adapters: Vec::new(),
    }
}

/// Seconds until all replicas of a data centre serve a new version and have been
/// observed.
fn rollout_seconds(count: u32, max_concurrent: u32) -> f64 {
    let plan = Plan {
        target: weights("next"),
        min_in_service: count / 2,
        max_concurrent,
        observe: Duration::from_secs(30),
        drain: Duration::from_secs(20),
        max_failure_share: 0.05,
        max_slowdown: 3.0,
    };
    let history = History {
        good: Some(weights("first")),
        halted: None,
    };
    let mut engines: Vec<Engine> = (0..count)
        .map(|_| Engine {
            placement: Placement {
                weights: Some(weights("first")),
                ..Placement::default()
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
        now += DECISION_INTERVAL;
        let replicas: Vec<Replica<usize>> = engines
            .iter()
            .enumerate()
            .map(|(key, engine)| replica(now, key, engine))
            .collect();
        let admit_load = || loads.take(now, 1.0);
        for action in rollout.decide(now, &plan, &history, &replicas, admit_load) {
            match action {
                Action::Order(key, role, weights) => {
                    apply_order(&mut engines[key], now, role, weights);
                }
                Action::Good(_) => return now.as_secs_f64(),
                Action::Prefer(..) | Action::Halt(..) => {}
            }
        }
        for engine in &mut engines {
            engine.advance(now);
        }
    }
}

/// State of an engine as the rollout logic sees it.
fn replica(now: Duration, key: usize, engine: &Engine) -> Replica<usize> {
    Replica {
        key,
        placement: Some(engine.placement.clone()),
        up: engine.up_at.is_some_and(|at| now >= at),
        requests: engine.requests,
        failures: 0,
        ttft: Duration::from_millis(30),
    }
}

/// Carries out an order at an engine.
fn apply_order(engine: &mut Engine, now: Duration, role: Role, weights: Option<Weights>) {
    engine.placement.role = role;
    engine.up_at = (role == Role::Serving).then_some(now + RETURN_DELAY);
    if let Some(weights) = weights {
        engine.placement.weights = Some(weights);
        engine.placement.loading = true;
        engine.loaded_at = Some(now + LOAD_DURATION);
    }
}

impl Engine {
    /// Ends a load that is due and serves a request if the engine is in service.
    fn advance(&mut self, now: Duration) {
        if self.loaded_at.is_some_and(|at| now >= at) {
            self.loaded_at = None;
            self.placement.loading = false;
        }
        self.requests += u32::from(self.placement.role == Role::Serving);
    }
}

/// Duration of a rollout by the number of replicas.
pub(super) fn rollout() -> Slope {
    const SIZES: [u32; 5] = [3, 12, 24, 48, 86];
    let points = SIZES.map(|size| Point {
        size: size.into(),
        costs: vec![
            rollout_seconds(size, 1),
            rollout_seconds(size, size.div_ceil(8)),
        ],
    });
    Slope::new(
        "rollout",
        "replicas in a data centre",
        &["s with one at once", "s with an eighth at once"],
        points.into(),
    )
}
