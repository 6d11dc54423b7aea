//! HTTP API for operators: status, counters, configuration and drain.
//!
//! A document is checked before it is published: it has to be valid and may not
//! change the number of shards.

use std::sync::Arc;

use bitterncart_protocol::admin::{Publish, Version};
use bitterncart_protocol::api::Failure;
use bitterncart_protocol::{Code, Document, hash, record};
use bitterncart_transport::http::{Handler, Method, Request, Response, server};
use compact_str::CompactString;
use serde_json::json;

use crate::core::Core;
use crate::{config, status};

/// Handler of operators' requests.
#[derive(Clone, Debug)]
pub struct Admin {
    /// Shared state.
    pub core: Arc<Core>,
    /// Requests the drain of the daemon.
    pub drain: async_channel::Sender<()>,
}

impl Handler for Admin {
    async fn handle(&self, mut request: Request) -> Response {
        let path = request.url().path().to_owned();
        match (request.method(), path.as_str()) {
            (Method::Get, "/healthz") => server::json(200, &json!({"status": "alive"})),
            (Method::Get, "/status") => server::json(200, &status::status(&self.core)),
            (Method::Get, "/counters") => server::json(200, &self.core.counters.snapshot()),
            (Method::Get, "/config") => self.current_config(),
            (Method::Get, "/config/history") => self.config_history().await,
            (Method::Post, "/config") => self.publish(&mut request).await,
            (Method::Post, "/drain") => {
                // If the channel is full, an earlier request is already pending.
                self.drain.try_send(()).ok();
                server::json(202, &json!({"status": "draining"}))
            }
            _ => error_response(Code::NotFound, "no such path"),
        }
    }
}

fn error_response(code: Code, message: &str) -> Response {
    server::failure(&Failure::new(code, message))
}

impl Admin {
    fn current_config(&self) -> Response {
        match self.core.config_version() {
            Some(version) => server::json(
                200,
                &Version {
                    version: version.number,
                    digest: version.digest,
                    operator: CompactString::default(),
                    at_ms: 0,
                    text: version.text.to_string(),
                },
            ),
            None => error_response(Code::NoConfiguration, "no configuration has been published"),
        }
    }

    async fn config_history(&self) -> Response {
        match config::history(&self.core).await {
            Ok(versions) => server::json(200, &versions),
            Err(code) => error_response(code, code.advice()),
        }
    }

    async fn publish(&self, request: &mut Request) -> Response {
        let publish = match request.body_json::<Publish>().await {
            Ok(publish) => publish,
            Err(e) => return error_response(Code::MalformedJson, &e.to_string()),
        };
        if let Err(problems) = Document::parse(&publish.text) {
            let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
            return error_response(Code::InvalidDocument, &lines.join("\n"));
        }
        if let Some(message) = self.shard_count_change(&publish.text) {
            return error_response(Code::InvalidDocument, &message);
        }
        let digest = hash::digest(publish.text.as_bytes());
        let record = record::Publish {
            base: publish.base,
            text: publish.text,
            operator: publish.operator,
            carried: None,
            nonce: rand::random(),
        };
        match config::publish(&self.core, record).await {
            Ok(version) => server::json(200, &json!({"version": version, "digest": digest})),
            Err((Code::VersionConflict, current)) => error_response(
                Code::VersionConflict,
                &format!(
                    "version {current} stands; the publication named {}",
                    publish.base
                ),
            ),
            Err((code, _)) => error_response(code, code.advice()),
        }
    }

    /// Error if a document changes the number of shards.
    ///
    /// The number determines the shard of each job, so it cannot change once jobs
    /// exist.
    fn shard_count_change(&self, text: &str) -> Option<String> {
        let before = self.core.document().ok()?.log.shards;
        let after = Document::parse(text).ok()?.log.shards;
        (before != after).then(|| {
            format!(
                "/log/shards: is {before} in this environment and cannot change; write {before}"
            )
        })
    }
}
