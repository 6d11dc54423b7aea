//! Messages between daemons.
//!
//! [`Packet`]s are single datagrams of the membership protocol; [`Ask`] and
//! [`Reply`] travel on one quinn stream each.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::record::{Answer, Outcome, Submit, Upload};
use crate::{Code, Name, admin, id};

/// Liveness of a member as its peers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// Answers probes.
    Alive,
    /// Did not answer a probe; may still refute it.
    Suspect,
    /// Did not refute the suspicion in time.
    Dead,
    /// Left in good order.
    Left,
}

/// Member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Which daemon.
    pub daemon: id::Daemon,
    /// Data centre.
    pub data_centre: Name,
    /// UDP address for packets.
    pub heartbeat: SocketAddr,
    /// UDP address for quinn.
    pub peer: SocketAddr,
    /// Raised by the member alone, to refute a suspicion.
    pub incarnation: u64,
    /// Liveness.
    pub health: Health,
    /// Whether it says that it cannot reach the log.
    pub log_lost: bool,
}

/// Body of a packet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Probe {
    /// Asks for an acknowledgement.
    Ping {
        /// Number of the probe at its sender.
        seq: u64,
    },
    /// Asks a third member to ping `target`.
    Relay {
        /// Number of the probe at its sender.
        seq: u64,
        /// Whom to ping.
        target: SocketAddr,
    },
    /// Answers a ping.
    Ack {
        /// Number of the probe.
        seq: u64,
    },
}

/// Datagram of the membership protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// Sender.
    pub from: Member,
    /// What it wants.
    pub probe: Probe,
    /// Piggybacked news.
    pub gossip: Vec<Member>,
}

/// Right to run an item for a bounded time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Lease {
    /// Job.
    pub job: id::Job,
    /// Item.
    pub item: id::Item,
    /// Number of the attempt, from 1.
    pub attempt: u8,
}

/// Item on its way to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Right to run it.
    pub lease: Lease,
    /// Caller's name for the item.
    pub custom_id: CompactString,
    /// API path.
    pub endpoint: CompactString,
    /// Request body, JSON.
    pub body: String,
    /// When the job is due, in milliseconds since 1970.
    pub due_ms: u64,
}

/// End of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The item has its result.
    Finished(Answer),
    /// The attempt failed and counts.
    Failed(Code),
    /// The item was given back and the attempt does not count.
    Returned,
}

/// Call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Service.
    pub service: Name,
    /// HTTP method.
    pub method: CompactString,
    /// Path and query, from `/`.
    pub path: String,
    /// Content type of the body.
    pub content_type: CompactString,
    /// Body.
    pub body: Vec<u8>,
}

/// View of a job for callers and operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Submission.
    pub submit: Submit,
    /// Items with a result.
    pub finished: u32,
    /// Items with a numbered failure.
    pub failed: u32,
    /// When the cancellation took effect, in milliseconds since 1970.
    pub cancelled_ms: Option<u64>,
    /// When the last item ended, in milliseconds since 1970.
    pub ended_ms: Option<u64>,
    /// Entries of the shard's stream that hold results, rising.
    pub results: Vec<u64>,
}

/// Question to another daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Ask {
    /// For the owner of the job's shard.
    Job(id::Job),
    /// For the owner of the file's shard.
    File(id::File),
    /// For the owner of a shard: items of a model to run.
    Pull {
        /// Shard.
        shard: id::Shard,
        /// Model.
        model: Name,
        /// Items at most.
        count: u16,
    },
    /// For the owner of a shard: ends of attempts.
    Finish {
        /// Shard.
        shard: id::Shard,
        /// Ends.
        ends: Vec<(Lease, End)>,
    },
    /// For the owner of a shard: leases still in use.
    Renew {
        /// Shard.
        shard: id::Shard,
        /// Leases.
        leases: Vec<Lease>,
    },
    /// For the owner of a call's shard: run a keyed call at most once.
    Call {
        /// Call.
        call: id::Call,
        /// What to run.
        request: Request,
        /// Time left for the answer, in milliseconds.
        deadline_ms: u32,
    },
    /// For the owner of a replica: online use of it by the sender.
    Pressure {
        /// Replica.
        replica: Name,
        /// Sender.
        daemon: id::Daemon,
        /// Sender's online sequences on it.
        running: u16,
        /// Whether a first token or a token came later than the bound allows.
        late: bool,
    },
    /// For any daemon of the data centre: newest configuration.
    Configuration,
    /// For any daemon: its status.
    Status,
}

/// Answer to an [`Ask`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Job, if it exists.
    Job(Option<Box<Job>>),
    /// File, if it exists.
    File(Option<Box<Upload>>),
    /// Items to run.
    Work(Vec<Work>),
    /// Leases that no longer stand.
    Revoked(Vec<Lease>),
    /// Outcome of a keyed call.
    Outcome(Outcome),
    /// Version and text of the newest configuration.
    Configuration(Option<(u64, String)>),
    /// Status.
    Status(Box<admin::Status>),
    /// Done.
    Done,
    /// Refused, with the owner if the daemon knows another one.
    Refused(Code, Option<id::Daemon>),
    /// Online sequences of other daemons on the replica in question.
    Others(u16),
}
