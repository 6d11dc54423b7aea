//! A daemon that loses its links to all replicas, beside one that keeps them.

use std::time::{Duration, Instant};

use bitterncart_coordination::fleet::Replica;
use bitterncart_testing::cases;
use futures_lite::{AsyncReadExt, future};

use crate::batch::{results, submit};
use crate::harness::{Gateway, post, status, store, wait_until};
use crate::link::{Link, State};
use crate::replica::{Action, OK_RESPONSE, RESERVED, ScriptedReplica, header};
use crate::store::MemoryStore;

const OK_AND_CLOSE: Action = Action::Respond(
    200,
    "signature: s\r\nconnection: close\r\ncontent-length: 2\r\n",
    "ok",
);

/// Requests that are served in a row before a daemon counts as recovered.
const REQUESTS: usize = 10;

const EVENTS: &str = "signature: s\r\ncontent-type: text/event-stream\r\nconnection: close\r\n";
const FIRST_EVENT: Action = Action::Respond(200, EVENTS, "id: 1\ndata: a\n\n");
const SECOND_EVENT: &str = "id: 2\ndata: b\n\n";

/// Streams that are open while a relay is lost.
const STREAMS: usize = 6;

fn script(head: &str) -> Vec<Action> {
    let second = || Action::Send(SECOND_EVENT.to_owned());
    match head {
        _ if head.contains("last-event: ") => {
            vec![Action::Respond(200, EVENTS, SECOND_EVENT), Action::Finish]
        }
        _ if head.contains("/stalled ") => vec![FIRST_EVENT, Action::AwaitDisconnect],
        _ if head.contains("/slow ") => {
            let pause = Action::Wait(Duration::from_millis(500));
            vec![FIRST_EVENT, pause, second(), Action::Finish]
        }
        _ if head.contains("/hangs ") => vec![Action::AwaitDisconnect],
        _ if head.contains("/endless ") => {
            vec![Action::SendForever("HTTP/1.1 103 Early Hints\r\n\r\n")]
        }
        _ if head.starts_with("POST /items/") => vec![FIRST_EVENT, second(), Action::Finish],
        _ if head.starts_with("POST /reserve ") => vec![RESERVED],
        _ if head.contains("/close ") => vec![OK_AND_CLOSE, Action::Close],
        _ => vec![OK_RESPONSE],
    }
}

/// Replicas, a daemon that reaches them over links, and one that does so directly.
struct Fleet {
    links: Vec<Link>,
    replicas: Vec<ScriptedReplica>,
    cut_off: Gateway,
    linked: Vec<Gateway>,
    store: MemoryStore,
}

impl Fleet {
    /// Starts the fleet with two replicas and `relays` daemons that keep their links.
    async fn start(relays: usize) -> Self {
        let mut replicas = Vec::new();
        for id in ["r1", "r2"] {
            replicas.push(ScriptedReplica::start_with(id, script).await);
        }
        let links: Vec<Link> = replicas.iter().map(Link::start).collect();
        let store: MemoryStore = store(&replicas.iter().collect::<Vec<_>>());
        let mut linked = Vec::new();
        for _ in 0..relays {
            linked.push(Gateway::start(&store).await);
        }
        let cut_off = Gateway::start(&store.seen_over(&links)).await;
        wait_until("all daemons to know each other", || {
            let mut daemons = linked.iter().chain([&cut_off]);
            daemons.all(|gateway| gateway.daemon.live_peers() == relays)
        })
        .await;
        Self {
            links,
            replicas,
            cut_off,
            linked,
            store,
        }
    }

    /// Starts the fleet, and cuts the links of one daemon until it uses a relay.
    async fn start_cut_off(relays: usize) -> Self {
        let fleet = Self::start(relays).await;
        fleet.set_links(State::Silent);
        let is_served = || smol::block_on(fleet.serves("/idempotent/a", "during"));
        wait_until("a request to be served during the cut", is_served).await;
        fleet
    }

    fn set_links(&self, state: State) {
        self.links.iter().for_each(|link| link.set(state));
    }

    /// Whether the daemon serves a request.
    async fn serves(&self, path: &str, id: &str) -> bool {
        status(&self.cut_off.fetch(&post(path, id)).await) == 200
    }
}

cases! {
    /// Guards against daemons that serve nobody once they have lost their own links to
    /// the replicas, although other daemons reach them.
    fn daemon_without_links_serves_over_its_peer(path: &str, cut: State) {
        smol::block_on(async {
            let fleet = Fleet::start(1).await;
            assert!(fleet.serves(path, "before").await);
            fleet.set_links(cut);
            let is_served = || smol::block_on(fleet.serves(path, "during"));
            wait_until("a request to be served during the cut", is_served).await;
            for n in 0..REQUESTS {
                assert!(fleet.serves(path, &format!("id{n}")).await, "request {n}");
            }
            // At most once: each id was run by one replica.
            for n in 0..REQUESTS {
                let id = format!("attempt: id{n}\r\n");
                let heads = fleet.replicas.iter().flat_map(ScriptedReplica::requests);
                assert_eq!(heads.filter(|head| head.contains(&id)).count(), 1, "{id}");
            }
            fleet.set_links(State::Up);
            for n in 0..REQUESTS {
                assert!(fleet.serves(path, &format!("back{n}")).await, "request {n}");
            }
        });
    }
    silent_links_idempotent("/idempotent/a", State::Silent);
    silent_links_once("/once/a", State::Silent);
    reset_links_idempotent("/idempotent/a", State::Reset);
    reset_links_once("/once/a", State::Reset);
    refused_connections_idempotent("/idempotent/close", State::Refusing);
    refused_connections_once("/once/close", State::Refusing);
}

cases! {
    /// Guards against requests that wait for a slot although neither the daemon nor any
    /// peer reaches a replica. Each is refused at once, and served when a link is back.
    fn daemon_without_links_and_relays_refuses_at_once(path: &str, cut: State) {
        smol::block_on(async {
            let replica = ScriptedReplica::start_with("r", script).await;
            let link = Link::start(&replica);
            let links = [link];
            let gateway = Gateway::start(&store(&[&replica]).seen_over(&links)).await;
            assert_eq!(status(&gateway.fetch(&post(path, "before")).await), 200);
            links[0].set(cut);
            let fetch = |id: &str| smol::block_on(gateway.fetch(&post(path, id)));
            wait_until("a refusal that names the links", || {
                fetch("during").contains("1312")
            })
            .await;
            let response = fetch("refused");
            assert_eq!(status(&response), 503, "{response}");
            assert!(header(&response, "retry-after").is_some(), "{response}");
            links[0].set(State::Up);
            wait_until("the link to be back", || status(&fetch("after")) == 200).await;
            let mut requests = replica.requests().into_iter();
            assert!(!requests.any(|head| head.contains("attempt: refused\r\n")));
        });
    }
    silent_link_once("/once/a", State::Silent);
    silent_link_idempotent("/idempotent/a", State::Silent);
    reset_link_once("/once/a", State::Reset);
    refused_connection_idempotent("/idempotent/close", State::Refusing);
}

cases! {
    /// The replica must stop soon after the client has left, also behind a relay.
    fn client_that_leaves_ends_the_relayed_request(path: &str) {
        smol::block_on(async {
            let fleet = Fleet::start_cut_off(1).await;
            fleet.cut_off.fetch_until(&post(path, "id"), "data: a").await;
            let is_ended = || fleet.replicas.iter().any(|replica| replica.disconnects() == 1);
            wait_until("the replica to see the disconnect", is_ended).await;
        });
    }
    client_leaves_stream("/stream/stalled");
    client_leaves_resumable_stream("/resumable/stalled");
}

/// A relay that is killed breaks the streams that it carried; each goes on after its last
/// event through another one.
#[test]
fn streams_go_on_when_their_relay_is_lost() {
    smol::block_on(async {
        let mut fleet = Fleet::start_cut_off(2).await;
        let lost = fleet.linked.pop();
        let mut streams = Vec::new();
        for n in 0..STREAMS {
            let request = post("/resumable/slow", &format!("id{n}"));
            streams.push(fleet.cut_off.send(&request).await);
        }
        let started = || {
            let heads = fleet.replicas.iter().flat_map(ScriptedReplica::requests);
            heads.filter(|head| head.contains("/slow ")).count()
        };
        wait_until("all streams to start", || started() == STREAMS).await;
        drop(lost);
        for mut stream in streams {
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await.expect("an answer");
            let (head, body) = answer.split_once("\r\n\r\n").expect("a response");
            assert!(head.contains(" 200 "), "{answer}");
            let events: Vec<&str> = body.lines().filter(|l| l.starts_with("data: ")).collect();
            assert_eq!(events, ["data: a", "data: b"], "{answer}");
        }
    });
}

/// A request that breaks with the links is no evidence of a crash: the replica runs on, as
/// a peer finds.
#[test]
fn reset_links_end_no_process() {
    smol::block_on(async {
        let fleet = Fleet::start(1).await;
        let pending = fleet.cut_off.send(&post("/once/hangs", "id")).await;
        let hangs = || {
            let mut heads = fleet.replicas.iter().flat_map(ScriptedReplica::requests);
            heads.any(|head| head.contains("/hangs "))
        };
        wait_until("a replica to have the request", hangs).await;
        fleet.set_links(State::Reset);
        wait_until("the daemon to use a relay", || {
            let is_served = smol::block_on(fleet.serves("/idempotent/a", "during"));
            is_served && fleet.cut_off.daemon.is_cut_off()
        })
        .await;
        drop(pending);
        assert_eq!(fleet.cut_off.daemon.ended_replicas(), 0);
    });
}

#[test]
fn items_run_once_over_a_relay() {
    smol::block_on(async {
        let fleet = Fleet::start_cut_off(1).await;
        assert_eq!(status(&fleet.cut_off.fetch(&submit("job")).await), 202);
        let lines = results(&fleet.cut_off, "job", 2).await;
        assert!(lines.iter().all(|line| line.ends_with("a,b")), "{lines:?}");
        let heads = fleet.replicas.iter().flat_map(ScriptedReplica::requests);
        let items = heads.filter(|head| head.starts_with("POST /items/"));
        assert_eq!(items.count(), 2);
    });
}

/// A replica that is silent for all takes no relay away from the others: the relay has
/// answers from elsewhere, so it says that the replica is unreachable.
#[test]
fn silent_replica_behind_a_relay_costs_no_other_request() {
    smol::block_on(async {
        let fleet = Fleet::start_cut_off(1).await;
        let (silent, sound) = (&fleet.replicas[0], &fleet.replicas[1]);
        // Nobody accepts connections at its address any more.
        let dead = Link::start(silent);
        dead.set(State::Silent);
        fleet.store.publish_replica(&Replica {
            address: dead.address,
            born_ms: 2,
            ..silent.record()
        });
        let busy = async {
            for n in 0.. {
                let request = post("/idempotent/close", &format!("busy{n}"));
                fleet.linked[0].fetch(&request).await;
                smol::Timer::after(Duration::from_millis(20)).await;
            }
        };
        let served = async {
            smol::Timer::after(Duration::from_secs(1)).await;
            for n in 0..REQUESTS {
                let id = format!("id{n}");
                assert!(fleet.serves("/idempotent/close", &id).await, "request {n}");
            }
        };
        future::or(busy, served).await;
        assert!(!sound.requests().is_empty());
    });
}

/// Guards against an endless answer that holds the thread of the relay, or of the daemon
/// behind it.
#[test]
fn relayed_interim_heads_without_end_hold_no_daemon() {
    smol::block_on(async {
        let fleet = Fleet::start_cut_off(1).await;
        let _endless = fleet.cut_off.send(&post("/once/endless", "e")).await;
        let endless_bytes = || fleet.replicas.iter().map(ScriptedReplica::endless_bytes);
        wait_until("the endless heads", || endless_bytes().sum::<usize>() > 0).await;
        for n in 0..REQUESTS {
            for gateway in [&fleet.cut_off, &fleet.linked[0]] {
                let started = Instant::now();
                let response = gateway.fetch(&post("/idempotent/a", "id")).await;
                assert_eq!(status(&response), 200, "request {n}: {response}");
                let took = started.elapsed();
                assert!(took < Duration::from_secs(1), "request {n}: {took:?}");
            }
        }
        let disconnects = || fleet.replicas.iter().map(ScriptedReplica::disconnects);
        wait_until("the end of the connection", || {
            disconnects().sum::<usize>() > 0
        })
        .await;
    });
}
