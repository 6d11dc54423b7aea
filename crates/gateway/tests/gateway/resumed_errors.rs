//! Errors in the place of the rest of a stream.

use std::time::Duration;

use bitterncart_testing::cases;

use crate::batch::results;
use crate::harness::{Gateway, post, request, status, store};
use crate::replica::{Action, ScriptedReplica, header};

const BEGUN: Action = Action::Respond(
    200,
    "signature: s\r\ntransfer-encoding: chunked\r\n",
    "f\r\nid: 1\ndata: a\n\n\r\n",
);

/// Answer in place of the rest, in each framing.
const LENGTH_500: Action = Action::Respond(500, "signature: s\r\ncontent-length: 5\r\n", "error");
const CHUNKS_500: Action = Action::Respond(
    500,
    "signature: s\r\ntransfer-encoding: chunked\r\n",
    "5\r\nerror\r\n0\r\n\r\n",
);
const UNFRAMED_500: Action = Action::Respond(500, "signature: s\r\nconnection: close\r\n", "error");
const LENGTH_200: Action = Action::Respond(200, "signature: s\r\ncontent-length: 5\r\n", "error");
const CHUNKS_200: Action = Action::Respond(
    200,
    "signature: s\r\ntransfer-encoding: chunked\r\n",
    "5\r\nerror\r\n0\r\n\r\n",
);
const UNFRAMED_200: Action = Action::Respond(200, "signature: s\r\nconnection: close\r\n", "error");
const EVENT_200: Action = Action::Respond(
    200,
    "signature: s\r\ncontent-length: 13\r\n",
    "data: error\n\n",
);
const EMPTY_200: Action = Action::Respond(200, "signature: s\r\nconnection: close\r\n", "");

fn script(answer: Action) -> impl Fn(&str) -> Vec<Action> + Clone + Send + Sync + 'static {
    move |head: &str| match header(head, "last-event") {
        None => vec![
            BEGUN,
            Action::Wait(Duration::from_millis(30)),
            Action::Reset,
        ],
        Some(_) => vec![answer.clone(), Action::Close],
    }
}

async fn start(answer: Action) -> (Gateway, Vec<ScriptedReplica>) {
    let mut replicas = Vec::new();
    for id in ["r1", "r2"] {
        replicas.push(ScriptedReplica::start_with(id, script(answer.clone())).await);
    }
    let gateway = Gateway::start(&store(&replicas.iter().collect::<Vec<_>>())).await;
    (gateway, replicas)
}

cases! {
    /// Guards against the text of an error, or its head, in the midst of a stream, and
    /// against a stream that ends as complete with it.
    fn error_is_no_rest_of_a_stream(answer: Action) {
        smol::block_on(async {
            let (gateway, _replicas) = start(answer).await;
            let response = gateway.fetch(&post("/resumable/a", "id")).await;
            assert_eq!(status(&response), 200, "{response}");
            assert!(response.contains("data: a"), "{response}");
            assert!(!response.ends_with("0\r\n\r\n"), "{response}");
            assert!(!response.contains("error"), "{response}");
            assert_eq!(response.matches("HTTP/1.1").count(), 1, "{response}");
        });
    }
    error_with_a_length(LENGTH_500);
    error_in_chunks(CHUNKS_500);
    error_without_a_length(UNFRAMED_500);
    success_with_the_text_of_an_error(LENGTH_200);
    success_in_chunks_with_the_text_of_an_error(CHUNKS_200);
    success_without_a_length_with_the_text_of_an_error(UNFRAMED_200);
    success_with_an_event_of_no_id(EVENT_200);
    success_without_events(EMPTY_200);
}

cases! {
    /// See [`error_is_no_rest_of_a_stream`]; the client itself takes the stream up.
    fn error_is_no_stream_that_a_client_takes_up(answer: Action, expected: u16) {
        smol::block_on(async {
            let (gateway, _replicas) = start(answer).await;
            gateway.fetch_until(&post("/resumable/a", "first"), "data: a").await;
            let taken_up = "\r\nresumes: first\r\nlast-event: 1\r\n";
            let request = post("/resumable/a", "id").replacen("\r\n", taken_up, 1);
            let response = gateway.fetch(&request).await;
            let is_broken_stream = status(&response) == 200 && !response.ends_with("0\r\n\r\n");
            assert!(status(&response) == expected || is_broken_stream, "{response}");
            assert_eq!(response.matches("HTTP/1.1").count(), 1, "{response}");
        });
    }
    taken_up_error_with_a_length(LENGTH_500, 500);
    taken_up_error_in_chunks(CHUNKS_500, 500);
    taken_up_error_without_a_length(UNFRAMED_500, 500);
    taken_up_text_of_an_error(LENGTH_200, 502);
    taken_up_text_of_an_error_in_chunks(CHUNKS_200, 502);
    taken_up_text_of_an_error_without_a_length(UNFRAMED_200, 502);
    taken_up_event_of_no_id(EVENT_200, 502);
    taken_up_without_events(EMPTY_200, 502);
}

cases! {
    /// See [`error_is_no_rest_of_a_stream`]; what completes the item in the end is a run
    /// that brings its last event.
    fn error_is_no_rest_of_an_item(answer: Action) {
        smol::block_on(async {
            let rest = Action::Respond(
                200,
                "signature: s\r\ncontent-length: 15\r\n",
                "id: 2\ndata: b\n\n",
            );
            let scripts = vec![
                vec![BEGUN, Action::Wait(Duration::from_millis(30)), Action::Reset],
                vec![answer, Action::Close],
                vec![rest, Action::Close],
            ];
            let replica = ScriptedReplica::start("r", scripts).await;
            let gateway = Gateway::start(&store(&[&replica])).await;
            let job = request("POST", "/items/", "job", "one\n");
            assert_eq!(status(&gateway.fetch(&job).await), 202);
            assert_eq!(results(&gateway, "job", 1).await, ["0 one a,b"]);
        });
    }
    item_with_an_error_with_a_length(LENGTH_500);
    item_with_an_error_in_chunks(CHUNKS_500);
    item_with_an_error_without_a_length(UNFRAMED_500);
    item_with_the_text_of_an_error(LENGTH_200);
    item_with_the_text_of_an_error_in_chunks(CHUNKS_200);
    item_with_the_text_of_an_error_without_a_length(UNFRAMED_200);
    item_with_an_event_of_no_id(EVENT_200);
    item_without_further_events(EMPTY_200);
}
