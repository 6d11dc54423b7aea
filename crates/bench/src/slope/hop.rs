//! What a daemon between caller and server costs, beside a bare server.

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

use super::deployments::{document, small};
use super::machine::thread_time;
use super::{Point, Slope};

/// Requests of one latency measurement.
const REQUESTS: u32 = 3000;

/// Time of one throughput measurement.
const MEASURE: Duration = Duration::from_secs(5);

/// Name of the threads of the bare server.
const ECHO: &str = "echo";

/// Name of the daemon's threads.
const DAEMON: &str = "daemon";

/// Server that answers at once.
#[derive(Clone, Debug)]
struct Echo;

impl Handler for Echo {
    async fn handle(&self, _: Request) -> Response {
        Response::new(StatusCode::Ok)
    }
}

#[derive(Clone, Copy)]
struct Target {
    to: SocketAddr,
    path: &'static str,
    threads: &'static str,
}

fn get(caller: &Caller, target: Target) -> bool {
    let got = smol::block_on(caller.get(target.to, target.path));
    matches!(got, Ok((200, _)))
}

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

/// Requests a second of processor time, with a number of callers at once.
fn per_core(customer: &str, target: Target, callers: u32) -> f64 {
    let before = thread_time(target.threads);
    let until = Instant::now() + MEASURE;
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
    let done: u32 = callers.into_iter().map(|c| c.join().unwrap_or(0)).sum();
    let used = thread_time(target.threads).saturating_sub(before);
    f64::from(done) / used.as_secs_f64().max(f64::EPSILON)
}

/// Latency and requests a second and core, of a bare server and through a daemon.
pub(super) fn hop() -> Result<Slope, String> {
    const CALLERS: [u32; 4] = [1, 4, 16, 32];
    let site = Arc::new(Site::start(&document(small)?, 1)?);
    let customer = key(&site.document.customers[0].name);
    let caller = Caller::new(customer.clone());
    let (runtime, _workers) = Runtime::start(ECHO, 1);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = smol::block_on(Server::bind(runtime.clone(), any)).map_err(|e| e.to_string())?;
    let bare = Target {
        to: server.address().map_err(|e| e.to_string())?,
        path: "/",
        threads: ECHO,
    };
    runtime.spawn(server.serve(Echo)).detach();
    let hop = Target {
        to: site.callers()[0],
        path: "/services/minutes/balance",
        threads: DAEMON,
    };
    let (direct, through) = (latency(&caller, bare)?, latency(&caller, hop)?);
    let mut points = Vec::new();
    for callers in CALLERS {
        points.push(Point {
            size: callers.into(),
            costs: vec![
                direct.ms(0.5),
                direct.ms(0.99),
                through.ms(0.5),
                through.ms(0.99),
                per_core(&customer, bare, callers),
                per_core(&customer, hop, callers),
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
