//! In-memory store with fault injection.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bitterncart_coordination::fleet::{Manifest, Replica};
use bitterncart_gateway::store::{Failure, Page, ParsedManifest, Read, RecordParser, Store, Topic};
use bitterncart_state::ledger::Record;
use event_listener::Event;

use crate::link::Link;

/// Injected fault in calls, about the ledger unless it says otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Fault {
    /// No fault.
    #[default]
    None,
    /// Appends take this long.
    Slow(Duration),
    /// Appends get no response; after this time they take effect if their
    /// condition still holds.
    NoResponse(Duration),
    /// Reads take at least this long.
    SlowReads(Duration),
    /// Appends and reads of the newest records are refused.
    Unavailable,
    /// Calls about the grants of quotas are refused.
    QuotasUnavailable,
    /// Calls about the grants of quotas get no response.
    QuotasSilent,
    /// Reads of other topics bring nothing that can be decoded; pages of the newest records
    /// do.
    Undecodable,
}

/// Time for which a read gets no response, longer than any of its timeouts.
const SILENCE: Duration = Duration::from_secs(20);

impl Fault {
    /// Fails a call about the grants of quotas.
    async fn check_quotas(self, timeout: Duration) -> Result<(), Failure> {
        match self {
            Self::QuotasUnavailable => Err(Failure::Refused(503)),
            Self::QuotasSilent => {
                smol::Timer::after(timeout).await;
                Err(Failure::OutcomeUnknown("silence".into()))
            }
            _ => Ok(()),
        }
    }
}

/// Maximum size of a record, in bytes.
const RECORD_BYTES: usize = 256 << 10;

/// Maximum size of the records of one append, in bytes.
pub(crate) const CALL_BYTES: usize = 300_000;

/// Bytes of the framing of a record.
const FRAME_BYTES: usize = 5;

#[derive(Debug, Default)]
struct Shared {
    topics: Mutex<HashMap<String, Vec<Record>>>,
    fault: Mutex<Fault>,
    changed: Event,
    /// Whether the answers to reads of the replicas are held back.
    holds_list: AtomicBool,
    /// Answers that are held back.
    held: AtomicUsize,
}

/// Handle to the store.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemoryStore {
    shared: Arc<Shared>,
    /// Addresses of replicas, each with that of the link over which the holder of this
    /// handle reaches it.
    links: Vec<(SocketAddr, SocketAddr)>,
    /// Number of the operator's records that the holder of this handle sees, while
    /// later ones are held back.
    visible_manifests: Arc<Mutex<Option<usize>>>,
    /// Whether all calls over this handle are refused.
    is_turned_away: Arc<AtomicBool>,
}

impl MemoryStore {
    /// The same store for one daemon, from which manifests can be held back.
    pub(crate) fn separate_view(&self) -> Self {
        Self {
            visible_manifests: Arc::default(),
            ..self.clone()
        }
    }

    /// Holds back the manifests that are published from now on.
    pub(crate) fn hold_manifests(&self) {
        let count = self.records(Topic::Operator).len();
        *self.visible_manifests.lock().expect("lock") = Some(count);
    }

    /// Shows the manifests that were held back.
    pub(crate) fn release_manifests(&self) {
        *self.visible_manifests.lock().expect("lock") = None;
        self.shared.changed.notify(usize::MAX);
    }

    pub(crate) fn set_fault(&self, fault: Fault) {
        *self.shared.fault.lock().expect("lock") = fault;
    }

    /// A handle whose calls can be refused.
    pub(crate) fn handle(&self) -> Self {
        Self {
            is_turned_away: Arc::default(),
            ..self.clone()
        }
    }

    /// Refuses all calls over this handle, or serves them again.
    pub(crate) fn turn_away(&self, is_turned_away: bool) {
        self.is_turned_away.store(is_turned_away, Ordering::SeqCst);
    }

    fn check_access(&self) -> Result<(), Failure> {
        match self.is_turned_away.load(Ordering::SeqCst) {
            true => Err(Failure::Refused(503)),
            false => Ok(()),
        }
    }

    /// Holds the answers to reads of the replicas back. They tell what was listed when
    /// they were made.
    pub(crate) fn hold_list(&self, holds: bool) {
        self.shared.holds_list.store(holds, Ordering::SeqCst);
        self.shared.changed.notify(usize::MAX);
    }

    /// Number of answers that are held back.
    pub(crate) fn held(&self) -> usize {
        self.shared.held.load(Ordering::SeqCst)
    }

    async fn wait_while_held(&self) {
        self.shared.held.fetch_add(1, Ordering::SeqCst);
        loop {
            let changed = self.shared.changed.listen();
            if !self.shared.holds_list.load(Ordering::SeqCst) {
                break;
            }
            changed.await;
        }
        self.shared.held.fetch_sub(1, Ordering::SeqCst);
    }

    /// The store for a daemon that reaches replicas over links.
    pub(crate) fn seen_over(&self, links: &[Link]) -> Self {
        Self {
            links: links
                .iter()
                .map(|link| (link.target, link.address))
                .collect(),
            ..self.clone()
        }
    }

    /// The record of a replica with the address of the link to it.
    fn over_link(&self, mut record: Record) -> Record {
        let link = |address| self.links.iter().find(|(target, _)| *target == address);
        let replica = Self::parse_replica(&record).ok();
        if let Some(mut replica) = replica
            && let Some((_, address)) = link(replica.address)
        {
            replica.address = *address;
            record.value = Some(serde_json::to_vec(&replica).expect("a replica"));
        }
        record
    }

    pub(crate) fn put(&self, topic: Topic, key: &str, value: &str) {
        self.put_bytes(topic, key, value.into());
    }

    /// Appends a record; without a value if there are no bytes.
    pub(crate) fn put_bytes(&self, topic: Topic, key: &str, value: Vec<u8>) {
        let value = Some(value).filter(|value| !value.is_empty());
        let key = key.into();
        let record = Record { key, value };
        let mut topics = self.shared.topics.lock().expect("lock");
        topics.entry(format!("{topic:?}")).or_default().push(record);
        drop(topics);
        self.shared.changed.notify(usize::MAX);
    }

    pub(crate) fn publish_manifest(&self, manifest: &Manifest) {
        let text = serde_json::to_string(manifest).expect("a manifest");
        self.put(Topic::Operator, "manifest", &text);
    }

    pub(crate) fn publish_replica(&self, replica: &Replica) {
        let text = serde_json::to_string(replica).expect("a replica");
        self.put(Topic::Replicas, &replica.id, &text);
    }

    /// Peer addresses of the registered daemons.
    pub(crate) fn registered_daemons(&self) -> Vec<SocketAddr> {
        let records = self.records(Topic::Members);
        records.iter().filter_map(|r| r.key.parse().ok()).collect()
    }

    /// Number of ledger and member records whose key has a prefix.
    pub(crate) fn count_records(&self, prefix: &str) -> usize {
        let mut records = self.records(Topic::Ledger(0));
        records.extend(self.records(Topic::Members));
        records.iter().filter(|r| r.key.starts_with(prefix)).count()
    }

    pub(crate) fn records(&self, topic: Topic) -> Vec<Record> {
        let topics = self.shared.topics.lock().expect("lock");
        let records = topics.get(&format!("{topic:?}")).cloned();
        let records = records.unwrap_or_default().into_iter();
        match topic {
            Topic::Replicas => records.map(|record| self.over_link(record)).collect(),
            Topic::Operator => {
                let visible = *self.visible_manifests.lock().expect("lock");
                records.take(visible.unwrap_or(usize::MAX)).collect()
            }
            _ => records.collect(),
        }
    }

    fn append_now(
        &self,
        topic: Topic,
        expected_end: Option<u64>,
        records: &[Record],
    ) -> Result<u64, Failure> {
        let size = |r: &Record| FRAME_BYTES + r.key.len() + r.value.as_ref().map_or(0, Vec::len);
        let sizes = || records.iter().map(size);
        if sizes().any(|size| size > RECORD_BYTES) || sizes().sum::<usize>() > CALL_BYTES {
            return Err(Failure::Refused(413));
        }
        let mut topics = self.shared.topics.lock().expect("lock");
        let all = topics.entry(format!("{topic:?}")).or_default();
        if expected_end.is_some_and(|end| all.len() as u64 != end) {
            return Err(Failure::Conflict);
        }
        all.extend_from_slice(records);
        let end = all.len() as u64;
        drop(topics);
        self.shared.changed.notify(usize::MAX);
        Ok(end)
    }
}

impl RecordParser for MemoryStore {
    fn parse_manifest(record: &Record) -> Result<Option<ParsedManifest>, String> {
        let value = record.value.as_deref().unwrap_or_default();
        serde_json::from_slice::<Manifest>(value)
            .map(|manifest| Some(manifest.into()))
            .map_err(|e| e.to_string())
    }

    fn parse_replica(record: &Record) -> Result<Replica, String> {
        let value = record.value.as_deref().unwrap_or_default();
        serde_json::from_slice(value).map_err(|e| e.to_string())
    }
}

impl Store for MemoryStore {
    async fn append(
        &self,
        topic: Topic,
        expected_end: Option<u64>,
        records: &[Record],
        timeout: Duration,
    ) -> Result<u64, Failure> {
        self.check_access()?;
        let fault = *self.shared.fault.lock().expect("lock");
        if topic == Topic::Quotas {
            fault.check_quotas(timeout).await?;
        }
        let fault = match topic {
            Topic::Ledger(_) => fault,
            _ => Fault::None,
        };
        match fault {
            Fault::None
            | Fault::SlowReads(_)
            | Fault::Undecodable
            | Fault::QuotasUnavailable
            | Fault::QuotasSilent => self.append_now(topic, expected_end, records),
            Fault::Slow(time) => {
                smol::Timer::after(time).await;
                self.append_now(topic, expected_end, records)
            }
            Fault::NoResponse(time) => {
                let (store, records) = (self.clone(), records.to_vec());
                let delayed = async move {
                    smol::Timer::after(time).await;
                    store.append_now(topic, expected_end, &records)
                };
                smol::spawn(delayed).detach();
                smol::Timer::after(timeout).await;
                Err(Failure::OutcomeUnknown("silence".into()))
            }
            Fault::Unavailable => Err(Failure::Refused(503)),
        }
    }

    async fn read(&self, topic: Topic, start_offset: u64, wait: Duration) -> Result<Read, Failure> {
        self.check_access()?;
        let fault = *self.shared.fault.lock().expect("lock");
        if topic == Topic::Quotas {
            fault.check_quotas(SILENCE).await?;
        }
        if let (Fault::SlowReads(time), Topic::Ledger(_)) = (fault, topic) {
            smol::Timer::after(time).await;
        }
        if fault == Fault::Undecodable && !matches!(topic, Topic::Ledger(_)) {
            return Err(Failure::Undecodable("a record is cut off".into()));
        }
        let has_records = async {
            loop {
                let changed = self.shared.changed.listen();
                if self.records(topic).len() as u64 > start_offset {
                    return;
                }
                changed.await;
            }
        };
        let timer = async {
            smol::Timer::after(wait).await;
        };
        futures_lite::future::or(has_records, timer).await;
        let records = self.records(topic);
        let end_offset = records.len() as u64;
        let records = records.into_iter().skip(start_offset as usize).collect();
        if topic == Topic::Replicas {
            self.wait_while_held().await;
        }
        Ok(Read {
            start_offset,
            records,
            end_offset,
            first_offset: 0,
        })
    }

    async fn read_newest(&self, topic: Topic, after: Option<&str>) -> Result<Page, Failure> {
        self.check_access()?;
        let fault = *self.shared.fault.lock().expect("lock");
        if fault == Fault::Unavailable && matches!(topic, Topic::Ledger(_)) {
            return Err(Failure::Refused(503));
        }
        let records = self.records(topic);
        let end_offset = records.len() as u64;
        let newest: BTreeMap<_, _> = records.into_iter().map(|r| (r.key.clone(), r)).collect();
        let records = newest
            .into_values()
            .filter(|r| r.value.is_some() && after.is_none_or(|key| r.key.as_str() > key))
            .collect();
        Ok(Page {
            records,
            has_more: false,
            end_offset,
        })
    }
}
