//! The shares of all daemons add up to the configured customer limits.

use std::time::Duration;

use bitterncart_coordination::Admission;
use bitterncart_protocol::document::Customer;
use bitterncart_protocol::{Code, Name};
use bitterncart_testing::cases;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Daemons in three data centres.
const DAEMONS: usize = 12;
const DAEMONS_PER_DATA_CENTRE: usize = 4;

/// Maximum deviation of the admitted rate that the admission module documents.
const MAX_RELATIVE_ERROR: f64 = 0.1;

const TEST_SECONDS: u64 = 120;

fn customer(requests_per_s: u32, concurrency: u32) -> Customer {
    Customer {
        name: Name::from("customer"),
        key_digest: "0".repeat(64).into(),
        requests_per_s,
        tokens_per_s: 1_000_000,
        concurrency,
    }
}

fn fleet(customer: &Customer) -> Vec<Admission> {
    let mut fleet = vec![Admission::default(); DAEMONS];
    for daemon in &mut fleet {
        daemon.configure(
            Duration::ZERO,
            std::slice::from_ref(customer),
            DAEMONS,
            DAEMONS_PER_DATA_CENTRE,
        );
    }
    fleet
}

/// Requests per second that all daemons admit, at a Poisson demand of `demand`
/// times the limit that is spread over the daemons at random.
fn admitted_per_s(limit: u32, demand: f64) -> f64 {
    let customer = customer(limit, 100_000);
    let mut fleet = fleet(&customer);
    let mut rng = StdRng::seed_from_u64(1);
    let mut now = 0.0;
    let mut admitted = 0_u32;
    while now < TEST_SECONDS as f64 {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        now += -uniform.ln() / (f64::from(limit) * demand);
        let at = Duration::from_secs_f64(now);
        let daemon = &mut fleet[rng.random_range(0..DAEMONS)];
        if daemon.admit(at, &customer.name).is_ok() {
            admitted += 1;
            daemon.finish(at, &customer.name, 1);
        }
    }
    f64::from(admitted) / TEST_SECONDS as f64
}

cases! {
    fn fleet_admits_up_to_the_limit(limit: u32, demand: f64) {
        let admitted = admitted_per_s(limit, demand) / f64::from(limit);
        let expected = demand.min(1.0);
        let error = (admitted - expected).abs() / expected;
        assert!(error <= MAX_RELATIVE_ERROR, "admitted {admitted:.3} of the limit at a demand of {demand}");
    }
    large_limit_at_half_demand(200, 0.5);
    large_limit_at_full_demand(200, 1.0);
    large_limit_at_double_demand(200, 2.0);
    small_limit_at_half_demand(20, 0.5);
    small_limit_at_double_demand(20, 2.0);
}

#[test]
fn concurrency_limit_is_divided_within_a_data_centre() {
    const CONCURRENCY: u32 = 20;
    let customer = customer(1_000_000, CONCURRENCY);
    let mut fleet = fleet(&customer);
    let mut running = 0;
    for daemon in fleet.iter_mut().take(DAEMONS_PER_DATA_CENTRE) {
        while daemon.admit(Duration::ZERO, &customer.name).is_ok() {
            running += 1;
        }
        let refused = daemon.admit(Duration::ZERO, &customer.name);
        assert_eq!(refused.map_err(|r| r.code), Err(Code::ConcurrencyLimited));
    }
    assert_eq!(running, CONCURRENCY);
}
