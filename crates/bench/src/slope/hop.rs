//! Cost of the hop through a daemon.
//!
//! Sends requests to a minimal HTTP server directly and to a service through a
//! daemon, over loopback. Measures the latency with one caller, and the requests
//! per second of processor time by the number of concurrent callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use bitterncart_transport::Runtime;
use bitterncart_transport::http::{Handler, Request, Response, Server, StatusCode};
use bitterncart_trial::Site;
use bitterncart_trial::client::Caller;
use bitterncart_trial::report::Latency;
use bitterncart_trial::site::key;

use super::deployments::{minimal_site, site_document};
use super::resources::thread_time;
use super::{Point, Slope};

/// Number of requests in a latency measurement.
const REQUESTS: u32 = 3000;

/// Duration of a throughput measurement.
const MEASUREMENT: Duration = Duration::from_secs(5);

/// Name of the threads of the direct server.
const DIRECT_THREADS: &str = "echo";

/// Name of the daemon's threads.
const DAEMON_THREADS: &str = "daemon";

/// Handler that answers every request with an empty response.
#[derive(Clone, Debug)]
struct Empty;

impl Handler for Empty {
    async fn handle(&self, _: Request) -> Response {
        Response::new(StatusCode::Ok)
    }
}

/// Request target, and the threads whose processor time it costs.
#[derive(Clone, Copy)]
struct Target {
    address: SocketAddr,
    path: &'static str,
    threads: &'static str,
}

/// Sends a request; returns whether the answer is 200.
fn get(caller: &Caller, target: Target) -> bool {
    let response = smol::block_on(caller.get(target.address, target.path));
    matches!(response, Ok((200, _)))
}

/// Latencies of sequential requests from one caller.
fn latency(caller: &Caller, target: Target) -> Result<Latency, String> {
    let mut latency = Latency::default();
    for _ in 0..REQUESTS {
        let began = Instant::now();
        if !get(caller, target) {
            return Err(format!("{} does not answer", target.path));
        }
        latency.note(began.elapsed());
    }
    Ok(latency)
}

/// Requests per second of processor time, with a number of concurrent callers.
fn requests_per_cpu_second(customer: &str, target: Target, callers: u32) -> f64 {
    let before = thread_time(target.threads);
    let until = Instant::now() + MEASUREMENT;
    let callers: Vec<_> = (0..callers)
        .map(|_| {
            let caller = Caller::new(customer.to_owned());
            thread::spawn(move || {
                let mut done = 0_u32;
                while Instant::now() < until {
                    done += u32::from(get(&caller, target));
                }
                done
            })
        })
        .collect();
    let done: u32 = callers
        .into_iter()
        .map(|caller| caller.join().unwrap_or(0))
        .sum();
    let used = thread_time(target.threads).saturating_sub(before);
    f64::from(done) / used.as_secs_f64().max(f64::EPSILON)
}

/// Latency and requests per second of processor time, direct and through a daemon.
pub(super) fn hop() -> Result<Slope, String> {
    const CALLERS: [u32; 4] = [1, 4, 16, 32];
    let site = Arc::new(Site::start(&site_document(minimal_site)?, 1)?);
    let customer = key(&site.document.customers[0].name);
    let caller = Caller::new(customer.clone());
    let (runtime, _workers) = Runtime::start(DIRECT_THREADS, 1);
    let ephemeral = SocketAddr::from(([127, 0, 0, 1], 0));
    let server =
        smol::block_on(Server::bind(runtime.clone(), ephemeral)).map_err(|e| e.to_string())?;
    let direct = Target {
        address: server.address().map_err(|e| e.to_string())?,
        path: "/",
        threads: DIRECT_THREADS,
    };
    runtime.spawn(server.serve(Empty)).detach();
    let through_daemon = Target {
        address: site.callers()[0],
        path: "/services/minutes/balance",
        threads: DAEMON_THREADS,
    };
    let direct_latency = latency(&caller, direct)?;
    let daemon_latency = latency(&caller, through_daemon)?;
    let mut points = Vec::new();
    for callers in CALLERS {
        points.push(Point {
            size: callers.into(),
            costs: vec![
                direct_latency.ms(0.5),
                direct_latency.ms(0.99),
                daemon_latency.ms(0.5),
                daemon_latency.ms(0.99),
                requests_per_cpu_second(&customer, direct, callers),
                requests_per_cpu_second(&customer, through_daemon, callers),
            ],
        });
    }
    let costs = [
        "ms p50 of a bare server, one caller",
        "ms p99 of a bare server, one caller",
        "ms p50 through a daemon, one caller",
        "ms p99 through a daemon, one caller",
        "requests a second and core of a bare server",
        "requests a second and core of a daemon",
    ];
    Ok(Slope::new("hop", "callers at once", &costs, points))
}
