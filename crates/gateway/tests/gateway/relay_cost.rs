//! Processor time of the relay of a stream, by event and by megabyte. A measurement: run
//! it alone, with optimizations, as `relay_cost --ignored --nocapture --test-threads 1`.

use std::time::Duration;

use futures_lite::AsyncReadExt;

use crate::harness::{Gateway, post, store};
use crate::replica::{Action, ScriptedReplica};

const HEAD: Action = Action::Respond(
    200,
    "signature: s\r\ncontent-type: text/event-stream\r\nconnection: close\r\n",
    "",
);

/// Streams of a measurement; the least time of one counts.
const STREAMS: usize = 15;

/// Streams before it.
const WARM_UP: usize = 2;

fn stream(events: usize, data_bytes: usize) -> String {
    let data = "x".repeat(data_bytes);
    (1..=events).fold(String::new(), |stream, id| {
        stream + &format!("id: {id}\ndata: {data}\n\n")
    })
}

/// Prints the least processor time of the daemon's thread for one stream.
fn relay_cost(events: usize, data_bytes: usize, pieces: usize) {
    smol::block_on(async {
        let bytes = stream(events, data_bytes);
        let mut script = vec![HEAD];
        let ends = (1..=pieces).map(|n| bytes.len() * n / pieces);
        let mut start = 0;
        for end in ends {
            script.push(Action::Send(bytes[start..end].to_owned()));
            start = end;
        }
        script.push(Action::Close);
        let replica = ScriptedReplica::start("r", vec![script]).await;
        let gateway = Gateway::start(&store(&[&replica])).await;
        let mut least = Duration::MAX;
        for n in 0..WARM_UP + STREAMS {
            let begun = gateway.processor_time().await;
            let mut client = gateway.send(&post("/stream/a", &format!("id{n}"))).await;
            let (mut buffer, mut received) = (vec![0; 1 << 20], 0);
            while let Ok(count @ 1..) = client.read(&mut buffer).await {
                received += count;
            }
            assert!(
                received >= bytes.len(),
                "{received} of {} bytes",
                bytes.len()
            );
            let took = gateway.processor_time().await - begun;
            if n >= WARM_UP {
                least = least.min(took);
            }
        }
        let ns = least.as_nanos() as f64;
        println!(
            "relay of {events} events of {data_bytes} bytes: {:.0} ns an event, {:.3} ms a MB",
            ns / events as f64,
            ns / bytes.len() as f64,
        );
    });
}

#[test]
#[ignore = "a measurement"]
fn relay_cost_of_small_events() {
    relay_cost(20_000, 60, 200);
}

#[test]
#[ignore = "a measurement"]
fn relay_cost_of_large_events() {
    relay_cost(2_000, 16_000, 2_000);
}
