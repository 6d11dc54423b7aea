//! Learned capacity of replicas.
//!
//! Each daemon compares the times that it measures at a replica with those that are
//! usual for the service: to the first event, between events, and of complete answers.
//! The quotients are kept by the load of the replica at the time, so that one that is
//! slow at any load is told from one that slows down before it is full. A median of
//! recent quotients is used, as a moment's disturbance does not move it.
//!
//! Peers report the replicas that differ. Their reports count only for a replica of
//! which a daemon has too few measurements of its own: a replica may be slow for one
//! daemon only, through its link.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::pool::Class;

/// Classes of load, each a quarter of the slots.
const LOAD_CLASSES: usize = 4;

/// Bins of a histogram of quotients, on a logarithmic scale around 1.
const BINS: usize = 16;

/// Width of a bin: 16 of them span quotients from 1/5 to 5.
const BIN_WIDTH: f32 = 0.2;

/// Time in which the weight of a measurement halves. A lasting change moves the median
/// after about this time, a disturbance of half of it does not.
const HALF_LIFE: Duration = Duration::from_millis(1000);

/// Weight below which measurements fade no further with [`HALF_LIFE`], so that a
/// replica with few requests is judged by its last few.
const KEPT_WEIGHT: f32 = 8.0;

/// Bounds of the weight of a measurement, which is its time relative to the usual one.
const MIN_SAMPLE: f32 = 0.5;
const MAX_SAMPLE: f32 = 5.0;

/// Weight from which a histogram has a usable median.
const MIN_WEIGHT: f32 = 6.0;

/// Time without a measurement after which a class of load is no longer known. Ordinary
/// requests then find out whether the replica has recovered.
const MAX_AGE: Duration = Duration::from_secs(4);

/// Quotient of times from which a replica differs from its service, up or down.
const DIFFERENCE: f32 = 1.25;

/// Bounds of the speed that is used, relative to the service.
const SPEED_RANGE: (f32, f32) = (0.25, 2.0);

/// Share of first events later than the objective from which the requests are too many.
const MAX_LATE_SHARE: f32 = 0.2;

/// Step of the usual time towards a measurement, on a logarithmic scale; the first
/// measurements move it further.
const USUAL_STEP: f32 = 0.01;

/// First step of the usual time.
const FIRST_USUAL_STEP: f32 = 0.3;

/// Maximum number of replicas in the reports of a daemon.
pub const MAX_REPORTS: usize = 64;

/// Time for which the report of a peer counts: three of them, a second apart.
const REPORT_TTL: Duration = Duration::from_secs(3);

/// Peers that must report a replica before their reports count, so that no peer alone
/// changes a choice.
const MIN_REPORTERS: usize = 2;

/// Maximum weight of a peer's report, in measurements.
const MAX_REPORT_WEIGHT: u8 = 16;

/// Steps of a reported speed in a factor of e.
const REPORT_STEPS: f32 = 20.0;

/// What was measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Time from sending a request to its first event.
    First,
    /// Time between two events.
    Gap,
    /// Time from sending a request to its complete answer.
    Answer,
}

/// Time measured at a replica.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// What was measured.
    pub kind: Kind,
    /// Class of the request.
    pub class: Class,
    /// Measured time.
    pub time: Duration,
    /// Latency objective of the route, if it has one for this kind.
    pub objective: Option<Duration>,
}

/// Speed of a replica in a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Short id of the process.
    pub process: u32,
    /// Logarithm of its speed relative to the service, in twentieths.
    pub speed: i8,
    /// Measurements of the last seconds.
    pub samples: u8,
}

/// Logarithm of a time relative to what is usual, and whether it was late.
#[derive(Clone, Copy, Debug)]
pub struct Quotient {
    log: f32,
    is_late: Option<bool>,
}

/// Usual times of one service, by kind and class. Each is a running median.
#[derive(Clone, Debug, Default)]
pub struct Usual(HashMap<(Kind, bool), (f32, u32)>);

impl Usual {
    /// Relates a sample to the usual time, and adds it to that.
    pub fn record(&mut self, sample: &Sample) -> Quotient {
        let log = sample.time.as_secs_f32().max(1e-4).ln();
        let key = (sample.kind, sample.class == Class::Batch);
        let (usual, count) = self.0.entry(key).or_insert((log, 0));
        let quotient = log - *usual;
        *count = count.saturating_add(1);
        let step = (FIRST_USUAL_STEP / *count as f32).max(USUAL_STEP);
        *usual += step.min(quotient.abs()).copysign(quotient);
        Quotient {
            log: quotient,
            is_late: sample.objective.map(|objective| sample.time > objective),
        }
    }
}

/// Recent quotients in one class of load.
#[derive(Clone, Copy, Debug, Default)]
struct Recent {
    bins: [f32; BINS],
    in_time: f32,
    late: f32,
    updated: Duration,
}

impl Recent {
    fn record(&mut self, now: Duration, quotient: Quotient) {
        let age = now.saturating_sub(self.updated).as_secs_f32();
        let faded = (-age / HALF_LIFE.as_secs_f32()).exp2();
        let factor = |weight: f32| faded.max(KEPT_WEIGHT / weight).min(1.0);
        let of_bins = factor(self.weight());
        self.bins.iter_mut().for_each(|bin| *bin *= of_bins);
        // First events are few among the others, and are kept for longer.
        let of_firsts = factor(self.in_time + self.late);
        self.in_time *= of_firsts;
        self.late *= of_firsts;
        self.updated = now;
        let bin = (quotient.log / BIN_WIDTH + BINS as f32 / 2.0).max(0.0) as usize;
        // By its share of the time: a slow replica brings fewer samples than a fast one.
        self.bins[bin.min(BINS - 1)] += quotient.log.exp().clamp(MIN_SAMPLE, MAX_SAMPLE);
        match quotient.is_late {
            Some(true) => self.late += 1.0,
            Some(false) => self.in_time += 1.0,
            None => {}
        }
    }

    fn weight(&self) -> f32 {
        self.bins.iter().sum()
    }

    fn is_known(&self, now: Duration) -> bool {
        now.saturating_sub(self.updated) < MAX_AGE && self.weight() >= MIN_WEIGHT
    }

    fn is_late(&self) -> bool {
        let all = self.in_time + self.late;
        all >= MIN_WEIGHT && self.late > all * MAX_LATE_SHARE
    }

    /// Logarithm of the median quotient, interpolated within its bin.
    fn median(&self) -> f32 {
        let mut remaining = self.weight() / 2.0;
        for (n, weight) in self.bins.iter().enumerate() {
            if *weight >= remaining && *weight > 0.0 {
                return (n as f32 + remaining / weight - BINS as f32 / 2.0) * BIN_WIDTH;
            }
            remaining -= weight;
        }
        0.0
    }
}

/// What a daemon knows about one process of a replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct Learned {
    by_load: [Recent; LOAD_CLASSES],
    /// Speed by the reports of the peers, if enough of them report it.
    reported: Option<f32>,
    /// Capacity when a change was last noted.
    noted: Option<f32>,
}

/// Change of a learned capacity by a quarter or more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// Former capacity, in slots of a replica of usual speed.
    pub old: f32,
    /// Present capacity.
    pub new: f32,
    /// Recent measurements.
    pub samples: u32,
}

fn load_class(in_flight: u32, slots: u32) -> usize {
    let class = in_flight.saturating_sub(1) as usize * LOAD_CLASSES / slots.max(1) as usize;
    class.min(LOAD_CLASSES - 1)
}

impl Learned {
    /// Adds a measurement taken with `in_flight` requests at the replica.
    pub fn record(&mut self, now: Duration, in_flight: u32, slots: u32, quotient: Quotient) {
        self.by_load[load_class(in_flight, slots)].record(now, quotient);
    }

    /// Sets the speed that the peers report.
    pub fn set_reported(&mut self, speed: Option<f32>) {
        self.reported = speed;
    }

    /// Speed relative to the service with `in_flight` requests; exactly 1 unless it is
    /// known to differ.
    #[must_use]
    pub fn speed(&self, now: Duration, in_flight: u32, slots: u32) -> f32 {
        let class = load_class(in_flight, slots);
        let lower = self.by_load[..=class].iter().rev();
        let known = lower
            .chain(&self.by_load[class + 1..])
            .find(|recent| recent.is_known(now));
        let speed = known.map(|recent| (-recent.median()).exp());
        speed
            .or(self.reported)
            .map(|speed| speed.clamp(SPEED_RANGE.0, SPEED_RANGE.1))
            .filter(|speed| differs(*speed))
            .unwrap_or(1.0)
    }

    /// Number of concurrent requests that the replica takes well, within 1 and its slots:
    /// with more, it completes no more, or first events are late.
    #[must_use]
    pub fn takes_well(&self, now: Duration, slots: u32) -> u32 {
        let mut lower: Option<(usize, f32)> = None;
        for (class, recent) in self.by_load.iter().enumerate() {
            if !recent.is_known(now) {
                continue;
            }
            let median = recent.median();
            // By Little's law, requests complete at the rate of those in flight divided by
            // the time of each, so a time that grows faster than the load is past the knee.
            let middle = |class: usize| class as f32 + 0.5;
            let is_past_knee = lower
                .is_some_and(|(lower, time)| median - time > (middle(class) / middle(lower)).ln());
            // Where all replicas are late, the objective is too tight, or all are full.
            let is_slow = median > DIFFERENCE.ln();
            if is_past_knee || (is_slow && recent.is_late()) {
                let edge = slots
                    .saturating_mul(class as u32)
                    .div_ceil(LOAD_CLASSES as u32);
                return edge.clamp(1, slots.max(1));
            }
            lower = Some((class, median));
        }
        slots
    }

    /// Recent measurements.
    #[must_use]
    pub fn samples(&self, now: Duration) -> u32 {
        let known = self.by_load.iter().filter(|recent| recent.is_known(now));
        known.map(Recent::weight).sum::<f32>() as u32
    }

    /// Report of a process that differs, from own measurements.
    #[must_use]
    pub fn report(&self, now: Duration, process: u32) -> Option<Report> {
        let mut all = Recent::default();
        for recent in self.by_load.iter().filter(|recent| recent.is_known(now)) {
            for (sum, bin) in all.bins.iter_mut().zip(recent.bins) {
                *sum += bin;
            }
        }
        let is_known = all.weight() >= MIN_WEIGHT;
        let log = -all.median();
        (is_known && differs(log.exp())).then(|| Report {
            process,
            speed: (log * REPORT_STEPS).round() as i8,
            samples: all.weight().min(f32::from(u8::MAX)) as u8,
        })
    }

    /// Notes the present capacity; returns a change by a quarter since it was last noted.
    pub fn note(&mut self, now: Duration, slots: u32) -> Option<Change> {
        let well = self.takes_well(now, slots);
        let new = well as f32 * self.speed(now, well, slots);
        let old = *self.noted.get_or_insert(slots as f32);
        let is_changed = new > old * DIFFERENCE || new * DIFFERENCE < old;
        is_changed.then(|| {
            self.noted = Some(new);
            Change {
                old,
                new,
                samples: self.samples(now),
            }
        })
    }
}

fn differs(speed: f32) -> bool {
    !(1.0 / DIFFERENCE..=DIFFERENCE).contains(&speed)
}

/// Reports of the peers.
#[derive(Debug, Default)]
pub struct Reports(HashMap<SocketAddr, (Duration, Vec<Report>)>);

impl Reports {
    /// Replaces the reports of a peer.
    pub fn receive(&mut self, now: Duration, from: SocketAddr, reports: &[Report]) {
        let reports = &reports[..reports.len().min(MAX_REPORTS)];
        self.0.insert(from, (now, reports.to_vec()));
    }

    /// Drops reports that are too old.
    pub fn expire(&mut self, now: Duration) {
        self.0
            .retain(|_, (at, _)| now.saturating_sub(*at) < REPORT_TTL);
    }

    /// Speed by process: the median of the peers that report it, weighted by samples.
    #[must_use]
    pub fn speeds(&self) -> HashMap<u32, f32> {
        let mut by_process: HashMap<u32, Vec<(i8, u32)>> = HashMap::new();
        for (_, reports) in self.0.values() {
            let mut seen = Vec::with_capacity(reports.len());
            for report in reports.iter().filter(|report| report.samples > 0) {
                // A peer counts once for each process, however often it names it.
                if !seen.contains(&report.process) {
                    seen.push(report.process);
                    let weight = u32::from(report.samples.min(MAX_REPORT_WEIGHT));
                    let reports = by_process.entry(report.process).or_default();
                    reports.push((report.speed, weight));
                }
            }
        }
        let enough = by_process
            .into_iter()
            .filter(|(_, reports)| reports.len() >= MIN_REPORTERS);
        enough
            .map(|(process, reports)| (process, weighted_median(reports)))
            .collect()
    }
}

/// Median of reported speeds; of two, the one closer to the usual speed. No report weighs
/// more than all others together.
fn weighted_median(mut reports: Vec<(i8, u32)>) -> f32 {
    reports.sort_unstable();
    let all: u32 = reports.iter().map(|(_, weight)| weight).sum();
    for (_, weight) in &mut reports {
        *weight = (*weight).min(all - *weight);
    }
    let total: u32 = reports.iter().map(|(_, weight)| weight).sum();
    let median = |reports: &mut dyn Iterator<Item = &(i8, u32)>| {
        let mut sum = 0;
        let mut found = reports.skip_while(|(_, weight)| {
            sum += weight;
            sum * 2 < total
        });
        found.next().map_or(0, |(speed, _)| *speed)
    };
    let (low, high) = (
        median(&mut reports.iter()),
        median(&mut reports.iter().rev()),
    );
    let speed = match (low, high) {
        (low, high) if (low < 0) != (high < 0) => 0,
        (low, high) if low.unsigned_abs() < high.unsigned_abs() => low,
        (_, high) => high,
    };
    (f32::from(speed) / REPORT_STEPS).exp()
}
