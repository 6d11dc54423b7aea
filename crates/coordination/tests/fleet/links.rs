//! Links of daemons to replicas in virtual time: which cuts a daemon recognizes, how
//! fast, what it does not take for a cut, and how it returns to its own links.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bitterncart_coordination::fleet::links::{
    Change, Check, Links, Path, Relay, Target, choose_relay,
};
use bitterncart_testing::cases;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const TICK: Duration = Duration::from_millis(10);

/// Time of the cut.
const CUT_AT: Duration = Duration::from_secs(5);

/// Time after which a request that is not answered shows a failure.
const SILENCE: Duration = Duration::from_millis(150);

/// Time in which a connection that is not accepted fails.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Target of the detection, counted from the cut.
const DETECTION_BOUND: Duration = Duration::from_secs(1);

/// Target of the return, counted from the first link that is back.
const RETURN_BOUND: Duration = Duration::from_secs(2);

fn address(n: usize) -> SocketAddr {
    ([10, 0, 0, 1], n as u16).into()
}

/// Replicas of two services, the second one with three.
fn targets(count: usize) -> Vec<Target> {
    let target = |n| Target {
        id: format!("r{n}").into(),
        address: address(n),
        service: if n < 3 { "plain" } else { "models" }.into(),
        data_centre: "here".into(),
    };
    (0..count).map(target).collect()
}

/// State of a link as this daemon finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Link {
    Up,
    /// Nothing passes.
    Silent,
    /// Open connections are reset, new ones refused.
    Reset,
    /// Open connections live on, new ones are refused.
    Refusing,
    /// Nothing passes, for the peers neither: the replica is silent.
    Paused,
    /// The process has ended: also peers are refused.
    Down,
}

/// One daemon whose requests arrive at random replicas, with a connection to each.
struct Daemon {
    links: Links,
    targets: Vec<Target>,
    link: Box<dyn Fn(Duration, usize) -> Link>,
    /// Whether peers relay.
    has_relays: bool,
    requests_per_s: f64,
    /// Failures and results of checks that are due, by time.
    pending: Vec<(Duration, SocketAddr, Option<Check>)>,
    changes: Vec<(Duration, Change)>,
    probes: Vec<Duration>,
    checks: usize,
    random: StdRng,
}

impl Daemon {
    fn new(count: usize, seed: u64, link: impl Fn(Duration, usize) -> Link + 'static) -> Self {
        Self {
            links: Links::default(),
            targets: targets(count),
            link: Box::new(link),
            has_relays: true,
            requests_per_s: 5.0,
            pending: Vec::new(),
            changes: Vec::new(),
            probes: Vec::new(),
            checks: 0,
            random: StdRng::seed_from_u64(seed),
        }
    }

    fn link(&self, now: Duration, replica: SocketAddr) -> Link {
        (self.link)(now, usize::from(replica.port()))
    }

    /// Starts the check of a link: a relay first, then the own link.
    fn check(&mut self, now: Duration, replica: SocketAddr, is_probe: bool) {
        self.checks += 1;
        let link = self.link(now, replica);
        let is_reached = match link {
            Link::Up => Some(TICK),
            Link::Silent | Link::Paused => None,
            _ => Some(Duration::ZERO),
        };
        let is_relayed = self.has_relays && !matches!(link, Link::Paused | Link::Down);
        let result = match link {
            Link::Up => Check::Opened,
            _ if is_relayed || is_probe => Check::Broken,
            _ => Check::Unreachable,
        };
        let end = now + is_reached.unwrap_or(CONNECT_TIMEOUT) + TICK;
        self.pending.push((end, replica, Some(result)));
    }

    fn run(&mut self, until: Duration) {
        self.run_from(TICK, until);
    }

    fn run_from(&mut self, start: Duration, until: Duration) {
        let mut now = start;
        while now < until {
            self.step(now);
            now += TICK;
        }
    }

    fn step(&mut self, now: Duration) {
        let due: Vec<_> = self.pending.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, replica, result) in due {
            self.settle(now, replica, result);
        }
        if self
            .random
            .random_bool(self.requests_per_s * TICK.as_secs_f64())
        {
            let chosen = self.random.random_range(0..self.targets.len());
            let replica = self.targets[chosen].address;
            self.request(now, replica);
        }
        let change = self.links.tick(now, &self.targets);
        self.record(now, change);
        if let Some(probed) = self.links.start_probe(now, &self.targets) {
            self.probes.push(now);
            self.check(now, probed, true);
        }
    }

    /// Sends a request over an open connection, if it goes over the own link.
    fn request(&mut self, now: Duration, replica: SocketAddr) {
        if self.links.path(now, replica) != Path::Direct {
            return;
        }
        match self.link(now, replica) {
            Link::Up => self.links.record_answer(now),
            Link::Silent | Link::Paused => self.pending.push((now + SILENCE, replica, None)),
            Link::Reset | Link::Down => self.settle(now, replica, None),
            // One of three requests needs a new connection.
            Link::Refusing if self.random.random_bool(0.33) => self.settle(now, replica, None),
            Link::Refusing => self.links.record_answer(now),
        }
    }

    fn settle(&mut self, now: Duration, replica: SocketAddr, result: Option<Check>) {
        let mut random = StdRng::from_rng(&mut self.random);
        let draw = || random.random::<f64>();
        let Some(result) = result else {
            let checks = self.links.record_failure(now, replica, &self.targets, draw);
            checks.into_iter().for_each(|r| self.check(now, r, false));
            return;
        };
        if result == Check::Opened {
            self.links.record_answer(now);
        }
        let step = self
            .links
            .record_check(now, replica, result, &self.targets, draw);
        self.record(now, step.change);
        step.check
            .into_iter()
            .for_each(|r| self.check(now, r, false));
    }

    fn record(&mut self, now: Duration, change: Option<Change>) {
        self.changes.extend(change.map(|change| (now, change)));
    }

    /// Time of the first change to being cut off, counted from the cut.
    fn detected_after(&self) -> Option<Duration> {
        let is_cut = |(_, change): &&(Duration, Change)| matches!(change, Change::CutOff { .. });
        let (at, _) = self.changes.iter().find(is_cut)?;
        Some(*at - CUT_AT)
    }
}

/// Link that is in a state from the cut until a time, and up otherwise.
fn cut_until(end: Duration, state: Link) -> impl Fn(Duration, usize) -> Link {
    move |now, _| {
        if now >= CUT_AT && now < end {
            state
        } else {
            Link::Up
        }
    }
}

cases! {
    /// A daemon whose links to all replicas are cut knows it within a second, as long as
    /// it has a few requests in that time.
    fn cut_of_all_links_is_recognized(replicas: usize, state: Link, requests_per_s: f64) {
        for seed in 0..50 {
            let mut daemon = Daemon::new(replicas, seed, cut_until(CUT_AT * 4, state));
            daemon.requests_per_s = requests_per_s;
            daemon.run(CUT_AT * 2);
            let detected = daemon.detected_after().expect("the cut is recognized");
            let bound = DETECTION_BOUND.max(Duration::from_secs_f64(6.0 / requests_per_s));
            assert!(detected <= bound, "seed {seed}: {detected:?}");
            for target in &daemon.targets {
                let path = daemon.links.path(CUT_AT * 2, target.address);
                assert_ne!(path, Path::Direct, "seed {seed}");
            }
        }
    }
    silent_12_daemons(15, Link::Silent, 10.0);
    reset_12_daemons(15, Link::Reset, 10.0);
    silent_195_daemons(98, Link::Silent, 10.0);
    reset_195_daemons(98, Link::Reset, 10.0);
    silent_two_replicas(2, Link::Silent, 10.0);
    silent_with_few_requests(15, Link::Silent, 2.0);
}

/// While open connections live on, requests without a new one are answered; the others
/// show the cut a little later.
#[test]
fn refused_new_connections_are_recognized_beside_answers() {
    for seed in 0..50 {
        let mut daemon = Daemon::new(15, seed, cut_until(CUT_AT * 4, Link::Refusing));
        daemon.run(CUT_AT * 2);
        assert!(daemon.detected_after().is_some(), "seed {seed}");
    }
}

cases! {
    /// What makes no daemon cut off.
    fn is_no_cut(link: fn(Duration, usize) -> Link) {
        for seed in 0..50 {
            let mut daemon = Daemon::new(15, seed, link);
            daemon.run(CUT_AT * 4);
            assert_eq!(daemon.changes, [], "seed {seed}");
        }
    }
    all_replicas_pause_for_a_second(|now, _| match now {
        now if now >= CUT_AT && now < CUT_AT + Duration::from_millis(1200) => Link::Paused,
        _ => Link::Up,
    });
    one_service_is_down(|now, n| if now >= CUT_AT && n < 3 { Link::Down } else { Link::Up });
    one_service_is_silent(|now, n| if now >= CUT_AT && n < 3 { Link::Paused } else { Link::Up });
    three_replicas_pause(|now, n| match now {
        now if now >= CUT_AT && now < CUT_AT + Duration::from_secs(1) && n < 5 && n > 1 => {
            Link::Paused
        }
        _ => Link::Up,
    });
    one_link_is_cut(|now, n| if now >= CUT_AT && n == 7 { Link::Silent } else { Link::Up });
}

/// Links to a few replicas only are cut: these go through relays, the others do not.
#[test]
fn cut_of_some_links_takes_relays_for_these_alone() {
    let link = |now, n| {
        if now >= CUT_AT && n < 2 {
            Link::Silent
        } else {
            Link::Up
        }
    };
    for seed in 0..50 {
        let mut daemon = Daemon::new(15, seed, link);
        daemon.run(CUT_AT * 6);
        for n in 0..15 {
            let is_direct = daemon.links.path(CUT_AT * 6, address(n)) == Path::Direct;
            assert_eq!(is_direct, n >= 2, "seed {seed}, replica {n}");
        }
    }
}

/// No peer reaches a replica either: the daemon knows after the time for which sound
/// replicas may be silent, and is back soon after the first links are.
#[test]
fn cut_of_all_daemons_is_recognized_and_ends() {
    for seed in 0..50 {
        let end = CUT_AT * 2;
        let mut daemon = Daemon::new(15, seed, cut_until(end, Link::Paused));
        daemon.has_relays = false;
        daemon.run(CUT_AT * 4);
        let detected = daemon.detected_after().expect("the cut is recognized");
        assert!(
            detected <= Duration::from_secs(4),
            "seed {seed}: {detected:?}"
        );
        let (back, change) = daemon.changes[1];
        assert_eq!(change, Change::Restored);
        assert!(back - end <= RETURN_BOUND, "seed {seed}: {:?}", back - end);
    }
}

/// Links come back one by one, a second apart: the daemon uses its own ones from the
/// second one on, and those that are not back go through relays.
#[test]
fn links_that_come_back_one_by_one_are_used_one_by_one() {
    let back_at = |n: usize| CUT_AT * 2 + Duration::from_secs(n as u64);
    for seed in 0..50 {
        let link = move |now, n| {
            let is_cut = now >= CUT_AT && now < back_at(n);
            if is_cut { Link::Silent } else { Link::Up }
        };
        let mut daemon = Daemon::new(15, seed, link);
        daemon.run(back_at(5));
        assert!(!daemon.links.is_cut_off(), "seed {seed}");
        let probed = daemon.probes.len();
        daemon.run_from(back_at(5), back_at(30));
        assert!(daemon.probes.len() > probed, "seed {seed}");
        for target in &daemon.targets {
            let path = daemon.links.path(back_at(30), target.address);
            assert_eq!(path, Path::Direct, "seed {seed}");
        }
    }
}

/// The own links are probed at a low rate, and none is while they work.
#[test]
fn probes_are_few() {
    let mut daemon = Daemon::new(98, 1, cut_until(CUT_AT * 3, Link::Silent));
    daemon.run(CUT_AT * 3);
    // Four a second.
    assert!(daemon.probes.len() <= 41, "{}", daemon.probes.len());
    let mut sound = Daemon::new(98, 1, |_, _| Link::Up);
    sound.run(CUT_AT * 3);
    assert_eq!((sound.probes.len(), sound.checks), (0, 0));
}

/// Links that fail and return every second: at no time is the daemon without a path
/// for longer than it takes to recognize the cut.
#[test]
fn flapping_links_are_recognized_each_time() {
    for seed in 0..50 {
        let is_cut = |now: Duration| now >= CUT_AT && now.as_secs().is_multiple_of(4);
        let link = move |now, _| if is_cut(now) { Link::Silent } else { Link::Up };
        let mut daemon = Daemon::new(15, seed, link);
        daemon.requests_per_s = 20.0;
        daemon.run(CUT_AT * 6);
        let cuts = daemon.changes.iter();
        let cuts = cuts.filter(|(_, change)| matches!(change, Change::CutOff { .. }));
        // One each 4 s from 8 s to 28 s.
        assert_eq!(cuts.count(), 6, "seed {seed}: {:?}", daemon.changes);
        assert!(!daemon.links.is_cut_off(), "seed {seed}");
    }
}

/// A daemon with requests at several replicas need not wait for one of them to time out.
#[test]
fn silence_of_all_replicas_in_use_counts_as_a_failure() {
    let ms = |ms| CUT_AT + Duration::from_millis(ms);
    let mut links = Links::default();
    // It had nothing to do before, so that nothing was answered.
    assert!(!links.record_busy(ms(0), 3));
    links.record_answer(ms(40));
    assert!(!links.record_busy(ms(130), 3));
    assert!(links.record_busy(ms(150), 3));
    // Too few replicas to tell, or none.
    assert!(!links.record_busy(ms(300), 2));
    assert!(!links.record_busy(ms(350), 3));
    links.record_answer(ms(440));
    assert!(!links.record_busy(ms(500), 3));
}

/// A relay that does not help is left out for a time.
#[test]
fn failed_relay_is_not_asked_again_at_once() {
    let mut links = Links::default();
    links.record_failed_relay(CUT_AT, address(1));
    assert!(!links.may_ask(CUT_AT, address(1)));
    assert!(links.may_ask(CUT_AT, address(2)));
    assert!(links.may_ask(CUT_AT + Duration::from_secs(1), address(1)));
}

fn relay(n: usize, data_centre: &str, capacity: u32, relayed: u16) -> Relay {
    Relay {
        address: address(n),
        data_centre: data_centre.into(),
        capacity,
        relayed,
        answered_at: CUT_AT,
    }
}

/// How often each relay is chosen in 3,000 draws.
fn shares(relays: &[Relay], near: [&str; 2]) -> HashMap<SocketAddr, usize> {
    let mut random = StdRng::seed_from_u64(7);
    let mut shares = HashMap::new();
    for _ in 0..3000 {
        let chosen = choose_relay(relays, near, || random.random()).expect("a relay");
        *shares.entry(chosen).or_default() += 1;
    }
    shares
}

/// Four daemons carry what twelve did: none of them gets most of it.
#[test]
fn relays_share_the_load() {
    let relays: Vec<Relay> = (0..4).map(|n| relay(n, "here", 500, 3)).collect();
    let shares = shares(&relays, ["here", "there"]);
    assert!(
        shares.values().all(|share| (600..=900).contains(share)),
        "{shares:?}"
    );
}

#[test]
fn loaded_relay_gets_less() {
    let relays = [
        relay(0, "here", 500, 40),
        relay(1, "here", 500, 2),
        relay(2, "here", 250, 2),
    ];
    let shares = shares(&relays, ["here", "here"]);
    assert!(shares[&address(1)] > shares[&address(2)], "{shares:?}");
    assert!(shares[&address(2)] > shares[&address(0)], "{shares:?}");
}

/// Relays in the data centre of the daemon or of the replica add no hop to a third one.
#[test]
fn relay_in_a_third_data_centre_is_the_last_choice() {
    let relays = [relay(0, "third", 500, 0), relay(1, "there", 500, 9)];
    assert_eq!(shares(&relays, ["here", "there"]).len(), 1);
    assert_eq!(shares(&relays[..1], ["here", "there"]).len(), 1);
    assert_eq!(choose_relay(&[], ["here", "there"], || 0.5), None);
}

/// A peer that was cut off together with this daemon has not told so yet.
#[test]
fn peer_without_recent_answers_is_no_relay() {
    let silent = Relay {
        answered_at: CUT_AT - Duration::from_millis(200),
        ..relay(0, "here", 500, 0)
    };
    let relays = [silent, relay(1, "there", 500, 30)];
    assert_eq!(
        shares(&relays, ["here", "here"])
            .into_keys()
            .collect::<Vec<_>>(),
        [address(1)]
    );
}
