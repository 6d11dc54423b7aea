//! Bringing the replicas of a model to the weights that the document states.
//!
//! One data centre, one model. A replica is drained, ordered to load, put back
//! and observed; a few at a time, and never so many that fewer than the stated
//! minimum serve. If an observed replica fails or slows down the rollout halts,
//! and the replicas go back to the weights that were good. What is decided is
//! kept in the log, so the next issuer goes on where this one stopped.

use std::collections::BTreeMap;
use std::time::Duration;

use bitterncart_protocol::engine::{Placed, Role, Weights};
use bitterncart_state::rollout::Outcome;

/// Time between two orders to a replica: the one before is on no wire any more,
/// so the last one sent is the last one taken.
const REPEAT: Duration = Duration::from_millis(2100);

/// Requests at an observed replica that say enough.
const ENOUGH: u32 = 5;

/// Requests that an observed replica is sent before others.
const TRIALS: u32 = 2 * ENOUGH;

/// Failures at an observed replica that may halt a rollout.
const FAILURES: u32 = 3;

/// Factor on the time of observation after which little traffic has to do.
const PATIENCE: u32 = 4;

/// What the document states.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Weights that shall be up.
    pub target: Weights,
    /// Replicas that serve at least.
    pub min_up: u32,
    /// Replicas that change at once.
    pub at_once: u32,
    /// Time for which a changed replica is observed.
    pub observe: Duration,
    /// Time for running requests to end.
    pub drain: Duration,
    /// Share of failed requests above which a rollout halts.
    pub failures: f64,
    /// Factor on the others' time to first token above which it halts.
    pub slowdown: f64,
}

/// Replica as the issuer sees it.
#[derive(Clone, Debug)]
pub struct Replica<K> {
    /// Key.
    pub key: K,
    /// What it runs, if it has said so.
    pub placed: Option<Placed>,
    /// Whether it takes requests.
    pub up: bool,
    /// Requests that it was sent so far.
    pub requests: u32,
    /// Of these, those that failed because of it.
    pub failures: u32,
    /// Time to first token.
    pub ttft: Duration,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action<K> {
    /// Order a replica into a role, to load weights if they are stated.
    Order(K, Role, Option<Weights>),
    /// Send a replica this many requests before others: it is observed.
    Try(K, u32),
    /// The replicas run these weights and hold: record it.
    Good(Weights),
    /// These weights are bad: record it.
    Halt(Weights, Cause),
}

/// Why a rollout halts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Requests fail.
    Failures,
    /// First tokens are late.
    Slow,
}

#[derive(Clone, Copy, Debug)]
struct Marks {
    since: Duration,
    requests: u32,
    failures: u32,
}

impl Marks {
    fn new<K>(now: Duration, replica: &Replica<K>) -> Self {
        Self {
            since: now,
            requests: replica.requests,
            failures: replica.failures,
        }
    }

    /// Whether enough was seen, or it took too long for so little traffic.
    fn is_over<K>(&self, now: Duration, plan: &Plan, replica: &Replica<K>) -> bool {
        let passed = now.saturating_sub(self.since);
        let requests = replica.requests.saturating_sub(self.requests);
        let enough = requests >= ENOUGH && passed >= plan.observe;
        enough || passed >= plan.observe * PATIENCE
    }
}

#[derive(Clone, Copy, Debug)]
struct Moving {
    since: Duration,
    ordered: Option<Duration>,
    observed: Option<Marks>,
}

impl Moving {
    fn new(now: Duration) -> Self {
        Self {
            since: now,
            ordered: None,
            observed: None,
        }
    }
}

/// Rollout of one model in one data centre, at its issuer.
#[derive(Clone, Debug)]
pub struct Rollout<K> {
    moving: BTreeMap<K, Moving>,
    goal: Option<Weights>,
}

impl<K> Default for Rollout<K> {
    fn default() -> Self {
        Self {
            moving: BTreeMap::new(),
            goal: None,
        }
    }
}

impl<K: Copy + Ord> Rollout<K> {
    /// Whether a replica changes or is observed.
    #[must_use]
    pub fn is_moving(&self, key: K) -> bool {
        self.moving.contains_key(&key)
    }

    /// Decides what to do now; `may_load` takes a turn at the weight store.
    pub fn look(
        &mut self,
        now: Duration,
        plan: &Plan,
        outcome: &Outcome,
        replicas: &[Replica<K>],
        may_load: impl FnMut() -> bool,
    ) -> Vec<Action<K>> {
        let Some(goal) = goal(plan, outcome) else {
            return Vec::new();
        };
        // Where to go back to has to be known before anything changes.
        let known = outcome.good.is_some() || !self.moving.is_empty();
        if let Some(weights) = common(replicas).filter(|_| !known) {
            return vec![Action::Good(weights)];
        }
        if self.goal.as_ref() != Some(&goal) {
            self.goal = Some(goal.clone());
            // What was ordered may not show yet; it still counts as out.
            self.moving.retain(|_, moving| moving.observed.is_none());
        }
        if let Some(cause) = self.judge(plan, replicas)
            && goal == plan.target
        {
            return vec![Action::Halt(goal, cause)];
        }
        self.adopt(now, &goal, replicas);
        self.start(now, plan, &goal, replicas);
        let mut actions = self.advance(now, plan, &goal, replicas, may_load);
        let at_goal = |replica: &Replica<K>| is_at(replica, &goal);
        let whole = self.moving.is_empty() && replicas.iter().all(at_goal);
        if whole && !replicas.is_empty() && outcome.good.as_ref() != Some(&goal) {
            actions.push(Action::Good(goal));
        }
        actions
    }

    /// Why the observed replicas speak against the weights, if they do.
    fn judge(&self, plan: &Plan, replicas: &[Replica<K>]) -> Option<Cause> {
        let settled = replicas.iter().filter(|r| !self.is_moving(r.key));
        let usual = settled.map(|replica| replica.ttft).min();
        let observed = replicas.iter().filter_map(|replica| {
            let marks = self.moving.get(&replica.key)?.observed?;
            Some((replica, marks))
        });
        for (replica, marks) in observed {
            let requests = replica.requests.saturating_sub(marks.requests);
            let failures = replica.failures.saturating_sub(marks.failures);
            let share = f64::from(failures) / f64::from(requests.max(1));
            let slow = usual.is_some_and(|usual| replica.ttft > usual.mul_f64(plan.slowdown));
            match () {
                () if failures >= FAILURES && share > plan.failures => {
                    return Some(Cause::Failures);
                }
                () if requests >= ENOUGH && slow => return Some(Cause::Slow),
                () => {}
            }
        }
        None
    }

    /// Takes over replicas that an issuer before this one left half changed.
    fn adopt(&mut self, now: Duration, goal: &Weights, replicas: &[Replica<K>]) {
        for replica in replicas {
            let Some(placed) = &replica.placed else {
                continue;
            };
            let half = placed.role == Role::Draining || placed.loading;
            if half || (self.is_moving(replica.key) && placed.weights.as_ref() != Some(goal)) {
                self.moving
                    .entry(replica.key)
                    .or_insert_with(|| Moving::new(now));
            }
        }
    }

    fn start(&mut self, now: Duration, plan: &Plan, goal: &Weights, replicas: &[Replica<K>]) {
        let serving = |replica: &&Replica<K>| serves(replica) && !self.is_changing(replica);
        let mut serving = replicas.iter().filter(serving).count() as u32;
        let mut candidates: Vec<&Replica<K>> = replicas
            .iter()
            .filter(|replica| !self.is_moving(replica.key))
            .filter(|replica| {
                let placed = replica.placed.as_ref();
                placed.is_some_and(|placed| placed.weights.as_ref() != Some(goal))
            })
            .collect();
        // What serves nobody goes first, then what serves least.
        candidates.sort_by_key(|replica| {
            let running = replica.placed.as_ref().map_or(0, |placed| placed.running);
            (replica.up, running, replica.key)
        });
        for replica in candidates {
            if self.moving.len() >= plan.at_once as usize {
                return;
            }
            if serves(replica) && serving <= plan.min_up.max(1) {
                continue;
            }
            serving -= u32::from(serves(replica));
            self.moving.insert(replica.key, Moving::new(now));
        }
    }

    /// Whether a replica is moving and does not serve yet.
    fn is_changing(&self, replica: &Replica<K>) -> bool {
        let moving = self.moving.get(&replica.key);
        moving.is_some_and(|moving| moving.observed.is_none())
    }

    fn advance(
        &mut self,
        now: Duration,
        plan: &Plan,
        goal: &Weights,
        replicas: &[Replica<K>],
        mut may_load: impl FnMut() -> bool,
    ) -> Vec<Action<K>> {
        let mut actions = Vec::new();
        for replica in replicas {
            let Some(moving) = self.moving.get_mut(&replica.key) else {
                continue;
            };
            let Some(placed) = &replica.placed else {
                continue;
            };
            let repeated = moving
                .ordered
                .is_some_and(|at| now.saturating_sub(at) < REPEAT);
            let at_goal = placed.weights.as_ref() == Some(goal);
            let drained = placed.running == 0 || now.saturating_sub(moving.since) >= plan.drain;
            let key = replica.key;
            let order = match placed.role {
                // It is observed from when requests are sent to it again.
                Role::Serving if at_goal && !placed.loading && !replica.up => continue,
                Role::Serving if at_goal && !placed.loading => {
                    let first = moving.observed.is_none();
                    let marks = *moving.observed.get_or_insert(Marks::new(now, replica));
                    if first {
                        actions.push(Action::Try(key, TRIALS));
                    }
                    if marks.is_over(now, plan, replica) {
                        self.moving.remove(&key);
                    }
                    continue;
                }
                _ if placed.loading || repeated => continue,
                Role::Serving => Action::Order(key, Role::Draining, None),
                Role::Draining if at_goal => Action::Order(key, Role::Serving, None),
                Role::Draining if drained && may_load() => {
                    Action::Order(key, Role::Draining, Some(goal.clone()))
                }
                Role::Draining => continue,
            };
            moving.ordered = Some(now);
            actions.push(order);
        }
        actions
    }
}

/// Weights that the replicas shall run: the target, or the good ones after it was halted.
fn goal(plan: &Plan, outcome: &Outcome) -> Option<Weights> {
    if outcome.halted.as_ref() == Some(&plan.target) {
        return outcome.good.clone();
    }
    Some(plan.target.clone())
}

/// Whether a replica takes requests and has said so itself.
fn serves<K>(replica: &Replica<K>) -> bool {
    let placed = replica.placed.as_ref();
    replica.up && placed.is_some_and(|placed| placed.role == Role::Serving && !placed.loading)
}

/// Weights that all replicas which serve have in common.
fn common<K>(replicas: &[Replica<K>]) -> Option<Weights> {
    let mut up = replicas.iter().filter(|replica| replica.up);
    let weights = |replica: &Replica<K>| replica.placed.as_ref()?.weights.clone();
    let first = up.next().and_then(weights)?;
    up.all(|replica| weights(replica).as_ref() == Some(&first))
        .then_some(first)
}

fn is_at<K>(replica: &Replica<K>, goal: &Weights) -> bool {
    let placed = replica.placed.as_ref();
    placed.is_some_and(|placed| {
        placed.weights.as_ref() == Some(goal) && placed.role == Role::Serving && !placed.loading
    })
}
