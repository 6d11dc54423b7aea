//! A daemon that loses its links to all replicas, beside one that keeps them.

use bitterncart_testing::cases;

use crate::harness::{Gateway, post, status, store, wait_until};
use crate::link::{Link, State};
use crate::replica::{Action, ScriptedReplica, header};
use crate::store::MemoryStore;

const OK_RESPONSE: Action = Action::Respond(200, "signature: s\r\ncontent-length: 2\r\n", "ok");
const OK_AND_CLOSE: Action = Action::Respond(
    200,
    "signature: s\r\nconnection: close\r\ncontent-length: 2\r\n",
    "ok",
);
const RESERVED: Action = Action::Respond(200, "content-length: 2\r\n", "p7");

/// Requests that are served in a row before a daemon counts as recovered.
const REQUESTS: usize = 10;

fn script(head: &str) -> Vec<Action> {
    match head {
        _ if head.starts_with("POST /reserve ") => vec![RESERVED],
        _ if head.contains("/close ") => vec![OK_AND_CLOSE, Action::Close],
        _ => vec![OK_RESPONSE],
    }
}

/// Two replicas, a daemon that reaches them over links, and one that does so directly.
struct Fleet {
    links: Vec<Link>,
    replicas: Vec<ScriptedReplica>,
    cut_off: Gateway,
    _linked: Gateway,
}

impl Fleet {
    async fn start() -> Self {
        let mut replicas = Vec::new();
        for id in ["r1", "r2"] {
            replicas.push(ScriptedReplica::start_with(id, script).await);
        }
        let links: Vec<Link> = replicas.iter().map(Link::start).collect();
        let store: MemoryStore = store(&replicas.iter().collect::<Vec<_>>());
        let linked = Gateway::start(&store).await;
        let cut_off = Gateway::start(&store.seen_over(&links)).await;
        wait_until("both daemons to know each other", || {
            linked.daemon.live_peers() == 1 && cut_off.daemon.live_peers() == 1
        })
        .await;
        Self {
            links,
            replicas,
            cut_off,
            _linked: linked,
        }
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
            let fleet = Fleet::start().await;
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
