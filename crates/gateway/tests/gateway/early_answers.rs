//! Replicas that answer a long upload before they have read it, and then break.

use std::net::SocketAddr;
use std::time::Duration;

use bitterncart_coordination::fleet::{Replica, Stage};
use bitterncart_testing::cases;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use socket2::SockRef;

use crate::harness::{Gateway, looks_complete, manifest, post, request, status, wait_until};
use crate::link::{Link, State};
use crate::replica::header;
use crate::store::MemoryStore;

/// Size of a long upload, in bytes; more than sockets buffer.
const UPLOAD_BYTES: usize = 6 << 20;

/// Bytes of an upload that the replica reads.
const READ_BYTES: usize = 16 << 10;

/// Time between the answer and the end of its connection.
const PAUSE: Duration = Duration::from_millis(30);

/// How an answer states its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Nothing,
    Length,
    Chunks,
}

/// How the connection ends while the upload is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    /// It is reset.
    Reset,
    /// The replica closes its side in order, and then resets it.
    HalfCloseAndReset,
}

/// Beginning of an answer with an event, which is not its last.
fn beginning(framing: Framing, id: &str) -> String {
    let text = "id: 1\ndata: a\n\n";
    let (header, body) = match framing {
        Framing::Nothing => ("", text.to_owned()),
        Framing::Length => ("content-length: 30\r\n", text.to_owned()),
        Framing::Chunks => (
            "transfer-encoding: chunked\r\n",
            format!("{:x}\r\n{text}\r\n", text.len()),
        ),
    };
    format!("HTTP/1.1 200 OK\r\nattempt: {id}\r\nsignature: s\r\n{header}\r\n{body}")
}

/// Whether a request, which is short, has been read to its end.
fn is_whole(read: &[u8]) -> bool {
    let text = String::from_utf8_lossy(read);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = header(head, "content-length").and_then(|length| length.parse().ok());
    body.len() >= length.unwrap_or(0)
}

async fn answer_early(mut stream: TcpStream, framing: Framing, ending: Ending) -> Option<()> {
    let mut read = Vec::new();
    let mut buffer = [0; 4096];
    while read.len() < READ_BYTES {
        match stream.read(&mut buffer).await.ok()? {
            0 => return None,
            count => read.extend_from_slice(&buffer[..count]),
        }
        if is_whole(&read) {
            break;
        }
    }
    let head = String::from_utf8_lossy(&read).into_owned();
    let id = header(&head, "attempt").unwrap_or_default();
    let answer = beginning(framing, &id);
    stream.write_all(answer.as_bytes()).await.ok()?;
    smol::Timer::after(PAUSE).await;
    if ending == Ending::HalfCloseAndReset {
        stream.shutdown(std::net::Shutdown::Write).ok()?;
        smol::Timer::after(PAUSE).await;
    }
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).ok()
}

/// Starts a replica all of whose answers come early.
async fn start(framing: Framing, ending: Ending) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let accept = async move {
        while let Ok((stream, _)) = listener.accept().await {
            smol::spawn(answer_early(stream, framing, ending)).detach();
        }
    };
    smol::spawn(accept).detach();
    address
}

fn store_of(address: SocketAddr) -> MemoryStore {
    let store = MemoryStore::default();
    let mut manifest = manifest(1);
    manifest.limits.max_body = 2 * UPLOAD_BYTES;
    store.publish_manifest(&manifest);
    store.publish_replica(&Replica {
        id: "early".into(),
        service: "s".into(),
        address,
        data_centre: "here".into(),
        slots: 4,
        stage: Stage::Ready,
        born_ms: 1,
        version: Some("1".into()),
    });
    store
}

fn upload(path: &str) -> String {
    request("POST", path, "id", &"x".repeat(UPLOAD_BYTES))
}

cases! {
    /// Guards against the beginning of an answer that a client gets as the whole: the replica
    /// answered its upload at once, and reset the connection while it was still written.
    fn early_answer_is_not_whole(path: &str, framing: Framing, ending: Ending) {
        smol::block_on(async {
            let store = store_of(start(framing, ending).await);
            let gateway = Gateway::start(&store).await;
            let response = gateway.fetch(&upload(path)).await;
            assert!(!looks_complete(&response), "{response}");
        });
    }
    early_call("/idempotent/a", Framing::Nothing, Ending::Reset);
    early_call_with_a_length("/idempotent/a", Framing::Length, Ending::Reset);
    early_call_in_chunks("/idempotent/a", Framing::Chunks, Ending::Reset);
    early_call_behind_a_half_close("/idempotent/a", Framing::Nothing, Ending::HalfCloseAndReset);
    early_call_that_may_not_be_repeated("/once/a", Framing::Nothing, Ending::Reset);
    early_call_that_may_not_be_repeated_behind_a_half_close(
        "/once/a", Framing::Nothing, Ending::HalfCloseAndReset
    );
    early_stream("/stream/a", Framing::Nothing, Ending::Reset);
    early_stream_behind_a_half_close("/stream/a", Framing::Nothing, Ending::HalfCloseAndReset);
    early_stream_in_chunks("/stream/a", Framing::Chunks, Ending::Reset);
    early_resumable_stream("/resumable/a", Framing::Nothing, Ending::Reset);
    early_resumable_stream_behind_a_half_close(
        "/resumable/a", Framing::Nothing, Ending::HalfCloseAndReset
    );
}

cases! {
    /// See [`early_answer_is_not_whole`]; the connection leads through another daemon.
    fn early_answer_behind_a_relay_is_not_whole(path: &str, ending: Ending) {
        smol::block_on(async {
            let address = start(Framing::Nothing, ending).await;
            let store = store_of(address);
            let link = Link::to(address);
            let relay = Gateway::start(&store).await;
            let gateway = Gateway::start(&store.seen_over(std::slice::from_ref(&link))).await;
            wait_until("heartbeats", || gateway.daemon.live_peers() == 1).await;
            link.set(State::Silent);
            wait_until("the loss of the link", || {
                smol::block_on(gateway.fetch(&post("/once/a", "before")));
                gateway.daemon.is_cut_off()
            })
            .await;
            let response = gateway.fetch(&upload(path)).await;
            assert!(!looks_complete(&response), "{response}");
            drop(relay);
        });
    }
    early_call_behind_a_relay("/once/a", Ending::Reset);
    early_call_behind_a_relay_and_a_half_close("/once/a", Ending::HalfCloseAndReset);
    early_stream_behind_a_relay("/stream/a", Ending::Reset);
}

cases! {
    /// See [`early_answer_is_not_whole`]; the long upload is the body of an item.
    fn early_answer_to_an_item_is_not_whole(framing: Framing, ending: Ending) {
        smol::block_on(async {
            let store = store_of(start(framing, ending).await);
            let gateway = Gateway::start(&store).await;
            wait_until("the shard", || gateway.daemon.is_serving(0)).await;
            let job = request("POST", "/items/", "job", "long\n");
            assert_eq!(status(&gateway.fetch(&job).await), 202);
            smol::Timer::after(Duration::from_secs(3)).await;
            assert_eq!(store.count_records("r/job"), 0);
        });
    }
    early_item(Framing::Nothing, Ending::Reset);
    early_item_behind_a_half_close(Framing::Nothing, Ending::HalfCloseAndReset);
    early_item_with_a_length(Framing::Length, Ending::Reset);
}
