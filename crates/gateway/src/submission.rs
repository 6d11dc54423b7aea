//! Call on the port for peers that submits a job to the owner of its shard.
//!
//! The call names the host and path of the job, and the version of the manifest in which
//! the caller found a batch route for them. The owner decides only if it has that version
//! or a later one and finds a batch route as well; otherwise it responds with the version
//! that it has, and nothing was done. It never handles the call as an online request. A
//! daemon of an earlier build finds no route for the call, which has no host of its own.

use std::sync::Arc;

use bitterncart_coordination::fleet::{Kind, Manifest, Route};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode, Uri, header, request};

use crate::body::Body;
use crate::core::Core;
use crate::dialect::Dialect;
use crate::store::Store;
use crate::upstream::Message;

/// Path of the call on the address for peers.
pub(crate) const PATH: &str = "/submit";

/// Header with the host of the job.
const JOB_HOST: &str = "forwarded-host";

/// Header with the path and query of the job.
const JOB_PATH: &str = "forwarded-path";

/// Header with the version of the manifest that the sender has.
const MANIFEST_VERSION: &str = "manifest-version";

/// Header of a refusal that holds for the daemon that submits the job, too. Earlier builds do
/// not know it, and record the job themselves.
pub(crate) const DECIDED: &str = "decided";

/// Status of a response of an owner that does not decide.
const NOT_DECIDED: StatusCode = StatusCode::PRECONDITION_FAILED;

/// Submission of a job for another daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Submission {
    /// Host of the job.
    pub host: HeaderValue,
    /// Path and query of the job.
    pub uri: Uri,
    /// Version of the manifest in which the caller found a batch route.
    pub manifest_version: u64,
}

impl Submission {
    /// Call for the job in `message`; `None` if it names no host.
    pub(crate) fn call(message: &Message, manifest_version: u64) -> Option<Message> {
        let mut headers = message.headers.clone();
        let host = headers.remove(header::HOST)?;
        let path = message.uri.path_and_query()?.as_str();
        headers.insert(JOB_HOST, host);
        headers.insert(JOB_PATH, HeaderValue::from_str(path).ok()?);
        headers.insert(MANIFEST_VERSION, HeaderValue::from(manifest_version));
        Some(Message {
            method: Method::POST,
            uri: Uri::from_static(PATH),
            headers,
            body: message.body.clone(),
            profile: Arc::clone(&message.profile),
        })
    }

    /// Parses the headers of the call; `None` if one is missing or invalid.
    pub(crate) fn parse(headers: &HeaderMap) -> Option<Self> {
        Some(Self {
            host: headers.get(JOB_HOST)?.clone(),
            uri: headers.get(JOB_PATH)?.to_str().ok()?.parse().ok()?,
            manifest_version: parse_version(headers)?,
        })
    }

    /// Message of the client, from the call with these headers.
    pub(crate) fn message(self, mut head: request::Parts, body: Bytes) -> Message {
        head.headers.insert(header::HOST, self.host);
        Message {
            profile: Arc::default(),
            method: head.method,
            uri: self.uri,
            headers: head.headers,
            body,
        }
    }

    /// Manifest and batch route of the job; `None` if this daemon must not decide.
    pub(crate) fn route<S: Store, D: Dialect>(
        &self,
        core: &Core<S, D>,
    ) -> Option<(Arc<Manifest>, Route)> {
        let manifest = core.manifest()?;
        let host = self.host.to_str().ok()?;
        let route = manifest.route(host, self.uri.path())?;
        let may_decide = manifest.version >= self.manifest_version && route.kind == Kind::Batch;
        let route = route.clone();
        may_decide.then_some((manifest, route))
    }
}

fn parse_version(headers: &HeaderMap) -> Option<u64> {
    headers.get(MANIFEST_VERSION)?.to_str().ok()?.parse().ok()
}

/// Response of an owner that does not decide.
pub(crate) fn not_decided<S: Store, D: Dialect>(core: &Core<S, D>) -> Response<Body> {
    let mut response = Response::new(Body::Full(None));
    *response.status_mut() = NOT_DECIDED;
    if let Some(manifest) = core.manifest() {
        let version = HeaderValue::from(manifest.version);
        response.headers_mut().insert(MANIFEST_VERSION, version);
    }
    response
}

/// Marks a refusal that holds for the daemon that submits the job, too.
pub(crate) fn mark_decided(response: &mut Response<Body>) {
    let value = HeaderValue::from_static("1");
    response.headers_mut().insert(DECIDED, value);
}

/// What the response of an owner says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reply {
    /// The owner has decided; its response is that to the client.
    Decided,
    /// The owner has done nothing, and has this version of the manifest if it names one.
    NotDecided(Option<u64>),
    /// The owner may have accepted the job.
    Unknown,
}

impl Reply {
    /// Reads a response.
    pub(crate) fn of(response: &Response<Body>) -> Self {
        match response.status() {
            _ if response.headers().contains_key(DECIDED) => Self::Decided,
            StatusCode::ACCEPTED
            | StatusCode::BAD_REQUEST
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::GATEWAY_TIMEOUT => Self::Decided,
            NOT_DECIDED => Self::NotDecided(parse_version(response.headers())),
            // The owner is of an earlier build, has another limit, or is unavailable.
            StatusCode::NOT_FOUND
            | StatusCode::PAYLOAD_TOO_LARGE
            | StatusCode::SERVICE_UNAVAILABLE => Self::NotDecided(None),
            _ => Self::Unknown,
        }
    }
}
