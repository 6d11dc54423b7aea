//! Messages between daemons.
//!
//! The membership protocol sends each [`Packet`] as one UDP datagram: probes
//! for failure detection, with membership updates piggybacked as gossip.
//! Requests go over QUIC; each request has its own bidirectional stream, which
//! carries one [`Request`] and then one [`Response`]. All messages are encoded with
//! postcard, which identifies fields and variants by position.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::record::{Answer, Outcome, Submit, Upload};
use crate::{Code, Name, admin, id};

/// Liveness of a member, as determined by probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// Answers probes.
    Alive,
    /// Did not answer a probe; can still refute the suspicion.
    Suspect,
    /// Did not refute the suspicion before its timeout.
    Dead,
    /// Announced that it left the fleet.
    Left,
}

/// State of one fleet member, as exchanged by gossip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Daemon id.
    pub daemon: id::Daemon,
    /// Data centre of the member.
    pub data_centre: Name,
    /// UDP address for membership packets.
    pub heartbeat: SocketAddr,
    /// UDP address for QUIC requests.
    pub peer: SocketAddr,
    /// Version of this state; only the member itself increments it, for example to refute a
    /// suspicion.
    pub incarnation: u64,
    /// Liveness of the member.
    pub health: Health,
    /// Whether the member reports that it cannot reach the log.
    pub log_lost: bool,
}

/// Failure-detection message of a packet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Probe {
    /// Requests an acknowledgement.
    Ping {
        /// Sequence number that the sender gave the probe.
        seq: u64,
    },
    /// Requests the receiver to ping `target` (indirect probe).
    Relay {
        /// Sequence number that the sender gave the probe.
        seq: u64,
        /// Membership address of the member to ping.
        target: SocketAddr,
    },
    /// Acknowledges a ping.
    Ack {
        /// Sequence number of the acknowledged probe.
        seq: u64,
    },
}

/// Datagram of the membership protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// State of the sender.
    pub from: Member,
    /// Failure-detection message.
    pub probe: Probe,
    /// Piggybacked membership updates.
    pub gossip: Vec<Member>,
}

/// Lease of a batch item: the exclusive right to run it until the lease expires or is revoked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Lease {
    /// Id of the job.
    pub job: id::Job,
    /// Position of the item in the job.
    pub item: id::Item,
    /// Attempt number, from 1.
    pub attempt: u8,
}

/// Leased batch item with all data needed to run it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// Lease of the item.
    pub lease: Lease,
    /// Item id chosen by the caller.
    pub custom_id: CompactString,
    /// API path.
    pub endpoint: CompactString,
    /// Request body in JSON.
    pub body: String,
    /// Deadline of the job, in milliseconds since the Unix epoch.
    pub due_ms: u64,
}

/// Result of an attempt at a batch item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The item has its final result.
    Finished(Answer),
    /// The attempt failed and counts against the item's attempt limit.
    Failed(Code),
    /// The item was returned without a result; the attempt does not count.
    Returned,
}

/// HTTP call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCall {
    /// Service name.
    pub service: Name,
    /// HTTP method.
    pub method: CompactString,
    /// Path and query, starting with `/`.
    pub path: String,
    /// Content type of the body.
    pub content_type: CompactString,
    /// Request body.
    pub body: Vec<u8>,
}

/// Progress of a job, as reported by the owner of its shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Submission record.
    pub submit: Submit,
    /// Items that completed successfully.
    pub finished: u32,
    /// Items that failed.
    pub failed: u32,
    /// When the cancellation took effect, in milliseconds since the Unix epoch.
    pub cancelled_ms: Option<u64>,
    /// When the job ended, in milliseconds since the Unix epoch.
    pub ended_ms: Option<u64>,
    /// Offsets of the entries of the shard's stream that hold results, in ascending order.
    pub results: Vec<u64>,
}

/// Request to another daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// To the owner of the job's shard: the job's progress.
    Job(id::Job),
    /// To the owner of the file's shard: the file's metadata.
    File(id::File),
    /// To the owner of a shard: leases batch items of a model.
    Pull {
        /// Number of the shard.
        shard: id::Shard,
        /// Model that the items request.
        model: Name,
        /// Maximum number of items.
        count: u16,
    },
    /// To the owner of a shard: reports the results of attempts.
    Finish {
        /// Number of the shard.
        shard: id::Shard,
        /// Result of each attempt, with its lease.
        ends: Vec<(Lease, End)>,
    },
    /// To the owner of a shard: renews leases that are still in use.
    Renew {
        /// Number of the shard.
        shard: id::Shard,
        /// Leases to renew.
        leases: Vec<Lease>,
    },
    /// To the owner of a call's shard: runs a call with an idempotency key at most once.
    Call {
        /// Id of the call.
        call: id::Call,
        /// HTTP request to run.
        request: ServiceCall,
        /// Time left until the caller's deadline, in milliseconds.
        deadline_ms: u32,
    },
    /// To the owner of a replica: reports the sender's online load on the replica.
    Pressure {
        /// Name of the replica.
        replica: Name,
        /// Daemon that sends the report.
        daemon: id::Daemon,
        /// Online sequences that the sender runs on the replica.
        running: u16,
        /// Whether a time to first token or an inter-token latency exceeded its objective.
        late: bool,
    },
    /// To any daemon of the data centre: the newest configuration that it knows.
    Configuration,
    /// To any daemon: its status.
    Status,
}

/// Response to a [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// Progress of the job; `None` if it does not exist.
    Job(Option<Box<Progress>>),
    /// Metadata of the file; `None` if it does not exist.
    File(Option<Box<Upload>>),
    /// Leased items.
    Work(Vec<Assignment>),
    /// Leases that are no longer valid; their items must not be run any further.
    Revoked(Vec<Lease>),
    /// Outcome of a call with an idempotency key.
    Outcome(Outcome),
    /// Version number and text of the newest configuration; `None` before a first one was
    /// read.
    Configuration(Option<(u64, String)>),
    /// Status of the daemon.
    Status(Box<admin::Status>),
    /// The request was carried out; there is nothing to return.
    Done,
    /// The request was refused; names the shard's owner if that is another daemon.
    Refused(Code, Option<id::Daemon>),
    /// Online sequences that all other daemons run on the reported replica.
    Others(u16),
}
