//! Counters, one for each refusal and retry reason and a few more.
//!
//! The same numbers go to statsd through `cadence` and to the administration
//! API.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};

use bitterncart_protocol::Code;
use cadence::{Counted, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink};
use compact_str::{CompactString, format_compact};

/// What is counted besides codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Count {
    /// Online requests answered whole.
    OnlineAnswered,
    /// Tokens passed to callers.
    OnlineTokens,
    /// Batch items finished at an engine.
    BatchFinished,
    /// Batch streams that gave way to online.
    BatchGaveWay,
    /// Appends confirmed by the log.
    LogAppends,
    /// Bytes of confirmed appends.
    LogBytes,
    /// Appends that failed or whose answer was lost.
    LogFailures,
    /// Reads that found records expired before a snapshot held them.
    LogGaps,
    /// Orders sent to engines.
    Orders,
    /// Rollouts halted.
    RolloutsHalted,
    /// Shards claimed.
    Claims,
    /// Messages to other daemons.
    PeerAsks,
    /// Messages to other daemons that failed.
    PeerFailures,
}

impl Count {
    const ALL: [Self; 13] = [
        Self::OnlineAnswered,
        Self::OnlineTokens,
        Self::BatchFinished,
        Self::BatchGaveWay,
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
            Self::BatchGaveWay => "batch.gave_way",
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
    /// Counters that go to a statsd server, if there is one.
    #[must_use]
    pub fn new(statsd: Option<SocketAddr>) -> Self {
        Self {
            codes: Code::ALL.iter().map(|_| AtomicU64::new(0)).collect(),
            counts: std::array::from_fn(|_| AtomicU64::new(0)),
            statsd: statsd
                .and_then(client)
                .unwrap_or_else(|| StatsdClient::from_sink(PREFIX, NopMetricSink)),
        }
    }

    /// Counts a refusal, failure or retry.
    pub fn code(&self, code: Code) {
        if let Some(at) = Code::ALL.iter().position(|known| *known == code) {
            self.codes[at].fetch_add(1, Ordering::Relaxed);
        }
        // A lost metric is lost; the API still has the number.
        self.statsd.count(&format!("code.{}", code.name()), 1).ok();
    }

    /// Adds to a count.
    pub fn add(&self, count: Count, amount: u64) {
        self.counts[count as usize].fetch_add(amount, Ordering::Relaxed);
        self.statsd.count(count.name(), amount as i64).ok();
    }

    /// Notes a time to first token, in milliseconds.
    pub fn first_token(&self, ms: u64) {
        self.statsd.time("online.ttft", ms).ok();
    }

    /// All counters by name, those at zero left out.
    #[must_use]
    pub fn view(&self) -> BTreeMap<CompactString, u64> {
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

fn client(address: SocketAddr) -> Option<StatsdClient> {
    let socket = UdpSocket::bind("0.0.0.0:0").ok()?;
    socket.set_nonblocking(true).ok()?;
    let sink = QueuingMetricSink::from(UdpMetricSink::from(address, socket).ok()?);
    Some(StatsdClient::from_sink(PREFIX, sink))
}
