//! Plans of faults.

use std::collections::HashSet;
use std::time::Duration;

use bitterncart_soak::plan::{self, Action, KINDS, Kind, Size};
use bitterncart_testing::cases;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SIZE: Size = Size {
    daemons: 3,
    replicas: 6,
};

/// Long enough for all kinds of faults.
const LENGTH: Duration = Duration::from_secs(120);

fn draw(kinds: &[Kind], seed: u64) -> plan::Plan {
    plan::draw(kinds, SIZE, LENGTH, &mut SmallRng::seed_from_u64(seed))
}

#[test]
fn same_seed_draws_the_same_plan() {
    assert_eq!(draw(&KINDS, 7), draw(&KINDS, 7));
    assert_ne!(draw(&KINDS, 7), draw(&KINDS, 8));
}

#[test]
fn steps_are_in_order() {
    assert!(draw(&KINDS, 7).is_sorted_by_key(|(at, _)| *at));
}

cases! {
    /// A fault that begins has an end in the plan, for each process that it concerns.
    fn faults_end(kind: Kind) {
        let plan = draw(&[kind], 7);
        assert!(!plan.is_empty());
        let mut down = HashSet::new();
        for (_, action) in &plan {
            let (process, is_down) = match action {
                Action::KillReplica(n) => (format!("replica {n}"), true),
                Action::StartReplica(n, _) => (format!("replica {n}"), false),
                Action::KillDaemon(n) | Action::StopDaemon(n) => (format!("daemon {n}"), true),
                Action::StartDaemon(n) => (format!("daemon {n}"), false),
                Action::KillStore => ("store".to_owned(), true),
                Action::StartStore => ("store".to_owned(), false),
                _ => continue,
            };
            match is_down {
                true => down.insert(process),
                false => down.remove(&process),
            };
        }
        assert!(down.is_empty(), "{down:?}");
    }
    killed_replicas(Kind::KillReplica);
    killed_daemons(Kind::KillDaemon);
    killed_fleet(Kind::KillDaemons);
    stopped_daemons(Kind::StopDaemon);
    killed_relays(Kind::KillRelay);
    stopped_relays(Kind::StopRelay);
    killed_store(Kind::KillStore);
}

cases! {
    fn kinds_are_named_as_arguments(kind: Kind) {
        assert_eq!(kind.name().parse(), Ok(kind));
    }
    first(KINDS[0]);
    last(KINDS[KINDS.len() - 1]);
}

#[test]
fn unknown_kind_lists_the_known_ones() {
    let error = "flood".parse::<Kind>().expect_err("an error");
    assert!(
        error.contains("\"flood\"") && error.contains("kill-replica"),
        "{error}"
    );
}
