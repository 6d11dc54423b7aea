//! Calls that are forwarded to an owner which refuses, times out or resets.

use std::net::SocketAddr;
use std::time::Duration;

use bitterncart_coordination::fleet::Heartbeat;
use bitterncart_coordination::fleet::peers::Ownership;
use bitterncart_testing::cases;
use smol::net::UdpSocket;

use crate::harness::{Gateway, request, status, store, wait_until};
use crate::replica::{Action, ScriptedReplica};
use crate::store::{Fault, MemoryStore};

const REFUSED: Action = Action::Respond(503, "content-length: 0\r\n", "");
const FULL: Action = Action::Respond(429, "content-length: 0\r\n", "");
const SILENT: Action = Action::Wait(Duration::from_millis(1500));

/// Sends gossip to a daemon that names `owner` as the owner of its only shard.
async fn send_heartbeats_as_owner(store: &MemoryStore, owner: SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let daemon = store.registered_daemons()[0];
    let heartbeats = async move {
        for seq in 1.. {
            let heartbeat = Heartbeat {
                from: owner,
                born_us: 1,
                seq,
                data_centre: "here".into(),
                period_ms: 100,
                leaving: false,
                writes: true,
                capacity: 1_000_000,
                shards: vec![Ownership {
                    shard: 0,
                    tokens: Vec::new(),
                }],
                waiting: 0,
                load: Vec::new(),
                running: Vec::new(),
                queued: Vec::new(),
                quarantine: Vec::new(),
                limits: Vec::new(),
            };
            let bytes = postcard::to_stdvec(&heartbeat).expect("a heartbeat");
            // A lost heartbeat is followed by others.
            let _sent = socket.send_to(&bytes, daemon).await;
            smol::Timer::after(Duration::from_millis(100)).await;
        }
    };
    smol::spawn(heartbeats).detach();
}

cases! {
    /// The daemon cannot reach the store, so the responses of the owner decide
    /// whether the job may still be accepted. A refusal that follows an attempt
    /// without a response must be reported as an unknown outcome.
    fn submission_forwarded_to_owner(scripts: Vec<Vec<Action>>, expected: u16) {
        smol::block_on(async {
            let owner = ScriptedReplica::start("owner", scripts).await;
            let store = store(&[]);
            store.set_fault(Fault::Unavailable);
            let gateway = Gateway::start_without_waiting(&store).await;
            wait_until("the daemon to be registered", || !store.registered_daemons().is_empty()).await;
            wait_until("the manifest", || gateway.daemon.manifest_version().is_some()).await;
            send_heartbeats_as_owner(&store, owner.address).await;
            smol::Timer::after(Duration::from_millis(200)).await;
            let response = gateway.fetch(&request("POST", "/items/", "job", "one\n")).await;
            assert_eq!(status(&response), expected, "{response}");
        });
    }
    refused_submission_is_reported_as_refused(vec![vec![REFUSED]], 503);
    full_owner_is_reported_as_rate_limit(vec![vec![FULL]], 429);
    timeout_then_refusal_is_reported_as_unknown(
        vec![vec![SILENT, Action::Close], vec![REFUSED]], 504
    );
    timeout_then_full_is_reported_as_unknown(vec![vec![SILENT, Action::Close], vec![FULL]], 504);
    reset_then_refusal_is_reported_as_unknown(vec![vec![Action::Reset], vec![REFUSED]], 504);
}
