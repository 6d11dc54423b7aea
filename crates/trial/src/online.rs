//! Online callers: completions and calls that may not be repeated.
//!
//! Arrivals are open-loop: a slow system does not slow the load.

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

use crate::client::{Caller, End, Times, refused, says_not_run};
use crate::report::Latency;
use crate::site::{Site, key};

/// Completions a second.
const COMPLETIONS_PER_S: f64 = 40.0;

/// Calls of plain services a second.
const CALLS_PER_S: f64 = 20.0;

/// Resends of a keyed call whose outcome its caller does not know.
const RESENDS: u32 = 3;

/// Prompts that share a prefix.
const TOPICS: u32 = 20;

/// What callers hold.
#[derive(Debug, Default)]
pub struct Held {
    /// Completions sent.
    pub sent: u64,
    /// Answered whole and right.
    pub ok: u64,
    /// Refused with a number.
    pub refused: u64,
    /// Connection failed.
    pub lost: u64,
    /// Wrong or cut off.
    pub wrong: u64,
    /// Prompts that were refused as not run.
    pub not_run: Vec<String>,
    /// Time to first token.
    pub first: Latency,
    /// Time between tokens.
    pub gaps: Latency,
    /// Calls sent.
    pub calls: u64,
    /// Calls answered.
    pub calls_ok: u64,
    /// Calls of which every answer said not run.
    pub calls_not_run: Vec<String>,
    /// Refusals by code.
    pub refusals: BTreeMap<CompactString, u64>,
}

/// Shared view of what callers hold.
pub type Shared = Arc<Mutex<Held>>;

/// What callers hold, locked.
pub fn lock(held: &Shared) -> MutexGuard<'_, Held> {
    held.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends completions to a site for a time.
pub async fn completions(
    site: Arc<Site>,
    executor: Arc<smol::Executor<'static>>,
    held: Shared,
    seed: u64,
    length: Duration,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let served = |model: &&document::Model| model.online.is_some();
    let models: Vec<Name> = site
        .document
        .models
        .iter()
        .filter(served)
        .map(|model| model.name.clone())
        .collect();
    let caller = Caller::new(key(&site.document.customers[0].name));
    let end = std::time::Instant::now() + length;
    let mut number = 0;
    while std::time::Instant::now() < end && !models.is_empty() {
        pause(&mut rng, COMPLETIONS_PER_S).await;
        number += 1;
        let topic = rng.random_range(0..TOPICS);
        let prompt = format!("{topic:060} topic {topic:03} question {seed}-{number}");
        let request = Completion {
            model: models[rng.random_range(0..models.len())].clone(),
            prompt,
            tokens: rng.random_range(8..48),
            chat: rng.random_bool(0.5),
            stream: rng.random_bool(0.8),
        };
        let Some(to) = pick(&site, &mut rng) else {
            continue;
        };
        let task = complete(caller.clone(), to, request, Arc::clone(&held));
        executor.spawn(task).detach();
    }
}

async fn pause(rng: &mut StdRng, per_s: f64) {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    let wait = Duration::from_secs_f64((-uniform.ln() / per_s).min(1.0));
    smol::Timer::after(wait).await;
}

fn pick(site: &Site, rng: &mut StdRng) -> Option<SocketAddr> {
    let callers = site.callers();
    (!callers.is_empty()).then(|| callers[rng.random_range(0..callers.len())])
}

struct Completion {
    model: Name,
    prompt: String,
    tokens: u32,
    chat: bool,
    stream: bool,
}

async fn complete(caller: Caller, to: SocketAddr, request: Completion, held: Shared) {
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
    lock(&held).sent += 1;
    let (end, times) = if request.stream {
        caller.stream(to, path, &body).await
    } else {
        (caller.whole(to, path, &body).await, Times::default())
    };
    let expected = engine::completion_text(&request.prompt, request.tokens);
    let mut held = lock(&held);
    if let Some(first) = times.first {
        held.first.note(first);
    }
    for gap in times.gaps {
        held.gaps.note(gap);
    }
    match end {
        End::Whole(text) if text == expected => held.ok += 1,
        End::Whole(_) | End::CutOff => held.wrong += 1,
        End::Refused(failure) => {
            held.refused += 1;
            *held.refusals.entry(failure.error.kind.clone()).or_default() += 1;
            if says_not_run(&failure) {
                held.not_run.push(request.prompt);
            }
        }
        End::Lost(_) => held.lost += 1,
    }
}

/// Sends calls that may not be repeated, with and without a key.
pub async fn calls(
    site: Arc<Site>,
    executor: Arc<smol::Executor<'static>>,
    held: Shared,
    seed: u64,
    length: Duration,
) {
    let mut rng = StdRng::seed_from_u64(seed ^ 1);
    let routes: Vec<String> = site
        .document
        .services
        .iter()
        .flat_map(|service| {
            let once = service.routes.iter().filter(|route| !route.repeatable);
            once.map(|route| format!("/services/{}{}", service.name, route.path))
        })
        .collect();
    let caller = Caller::new(key(&site.document.customers[0].name));
    let end = std::time::Instant::now() + length;
    let mut number = 0;
    while std::time::Instant::now() < end && !routes.is_empty() {
        pause(&mut rng, CALLS_PER_S).await;
        number += 1;
        let path = routes[rng.random_range(0..routes.len())].clone();
        let call = format!("call-{seed}-{number}");
        let resends = if rng.random_bool(0.7) { RESENDS } else { 0 };
        let targets: Vec<SocketAddr> = (0..=resends)
            .filter_map(|_| pick(&site, &mut rng))
            .collect();
        let task = call_once(
            caller.clone(),
            targets,
            path,
            call,
            resends > 0,
            Arc::clone(&held),
        );
        executor.spawn(task).detach();
    }
}

async fn call_once(
    caller: Caller,
    targets: Vec<SocketAddr>,
    path: String,
    call: String,
    keyed: bool,
    held: Shared,
) {
    const BETWEEN: Duration = Duration::from_millis(200);
    lock(&held).calls += 1;
    let mut all_not_run = true;
    let mut answered = false;
    let key = keyed.then_some(call.as_str());
    for to in targets {
        let body = json!({"call": call}).to_string();
        match caller.post(to, &path, key, body).await {
            Ok((200, _)) => {
                answered = true;
                all_not_run = false;
                // A resend of an answered call must not run it again either.
                if rand::rng().random_bool(0.5) {
                    break;
                }
            }
            Ok((_, bytes)) => match refused(&bytes) {
                End::Refused(failure) => {
                    let mut held = lock(&held);
                    *held.refusals.entry(failure.error.kind.clone()).or_default() += 1;
                    all_not_run &= says_not_run(&failure);
                }
                _ => all_not_run = false,
            },
            Err(_) => all_not_run = false,
        }
        smol::Timer::after(BETWEEN).await;
    }
    let mut held = lock(&held);
    held.calls_ok += u64::from(answered);
    if all_not_run {
        held.calls_not_run.push(call);
    }
}
