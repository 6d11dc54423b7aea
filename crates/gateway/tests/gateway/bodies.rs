//! Bodies of requests that come at once.

use std::time::Duration;

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;

use crate::harness::{Gateway, post, status, store};
use crate::replica::{Action, ScriptedReplica};

/// Clients that send a part of a body and wait.
const CLIENTS: usize = 20;

/// Size of each body, and of the part that is sent.
const BODY_BYTES: usize = 1 << 20;
const SENT_BYTES: usize = 900 << 10;

/// Memory of the process, in megabytes.
const MEMORY_MB: usize = 64;

/// Parts that fit in an eighth of the memory.
const MAX_KEPT: usize = (MEMORY_MB << 20) / 8 / SENT_BYTES;

/// Time in which requests that are refused have their answer.
const ANSWER_TIME: Duration = Duration::from_secs(2);

async fn answer(mut stream: TcpStream) -> String {
    let mut response = Vec::new();
    let read = async {
        // A reset also ends the answer.
        let _end = stream.read_to_end(&mut response).await;
    };
    let timer = async {
        smol::Timer::after(ANSWER_TIME).await;
    };
    futures_lite::future::or(read, timer).await;
    String::from_utf8_lossy(&response).into_owned()
}

/// Guards against bodies that are bounded one by one, and together exceed the memory of
/// the process. What is refused is told as not run, and small requests are served.
#[test]
fn bodies_at_once_are_bounded_together() {
    smol::block_on(async {
        let ok = Action::Respond(200, "signature: s\r\ncontent-length: 2\r\n", "ok");
        let replica = ScriptedReplica::start("r", vec![vec![ok]]).await;
        let settings = format!(r#""memory_mb": {MEMORY_MB},"#);
        let gateway = Gateway::start_with(&store(&[&replica]), &settings).await;
        while status(&gateway.fetch(&post("/once/a", "before")).await) != 200 {
            smol::Timer::after(Duration::from_millis(20)).await;
        }
        let head = format!(
            "POST /items/ HTTP/1.1\r\nhost: a.example\r\nattempt: id\r\nconnection: close\r\n\
             content-length: {BODY_BYTES}\r\n\r\n"
        );
        let part = [head.as_bytes(), &vec![b'x'; SENT_BYTES]].concat();
        let mut clients = Vec::new();
        for _ in 0..CLIENTS {
            let mut stream = gateway.send("").await;
            // A refusal may come before all is sent.
            let _sent = stream.write_all(&part).await;
            clients.push(stream);
        }
        let response = gateway.fetch(&post("/once/a", "small")).await;
        assert_eq!(status(&response), 200, "{response}");
        let answers = clients
            .into_iter()
            .map(|stream| smol::spawn(answer(stream)));
        let answers: Vec<_> = answers.collect();
        let mut refused = 0;
        for response in answers {
            let response = response.await;
            if !response.is_empty() {
                assert_eq!(status(&response), 503, "{response}");
                assert!(response.contains("memory_limited"), "{response}");
                refused += 1;
            }
        }
        let kept = CLIENTS - refused;
        assert!(kept <= MAX_KEPT, "{kept} bodies are kept");
    });
}
