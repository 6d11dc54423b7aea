//! Requests between daemons: asking and answering.

use std::sync::Arc;
use std::time::Duration;

use bitterncart_protocol::peer::{Ask, Member, Reply};
use bitterncart_protocol::{Code, id};
use bitterncart_transport::{Error, peer};

use crate::core::Core;
use crate::counters::Count;
use crate::{batch, shards, status};

/// Daemons asked for one answer at most.
const HOPS: usize = 3;

/// Asks one daemon and counts it.
///
/// # Errors
///
/// As [`peer::Peers::ask`].
pub async fn ask(core: &Core, to: &Member, ask: &Ask, bound: Duration) -> Result<Reply, Error> {
    core.counters.add(Count::PeerAsks, 1);
    let reply = core.peers.ask(to.peer, ask, bound).await;
    if reply.is_err() {
        core.counters.add(Count::PeerFailures, 1);
    }
    reply
}

/// Asks the owner of a shard, following the hints of daemons that know it better.
///
/// # Errors
///
/// [`Error::Connect`] if certainly no daemon took the request.
pub async fn ask_owner(
    core: &Core,
    shard: id::Shard,
    question: &Ask,
    bound: Duration,
) -> Result<Reply, Error> {
    // The fold knows the owner better than the rendezvous while shards move.
    let handle = core.shards().get(&shard).cloned();
    let owner = handle.and_then(|handle| handle.view().owner);
    let mut next = owner
        .filter(|owner| *owner != core.me)
        .or_else(|| core.winner(shard));
    for _ in 0..HOPS {
        let Some(daemon) = next.filter(|daemon| *daemon != core.me) else {
            break;
        };
        let Some(member) = core.members().member(&daemon).cloned() else {
            break;
        };
        match ask(core, &member, question, bound).await? {
            Reply::Refused(Code::OwnerUnreachable, hint) => next = hint,
            reply => return Ok(reply),
        }
    }
    Err(Error::connect("the shard has no owner now"))
}

/// Answers other daemons.
#[derive(Clone, Debug)]
pub struct Answerer {
    /// Tables.
    pub core: Arc<Core>,
}

impl Answerer {
    fn refused(&self, code: Code, shard: id::Shard) -> Reply {
        let handle = self.core.shards().get(&shard).cloned();
        let owner = handle
            .and_then(|handle| handle.view().owner)
            .filter(|owner| *owner != self.core.me);
        Reply::Refused(code, owner.or_else(|| self.core.winner(shard)))
    }

    fn own(&self, shard: id::Shard) -> Option<Arc<shards::Handle>> {
        self.core
            .shards()
            .get(&shard)
            .cloned()
            .filter(|handle| handle.is_mine())
    }

    async fn call(
        &self,
        call: id::Call,
        request: bitterncart_protocol::peer::Request,
        ms: u32,
    ) -> Reply {
        let left = Duration::from_millis(ms.into());
        let Ok(document) = self.core.document() else {
            return Reply::Refused(Code::NoConfiguration, None);
        };
        match shards::keyed(&self.core, call, request, left).await {
            Ok(outcome) => Reply::Outcome(outcome),
            Err(code) => self.refused(code, call.shard(document.log.shards)),
        }
    }
}

impl peer::Answer for Answerer {
    async fn answer(&self, ask: Ask) -> Reply {
        let core = &self.core;
        match ask {
            Ask::Job(job) => match self.own(job.shard) {
                Some(_) => match shards::find_job(core, job).await {
                    Ok(view) => Reply::Job(view.map(Box::new)),
                    Err(code) => Reply::Refused(code, None),
                },
                None => self.refused(Code::OwnerUnreachable, job.shard),
            },
            Ask::File(file) => match self.own(file.shard) {
                Some(_) => match shards::find_file(core, file).await {
                    Ok(upload) => Reply::File(upload.map(Box::new)),
                    Err(code) => Reply::Refused(code, None),
                },
                None => self.refused(Code::OwnerUnreachable, file.shard),
            },
            Ask::Pull {
                shard,
                model,
                count,
            } => match shards::pull(core, shard, &model, count).await {
                Ok(work) => Reply::Work(work),
                Err(code) => self.refused(code, shard),
            },
            Ask::Finish { shard, ends } => match shards::finish(core, shard, ends) {
                Ok(()) => Reply::Done,
                Err(code) => self.refused(code, shard),
            },
            Ask::Renew { shard, leases } => match shards::renew(core, shard, &leases) {
                Ok(revoked) => Reply::Revoked(revoked),
                Err(code) => self.refused(code, shard),
            },
            Ask::Call {
                call,
                request,
                deadline_ms,
            } => self.call(call, request, deadline_ms).await,
            Ask::Pressure {
                replica,
                daemon,
                running,
                late,
            } => {
                let others = batch::pressure(core, &replica, &daemon, running.into(), late);
                Reply::Others(others.try_into().unwrap_or(u16::MAX))
            }
            Ask::Configuration => {
                let version = core.version();
                Reply::Configuration(version.map(|v| (v.number, v.text.to_string())))
            }
            Ask::Status => Reply::Status(Box::new(status::status(core))),
        }
    }
}
