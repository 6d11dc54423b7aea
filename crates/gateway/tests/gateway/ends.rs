//! Answers that end before they are whole, and second copies of answers.

use std::time::Duration;

use bitterncart_testing::cases;
use futures_lite::AsyncReadExt;
use smol::net::TcpStream;

use crate::batch::{results, submit};
use crate::harness::{Gateway, looks_complete, post, request, sized, status, store, wait_until};
use crate::link::{Link, State};
use crate::relay::ScriptedRelay;
use crate::replica::{Action, ScriptedReplica, header};
use crate::store::MemoryStore;

/// Head of a stream that ends with its connection.
const UNFRAMED: Action = Action::Respond(200, "signature: s\r\nconnection: close\r\n", "");
const CHUNKED: Action = Action::Respond(200, "signature: s\r\ntransfer-encoding: chunked\r\n", "");
const FIRST: &str = "id: 1\ndata: a\n\n";
const SECOND: &str = "id: 2\ndata: b\n\n";

/// Time in which what was sent arrives.
const PAUSE: Action = Action::Wait(Duration::from_millis(50));

fn first() -> Action {
    Action::Send(FIRST.to_owned())
}

fn second() -> Action {
    Action::Send(SECOND.to_owned())
}

fn events(response: &str) -> Vec<&str> {
    let lines = response.lines();
    lines.filter_map(|l| l.strip_prefix("data: ")).collect()
}

cases! {
    /// Guards against streams and items that count as complete although the process of
    /// their replica ended, which closes connections in the ordinary way.
    fn stream_goes_on_when_its_process_ends(begun: &'static [fn() -> Action]) {
        smol::block_on(async {
            let replicas = start_scripted(begun).await;
            let gateway = Gateway::start(&store(&replicas.iter().collect::<Vec<_>>())).await;
            let response = gateway.fetch(&post("/resumable/a", "id")).await;
            assert!(looks_complete(&response), "{response}");
            assert_eq!(events(&response), ["a", "b"], "{response}");
        });
    }
    process_ends_behind_an_event(&[|| UNFRAMED, first, || PAUSE, || Action::End]);
    process_ends_behind_an_event_at_once(&[|| UNFRAMED, first, || Action::End]);
    process_ends_behind_a_chunk(&[
        || CHUNKED,
        || Action::Send(format!("{:x}\r\n{FIRST}\r\n", FIRST.len())),
        || PAUSE,
        || Action::End
    ]);
}

/// Guards against an end that another process confirms, which has taken the address of the
/// one that ended while the daemon was suspended.
#[test]
fn stream_goes_on_when_its_process_is_replaced() {
    smol::block_on(async {
        let begun: &'static [fn() -> Action] = &[|| UNFRAMED, first, || PAUSE, || Action::End];
        let replicas = start_scripted(begun).await;
        let gateway = Gateway::start(&store(&replicas.iter().collect::<Vec<_>>())).await;
        let mut stream = gateway.send(&post("/resumable/a", "id")).await;
        let begun = read_first(&mut stream).await;
        gateway.freeze(Duration::from_millis(400));
        let has_ended = || replicas.iter().any(|replica| !replica.is_running());
        wait_until("the process to end", has_ended).await;
        let ended = replicas.iter().find(|replica| !replica.is_running());
        let resumed = |_: &str| vec![UNFRAMED, second(), Action::Finish];
        let replaced = ended.expect("a process").restart(resumed).await;
        let response = begun + &read(stream).await;
        assert!(looks_complete(&response), "{response}");
        assert_eq!(events(&response), ["a", "b"], "{response}");
        drop(replaced);
    });
}

cases! {
    /// Guards against an answer that is cut off and counts as whole, as its framing is
    /// taken for another one than it has.
    fn answer_with_another_coding_ends_with_its_connection(head: &'static str) {
        smol::block_on(async {
            let head = Action::Respond(200, head, "");
            let script = vec![head, Action::Send("o".into()), PAUSE, Action::End];
            let replica = ScriptedReplica::start("r", vec![script]).await;
            let gateway = Gateway::start(&store(&[&replica])).await;
            let response = gateway.fetch(&post("/once/a", "id")).await;
            assert_eq!(status(&response), 502, "{response}");
        });
    }
    answer_with_no_coding("signature: s\r\ntransfer-encoding: identity\r\n");
}

cases! {
    /// Guards against an item that is given up for failures that are none of its own: an
    /// answer without its id, and one that tells of no run.
    fn only_failures_of_its_own_runs_end_an_item(answer: Action) {
        smol::block_on(async {
            let mut replicas = Vec::new();
            for id in ["r1", "r2", "r3", "r4"] {
                replicas.push(ScriptedReplica::start(id, vec![vec![answer.clone()]]).await);
            }
            let gateway = Gateway::start(&store(&replicas.iter().collect::<Vec<_>>())).await;
            let submission = request("POST", "/items/", "job", "one\n");
            assert_eq!(status(&gateway.fetch(&submission).await), 202);
            let runs = || replicas.iter().map(|r| r.requests().len()).sum::<usize>();
            // More than the route allows to fail.
            wait_until("four runs of the item", || runs() > 3).await;
            let lines = results(&gateway, "job", 0).await;
            assert!(lines.is_empty(), "{lines:?}");
        });
    }
    failure_without_an_id(Action::Send("HTTP/1.1 500 X\r\ncontent-length: 0\r\n\r\n".into()));
    unavailable_replica(Action::Respond(503, "signature: s\r\ncontent-length: 0\r\n", ""));
}

/// See [`stream_goes_on_when_its_process_ends`].
#[test]
fn item_goes_on_when_its_process_ends() {
    smol::block_on(async {
        let replicas = start_scripted(&[|| UNFRAMED, first, || PAUSE, || Action::End]).await;
        let gateway = Gateway::start(&store(&replicas.iter().collect::<Vec<_>>())).await;
        let submission = request("POST", "/items/", "job", "one\n");
        assert_eq!(status(&gateway.fetch(&submission).await), 202);
        let lines = results(&gateway, "job", 1).await;
        assert!(lines.iter().all(|line| line.ends_with(" a,b")), "{lines:?}");
    });
}

cases! {
    /// Guards against half of an answer that is given as the whole, as the process of its
    /// replica ended in the midst of it.
    fn call_is_whole_when_its_process_ends(path: &str, expected_status: u16) {
        smol::block_on(async {
            let half = || Action::Send("o".to_owned());
            let whole = Action::Respond(200, "signature: s\r\ncontent-length: 2\r\n", "ok");
            let ending = vec![UNFRAMED, half(), PAUSE, Action::End];
            let ends = ScriptedReplica::start("r1", vec![ending]).await;
            let store = store(&[&ends]);
            let gateway = Gateway::start(&store).await;
            let response = gateway.send(&post(path, "id")).await;
            wait_until("the replica to run the call", || ends.requests().len() == 1).await;
            let other = ScriptedReplica::start("r2", vec![vec![whole]]).await;
            store.publish_replica(&other.record());
            let response = read(response).await;
            assert_eq!(status(&response), expected_status, "{response}");
            assert!(expected_status != 200 || response.ends_with("\r\n\r\nok"), "{response}");
        });
    }
    process_ends_within_a_repeatable_call("/idempotent/a", 200);
    process_ends_within_a_call("/once/a", 502);
}

/// Reads an answer to the end of its connection.
async fn read(mut stream: TcpStream) -> String {
    let mut response = Vec::new();
    // A reset also ends it.
    let _end = stream.read_to_end(&mut response).await;
    String::from_utf8_lossy(&response).into_owned()
}

cases! {
    /// Guards against a stream that counts as complete because a replica that was asked to
    /// resume it closed the connection behind the head of its answer.
    fn stream_resumed_without_an_event_is_not_complete(is_taken_up: bool) {
        smol::block_on(async {
            let script = move |head: &str| match header(head, "last-event") {
                Some(_) => vec![UNFRAMED, Action::Close],
                None if is_taken_up => vec![UNFRAMED, first(), Action::AwaitDisconnect],
                None => vec![UNFRAMED, first(), Action::Send("id".into()), PAUSE, Action::Close],
            };
            let mut replicas = Vec::new();
            for id in ["r1", "r2"] {
                replicas.push(ScriptedReplica::start_with(id, script).await);
            }
            let gateway = Gateway::start(&store(&replicas.iter().collect::<Vec<_>>())).await;
            let mut request = post("/resumable/a", "id");
            if is_taken_up {
                gateway.fetch_until(&post("/resumable/a", "first"), "data: a").await;
                let taken_up = "\r\nresumes: first\r\nlast-event: 1\r\n";
                request = request.replacen("\r\n", taken_up, 1);
            }
            let response = gateway.fetch(&request).await;
            assert!(!looks_complete(&response), "{response}");
            let heads = replicas.iter().flat_map(ScriptedReplica::requests);
            assert!(heads.filter(|head| head.contains("last-event: 1\r\n")).count() > 0);
        });
    }
    stream_that_is_resumed_without_an_event(false);
    stream_that_is_taken_up_without_an_event(true);
}

/// Daemon that reaches its replicas through two scripted relays only.
pub(crate) struct Relayed {
    pub gateway: Gateway,
    relays: [ScriptedRelay; 2],
    store: MemoryStore,
    _links: Vec<Link>,
}

impl Relayed {
    pub(crate) async fn start(replicas: &[ScriptedReplica]) -> Self {
        let links: Vec<Link> = replicas.iter().map(Link::start).collect();
        let store = store(&replicas.iter().collect::<Vec<_>>());
        let gateway = Gateway::start(&store.seen_over(&links)).await;
        let relays = [
            ScriptedRelay::start(&store, replicas).await,
            ScriptedRelay::start(&store, replicas).await,
        ];
        wait_until("heartbeats", || gateway.daemon.live_peers() == 2).await;
        links.iter().for_each(|link| link.set(State::Silent));
        let is_served = || {
            let response = smol::block_on(gateway.fetch(&post("/idempotent/a", "before")));
            status(&response) == 200
        };
        wait_until("a request to be served during the cut", is_served).await;
        Self {
            gateway,
            relays,
            store,
            _links: links,
        }
    }
}

/// Replicas that begin a stream as `begun`, go on with its second event, and serve calls.
async fn start_scripted(begun: &'static [fn() -> Action]) -> Vec<ScriptedReplica> {
    let script = move |head: &str| match header(head, "last-event") {
        _ if head.starts_with("POST /idempotent/") => {
            let framed = "signature: s\r\nconnection: close\r\ncontent-length: 2\r\n";
            vec![Action::Respond(200, framed, "ok"), Action::Close]
        }
        None => begun.iter().map(|action| action()).collect(),
        Some(_) => {
            let last = format!("{:x}\r\n{SECOND}\r\n0\r\n\r\n", SECOND.len());
            vec![CHUNKED, Action::Send(last)]
        }
    };
    let mut replicas = Vec::new();
    for id in ["r1", "r2"] {
        replicas.push(ScriptedReplica::start_with(id, script).await);
    }
    replicas
}

cases! {
    /// Guards against a part of a stream that counts as the whole, as a relay closed the
    /// connection in order although the replica had reset it.
    fn stream_goes_on_when_a_relay_hides_a_reset(path: &str) {
        smol::block_on(async {
            let begun: &[fn() -> Action] = &[|| UNFRAMED, first, || PAUSE, || Action::Reset];
            let replicas = start_scripted(begun).await;
            let relayed = Relayed::start(&replicas).await;
            let response = relayed.gateway.fetch(&post(path, "id")).await;
            match path {
                "/resumable/a" => {
                    assert!(looks_complete(&response), "{response}");
                    assert_eq!(events(&response), ["a", "b"], "{response}");
                }
                _ => assert!(!looks_complete(&response), "{response}"),
            }
        });
    }
    relay_hides_a_reset_of_a_resumable_stream("/resumable/a");
    relay_hides_a_reset_of_a_stream("/stream/a");
    relay_hides_a_reset_of_a_call("/once/a");
}

cases! {
    /// See [`stream_goes_on_when_a_relay_hides_a_reset`]; a daemon that relays resets the
    /// connection to the one that asked it.
    fn daemon_passes_a_reset_on(path: &str) {
        smol::block_on(async {
            let begun: &[fn() -> Action] = &[|| UNFRAMED, first, || PAUSE, || Action::Reset];
            let replicas = start_scripted(begun).await;
            let links: Vec<Link> = replicas.iter().map(Link::start).collect();
            let store = store(&replicas.iter().collect::<Vec<_>>());
            let relay = Gateway::start(&store).await;
            let gateway = Gateway::start(&store.seen_over(&links)).await;
            wait_until("heartbeats", || gateway.daemon.live_peers() == 1).await;
            links.iter().for_each(|link| link.set(State::Silent));
            let is_served = || {
                let response = smol::block_on(gateway.fetch(&post("/idempotent/a", "before")));
                status(&response) == 200
            };
            wait_until("a request to be served during the cut", is_served).await;
            let response = gateway.fetch(&post(path, "id")).await;
            match path {
                "/resumable/a" => {
                    assert!(looks_complete(&response), "{response}");
                    assert_eq!(events(&response), ["a", "b"], "{response}");
                }
                _ => assert!(!looks_complete(&response), "{response}"),
            }
            drop(relay);
        });
    }
    stream_goes_on_when_its_replica_resets_it_behind_a_relay("/resumable/a");
    stream_that_its_replica_resets_behind_a_relay_is_broken("/stream/a");
    call_that_its_replica_resets_behind_a_relay_is_broken("/once/a");
}

/// Reads an answer until it holds the first event.
async fn read_first(stream: &mut TcpStream) -> String {
    let mut begun = String::new();
    while !begun.contains("data: a") {
        let mut bytes = [0; 256];
        let count = stream.read(&mut bytes).await.expect("a response");
        assert!(count > 0, "{begun}");
        begun += &String::from_utf8_lossy(&bytes[..count]);
    }
    begun
}

/// A stream that stalls behind its first event.
const STALLED: &[fn() -> Action] = &[|| UNFRAMED, first, || Action::AwaitDisconnect];

/// Guards against streams that count as complete because the relay of their connection
/// was killed.
#[test]
fn stream_goes_on_when_its_relay_is_killed() {
    smol::block_on(async {
        let replicas = start_scripted(STALLED).await;
        let relayed = Relayed::start(&replicas).await;
        let mut stream = relayed.gateway.send(&post("/resumable/a", "id")).await;
        let begun = read_first(&mut stream).await;
        let other = ScriptedRelay::start(&relayed.store, &replicas).await;
        wait_until("heartbeats", || relayed.gateway.daemon.live_peers() == 3).await;
        relayed.relays.iter().for_each(ScriptedRelay::kill);
        let response = begun + &read(stream).await;
        assert!(looks_complete(&response), "{response}");
        assert_eq!(events(&response), ["a", "b"], "{response}");
        drop(other);
    });
}

/// Guards against the end of a connection that the daemon itself has given up and that
/// counts as the end of its stream.
#[test]
fn stream_goes_on_when_its_link_goes_silent() {
    smol::block_on(async {
        let replicas = start_scripted(STALLED).await;
        let links: Vec<Link> = replicas.iter().map(Link::start).collect();
        let store = store(&replicas.iter().collect::<Vec<_>>());
        let relay = Gateway::start(&store).await;
        let gateway = Gateway::start(&store.seen_over(&links)).await;
        wait_until("heartbeats", || gateway.daemon.live_peers() == 1).await;
        let mut stream = gateway.send(&post("/resumable/a", "id")).await;
        let begun = read_first(&mut stream).await;
        links.iter().for_each(|link| link.set(State::Silent));
        // A request that fails tells the daemon that its links are lost.
        gateway.fetch(&post("/idempotent/a", "other")).await;
        let response = begun + &read(stream).await;
        assert!(looks_complete(&response), "{response}");
        assert_eq!(events(&response), ["a", "b"], "{response}");
        drop(relay);
    });
}

/// Guards against an item that is given up because the second copy of one failure counts
/// as the failure of its next run.
#[test]
fn second_copy_of_a_failure_is_no_failure_of_the_next_run() {
    smol::block_on(async {
        const FAILURE: &str = "HTTP/1.1 500 X\r\nattempt: one\r\nsignature: s\r\n\
                               content-length: 0\r\n\r\n";
        let script = |head: &str| match header(head, "attempt").as_deref() {
            Some("one") => vec![
                Action::Send(FAILURE.to_owned()),
                // Longer than the delay before the item is run again.
                Action::Wait(Duration::from_millis(330)),
                Action::Send(FAILURE.to_owned()),
            ],
            _ => vec![UNFRAMED, first(), Action::Finish],
        };
        let replica = ScriptedReplica::start_with("r", script).await;
        let gateway = Gateway::start(&store(&[&replica])).await;
        assert_eq!(status(&gateway.fetch(&submit("job")).await), 202);
        let lines = results(&gateway, "job", 2).await;
        let given_up = lines.iter().filter(|line| line.ends_with("one given up"));
        assert_eq!(given_up.count(), 1, "{lines:?}");
        let heads = replica.requests();
        let runs = heads
            .iter()
            .filter(|head| head.contains("attempt: one\r\n"));
        assert_eq!(runs.count(), 3, "as many as the route allows");
    });
}

cases! {
    /// Guards against a request that counts as not run because the second copy of the
    /// refusal of an earlier call without an id was taken for its answer.
    fn second_copy_of_a_refusal_says_nothing_of_the_next_request(refusal: &'static str) {
        smol::block_on(async {
            let script = move |head: &str| {
                if head.starts_with("POST /reserve ") {
                    return vec![
                        Action::Respond(200, "content-length: 2\r\n", "p7"),
                        Action::Wait(Duration::from_millis(30)),
                        Action::Send(refusal.to_owned()),
                    ];
                }
                vec![Action::AwaitDisconnect]
            };
            let replica = ScriptedReplica::start_with("r", script).await;
            let gateway = Gateway::start(&store(&[&replica])).await;
            let response = gateway.fetch(&sized("/once/a", "id")).await;
            assert_eq!(status(&response), 502, "{response}");
        });
    }
    second_copy_of_a_full_replica(
        "HTTP/1.1 503 X\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n"
    );
    second_copy_of_another_process("HTTP/1.1 421 X\r\ncontent-length: 0\r\n\r\n");
}

/// Guards against wrong bytes that count as events: a stream that ends as complete without
/// some of its own, and relays them.
#[test]
fn bytes_without_an_event_id_are_no_event() {
    smol::block_on(async {
        let begun: &[fn() -> Action] = &[
            || UNFRAMED,
            first,
            || Action::Send("x\n\ny\n\n".to_owned()),
            || PAUSE,
            || Action::Reset,
        ];
        let replicas = start_scripted(begun).await;
        let gateway = Gateway::start(&store(&replicas.iter().collect::<Vec<_>>())).await;
        let response = gateway.fetch(&post("/resumable/a", "id")).await;
        assert!(looks_complete(&response), "{response}");
        assert!(!response.contains("\nx\n"), "{response}");
        assert_eq!(events(&response), ["a", "b"], "{response}");
    });
}

/// See [`bytes_without_an_event_id_are_no_event`].
#[test]
fn bytes_without_an_event_id_are_no_output_of_an_item() {
    smol::block_on(async {
        let script = |head: &str| match header(head, "last-event") {
            None => vec![
                UNFRAMED,
                first(),
                Action::Send("x\n\n".into()),
                PAUSE,
                Action::Reset,
            ],
            Some(_) => vec![UNFRAMED, second(), Action::Finish],
        };
        let replica = ScriptedReplica::start_with("r", script).await;
        let gateway = Gateway::start(&store(&[&replica])).await;
        assert_eq!(status(&gateway.fetch(&submit("job")).await), 202);
        let lines = results(&gateway, "job", 2).await;
        assert!(lines.iter().all(|line| line.ends_with(" a,b")), "{lines:?}");
    });
}
