//! Requests between daemons: client and server.
//!
//! A request for a shard goes to the shard's owner. The sender starts with the owner
//! that it knows and follows the redirects of daemons that know a newer one, up to a
//! limit. A daemon that receives a request for a shard it does not own refuses it
//! and names the owner that it knows. Requests for a replica go to the replica's
//! owner directly.

use std::sync::Arc;
use std::time::Duration;

use bitterncart_protocol::peer::{Member, Request, Response};
use bitterncart_protocol::{Code, id};
use bitterncart_transport::{Error, peer};

use crate::core::Core;
use crate::counters::Count;
use crate::{batch, shards, status};

/// Maximum number of daemons that one request is sent to.
const MAX_HOPS: usize = 3;

/// Sends a request to one daemon and counts it.
///
/// # Errors
///
/// As [`peer::Peers::request`].
pub async fn send(
    core: &Core,
    to: &Member,
    request: &Request,
    timeout: Duration,
) -> Result<Response, Error> {
    core.counters.add(Count::PeerAsks, 1);
    let response = core.peers.request(to.peer, request, timeout).await;
    if response.is_err() {
        core.counters.add(Count::PeerFailures, 1);
    }
    response
}

/// Sends a request to the owner of a shard, following redirects.
///
/// # Errors
///
/// [`Error::Connect`] if the request certainly reached no owner.
pub async fn send_to_owner(
    core: &Core,
    shard: id::Shard,
    request: &Request,
    timeout: Duration,
) -> Result<Response, Error> {
    // While shards change owners, the shard's log names the actual owner and
    // rendezvous hashing only the preferred one.
    let handle = core.shards().get(&shard).cloned();
    let owner = handle.and_then(|handle| handle.status().owner);
    let mut next = owner
        .filter(|owner| *owner != core.daemon_id)
        .or_else(|| core.preferred_owner(shard));
    for _ in 0..MAX_HOPS {
        let Some(daemon) = next.filter(|daemon| *daemon != core.daemon_id) else {
            break;
        };
        let Some(member) = core.membership().member(&daemon).cloned() else {
            break;
        };
        match send(core, &member, request, timeout).await? {
            Response::Refused(Code::OwnerUnreachable, redirect) => next = redirect,
            response => return Ok(response),
        }
    }
    Err(Error::connect("the shard has no reachable owner"))
}

/// Server of other daemons' requests.
#[derive(Clone, Debug)]
pub struct PeerServer {
    /// Shared state.
    pub core: Arc<Core>,
}

impl PeerServer {
    /// Refusal of a request for a shard, with the owner to redirect to.
    fn refused(&self, code: Code, shard: id::Shard) -> Response {
        let handle = self.core.shards().get(&shard).cloned();
        let owner = handle
            .and_then(|handle| handle.status().owner)
            .filter(|owner| *owner != self.core.daemon_id);
        Response::Refused(code, owner.or_else(|| self.core.preferred_owner(shard)))
    }

    fn owned_handle(&self, shard: id::Shard) -> Option<Arc<shards::Handle>> {
        self.core
            .shards()
            .get(&shard)
            .cloned()
            .filter(|handle| handle.is_owner())
    }

    async fn call(
        &self,
        call: id::Call,
        request: bitterncart_protocol::peer::ServiceCall,
        deadline_ms: u32,
    ) -> Response {
        let left = Duration::from_millis(deadline_ms.into());
        let Ok(document) = self.core.document() else {
            return Response::Refused(Code::NoConfiguration, None);
        };
        match shards::run_keyed_call(&self.core, call, request, left).await {
            Ok(outcome) => Response::Outcome(outcome),
            Err(code) => self.refused(code, call.shard(document.log.shards)),
        }
    }
}

impl peer::Handler for PeerServer {
    async fn handle(&self, request: Request) -> Response {
        let core = &self.core;
        match request {
            Request::Job(job) => match self.owned_handle(job.shard) {
                Some(_) => match shards::find_job(core, job).await {
                    Ok(summary) => Response::Job(summary.map(Box::new)),
                    Err(code) => Response::Refused(code, None),
                },
                None => self.refused(Code::OwnerUnreachable, job.shard),
            },
            Request::File(file) => match self.owned_handle(file.shard) {
                Some(_) => match shards::find_file(core, file).await {
                    Ok(upload) => Response::File(upload.map(Box::new)),
                    Err(code) => Response::Refused(code, None),
                },
                None => self.refused(Code::OwnerUnreachable, file.shard),
            },
            Request::Pull {
                shard,
                model,
                count,
            } => match shards::lease_items(core, shard, &model, count).await {
                Ok(assignments) => Response::Work(assignments),
                Err(code) => self.refused(code, shard),
            },
            Request::Finish { shard, ends } => match shards::finish_attempts(core, shard, ends) {
                Ok(()) => Response::Done,
                Err(code) => self.refused(code, shard),
            },
            Request::Renew { shard, leases } => match shards::renew_leases(core, shard, &leases) {
                Ok(revoked) => Response::Revoked(revoked),
                Err(code) => self.refused(code, shard),
            },
            Request::Call {
                call,
                request,
                deadline_ms,
            } => self.call(call, request, deadline_ms).await,
            Request::Pressure {
                replica,
                daemon,
                running,
                late,
            } => {
                let others = batch::record_pressure(core, &replica, &daemon, running.into(), late);
                Response::Others(others.try_into().unwrap_or(u16::MAX))
            }
            Request::Configuration => {
                let version = core.config_version();
                Response::Configuration(version.map(|v| (v.number, v.text.to_string())))
            }
            Request::Status => Response::Status(Box::new(status::status(core))),
        }
    }
}
