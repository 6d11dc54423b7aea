//! Answers with neither a length nor chunks that a living replica ends too early.

use std::time::Duration;

use bitterncart_coordination::fleet::{Replica, Stage};
use bitterncart_gateway::store::Topic;
use bitterncart_testing::cases;

use crate::batch::results;
use crate::harness::{Gateway, manifest, post, request, status, store, wait_until};
use crate::replica::{Action, ScriptedReplica, header};
use crate::store::MemoryStore;

/// Head of an answer that ends with its connection.
const UNFRAMED: Action = Action::Respond(200, "signature: s\r\nconnection: close\r\n", "");
const CHUNKED: Action = Action::Respond(200, "signature: s\r\ntransfer-encoding: chunked\r\n", "");
const LAST_CHUNK: &str = "0\r\n\r\n";
const FIRST: &str = "id: 1\ndata: a\n\n";
const SECOND: &str = "id: 2\ndata: b\n\n";

/// Time in which what was sent arrives.
const PAUSE: Action = Action::Wait(Duration::from_millis(50));

fn chunk(event: &str) -> Action {
    Action::Send(format!("{:x}\r\n{event}\r\n", event.len()))
}

/// Events of a complete stream; `None` if it does not end as complete.
fn complete_events(response: &str) -> Option<Vec<&str>> {
    let is_complete = status(response) == 200 && response.ends_with(LAST_CHUNK);
    let lines = response.lines();
    is_complete.then(|| lines.filter_map(|l| l.strip_prefix("data: ")).collect())
}

/// Chooses the script of a replica by the last event that a request names.
type Script = fn(Option<&str>) -> Vec<Action>;

/// Two replicas that serve streams and items with a script, and their requests.
struct Replicas(Vec<ScriptedReplica>);

impl Replicas {
    async fn start(script: Script) -> Self {
        let mut replicas = Vec::new();
        for id in ["r1", "r2"] {
            let script = move |head: &str| script(header(head, "last-event").as_deref());
            replicas.push(ScriptedReplica::start_with(id, script).await);
        }
        Self(replicas)
    }

    async fn gateway(&self) -> Gateway {
        Gateway::start(&store(&self.0.iter().collect::<Vec<_>>())).await
    }

    /// Number of requests at each replica that got one.
    fn requests(&self) -> Vec<usize> {
        let counts = self.0.iter().map(|replica| replica.requests().len());
        counts.filter(|count| *count > 0).collect()
    }
}

/// Ends behind the first event although there is another one.
fn ends_early(last: Option<&str>) -> Vec<Action> {
    match last {
        None => vec![UNFRAMED, Action::send(FIRST), PAUSE, Action::Close],
        Some("1") => vec![CHUNKED, chunk(SECOND), Action::send(LAST_CHUNK)],
        Some(_) => vec![CHUNKED, Action::send(LAST_CHUNK)],
    }
}

/// Ends each answer behind an event, and the last one without one.
fn ends_behind_each_event(last: Option<&str>) -> Vec<Action> {
    match last {
        None => vec![UNFRAMED, Action::send(FIRST), PAUSE, Action::Close],
        Some("1") => vec![UNFRAMED, Action::send(SECOND), PAUSE, Action::Close],
        Some(_) => vec![UNFRAMED, Action::Close],
    }
}

/// States no end, and is whole with its second event.
fn states_no_end(last: Option<&str>) -> Vec<Action> {
    match last {
        None => vec![
            UNFRAMED,
            Action::send(FIRST),
            Action::send(SECOND),
            Action::Close,
        ],
        Some(_) => vec![UNFRAMED, Action::Close],
    }
}

/// Is whole with its second event, and says so when it is asked.
fn states_its_end_when_asked(last: Option<&str>) -> Vec<Action> {
    match last {
        None => vec![
            UNFRAMED,
            Action::send(FIRST),
            Action::send(SECOND),
            Action::Close,
        ],
        Some(_) => vec![CHUNKED, Action::send(LAST_CHUNK)],
    }
}

cases! {
    /// Guards against a stream that ends as complete before its last event, as a replica
    /// that lives on ended its answer too early. One replica runs all of it.
    fn stream_ends_behind_its_last_event(script: Script, requests: usize) {
        smol::block_on(async {
            let replicas = Replicas::start(script).await;
            let gateway = replicas.gateway().await;
            let response = gateway.fetch(&post("/resumable/a", "id")).await;
            assert_eq!(complete_events(&response), Some(vec!["a", "b"]), "{response}");
            assert_eq!(replicas.requests(), [requests]);
        });
    }
    stream_that_ends_too_early(ends_early, 2);
    stream_that_ends_too_early_behind_each_event(ends_behind_each_event, 4);
    stream_that_states_no_end(states_no_end, 3);
    stream_that_states_its_end_when_asked(states_its_end_when_asked, 2);
}

cases! {
    /// Guards against an item that is completed with a part of its output, as a replica
    /// that lives on ended its answer too early, and against one that never ends.
    fn item_ends_behind_its_last_event(script: Script) {
        smol::block_on(async {
            let replicas = Replicas::start(script).await;
            let gateway = replicas.gateway().await;
            let job = request("POST", "/items/", "job", "one\n");
            assert_eq!(status(&gateway.fetch(&job).await), 202);
            assert_eq!(results(&gateway, "job", 1).await, ["0 one a,b"]);
        });
    }
    item_that_ends_too_early(ends_early);
    item_that_ends_too_early_behind_each_event(ends_behind_each_event);
    item_that_states_no_end(states_no_end);
    item_that_states_its_end_when_asked(states_its_end_when_asked);
}

/// Guards against a stream that ends as complete because the replica that was asked for
/// more answered with an error.
#[test]
fn stream_is_not_confirmed_by_an_error() {
    smol::block_on(async {
        let script = |last: Option<&str>| match last {
            None => vec![UNFRAMED, Action::send(FIRST), PAUSE, Action::Close],
            Some(_) => vec![Action::Respond(
                500,
                "signature: s\r\ncontent-length: 5\r\n",
                "error",
            )],
        };
        let replicas = Replicas::start(script).await;
        let gateway = replicas.gateway().await;
        let response = gateway.fetch(&post("/resumable/a", "id")).await;
        assert_eq!(complete_events(&response), None, "{response}");
        assert!(!response.contains("error"), "{response}");
        let received: usize = replicas.requests().iter().sum();
        assert_eq!(
            received, 3,
            "one stream, asked for more once at each replica"
        );
    });
}

cases! {
    /// Guards against a call that is answered as a success of no bytes, as its replica ended
    /// the answer behind its head.
    fn empty_answer_that_states_no_end(path: &str, expected: u16) {
        smol::block_on(async {
            // Long enough for the other replica to be listed.
            let empty = vec![vec![
                UNFRAMED,
                Action::Wait(Duration::from_millis(300)),
                Action::Close,
            ]];
            let ends = ScriptedReplica::start("r1", empty).await;
            let store = store(&[&ends]);
            let gateway = Gateway::start(&store).await;
            let request = post(path, "id");
            let fetch = gateway.fetch(&request);
            let add_other = async {
                wait_until("the replica to run the call", || !ends.requests().is_empty()).await;
                let whole = Action::Respond(200, "signature: s\r\ncontent-length: 2\r\n", "ok");
                let other = ScriptedReplica::start("r2", vec![vec![whole]]).await;
                store.publish_replica(&other.record());
                other
            };
            let (response, _other) = futures_lite::future::zip(fetch, add_other).await;
            assert_eq!(status(&response), expected, "{response}");
            assert!(expected != 200 || response.ends_with("\r\n\r\nok"), "{response}");
        });
    }
    empty_answer_of_a_call("/once/a", 502);
    empty_answer_of_a_repeatable_call("/idempotent/a", 200);
}

cases! {
    /// An empty answer that states its end is whole, as is an error without a body.
    fn empty_answer_that_is_whole(answer: Action, expected: u16) {
        smol::block_on(async {
            let replica = ScriptedReplica::start("r", vec![vec![answer, Action::Close]]).await;
            let gateway = Gateway::start(&store(&[&replica])).await;
            let response = gateway.fetch(&post("/once/a", "id")).await;
            assert_eq!(status(&response), expected, "{response}");
            assert!(response.ends_with("\r\n\r\n"), "{response}");
        });
    }
    empty_answer_with_a_length(
        Action::Respond(200, "signature: s\r\ncontent-length: 0\r\n", ""),
        200
    );
    empty_answer_in_chunks(
        Action::Respond(200, "signature: s\r\ntransfer-encoding: chunked\r\n", LAST_CHUNK),
        200
    );
    error_without_a_body(Action::Respond(422, "signature: s\r\n", ""), 422);
}

/// What changes at a replica between the events of an item and the question about its end.
#[derive(Clone, Copy, Debug)]
enum Change {
    /// It reports that it is about to leave.
    Drains,
    /// It is no longer listed.
    IsDelisted,
    /// The route leads to another service.
    LosesItsRoute,
    /// It names a rate limit in the head of the answer.
    IsLimited,
}

impl Change {
    /// Service of the replica that takes its place.
    fn other_service(self) -> &'static str {
        match self {
            Self::LosesItsRoute => "other",
            _ => "s",
        }
    }

    fn publish(self, store: &MemoryStore, replica: &ScriptedReplica) {
        match self {
            Self::Drains => store.publish_replica(&Replica {
                stage: Stage::Draining,
                ..replica.record()
            }),
            Self::IsDelisted => store.put(Topic::Replicas, &replica.record().id, ""),
            Self::LosesItsRoute => {
                let mut manifest = manifest(2);
                for route in &mut manifest.routes {
                    route.backends[0].service = self.other_service().into();
                }
                store.publish_manifest(&manifest);
            }
            Self::IsLimited => {}
        }
    }
}

/// Time from the events of an item to the end of the answer, in which the daemon learns
/// what has changed.
const CHANGE_TIME: Duration = Duration::from_millis(600);

const UNFRAMED_AND_LIMITED: Action = Action::Respond(
    200,
    "signature: s\r\nlimit: 0.1\r\nconnection: close\r\n",
    "",
);

cases! {
    /// Guards against an item that is sent once more to the replica of its first request, as
    /// that was known then, though the replica may get no more requests (review, case 15).
    fn item_is_not_sent_again_to_a_replica(change: Change) {
        smol::block_on(async {
            let first = match change {
                Change::IsLimited => UNFRAMED_AND_LIMITED,
                _ => UNFRAMED,
            };
            let whole = |first: Action| {
                move |head: &str| match header(head, "last-event") {
                    None => vec![
                        first.clone(),
                        Action::send(FIRST),
                        Action::send(SECOND),
                        Action::Wait(CHANGE_TIME),
                        Action::Close,
                    ],
                    Some(_) => vec![UNFRAMED, Action::Close],
                }
            };
            let left = ScriptedReplica::start_with("r1", whole(first)).await;
            let other = ScriptedReplica::start_with("r2", whole(UNFRAMED)).await;
            let store = store(&[&left]);
            let gateway = Gateway::start(&store).await;
            let job = request("POST", "/items/", "job", "one\n");
            assert_eq!(status(&gateway.fetch(&job).await), 202);
            wait_until("the item to run", || !left.requests().is_empty()).await;
            store.publish_replica(&Replica {
                service: change.other_service().into(),
                ..other.record()
            });
            change.publish(&store, &left);
            assert_eq!(results(&gateway, "job", 1).await, ["0 one a,b"]);
            assert_eq!(left.requests().len(), 1, "{:?}", left.requests());
        });
    }
    item_sent_again_to_a_draining_replica(Change::Drains);
    item_sent_again_to_a_replica_that_is_no_longer_listed(Change::IsDelisted);
    item_sent_again_to_a_service_that_the_route_has_left(Change::LosesItsRoute);
    item_sent_again_without_a_token_of_a_limited_replica(Change::IsLimited);
}
