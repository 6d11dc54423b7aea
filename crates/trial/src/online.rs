//! Online load: completions, and service calls that must not run twice.
//!
//! Arrivals follow a seeded Poisson process and are open-loop: slow responses do not
//! reduce the rate. Each request goes to a random live entry instance. Completions
//! are compared with the expected text. The outcomes are collected in
//! [`Observations`], including the requests that were refused as not run, so that
//! the trial can check this against the records of the stand-ins.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bitterncart_protocol::{Name, document};
use bitterncart_standin::engine;
use compact_str::CompactString;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use crate::client::{Caller, End, Timings, is_not_run, parse_refusal};
use crate::report::Latency;
use crate::site::{Site, key};

/// Mean rate of completions, per second.
const COMPLETIONS_PER_S: f64 = 40.0;

/// Mean rate of calls of plain services, per second.
const CALLS_PER_S: f64 = 20.0;

/// Maximum resends of a call with an idempotency key, of which the client may not know
/// the outcome.
const MAX_RESENDS: u32 = 3;

/// Number of distinct prompt prefixes; prompts with the same prefix can share
/// prefix cache entries.
const PROMPT_PREFIXES: u32 = 20;

/// Outcomes that clients observed.
#[derive(Debug, Default)]
pub struct Observations {
    /// Completions sent.
    pub sent: u64,
    /// Completions with the complete expected text.
    pub ok: u64,
    /// Completions refused or failed with an error code.
    pub refused: u64,
    /// Completions whose connection failed before the end of the response.
    pub lost: u64,
    /// Completions with a wrong or truncated text.
    pub wrong: u64,
    /// Prompts of completions that were refused as not run.
    pub not_run: Vec<String>,
    /// Time to first token.
    pub ttft: Latency,
    /// Inter-token latency.
    pub itl: Latency,
    /// Calls sent; resends of a call are not counted.
    pub calls_sent: u64,
    /// Calls with at least one successful response.
    pub calls_ok: u64,
    /// Calls of which every response said that the call was not run.
    pub calls_not_run: Vec<String>,
    /// Refusals by name of the error code.
    pub refusals: BTreeMap<CompactString, u64>,
}

/// Observations shared by concurrent clients.
pub type Shared = Arc<Mutex<Observations>>;

/// Locks the observations, even after a panic of another holder.
pub fn lock(observations: &Shared) -> MutexGuard<'_, Observations> {
    observations.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends completions at random intervals for a duration.
pub async fn send_completions(
    site: Arc<Site>,
    executor: Arc<smol::Executor<'static>>,
    observations: Shared,
    seed: u64,
    duration: Duration,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let serves_online = |model: &&document::Model| model.online.is_some();
    let models: Vec<Name> = site
        .document
        .models
        .iter()
        .filter(serves_online)
        .map(|model| model.name.clone())
        .collect();
    let client = Caller::new(key(&site.document.customers[0].name));
    let end = std::time::Instant::now() + duration;
    let mut number = 0;
    while std::time::Instant::now() < end && !models.is_empty() {
        wait_for_arrival(&mut rng, COMPLETIONS_PER_S).await;
        number += 1;
        let prefix = rng.random_range(0..PROMPT_PREFIXES);
        let prompt = format!("{prefix:060} topic {prefix:03} question {seed}-{number}");
        let request = Completion {
            model: models[rng.random_range(0..models.len())].clone(),
            prompt,
            tokens: rng.random_range(8..48),
            chat: rng.random_bool(0.5),
            stream: rng.random_bool(0.8),
        };
        let Some(address) = pick_address(&site, &mut rng) else {
            continue;
        };
        let task = send_completion(client.clone(), address, request, Arc::clone(&observations));
        executor.spawn(task).detach();
    }
}

/// Waits for an exponentially distributed time of at most 1 s.
async fn wait_for_arrival(rng: &mut StdRng, per_s: f64) {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    let interval = Duration::from_secs_f64((-uniform.ln() / per_s).min(1.0));
    smol::Timer::after(interval).await;
}

/// Client address of a random live entry instance.
fn pick_address(site: &Site, rng: &mut StdRng) -> Option<SocketAddr> {
    let addresses = site.callers();
    (!addresses.is_empty()).then(|| addresses[rng.random_range(0..addresses.len())])
}

/// Completion request of the load.
struct Completion {
    model: Name,
    prompt: String,
    tokens: u32,
    chat: bool,
    stream: bool,
}

async fn send_completion(
    client: Caller,
    address: SocketAddr,
    request: Completion,
    observations: Shared,
) {
    let (path, mut body) = if request.chat {
        (
            "/v1/chat/completions",
            json!({"messages": [{"role": "user", "content": request.prompt}]}),
        )
    } else {
        ("/v1/completions", json!({"prompt": request.prompt}))
    };
    body["model"] = json!(request.model);
    body["max_tokens"] = json!(request.tokens);
    lock(&observations).sent += 1;
    let (end, timings) = if request.stream {
        client.stream(address, path, &body).await
    } else {
        (
            client.complete(address, path, &body).await,
            Timings::default(),
        )
    };
    let expected = engine::completion_text(&request.prompt, request.tokens);
    let mut observations = lock(&observations);
    if let Some(ttft) = timings.ttft {
        observations.ttft.note(ttft);
    }
    for itl in timings.itl {
        observations.itl.note(itl);
    }
    match end {
        End::Whole(text) if text == expected => observations.ok += 1,
        End::Whole(_) | End::Truncated => observations.wrong += 1,
        End::Refused(failure) => {
            observations.refused += 1;
            *observations
                .refusals
                .entry(failure.error.kind.clone())
                .or_default() += 1;
            if is_not_run(&failure) {
                observations.not_run.push(request.prompt);
            }
        }
        End::ConnectionFailed(_) => observations.lost += 1,
    }
}

/// Sends service calls that must not run twice, with and without an idempotency
/// key, at random intervals for a duration.
pub async fn send_calls(
    site: Arc<Site>,
    executor: Arc<smol::Executor<'static>>,
    observations: Shared,
    seed: u64,
    duration: Duration,
) {
    let mut rng = StdRng::seed_from_u64(seed ^ 1);
    let routes: Vec<String> = site
        .document
        .services
        .iter()
        .flat_map(|service| {
            let non_repeatable = service.routes.iter().filter(|route| !route.repeatable);
            non_repeatable.map(|route| format!("/services/{}{}", service.name, route.path))
        })
        .collect();
    let client = Caller::new(key(&site.document.customers[0].name));
    let end = std::time::Instant::now() + duration;
    let mut number = 0;
    while std::time::Instant::now() < end && !routes.is_empty() {
        wait_for_arrival(&mut rng, CALLS_PER_S).await;
        number += 1;
        let path = routes[rng.random_range(0..routes.len())].clone();
        let call = format!("call-{seed}-{number}");
        let resends = if rng.random_bool(0.7) { MAX_RESENDS } else { 0 };
        let addresses: Vec<SocketAddr> = (0..=resends)
            .filter_map(|_| pick_address(&site, &mut rng))
            .collect();
        let task = send_call(
            client.clone(),
            addresses,
            path,
            call,
            resends > 0,
            Arc::clone(&observations),
        );
        executor.spawn(task).detach();
    }
}

/// Sends a call to each address in turn, until it is answered or addresses run out.
/// An answered call is sent again with a probability of one half.
async fn send_call(
    client: Caller,
    addresses: Vec<SocketAddr>,
    path: String,
    call: String,
    keyed: bool,
    observations: Shared,
) {
    const RESEND_DELAY: Duration = Duration::from_millis(200);
    lock(&observations).calls_sent += 1;
    let mut all_not_run = true;
    let mut answered = false;
    let key = keyed.then_some(call.as_str());
    for address in addresses {
        let body = json!({"call": call}).to_string();
        match client.post(address, &path, key, body).await {
            Ok((200, _)) => {
                answered = true;
                all_not_run = false;
                // A resend of an answered call must not run the call again either.
                if rand::rng().random_bool(0.5) {
                    break;
                }
            }
            Ok((_, bytes)) => match parse_refusal(&bytes) {
                End::Refused(failure) => {
                    let mut observations = lock(&observations);
                    *observations
                        .refusals
                        .entry(failure.error.kind.clone())
                        .or_default() += 1;
                    all_not_run &= is_not_run(&failure);
                }
                _ => all_not_run = false,
            },
            Err(_) => all_not_run = false,
        }
        smol::Timer::after(RESEND_DELAY).await;
    }
    let mut observations = lock(&observations);
    observations.calls_ok += u64::from(answered);
    if all_not_run {
        observations.calls_not_run.push(call);
    }
}
