//! The administration API.

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
    /// Tables.
    pub core: Arc<Core>,
    /// Asks the daemon to drain and exit.
    pub drain: async_channel::Sender<()>,
}

impl Handler for Admin {
    async fn handle(&self, mut request: Request) -> Response {
        let path = request.url().path().to_owned();
        match (request.method(), path.as_str()) {
            (Method::Get, "/healthz") => server::json(200, &json!({"status": "alive"})),
            (Method::Get, "/status") => server::json(200, &status::status(&self.core)),
            (Method::Get, "/counters") => server::json(200, &self.core.counters.view()),
            (Method::Get, "/config") => self.show(),
            (Method::Get, "/config/history") => self.history().await,
            (Method::Post, "/config") => self.publish(&mut request).await,
            (Method::Post, "/drain") => {
                // A second order finds the first one still in the channel.
                self.drain.try_send(()).ok();
                server::json(202, &json!({"status": "draining"}))
            }
            _ => failure(Code::NotFound, "no such path"),
        }
    }
}

fn failure(code: Code, message: &str) -> Response {
    server::failure(&Failure::new(code, message))
}

impl Admin {
    fn show(&self) -> Response {
        match self.core.version() {
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
            None => failure(Code::NoConfiguration, "no configuration has been published"),
        }
    }

    async fn history(&self) -> Response {
        match config::history(&self.core).await {
            Ok(versions) => server::json(200, &versions),
            Err(code) => failure(code, code.advice()),
        }
    }

    async fn publish(&self, request: &mut Request) -> Response {
        let publish = match request.body_json::<Publish>().await {
            Ok(publish) => publish,
            Err(e) => return failure(Code::MalformedJson, &e.to_string()),
        };
        if let Err(problems) = Document::parse(&publish.text) {
            let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
            return failure(Code::InvalidDocument, &lines.join("\n"));
        }
        if let Some(why) = self.changes_shards(&publish.text) {
            return failure(Code::InvalidDocument, &why);
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
            Err((Code::VersionConflict, standing)) => failure(
                Code::VersionConflict,
                &format!(
                    "version {standing} stands; the publication named {}",
                    publish.base
                ),
            ),
            Err((code, _)) => failure(code, code.advice()),
        }
    }

    /// The number of shards places every job; it cannot change under them.
    fn changes_shards(&self, text: &str) -> Option<String> {
        let before = self.core.document().ok()?.log.shards;
        let after = Document::parse(text).ok()?.log.shards;
        (before != after).then(|| {
            format!(
                "/log/shards: is {before} in this environment and cannot change; write {before}"
            )
        })
    }
}
