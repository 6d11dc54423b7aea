//! UDP socket of the membership protocol.
//!
//! Each datagram is a [`Packet`] with a message authentication code under a
//! key derived from the fleet secret; datagrams that fail authentication are
//! dropped. The socket does not retransmit, as the membership protocol
//! tolerates lost probes. Plain UDP is used instead of QUIC because each
//! second a probe goes to a different member, and a QUIC handshake would cost
//! many times as much as the probe.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bitterncart_protocol::peer::Packet;
use smol::net::UdpSocket;

use crate::Blocklist;

/// Length of the message authentication code at the start of a datagram.
const MAC_BYTES: usize = 16;
const MAX_DATAGRAM_BYTES: usize = 8 << 10;
const UDP_IP_HEADER_BYTES: u64 = 28;

/// Socket for membership packets.
#[derive(Clone, Debug)]
pub struct Socket {
    socket: UdpSocket,
    key: [u8; 32],
    blocklist: Blocklist,
    wire_bytes: Arc<AtomicU64>,
}

impl Socket {
    /// Binds a socket whose packets are authenticated with `secret`.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn bind(address: SocketAddr, secret: &str, blocklist: Blocklist) -> io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        let key = blake3::derive_key("bitterncart heartbeat v1", secret.as_bytes());
        Ok(Self {
            socket,
            key,
            blocklist,
            wire_bytes: Arc::default(),
        })
    }

    /// Bytes sent and received so far, including IP and UDP headers.
    #[must_use]
    pub fn wire_bytes(&self) -> u64 {
        self.wire_bytes.load(Ordering::Relaxed)
    }

    /// Sends a packet; errors are ignored, as the protocol tolerates packet loss.
    pub async fn send(&self, to: SocketAddr, packet: &Packet) {
        let Ok(body) = postcard::to_stdvec(packet) else {
            return;
        };
        let mut datagram = self.mac(&body).to_vec();
        datagram.extend(body);
        if self.blocklist.is_blocked(to.ip()) {
            return;
        }
        self.count_wire_bytes(datagram.len());
        drop(self.socket.send_to(&datagram, to).await);
    }

    /// Receives the next packet that passes authentication.
    pub async fn receive(&self) -> Packet {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((size, _)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            self.count_wire_bytes(size);
            if let Some(packet) = self.authenticate(&buffer[..size]) {
                return packet;
            }
        }
    }

    fn authenticate(&self, datagram: &[u8]) -> Option<Packet> {
        let (mac, body) = datagram.split_at_checked(MAC_BYTES)?;
        // `blake3::Hash` compares in constant time, so timing reveals nothing about the code.
        let authentic = blake3::hash(mac) == blake3::hash(&self.mac(body));
        authentic.then(|| postcard::from_bytes(body).ok()).flatten()
    }

    fn mac(&self, body: &[u8]) -> [u8; MAC_BYTES] {
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&blake3::keyed_hash(&self.key, body).as_bytes()[..MAC_BYTES]);
        mac
    }

    fn count_wire_bytes(&self, size: usize) {
        self.wire_bytes
            .fetch_add(size as u64 + UDP_IP_HEADER_BYTES, Ordering::Relaxed);
    }
}
