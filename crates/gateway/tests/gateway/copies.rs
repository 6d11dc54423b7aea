//! Refusals that a replica writes once more on a connection that is kept.

use std::time::Duration;

use bitterncart_testing::cases;

use crate::batch::results;
use crate::ends::Relayed;
use crate::harness::{Gateway, request, sized, status, store};
use crate::replica::{Action, OK_RESPONSE, RESERVED, ScriptedReplica};

const COMPLETE: Action = Action::Respond(
    200,
    "signature: s\r\ncontent-length: 15\r\n",
    "id: 1\ndata: a\n\n",
);

/// Answers to reservation calls, which have no id to echo.
const FULL: &str = "HTTP/1.1 503 X\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
const GRANT: &str = "HTTP/1.1 200 X\r\ncontent-length: 2\r\n\r\np7";

/// Refusal of the request with an id.
const REFUSED_FIRST: &str =
    "HTTP/1.1 503 X\r\nattempt: first\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";

/// Time in which what was sent arrives.
const PAUSE: Action = Action::Wait(Duration::from_millis(30));

fn half(copy: &str) -> [Action; 2] {
    let (first, second) = copy.split_at(copy.len() / 2);
    [Action::send(first), Action::send(second)]
}

/// Number of requests that reached the replica as work.
fn runs(replica: &ScriptedReplica) -> usize {
    let heads = replica.requests();
    let work = heads
        .iter()
        .filter(|head| !head.starts_with("POST /reserve "));
    work.count()
}

/// Answers of a replica to reservation calls and to requests.
#[derive(Clone)]
struct Script {
    reservation: Vec<Action>,
    work: Vec<Action>,
}

impl Script {
    async fn start(self) -> ScriptedReplica {
        ScriptedReplica::start_with("r", move |head| match head {
            _ if head.starts_with("POST /reserve ") => self.reservation.clone(),
            _ => self.work.clone(),
        })
        .await
    }
}

/// The copy comes once the next request was sent; its replica is still at work.
fn copy_at_work(reservation: &str, copies: &[&str]) -> Script {
    let copies = copies.iter().map(|copy| Action::send(copy));
    Script {
        reservation: vec![Action::send(reservation)],
        work: copies.chain([Action::AwaitDisconnect]).collect(),
    }
}

/// The copy comes in two reads, the second one once the next request was sent.
fn split_copy_at_work() -> Script {
    let [first, second] = half(FULL);
    Script {
        reservation: vec![Action::send(FULL), first],
        work: vec![second, Action::AwaitDisconnect],
    }
}

/// The copy comes while the connection is idle.
fn copy_when_idle() -> Script {
    Script {
        reservation: vec![Action::send(FULL), PAUSE, Action::send(FULL)],
        work: vec![Action::AwaitDisconnect],
    }
}

cases! {
    /// Guards against "not run" for a request at whose replica it runs, as the second copy
    /// of an earlier refusal was taken for its answer.
    fn copy_of_a_refusal_is_no_answer(script: Script) {
        smol::block_on(async {
            let replica = script.start().await;
            let gateway = Gateway::start(&store(&[&replica])).await;
            let response = gateway.fetch(&sized("/once/a", "id")).await;
            assert!(matches!(status(&response), 502 | 504), "{response}");
            assert_eq!(runs(&replica), 1);
        });
    }
    copy_behind_a_refused_reservation(copy_at_work(FULL, &[FULL]));
    two_copies_behind_a_refused_reservation(copy_at_work(FULL, &[FULL, FULL]));
    copy_behind_a_granted_reservation(copy_at_work(GRANT, &[FULL]));
    copy_of_a_grant(copy_at_work(GRANT, &[GRANT]));
    copy_of_the_refusal_of_another_request(copy_at_work(GRANT, &[REFUSED_FIRST]));
    copy_in_two_reads(split_copy_at_work());
    copy_on_an_idle_connection(copy_when_idle());
}

/// Guards against the answer of another: each reservation call gets the answer to the
/// call before it, so that a grant was given to another request.
#[test]
fn copy_of_a_grant_reaches_the_next_reservation() {
    smol::block_on(async {
        let script = Script {
            reservation: vec![Action::send(GRANT), Action::send(GRANT)],
            work: vec![OK_RESPONSE],
        };
        let replica = script.start().await;
        let gateway = Gateway::start(&store(&[&replica])).await;
        for n in 0..4 {
            let response = gateway.fetch(&sized("/once/a", &format!("id{n}"))).await;
            let is_own = response.contains(&format!("attempt: id{n}\r\n"));
            assert!(is_own || status(&response) != 200, "{response}");
            assert!(!matches!(status(&response), 503 | 429), "{response}");
        }
        assert!(runs(&replica) <= 4, "{} runs", runs(&replica));
    });
}

/// See [`copy_of_a_refusal_is_no_answer`]; the connection leads through a relay.
#[test]
fn copy_of_a_refusal_behind_a_relay() {
    smol::block_on(async {
        let script = copy_at_work(GRANT, &[FULL]);
        let replica = ScriptedReplica::start_with("r", move |head| match head {
            _ if head.starts_with("POST /idempotent/") => vec![OK_RESPONSE],
            _ if head.starts_with("POST /reserve ") => script.reservation.clone(),
            _ => script.work.clone(),
        });
        let replicas = [replica.await];
        let relayed = Relayed::start(&replicas).await;
        let response = relayed.gateway.fetch(&sized("/once/a", "id")).await;
        assert!(matches!(status(&response), 502 | 504), "{response}");
        let heads = replicas[0].requests();
        let once = heads.iter().filter(|head| head.starts_with("POST /once/"));
        assert_eq!(once.count(), 1);
    });
}

/// Guards against an item that is told as failed, or completed without its output, as the
/// replica that refused it a moment ago wrote the refusal once more.
#[test]
fn copy_of_a_refusal_is_no_answer_to_an_item() {
    smol::block_on(async {
        let scripts = vec![
            vec![Action::send(FULL)],
            vec![RESERVED],
            vec![Action::send(FULL), PAUSE, Action::Close],
            vec![RESERVED],
            vec![COMPLETE],
        ];
        let replica = ScriptedReplica::start("r", scripts).await;
        let gateway = Gateway::start(&store(&[&replica])).await;
        let job = request("POST", "/items/", "job", "sized-one\n");
        assert_eq!(status(&gateway.fetch(&job).await), 202);
        assert_eq!(results(&gateway, "job", 1).await, ["0 sized-one a"]);
        assert_eq!(runs(&replica), 2);
    });
}
