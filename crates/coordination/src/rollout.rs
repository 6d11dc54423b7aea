//! Rolls out model weights to the replicas of a data centre.
//!
//! The rollout covers one model in one data centre. A replica is drained, ordered
//! to load the target weights, returned to service and observed; only a few change
//! at once, and the configured minimum stays in service. If an observed replica
//! fails or slows down, the rollout halts and the replicas return to the last good
//! weights. Good and halted weights are recorded in the log, so that the next
//! issuer of orders can continue the rollout.

use std::collections::BTreeMap;
use std::time::Duration;

use bitterncart_protocol::engine::{Placement, Role, Weights};
use bitterncart_state::rollout::History;

/// Minimum time between two orders to a replica.
///
/// It exceeds the time that an order can be in transit, so that orders arrive in
/// the order in which they are sent.
const ORDER_INTERVAL: Duration = Duration::from_millis(2100);

/// Requests to an observed replica that suffice for a decision.
const MIN_REQUESTS: u32 = 5;

/// Requests for which an observed replica is preferred over the others.
const PREFERRED_REQUESTS: u32 = 2 * MIN_REQUESTS;

/// Failed requests at an observed replica below which a rollout does not halt.
const MIN_FAILURES: u32 = 3;

/// Factor on the observation time after which an observation ends even with too
/// few requests.
const MAX_OBSERVE_FACTOR: u32 = 4;

/// Rollout settings of a model, from the configuration document.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Weights to roll out.
    pub target: Weights,
    /// Minimum replicas in service.
    pub min_in_service: u32,
    /// Maximum replicas that change or are observed at once.
    pub max_concurrent: u32,
    /// Minimum time for which an updated replica is observed.
    pub observe: Duration,
    /// Maximum time to wait for running requests to end.
    pub drain: Duration,
    /// Share of failed requests above which a rollout halts.
    pub max_failure_share: f64,
    /// Factor on the best time to first token (TTFT) of replicas that are not changing
    /// above which a rollout halts.
    pub max_slowdown: f64,
}

/// State of a replica as known to the issuer of orders.
#[derive(Clone, Debug)]
pub struct Replica<K> {
    /// Key of the replica.
    pub key: K,
    /// Placement that the replica reported, if any.
    pub placement: Option<Placement>,
    /// Whether it accepts requests.
    pub up: bool,
    /// Requests sent to it so far.
    pub requests: u32,
    /// Requests that failed because of the replica.
    pub failures: u32,
    /// TTFT.
    pub ttft: Duration,
}

/// Action for the daemon to take.
#[derive(Clone, Debug, PartialEq)]
pub enum Action<K> {
    /// Order a replica into a role, and to load the weights if given.
    Order(K, Role, Option<Weights>),
    /// Prefer a replica for this many requests, because it is observed.
    Prefer(K, u32),
    /// Record these weights as good: the replicas run them without regression.
    Good(Weights),
    /// Record these weights as halted because of a regression.
    Halt(Weights, Cause),
}

/// Reason to halt a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Too many requests fail.
    Failures,
    /// The TTFT is too high.
    Slow,
}

/// Counters of a replica at the start of its observation.
#[derive(Clone, Copy, Debug)]
struct Baseline {
    since: Duration,
    requests: u32,
    failures: u32,
}

impl Baseline {
    fn new<K>(now: Duration, replica: &Replica<K>) -> Self {
        Self {
            since: now,
            requests: replica.requests,
            failures: replica.failures,
        }
    }

    /// Whether the observation has enough requests, or has reached its maximum time.
    fn is_over<K>(&self, now: Duration, plan: &Plan, replica: &Replica<K>) -> bool {
        let elapsed = now.saturating_sub(self.since);
        let requests = replica.requests.saturating_sub(self.requests);
        let enough = requests >= MIN_REQUESTS && elapsed >= plan.observe;
        enough || elapsed >= plan.observe * MAX_OBSERVE_FACTOR
    }
}

/// Progress of a replica that changes or is observed.
#[derive(Clone, Copy, Debug)]
struct Transition {
    since: Duration,
    ordered: Option<Duration>,
    observed: Option<Baseline>,
}

impl Transition {
    fn new(now: Duration) -> Self {
        Self {
            since: now,
            ordered: None,
            observed: None,
        }
    }
}

/// Rollout of one model in one data centre, kept by the issuer of orders.
#[derive(Clone, Debug)]
pub struct Rollout<K> {
    transitions: BTreeMap<K, Transition>,
    goal: Option<Weights>,
}

impl<K> Default for Rollout<K> {
    fn default() -> Self {
        Self {
            transitions: BTreeMap::new(),
            goal: None,
        }
    }
}

impl<K: Copy + Ord> Rollout<K> {
    /// Whether a replica is changing or observed.
    #[must_use]
    pub fn is_in_transition(&self, key: K) -> bool {
        self.transitions.contains_key(&key)
    }

    /// Decides the next actions; `may_load` requests permission for a load from the
    /// rate-limited weight store.
    pub fn decide(
        &mut self,
        now: Duration,
        plan: &Plan,
        history: &History,
        replicas: &[Replica<K>],
        may_load: impl FnMut() -> bool,
    ) -> Vec<Action<K>> {
        let Some(goal) = goal(plan, history) else {
            return Vec::new();
        };
        // Weights to return to must be recorded before any replica changes.
        let has_fallback = history.good.is_some() || !self.transitions.is_empty();
        if let Some(weights) = common_weights(replicas).filter(|_| !has_fallback) {
            return vec![Action::Good(weights)];
        }
        if self.goal.as_ref() != Some(&goal) {
            self.goal = Some(goal.clone());
            // Replicas under order stay: the effect may not show yet, and they still count
            // as out of service.
            self.transitions
                .retain(|_, transition| transition.observed.is_none());
        }
        if let Some(cause) = self.find_regression(plan, replicas)
            && goal == plan.target
        {
            return vec![Action::Halt(goal, cause)];
        }
        self.adopt_interrupted(now, &goal, replicas);
        self.start_transitions(now, plan, &goal, replicas);
        let mut actions = self.advance(now, plan, &goal, replicas, may_load);
        let at_goal = |replica: &Replica<K>| is_updated(replica, &goal);
        let all_updated = self.transitions.is_empty() && replicas.iter().all(at_goal);
        if all_updated && !replicas.is_empty() && history.good.as_ref() != Some(&goal) {
            actions.push(Action::Good(goal));
        }
        actions
    }

    /// Returns the reason to halt if an observed replica shows a regression.
    fn find_regression(&self, plan: &Plan, replicas: &[Replica<K>]) -> Option<Cause> {
        let settled = replicas.iter().filter(|r| !self.is_in_transition(r.key));
        let best_settled_ttft = settled.map(|replica| replica.ttft).min();
        let observed = replicas.iter().filter_map(|replica| {
            let baseline = self.transitions.get(&replica.key)?.observed?;
            Some((replica, baseline))
        });
        for (replica, baseline) in observed {
            let requests = replica.requests.saturating_sub(baseline.requests);
            let failures = replica.failures.saturating_sub(baseline.failures);
            let share = f64::from(failures) / f64::from(requests.max(1));
            let slow = best_settled_ttft
                .is_some_and(|best| replica.ttft > best.mul_f64(plan.max_slowdown));
            match () {
                () if failures >= MIN_FAILURES && share > plan.max_failure_share => {
                    return Some(Cause::Failures);
                }
                () if requests >= MIN_REQUESTS && slow => return Some(Cause::Slow),
                () => {}
            }
        }
        None
    }

    /// Continues transitions that a previous issuer did not complete.
    fn adopt_interrupted(&mut self, now: Duration, goal: &Weights, replicas: &[Replica<K>]) {
        for replica in replicas {
            let Some(placement) = &replica.placement else {
                continue;
            };
            let is_interrupted = placement.role == Role::Draining || placement.loading;
            if is_interrupted
                || (self.is_in_transition(replica.key) && placement.weights.as_ref() != Some(goal))
            {
                self.transitions
                    .entry(replica.key)
                    .or_insert_with(|| Transition::new(now));
            }
        }
    }

    fn start_transitions(
        &mut self,
        now: Duration,
        plan: &Plan,
        goal: &Weights,
        replicas: &[Replica<K>],
    ) {
        let serving = |replica: &&Replica<K>| serves(replica) && !self.is_out_of_service(replica);
        let mut serving = replicas.iter().filter(serving).count() as u32;
        let mut candidates: Vec<&Replica<K>> = replicas
            .iter()
            .filter(|replica| !self.is_in_transition(replica.key))
            .filter(|replica| {
                let placement = replica.placement.as_ref();
                placement.is_some_and(|placement| placement.weights.as_ref() != Some(goal))
            })
            .collect();
        // Replicas out of service first, then those with the fewest running requests.
        candidates.sort_by_key(|replica| {
            let running = replica
                .placement
                .as_ref()
                .map_or(0, |placement| placement.running);
            (replica.up, running, replica.key)
        });
        for replica in candidates {
            if self.transitions.len() >= plan.max_concurrent as usize {
                return;
            }
            if serves(replica) && serving <= plan.min_in_service.max(1) {
                continue;
            }
            serving -= u32::from(serves(replica));
            self.transitions.insert(replica.key, Transition::new(now));
        }
    }

    /// Whether a replica is changing and not in service yet.
    fn is_out_of_service(&self, replica: &Replica<K>) -> bool {
        let transition = self.transitions.get(&replica.key);
        transition.is_some_and(|transition| transition.observed.is_none())
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
            let Some(transition) = self.transitions.get_mut(&replica.key) else {
                continue;
            };
            let Some(placement) = &replica.placement else {
                continue;
            };
            let is_recent = transition
                .ordered
                .is_some_and(|at| now.saturating_sub(at) < ORDER_INTERVAL);
            let at_goal = placement.weights.as_ref() == Some(goal);
            let drained =
                placement.running == 0 || now.saturating_sub(transition.since) >= plan.drain;
            let key = replica.key;
            let order = match placement.role {
                // The observation starts when the replica is sent requests again.
                Role::Serving if at_goal && !placement.loading && !replica.up => continue,
                Role::Serving if at_goal && !placement.loading => {
                    let first = transition.observed.is_none();
                    let baseline = *transition
                        .observed
                        .get_or_insert(Baseline::new(now, replica));
                    if first {
                        actions.push(Action::Prefer(key, PREFERRED_REQUESTS));
                    }
                    if baseline.is_over(now, plan, replica) {
                        self.transitions.remove(&key);
                    }
                    continue;
                }
                _ if placement.loading || is_recent => continue,
                Role::Serving => Action::Order(key, Role::Draining, None),
                Role::Draining if at_goal => Action::Order(key, Role::Serving, None),
                Role::Draining if drained && may_load() => {
                    Action::Order(key, Role::Draining, Some(goal.clone()))
                }
                Role::Draining => continue,
            };
            transition.ordered = Some(now);
            actions.push(order);
        }
        actions
    }
}

/// Weights that the replicas should run: the target, or the good ones if it is halted.
fn goal(plan: &Plan, history: &History) -> Option<Weights> {
    if history.halted.as_ref() == Some(&plan.target) {
        return history.good.clone();
    }
    Some(plan.target.clone())
}

/// Whether a replica is up and reports that it serves.
fn serves<K>(replica: &Replica<K>) -> bool {
    let placement = replica.placement.as_ref();
    replica.up
        && placement.is_some_and(|placement| placement.role == Role::Serving && !placement.loading)
}

/// Weights that all replicas that are up have in common, if they do.
fn common_weights<K>(replicas: &[Replica<K>]) -> Option<Weights> {
    let mut up = replicas.iter().filter(|replica| replica.up);
    let weights = |replica: &Replica<K>| replica.placement.as_ref()?.weights.clone();
    let first = up.next().and_then(weights)?;
    up.all(|replica| weights(replica).as_ref() == Some(&first))
        .then_some(first)
}

fn is_updated<K>(replica: &Replica<K>, goal: &Weights) -> bool {
    let placement = replica.placement.as_ref();
    placement.is_some_and(|placement| {
        placement.weights.as_ref() == Some(goal)
            && placement.role == Role::Serving
            && !placement.loading
    })
}
