//! Counters of a daemon, for statsd and the administration API.
//!
//! There is one counter for each code of a refusal, failure or retry, and one for
//! each [`Count`]. Both outputs use the same names and numbers.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};

use bitterncart_protocol::Code;
use cadence::{Counted, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink};
use compact_str::{CompactString, format_compact};

/// Counter of an event other than a code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Count {
    /// Online requests answered completely.
    OnlineAnswered,
    /// Tokens passed to callers.
    OnlineTokens,
    /// Batch items completed by an engine.
    BatchFinished,
    /// Batch streams preempted for online traffic.
    BatchPreempted,
    /// Appends confirmed by the log.
    LogAppends,
    /// Bytes of confirmed appends.
    LogBytes,
    /// Appends that were not confirmed by the log.
    LogFailures,
    /// Shard recoveries in which records had expired before a snapshot covered them.
    LogGaps,
    /// Orders sent to engines.
    Orders,
    /// Rollouts halted.
    RolloutsHalted,
    /// Shards that this daemon became the owner of.
    Claims,
    /// Requests to other daemons.
    PeerAsks,
    /// Requests to other daemons that failed.
    PeerFailures,
}

impl Count {
    const ALL: [Self; 13] = [
        Self::OnlineAnswered,
        Self::OnlineTokens,
        Self::BatchFinished,
        Self::BatchPreempted,
        Self::LogAppends,
        Self::LogBytes,
        Self::LogFailures,
        Self::LogGaps,
        Self::Orders,
        Self::RolloutsHalted,
        Self::Claims,
        Self::PeerAsks,
        Self::PeerFailures,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::OnlineAnswered => "online.answered",
            Self::OnlineTokens => "online.tokens",
            Self::BatchFinished => "batch.finished",
            Self::BatchPreempted => "batch.gave_way",
            Self::LogAppends => "log.appends",
            Self::LogBytes => "log.bytes",
            Self::LogFailures => "log.failures",
            Self::LogGaps => "log.gaps",
            Self::Orders => "engine.orders",
            Self::RolloutsHalted => "rollout.halted",
            Self::Claims => "shard.claims",
            Self::PeerAsks => "peer.asks",
            Self::PeerFailures => "peer.failures",
        }
    }
}

/// Counters of one daemon.
#[derive(Debug)]
pub struct Counters {
    codes: Vec<AtomicU64>,
    counts: [AtomicU64; Count::ALL.len()],
    statsd: StatsdClient,
}

impl Counters {
    /// Counters at zero, which are also sent to a statsd server if there is one.
    #[must_use]
    pub fn new(statsd: Option<SocketAddr>) -> Self {
        Self {
            codes: Code::ALL.iter().map(|_| AtomicU64::new(0)).collect(),
            counts: std::array::from_fn(|_| AtomicU64::new(0)),
            statsd: statsd
                .and_then(statsd_client)
                .unwrap_or_else(|| StatsdClient::from_sink(PREFIX, NopMetricSink)),
        }
    }

    /// Counts the code of a refusal, failure or retry.
    pub fn count_code(&self, code: Code) {
        if let Some(at) = Code::ALL.iter().position(|known| *known == code) {
            self.codes[at].fetch_add(1, Ordering::Relaxed);
        }
        // Errors are ignored: statsd is best effort, and the API has the number as well.
        self.statsd.count(&format!("code.{}", code.name()), 1).ok();
    }

    /// Adds to a count.
    pub fn add(&self, count: Count, amount: u64) {
        self.counts[count as usize].fetch_add(amount, Ordering::Relaxed);
        self.statsd.count(count.name(), amount as i64).ok();
    }

    /// Records a time to first token, in milliseconds.
    pub fn record_ttft_ms(&self, ms: u64) {
        self.statsd.time("online.ttft", ms).ok();
    }

    /// Counters above zero, by name.
    #[must_use]
    pub fn snapshot(&self) -> BTreeMap<CompactString, u64> {
        let codes = Code::ALL
            .iter()
            .zip(&self.codes)
            .map(|(code, value)| (format_compact!("code.{}", code.name()), value));
        let counts = Count::ALL
            .iter()
            .zip(&self.counts)
            .map(|(count, value)| (count.name().into(), value));
        codes
            .chain(counts)
            .map(|(name, value)| (name, value.load(Ordering::Relaxed)))
            .filter(|(_, value)| *value > 0)
            .collect()
    }
}

const PREFIX: &str = "bitterncart";

fn statsd_client(address: SocketAddr) -> Option<StatsdClient> {
    let socket = UdpSocket::bind("0.0.0.0:0").ok()?;
    socket.set_nonblocking(true).ok()?;
    let sink = QueuingMetricSink::from(UdpMetricSink::from(address, socket).ok()?);
    Some(StatsdClient::from_sink(PREFIX, sink))
}
