//! Batch jobs whose route ends, or seems to end, while items are open.

use std::time::Duration;

use bitterncart_coordination::fleet::withdrawal::SETTLE_TIME;
use bitterncart_coordination::fleet::{Customers, Kind, Manifest, Replica, Route};
use bitterncart_gateway::store::Topic;
use bitterncart_testing::cases;
use futures_lite::future;

use crate::batch::{self, submit};
use crate::harness::{Gateway, manifest, post, request, route, status, store, wait_until};
use crate::link::{Link, State};
use crate::replica::{Action, OK_RESPONSE, ScriptedReplica};
use crate::store::{Fault, MemoryStore};

const EVENTS: &str = "signature: s\r\ncontent-type: text/event-stream\r\nconnection: close\r\n";
const COMPLETE: Action = Action::Respond(200, EVENTS, "id: 1\ndata: a\n\n");

/// Time after which a route that is missing has ended at each daemon. A read of the manifest
/// that shows it may have begun up to a long poll of one second before, and is followed by
/// another one.
const ENDED_AFTER: Duration = SETTLE_TIME.saturating_add(Duration::from_secs(3));

const GIVEN_UP: [&str; 2] = ["0 one given up", "1 two given up"];

/// Results of a job, once there are `count`.
async fn listed(gateway: &Gateway, id: &str, count: usize) -> Vec<String> {
    let timer = async {
        smol::Timer::after(ENDED_AFTER * 2).await;
        panic!("{id} has fewer than {count} results");
    };
    future::or(batch::results(gateway, id, count), timer).await
}

fn script(head: &str) -> Vec<Action> {
    match head {
        _ if head.starts_with("POST /items/run ") => vec![COMPLETE, Action::Finish],
        _ => vec![OK_RESPONSE],
    }
}

/// Manifest with other batch routes than usual.
fn with_batch_routes(version: u64, routes: Vec<Route>) -> Manifest {
    let mut manifest = manifest(version);
    manifest.routes.retain(|route| route.kind != Kind::Batch);
    manifest.routes.extend(routes);
    manifest
}

fn at_host(host: &str) -> Route {
    Route {
        host: host.into(),
        ..route("/items/", Kind::Batch, 3)
    }
}

fn to_service(service: &str) -> Route {
    let mut route = route("/items/", Kind::Batch, 3);
    route.backends[0].service = service.into();
    route
}

fn with_give_up(give_up: Duration) -> Route {
    let mut route = route("/items/", Kind::Batch, 3);
    route.batch.give_up = give_up;
    route
}

async fn wait_for_manifest(gateway: &Gateway, version: u64) {
    let has_version = || gateway.daemon.manifest_version() == Some(version);
    wait_until("the manifest", has_version).await;
}

/// Daemon that has accepted a job of two items, for which there is no replica.
async fn with_open_job(store: &MemoryStore) -> Gateway {
    let gateway = Gateway::start(store).await;
    wait_until("the shard", || gateway.daemon.is_serving(0)).await;
    assert_eq!(status(&gateway.fetch(&submit("job")).await), 202);
    gateway
}

cases! {
    /// Guards against items of an accepted job that are never listed, as their route ended
    /// before they ran.
    fn items_of_an_ended_route_are_given_up(routes: Vec<Route>) {
        smol::block_on(async {
            let store = store(&[]);
            let gateway = with_open_job(&store).await;
            let other = Gateway::start(&store).await;
            store.publish_manifest(&with_batch_routes(2, routes));
            assert_eq!(listed(&gateway, "job", 2).await, GIVEN_UP);
            assert_eq!(listed(&other, "job", 2).await, GIVEN_UP);
        });
    }
    route_that_was_removed(vec![]);
    route_that_is_online_now(vec![route("/items/", Kind::Idempotent, 2)]);
    route_that_moved_to_another_host(vec![at_host("b.example")]);
    route_that_was_narrowed(vec![route("/items/more/", Kind::Batch, 3)]);
}

cases! {
    /// Guards against an item that is given up although its route goes on: `between` is
    /// withdrawn at once, or keeps a batch route for the path under which the job came.
    fn item_of_a_route_that_goes_on_completes(between: Vec<Manifest>) {
        smol::block_on(async {
            let replica = ScriptedReplica::start_with("r", script).await;
            let store = store(&[]);
            let gateway = with_open_job(&store).await;
            let last = between.last().expect("a manifest").version;
            for manifest in between {
                store.publish_manifest(&manifest);
                wait_for_manifest(&gateway, manifest.version).await;
                smol::Timer::after(Duration::from_millis(300)).await;
            }
            wait_for_manifest(&gateway, last).await;
            smol::Timer::after(ENDED_AFTER).await;
            assert_eq!(store.count_records("r/job"), 0);
            for service in ["s", "t"] {
                store.publish_replica(&Replica {
                    id: service.into(),
                    service: service.into(),
                    ..replica.record()
                });
            }
            let mut lines = listed(&gateway, "job", 2).await;
            lines.iter_mut().for_each(|line| line.replace_range(..2, ""));
            lines.sort_unstable();
            assert_eq!(lines, ["one a", "two a"]);
        });
    }
    route_that_is_removed_and_added_again(vec![with_batch_routes(2, vec![]), manifest(3)]);
    route_that_is_removed_again_and_again(vec![
        with_batch_routes(2, vec![]), manifest(3), with_batch_routes(4, vec![]), manifest(5),
    ]);
    route_that_is_online_for_a_moment(vec![
        with_batch_routes(2, vec![route("/items/", Kind::Stream, 2)]), manifest(3),
    ]);
    route_of_a_shorter_prefix_takes_over(vec![
        with_batch_routes(2, vec![route("/", Kind::Batch, 3)]),
    ]);
    route_that_moves_to_another_service(vec![with_batch_routes(2, vec![to_service("t")])]);
}

/// Guards against items that are given up, as the record of their route cannot be read for a
/// time.
#[test]
fn item_of_an_unreadable_route_waits() {
    smol::block_on(async {
        let replica = ScriptedReplica::start_with("r", script).await;
        let store = store(&[&replica]);
        store.publish_manifest(&with_batch_routes(2, vec![with_give_up(Duration::MAX / 4)]));
        let gateway = Gateway::start(&store.separate_view()).await;
        wait_until("the shard", || gateway.daemon.is_serving(0)).await;
        let unusable = Route::unusable("x".into(), "a.example".into(), "/items/".into());
        store.publish_manifest(&with_batch_routes(3, vec![unusable]));
        wait_for_manifest(&gateway, 3).await;
        accept_as_earlier_build(&store, "job");
        let partial = Manifest {
            is_partial: true,
            ..with_batch_routes(4, vec![])
        };
        smol::Timer::after(ENDED_AFTER).await;
        store.publish_manifest(&partial);
        smol::Timer::after(ENDED_AFTER).await;
        assert_eq!(store.count_records("r/job"), 0);
        store.publish_manifest(&manifest(5));
        assert_eq!(listed(&gateway, "job", 1).await, ["0 one a"]);
    });
}

/// Stores a job of one item as a daemon of the build before terms were stored.
fn accept_as_earlier_build(store: &MemoryStore, id: &str) {
    let item = bitterncart_state::ledger::Item {
        id: "one".into(),
        path: "/items/run".into(),
        headers: Vec::new(),
        body: b"one".as_slice().into(),
        tokens: 10,
    };
    let submitted = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let submitted_ms = submitted.expect("a time").as_millis() as u64;
    let body = (id, "a.example", "/items/", submitted_ms, vec![item]);
    let body = postcard::to_stdvec(&body).expect("a submission");
    store.put_bytes(Topic::Ledger(0), &format!("b/{id}/0"), body);
    store.put_bytes(Topic::Ledger(0), &format!("j/{id}"), vec![1]);
}

/// Guards against a job of the build before, whose items are never listed once its route
/// has ended.
#[test]
fn items_of_a_job_of_an_earlier_build_are_given_up() {
    smol::block_on(async {
        let store = store(&[]);
        let gateway = Gateway::start(&store).await;
        wait_until("the shard", || gateway.daemon.is_serving(0)).await;
        accept_as_earlier_build(&store, "job");
        store.publish_manifest(&with_batch_routes(2, vec![]));
        assert_eq!(listed(&gateway, "job", 1).await, ["0 one given up"]);
    });
}

/// Guards against open items that nobody gives up, as the daemons that knew when their route
/// ended were lost.
#[test]
fn decision_is_made_again_after_a_loss_of_all_daemons() {
    smol::block_on(async {
        let store = store(&[]);
        let lost = with_open_job(&store).await;
        store.publish_manifest(&with_batch_routes(2, vec![]));
        wait_for_manifest(&lost, 2).await;
        drop(lost);
        let gateway = Gateway::start(&store).await;
        assert_eq!(listed(&gateway, "job", 2).await, GIVEN_UP);
    });
}

/// Daemon with a job of one item whose route is removed while a replica runs the item.
async fn with_route_that_ends_during_a_run(replica: &ScriptedReplica) -> Gateway {
    let store = store(&[replica]);
    let gateway = Gateway::start(&store).await;
    wait_until("the shard", || gateway.daemon.is_serving(0)).await;
    let job = request("POST", "/items/", "job", "one\n");
    assert_eq!(status(&gateway.fetch(&job).await), 202);
    wait_until("the run", || !replica.requests().is_empty()).await;
    store.publish_manifest(&with_batch_routes(2, vec![]));
    gateway
}

/// Number of events of a run that takes longer than the route.
const EVENTS_OF_LONG_RUN: u64 = ENDED_AFTER.as_secs() + 3;

/// Script of a run with an event a second. It states its end if it is sent in chunks.
fn long_run(is_chunked: bool) -> Vec<Action> {
    let head = if is_chunked {
        "signature: s\r\ntransfer-encoding: chunked\r\n"
    } else {
        EVENTS
    };
    let framed = |text: String| match is_chunked {
        true => Action::Send(format!("{:x}\r\n{text}\r\n", text.len())),
        false => Action::Send(text),
    };
    let mut actions = vec![Action::Respond(200, head, "")];
    for id in 1..=EVENTS_OF_LONG_RUN {
        actions.push(framed(format!("id: {id}\ndata: {id}\n\n")));
        actions.push(Action::Wait(Duration::from_secs(1)));
    }
    if is_chunked {
        actions.push(Action::send("0\r\n\r\n"));
    }
    actions.push(Action::Finish);
    actions
}

cases! {
    /// Guards against a run that is cut, or whose result is lost, as the route ends
    /// meanwhile; and against an output that is listed although nothing stated its end and
    /// the replica can no longer be asked.
    fn run_that_outlives_its_route(is_chunked: bool, expected: &str) {
        smol::block_on(async {
            let replica = ScriptedReplica::start_with("r", move |head| match head {
                _ if head.starts_with("POST /items/run ") => long_run(is_chunked),
                _ => vec![OK_RESPONSE],
            })
            .await;
            let gateway = with_route_that_ends_during_a_run(&replica).await;
            let lines = listed(&gateway, "job", 1).await;
            assert_eq!(lines, [expected]);
            assert_eq!(replica.requests().len(), 1);
        });
    }
    run_that_states_its_end_completes(true, "0 one 1,2,3,4,5,6,7,8,9,10,11");
    run_that_does_not_is_given_up(false, "0 one given up");
}

/// Guards against an item that is sent to a replica once more after its route ended.
#[test]
fn item_is_not_sent_again_after_the_end_of_its_route() {
    smol::block_on(async {
        let replica = ScriptedReplica::start_with("r", |_| {
            vec![
                COMPLETE,
                Action::Wait(Duration::from_secs(1)),
                Action::Reset,
            ]
        })
        .await;
        let gateway = with_route_that_ends_during_a_run(&replica).await;
        wait_for_manifest(&gateway, 2).await;
        let sent = replica.requests().len();
        assert_eq!(listed(&gateway, "job", 1).await, ["0 one given up"]);
        assert_eq!(replica.requests().len(), sent);
    });
}

/// Guards against items that stay open beyond their give-up time while no replica can be
/// reached, as only a daemon with a path to one looked at them.
#[test]
fn item_is_given_up_in_time_without_a_path_to_a_replica() {
    smol::block_on(async {
        let replica = ScriptedReplica::start_with("r", |head| match head {
            _ if head.starts_with("POST /items/run ") => vec![Action::Reset],
            _ => vec![OK_RESPONSE],
        })
        .await;
        let link = Link::start(&replica);
        let store = store(&[&replica]);
        store.publish_manifest(&with_batch_routes(
            2,
            vec![with_give_up(Duration::from_secs(1))],
        ));
        let gateway = Gateway::start(&store.seen_over(std::slice::from_ref(&link))).await;
        wait_until("the shard", || gateway.daemon.is_serving(0)).await;
        assert_eq!(
            status(&gateway.fetch(&post("/idempotent/a", "a")).await),
            200
        );
        link.set(State::Reset);
        for n in 0..20 {
            gateway
                .fetch(&post("/idempotent/a", &format!("b{n}")))
                .await;
        }
        wait_until("the loss of the link", || gateway.daemon.is_cut_off()).await;
        assert_eq!(status(&gateway.fetch(&submit("job")).await), 202);
        assert_eq!(listed(&gateway, "job", 2).await, GIVEN_UP);
    });
}

/// Manifest of a deployment with customers, and with public batch routes.
fn with_public_routes(version: u64, prefixes: &[&str]) -> Manifest {
    let routes = prefixes.iter().map(|prefix| Route {
        is_public: true,
        ..route(prefix, Kind::Batch, 3)
    });
    Manifest {
        customers: Some(Customers::default()),
        ..with_batch_routes(version, routes.collect())
    }
}

/// Guards against calls about a public job that are refused, as the route that said so is
/// gone.
#[test]
fn public_job_needs_no_key_after_the_end_of_its_route() {
    smol::block_on(async {
        let store = store(&[]);
        store.publish_manifest(&with_public_routes(2, &["/items/", "/more/"]));
        let gateway = with_open_job(&store).await;
        store.publish_manifest(&with_public_routes(3, &["/more/"]));
        assert_eq!(listed(&gateway, "job", 2).await, GIVEN_UP);
    });
}

/// Guards against a job that is accepted and turned away when it comes again, as its route has
/// ended: its client would take it for lost. Other submissions have no route.
#[test]
fn job_that_comes_again_after_the_end_of_its_route_is_accepted() {
    smol::block_on(async {
        let store = store(&[]);
        let gateways = [with_open_job(&store).await, Gateway::start(&store).await];
        wait_until("one owner", || {
            let owners = gateways.iter().filter(|g| g.daemon.is_serving(0));
            gateways.iter().all(|g| g.daemon.live_peers() == 1) && owners.count() == 1
        })
        .await;
        store.publish_manifest(&with_batch_routes(2, vec![]));
        for gateway in &gateways {
            wait_for_manifest(gateway, 2).await;
            assert_eq!(status(&gateway.fetch(&submit("job")).await), 202);
            assert_eq!(status(&gateway.fetch(&submit("other")).await), 404);
            let elsewhere = submit("job").replace("POST /items/ ", "POST /items/more/ ");
            assert_eq!(status(&gateway.fetch(&elsewhere).await), 404);
        }
        assert_eq!(store.count_records("j/"), 1);
    });
}

/// Guards against an item that stays open, or gets two results, as the store was away at its
/// give-up time.
#[test]
fn item_whose_give_up_time_falls_into_an_outage_is_given_up_once() {
    smol::block_on(async {
        let store = store(&[]);
        let route = with_give_up(Duration::from_secs(1));
        store.publish_manifest(&with_batch_routes(2, vec![route]));
        let gateways = [with_open_job(&store).await, Gateway::start(&store).await];
        store.set_fault(Fault::Unavailable);
        smol::Timer::after(ENDED_AFTER).await;
        assert_eq!(store.count_records("r/job"), 0);
        store.set_fault(Fault::None);
        for gateway in &gateways {
            assert_eq!(listed(gateway, "job", 2).await, GIVEN_UP);
        }
        smol::Timer::after(Duration::from_secs(1)).await;
        assert_eq!(store.count_records("r/job"), 2);
    });
}
