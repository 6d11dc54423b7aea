//! Answers with neither a length nor chunks that a living replica ends too early.

use std::time::Duration;

use bitterncart_testing::cases;

use crate::harness::{Gateway, post, status, store, wait_until};
use crate::replica::{Action, ScriptedReplica};

/// Head of an answer that ends with its connection.
const UNFRAMED: Action = Action::Respond(200, "signature: s\r\nconnection: close\r\n", "");
const LAST_CHUNK: &str = "0\r\n\r\n";

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
