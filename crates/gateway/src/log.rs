//! Log lines: one for each decision that touches a request or changes what
//! the daemon believes.

use std::sync::Arc;
use std::time::Duration;

use bitterncart_coordination::fleet::{Outcome, Route, Step};
use bitterncart_protocol::Code;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::{Sink, StdStreamSink};
use spdlog::{info, warn};

use crate::store::Failure;

/// Sends log lines to standard output as JSON.
pub fn to_stdout() {
    let sink = StdStreamSink::builder()
        .stdout()
        .formatter(JsonFormatter::new())
        .build();
    let Ok(sink) = sink else { return };
    let logger = spdlog::default_logger().fork_with(|logger| {
        *logger.sinks_mut() = vec![Arc::new(sink) as Arc<dyn Sink>];
        Ok(())
    });
    if let Ok(logger) = logger {
        logger.set_flush_level_filter(spdlog::LevelFilter::All);
        spdlog::set_default_logger(logger);
    }
}

/// Tells that a hang-up signal changed nothing.
pub fn settings_kept() {
    info!("hang-up signal; the settings in force are kept");
}

pub(crate) fn attempt(
    id: &str,
    route: &Route,
    replica: &str,
    outcome: Outcome,
    step: Step,
    left: Duration,
) {
    let (outcome, left_ms) = (outcome.name(), left.as_millis() as u64);
    info!("attempt failed", kv: {
        request = id, route = route.name.as_str(), replica, outcome, then:? = step, left_ms
    });
}

pub(crate) fn refused(id: &str, route: &str, code: Code, left: Duration) {
    let (number, name, left_ms) = (code.number(), code.name(), left.as_millis() as u64);
    info!("request not served", kv: { request = id, route, code = number, name, left_ms });
}

pub(crate) fn accepted(id: &str, route: &str) {
    info!("job accepted", kv: { job = id, route });
}

pub(crate) fn ended(id: &str) {
    info!("job ended by its client", kv: { job = id });
}

pub(crate) fn item(job: &str, index: u32, end: &str) {
    info!("run of an item ended", kv: { job, index, end });
}

pub(crate) fn store_fails(call: &str, error: &Failure) {
    warn!("calls to the store fail", kv: { call, why: = error });
}

pub(crate) fn store_answers(failed: Duration) {
    let failed_ms = failed.as_millis() as u64;
    info!("the store answers again", kv: { failed_ms });
}

pub(crate) fn loaded(shard: u16, offset: u64) {
    info!("ledger read from the newest records", kv: { shard, offset });
}

pub(crate) fn in_force(version: u64) {
    info!("manifest in force", kv: { version });
}

pub(crate) fn unreadable(key: &str, why: &str) {
    warn!("record cannot be read", kv: { key, why });
}

pub(crate) fn datagram(why: &str) {
    warn!("datagram cannot be read", kv: { why });
}

pub(crate) fn started(name: &str) {
    info!("started", kv: { name });
}

pub(crate) fn stopping(name: &str) {
    info!("stopping", kv: { name });
}

pub(crate) fn stopped(name: &str, open: usize) {
    info!("stopped", kv: { name, open });
}
