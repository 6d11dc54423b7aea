//! Daemons that hold the token buckets of customers.

use std::time::Duration;

use bitterncart_coordination::fleet::RequestQuota;
use bitterncart_coordination::fleet::request_quota::{Limit, Message};
use futures_lite::future;
use smol::net::UdpSocket;

use crate::harness::{Gateway, store, wait_until};

/// Number of asks, 20 ms apart.
const ASKS: u32 = 100;

/// Guards against a daemon that does not answer other daemons, and against a bucket that
/// grants more than the limit. The daemon is alone, so it holds each bucket.
#[test]
fn holder_grants_the_limit_to_other_daemons() {
    smol::block_on(async {
        let store = store(&[]);
        let _gateway = Gateway::start_without_waiting(&store).await;
        wait_until("the daemon to be registered", || {
            !store.registered_daemons().is_empty()
        })
        .await;
        // The daemon has to read the list of daemons, and to settle.
        smol::Timer::after(Duration::from_secs(2)).await;
        let holder = store.registered_daemons()[0];
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        let (mut granted, mut refused) = (0, 0);
        for id in 0..ASKS {
            let ask = Message::Ask {
                id,
                customer: 7,
                limit: Limit {
                    version: 1,
                    quota: RequestQuota {
                        per_1000_s: 10_000,
                        burst: 10,
                    },
                },
                wanted: 1,
            };
            let datagram = ask.encode().expect("a message");
            socket.send_to(&datagram, holder).await.expect("sent");
            let mut buffer = [0; 64];
            let reply = async { socket.recv(&mut buffer).await.ok() };
            let timer = async {
                smol::Timer::after(Duration::from_millis(500)).await;
                None
            };
            let size = future::or(reply, timer).await.expect("a reply");
            match Message::decode(&buffer[..size]) {
                Some(Message::Reply {
                    id: answered,
                    granted: 1,
                    ..
                }) if answered == id => granted += 1,
                Some(Message::Reply {
                    id: answered,
                    granted: 0,
                    retry_ms,
                }) if answered == id && retry_ms > 0 => refused += 1,
                other => panic!("{other:?}"),
            }
            smol::Timer::after(Duration::from_millis(20)).await;
        }
        println!("granted {granted}, refused {refused}");
        assert!((25..=60).contains(&granted), "{granted} granted");
        assert!(refused > 0);
    });
}
