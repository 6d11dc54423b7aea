//! Links between this daemon and the replicas, and relays that replace broken ones.
//!
//! A connection that fails does not say whether the replica is down or the link to it
//! is broken. So a failed replica is checked: a peer is asked to connect to it, and
//! then this daemon tries again. If only the peer succeeds, the link is broken, and
//! connections to that replica go through a relay. A daemon that finds several links
//! broken, and has opened no connection to any replica meanwhile, is cut off: all its
//! connections go through relays, and it relays for nobody.
//!
//! Some replicas that fall silent together do not make a daemon cut off: a peer does
//! not reach them either, or the daemon reaches another one. If no peer can tell, only
//! a long time without any answer does.
//!
//! A daemon probes broken links at a low rate. It uses its own links again as soon as
//! it has opened connections to several replicas; a replica whose own link has not
//! been opened yet stays with a relay, so that links that come back one by one are used
//! one by one, and nobody connects to all replicas at once.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Broken links that show that a daemon is cut off, if it has received nothing since.
const MIN_BROKEN: usize = 3;

/// Broken links that show it while open connections still bring answers.
const MIN_BROKEN_BESIDE_ANSWERS: usize = 5;

/// Links that must be open again before a daemon uses its own ones.
const MIN_RESTORED: usize = 2;

/// Time for which an answer shows that links work, without a check of another replica.
const FRESH_ANSWER: Duration = Duration::from_millis(100);

/// Time without any answer, while several replicas have requests, that counts as a
/// failure.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(100);

/// Minimum time between two checks of a replica.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Time without any answer after which a daemon counts as cut off although no peer
/// reaches the replicas; longer than a sound replica may be silent.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between probes of broken links.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which an answer shows that open connections still work although new ones
/// fail.
const REUSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a failure is forgotten, unless its check found a broken link, and
/// an inquiry ends without a verdict.
const FAILURE_RETENTION: Duration = Duration::from_secs(5);

/// Time for which a relay that did not help is not asked again.
const RELAY_BACKOFF: Duration = Duration::from_millis(500);

/// Time before the latest answer of any peer within which the latest answer of a peer
/// shows that it has links, too.
const ANSWER_WINDOW: Duration = Duration::from_millis(50);

/// State of a daemon's links in its heartbeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Whether it is cut off from the replicas.
    pub cut_off: bool,
    /// Connections that it relays.
    pub relayed: u16,
    /// Time since the latest answer over its own links, in milliseconds.
    pub answered_ago_ms: u16,
}

/// Replica to which a link leads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Id of the replica.
    pub id: CompactString,
    /// Its address.
    pub address: SocketAddr,
    /// Its service.
    pub service: CompactString,
    /// Its data centre.
    pub data_centre: CompactString,
}

/// Result of the check of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    /// This daemon opened a connection.
    Opened,
    /// A relay opened a connection, and this daemon failed after it.
    Broken,
    /// Neither did.
    Unreachable,
}

impl Check {
    /// Name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Opened => "opened",
            Self::Broken => "broken",
            Self::Unreachable => "unreachable",
        }
    }
}

/// How to connect to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// By this daemon's own link.
    Direct,
    /// Through a relay; open direct connections may be reused if `reuses_direct`.
    Relayed {
        /// Whether open connections still bring answers.
        reuses_direct: bool,
    },
}

/// Change of the state of all links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The daemon is cut off; `is_silent` if its open connections bring no answers
    /// either.
    CutOff {
        /// Whether nothing was received since the first failure.
        is_silent: bool,
    },
    /// The daemon uses its own links again.
    Restored,
}

/// What follows a check.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Step {
    /// Change of the state, if there is one.
    pub change: Option<Change>,
    /// Further replica to check.
    pub check: Option<SocketAddr>,
}

/// Failed connections to one replica.
#[derive(Clone, Copy, Debug)]
struct Failure {
    /// Time of the latest check, or of the failure if there was none.
    at: Duration,
    /// Result of the latest check.
    check: Option<Check>,
}

/// Search for the cause of a failure: whether this daemon reaches any replica.
#[derive(Debug)]
struct Inquiry {
    /// Time of the first failure.
    since: Duration,
    /// Replicas that are or were checked for it.
    members: HashSet<SocketAddr>,
    /// Those to which this daemon cannot connect.
    failed: HashSet<SocketAddr>,
    /// Those of them that a relay reached.
    broken: HashSet<SocketAddr>,
}

/// State of a daemon that is cut off.
#[derive(Debug)]
struct Cut {
    /// Time of the first failure.
    since: Duration,
    /// Replicas to which connections have been opened since.
    restored: HashSet<SocketAddr>,
}

/// Links of this daemon to the replicas.
#[derive(Debug, Default)]
pub struct Links {
    /// Replicas to which connections failed, until one is opened.
    failures: HashMap<SocketAddr, Failure>,
    checking: HashSet<SocketAddr>,
    inquiry: Option<Inquiry>,
    cut: Option<Cut>,
    /// Time of the latest answer over an own link.
    answered_at: Duration,
    /// Time since which several replicas have had requests over own links.
    busy_since: Option<Duration>,
    probed_at: Duration,
    /// Relays that did not help, with the end of their backoff.
    failed_relays: HashMap<SocketAddr, Duration>,
}

impl Links {
    /// Whether the daemon is cut off from the replicas.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.cut.is_some()
    }

    /// Whether the daemon is cut off, and open connections bring no answers either.
    #[must_use]
    pub fn is_silent(&self, now: Duration) -> bool {
        self.cut.as_ref().is_some_and(|cut| {
            self.answered_at <= cut.since || self.answered_ago(now) >= REUSE_TIMEOUT
        })
    }

    /// How to connect to a replica now.
    #[must_use]
    pub fn path(&self, now: Duration, address: SocketAddr) -> Path {
        match &self.cut {
            Some(_) => Path::Relayed {
                reuses_direct: !self.is_silent(now),
            },
            None if self.is_broken(address) => Path::Relayed {
                reuses_direct: false,
            },
            None => Path::Direct,
        }
    }

    fn is_broken(&self, address: SocketAddr) -> bool {
        self.failures
            .get(&address)
            .is_some_and(|failure| failure.check == Some(Check::Broken))
    }

    /// Records the time of the latest answer over an own link.
    pub fn record_answer(&mut self, at: Duration) {
        self.answered_at = self.answered_at.max(at);
    }

    /// Whether an answer came over an own link since a time. A relay that failed to
    /// connect and had none meanwhile may be cut off itself.
    #[must_use]
    pub fn has_answer_since(&self, time: Duration) -> bool {
        self.answered_at >= time
    }

    /// Time since the latest answer over an own link.
    #[must_use]
    pub fn answered_ago(&self, now: Duration) -> Duration {
        now.saturating_sub(self.answered_at)
    }

    /// Records that a connection was opened over an own link: this daemon reaches
    /// some replica.
    pub fn record_opened(&mut self, address: SocketAddr) {
        self.inquiry = None;
        self.failures.remove(&address);
    }

    /// Records how many replicas have requests of this daemon. Returns whether none of
    /// them has sent anything for so long that this counts as a failure of any of them.
    pub fn record_busy(&mut self, now: Duration, replicas: usize) -> bool {
        let is_busy = replicas >= MIN_BROKEN && self.cut.is_none();
        self.busy_since = is_busy.then(|| self.busy_since.unwrap_or(now));
        self.busy_since
            .is_some_and(|since| now.saturating_sub(since.max(self.answered_at)) >= SILENCE_TIMEOUT)
    }

    /// Whether there is nothing to check or to probe.
    #[must_use]
    pub fn is_calm(&self) -> bool {
        self.cut.is_none() && self.inquiry.is_none() && self.failures.is_empty()
    }

    /// Records that a direct connection to a replica failed, or brought no answer in
    /// time. Returns the replicas to check: this one, and others unless answers have
    /// just arrived.
    pub fn record_failure(
        &mut self,
        now: Duration,
        address: SocketAddr,
        known: &[Target],
        mut random: impl FnMut() -> f64,
    ) -> Vec<SocketAddr> {
        if self.path(now, address) != Path::Direct || !self.is_due(now, address) {
            return Vec::new();
        }
        let inquiry = self.inquiry.get_or_insert_with(|| Inquiry {
            since: now,
            members: HashSet::new(),
            failed: HashSet::new(),
            broken: HashSet::new(),
        });
        inquiry.members.insert(address);
        let is_first = inquiry.members.len() == 1;
        self.checking.insert(address);
        let mut checks = vec![address];
        if is_first && !self.has_fresh_answer(now) {
            for _ in 1..MIN_BROKEN {
                checks.extend(self.start_companion(now, address, known, &mut random));
            }
        }
        checks
    }

    fn has_fresh_answer(&self, now: Duration) -> bool {
        now.saturating_sub(self.answered_at) < FRESH_ANSWER
    }

    /// Whether a replica is not being checked and was not checked just before.
    fn is_due(&self, now: Duration, address: SocketAddr) -> bool {
        let is_recent = self.failures.get(&address).is_some_and(|failure| {
            failure.check.is_some() && now.saturating_sub(failure.at) < CHECK_INTERVAL
        });
        !is_recent && !self.checking.contains(&address)
    }

    /// Starts the check of a replica that the inquiry has not included, of another
    /// service than the failed one if there is such a replica.
    fn start_companion(
        &mut self,
        now: Duration,
        failed: SocketAddr,
        known: &[Target],
        mut random: impl FnMut() -> f64,
    ) -> Option<SocketAddr> {
        let members = &self.inquiry.as_ref()?.members;
        let service_of = |address: SocketAddr| {
            let target = known.iter().find(|target| target.address == address);
            target.map(|target| &target.service)
        };
        let checked: HashSet<_> = members.iter().map(|member| service_of(*member)).collect();
        let (of_service, others): (Vec<&Target>, Vec<&Target>) = known
            .iter()
            .filter(|target| target.address != failed && !members.contains(&target.address))
            .filter(|target| self.is_due(now, target.address))
            .partition(|target| checked.contains(&Some(&target.service)));
        let candidates = if others.is_empty() {
            of_service
        } else {
            others
        };
        let chosen = candidates.get((random() * candidates.len() as f64) as usize)?;
        let address = chosen.address;
        self.checking.insert(address);
        self.inquiry.as_mut()?.members.insert(address);
        Some(address)
    }

    /// Records the result of the check of a replica.
    pub fn record_check(
        &mut self,
        now: Duration,
        address: SocketAddr,
        result: Check,
        known: &[Target],
        random: impl FnMut() -> f64,
    ) -> Step {
        self.checking.remove(&address);
        if result == Check::Opened {
            self.record_opened(address);
            return Step {
                change: self.record_restored(address, known.len()),
                check: None,
            };
        }
        if let Some(cut) = &mut self.cut {
            cut.restored.remove(&address);
        }
        let failure = Failure {
            at: now,
            check: Some(result),
        };
        self.failures.insert(address, failure);
        let Some(inquiry) = &mut self.inquiry else {
            return Step::default();
        };
        if inquiry.members.contains(&address) {
            inquiry.failed.insert(address);
            if result == Check::Broken {
                inquiry.broken.insert(address);
            }
        }
        let is_waiting = inquiry.members.len() > inquiry.failed.len();
        let change = self.judge(now, known.len());
        let may_be_own_link = result == Check::Broken || !self.has_fresh_answer(now);
        let check = (change.is_none() && !is_waiting && may_be_own_link)
            .then(|| self.start_companion(now, address, known, random));
        Step {
            change,
            check: check.flatten(),
        }
    }

    /// Records that a link is open again; the daemon uses its own links if enough are.
    fn record_restored(&mut self, address: SocketAddr, known: usize) -> Option<Change> {
        let cut = self.cut.as_mut()?;
        cut.restored.insert(address);
        if cut.restored.len() < MIN_RESTORED.min(known) {
            return None;
        }
        self.cut = None;
        Some(Change::Restored)
    }

    /// Judges whether the daemon has become cut off.
    fn judge(&mut self, now: Duration, known: usize) -> Option<Change> {
        let inquiry = self.inquiry.as_ref()?;
        let is_silent = self.answered_at <= inquiry.since;
        let needed = if is_silent {
            MIN_BROKEN
        } else {
            MIN_BROKEN_BESIDE_ANSWERS
        };
        let last_sign = self.answered_at.max(inquiry.since);
        let is_proved = !inquiry.broken.is_empty() && inquiry.broken.len() >= needed.min(known);
        let is_isolated = inquiry.failed.len() >= MIN_BROKEN.min(known)
            && now.saturating_sub(last_sign) >= ISOLATION_TIMEOUT;
        if self.cut.is_some() || !(is_proved || is_isolated) {
            return None;
        }
        self.cut = Some(Cut {
            since: inquiry.since,
            restored: HashSet::new(),
        });
        self.inquiry = None;
        Some(Change::CutOff { is_silent })
    }

    /// Forgets what no longer counts, and judges the time without answers. To be
    /// called periodically with the replicas that are known.
    pub fn tick(&mut self, now: Duration, known: &[Target]) -> Option<Change> {
        let addresses: HashSet<SocketAddr> = known.iter().map(|target| target.address).collect();
        self.failures.retain(|address, failure| {
            let is_recent = now.saturating_sub(failure.at) < FAILURE_RETENTION;
            addresses.contains(address) && (is_recent || failure.check == Some(Check::Broken))
        });
        self.failed_relays.retain(|_, until| now < *until);
        if let Some(cut) = &mut self.cut {
            cut.restored.retain(|address| addresses.contains(address));
        }
        let change = self.judge(now, known.len());
        self.inquiry
            .take_if(|inquiry| now.saturating_sub(inquiry.since) >= FAILURE_RETENTION);
        change
    }

    /// Replica whose own link is to be probed now, if any: one of the broken links, or
    /// of all if the daemon is cut off, the one that was checked longest ago.
    pub fn start_probe(&mut self, now: Duration, known: &[Target]) -> Option<SocketAddr> {
        if now.saturating_sub(self.probed_at) < PROBE_INTERVAL {
            return None;
        }
        let restored = self.cut.as_ref().map(|cut| &cut.restored);
        let is_probed = |address: SocketAddr| match restored {
            Some(restored) => !restored.contains(&address),
            None => self.is_broken(address),
        };
        let checked_at =
            |address: &SocketAddr| self.failures.get(address).map(|failure| failure.at);
        let addresses = known.iter().map(|target| target.address);
        let probed = addresses
            .filter(|address| is_probed(*address) && !self.checking.contains(address))
            .min_by_key(checked_at)?;
        self.probed_at = now;
        self.checking.insert(probed);
        Some(probed)
    }

    /// Records that a relay did not help.
    pub fn record_failed_relay(&mut self, now: Duration, relay: SocketAddr) {
        self.failed_relays.insert(relay, now + RELAY_BACKOFF);
    }

    /// Whether a relay may be asked.
    #[must_use]
    pub fn may_ask(&self, now: Duration, relay: SocketAddr) -> bool {
        self.failed_relays
            .get(&relay)
            .is_none_or(|until| now >= *until)
    }
}

/// Peer that can relay connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Relay {
    /// Address for calls of peers.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: CompactString,
    /// CPU capacity, in thousandths of a core.
    pub capacity: u32,
    /// Connections that it relays.
    pub relayed: u16,
    /// Time of its latest answer over its own links, by this daemon's clock.
    pub answered_at: Duration,
}

impl Relay {
    fn load(&self) -> f64 {
        f64::from(self.relayed) / f64::from(self.capacity.max(1))
    }
}

/// Chooses a relay for a connection between this daemon and a replica, whose data
/// centres are `near`. A peer that has just received answers has links; one that was
/// cut off together with this daemon may not have noticed. Among the peers with the
/// latest answers, it is the less loaded of two drawn at random, so that daemons with
/// the same view choose different ones. Relays that would add a hop to a third data
/// centre are used only if there is no other.
pub fn choose_relay(
    relays: &[Relay],
    near: [&str; 2],
    mut random: impl FnMut() -> f64,
) -> Option<SocketAddr> {
    let latest = relays.iter().map(|relay| relay.answered_at).max()?;
    let has_links = |relay: &&Relay| latest - relay.answered_at <= ANSWER_WINDOW;
    let linked: Vec<&Relay> = relays.iter().filter(has_links).collect();
    let is_near = |relay: &&Relay| near.contains(&relay.data_centre.as_str());
    let mut candidates: Vec<&Relay> = linked.iter().copied().filter(is_near).collect();
    if candidates.is_empty() {
        candidates = linked;
    }
    let mut draw = || candidates.get((random() * candidates.len() as f64) as usize);
    let (one, other) = (draw()?, draw()?);
    let chosen = if other.load() < one.load() {
        other
    } else {
        one
    };
    Some(chosen.address)
}
