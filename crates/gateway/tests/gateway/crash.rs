//! Requests that share a part of their prompts end each replica that begins to
//! answer them.

use std::time::Duration;

use crate::harness::{Gateway, post, status, store, wait_until};
use crate::replica::{Action, ScriptedReplica, header};

/// Part of the prompt that ends a replica.
const BAD: &str = "7";

/// Part that all requests share.
const SHARED: &str = "1";

const OK_RESPONSE: Action = Action::Respond(200, "signature: s\r\ncontent-length: 2\r\n", "ok");
const EVENTS: &str = "signature: s\r\ncontent-type: text/event-stream\r\nconnection: close\r\n";
const COMPLETE: Action = Action::Respond(200, EVENTS, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");

/// Time between two crashes, longer than between those of one incident.
const CRASH_GAP: Duration = Duration::from_millis(350);

fn script(head: &str) -> Vec<Action> {
    let parts = header(head, "prompt").unwrap_or_default();
    match head {
        _ if parts.split(',').any(|part| part == BAD) => vec![Action::End],
        _ if head.starts_with("POST /once/") => vec![OK_RESPONSE],
        _ => vec![COMPLETE, Action::Close],
    }
}

async fn start_replicas(count: usize) -> Vec<ScriptedReplica> {
    let mut replicas = Vec::new();
    for n in 0..count {
        replicas.push(ScriptedReplica::start_with(&format!("r{n}"), script).await);
    }
    replicas
}

fn ended(replicas: &[ScriptedReplica]) -> usize {
    replicas.iter().filter(|r| !r.is_running()).count()
}

fn with_prompt(request: &str, prompt: &str) -> String {
    request.replacen("\r\n", &format!("\r\nprompt: {prompt}\r\n"), 1)
}

/// No two requests are alike, and they come at different daemons.
#[test]
fn requests_with_one_part_do_not_end_replica_after_replica() {
    smol::block_on(async {
        let replicas = start_replicas(10).await;
        let store = store(&replicas.iter().collect::<Vec<_>>());
        let gateways = [Gateway::start(&store).await, Gateway::start(&store).await];
        wait_until("both daemons", || store.registered_daemons().len() == 2).await;
        for n in 0..10 {
            let sound = with_prompt(&post("/once/a", &format!("sound{n}")), SHARED);
            for gateway in &gateways {
                let response = gateway.fetch(&sound).await;
                assert_eq!(status(&response), 200, "{response}");
            }
            let bad = with_prompt(
                &post("/stream/a", &format!("bad{n}")),
                &format!("{SHARED},{BAD}"),
            );
            gateways[n % 2].fetch(&bad).await;
            smol::Timer::after(CRASH_GAP).await;
        }
        let ended = ended(&replicas);
        assert!(ended <= 5, "{ended} replicas ended");
    });
}
