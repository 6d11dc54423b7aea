//! Requests between daemons over QUIC.
//!
//! Each daemon generates a self-signed certificate at start, which its peers
//! accept without verification. Instead, both sides prove after the handshake
//! that they know the fleet secret: each sends a keyed hash of keying material
//! exported from the TLS session. The material differs for each connection, so
//! a man in the middle cannot relay a proof. Each request then uses one
//! bidirectional stream of the connection to its receiver.

use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bitterncart_protocol::peer::{Request, Response};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{
    ClientConfig, Connection, Endpoint, EndpointConfig, IdleTimeout, ServerConfig, TransportConfig,
};
use rustls::pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer};

use crate::runtime::timeout;
use crate::{Blocklist, Error, Runtime};

/// Maximum size of one message.
const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Time limit for connecting and for the proofs of both sides.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Length of a proof of the fleet secret.
const PROOF_BYTES: usize = 32;
/// Label of the exported keying material.
const EXPORTER_LABEL: &[u8] = b"bitterncart peer v1";
/// Exporter context of the connecting side's proof.
const CLIENT_CONTEXT: &[u8] = b"client";
/// Exporter context of the accepting side's proof.
const SERVER_CONTEXT: &[u8] = b"server";

/// Handler of the requests of other daemons.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Handles one request.
    fn handle(&self, request: Request) -> impl Future<Output = Response> + Send;
}

/// Server for requests of other daemons and client with a connection to each of them.
#[derive(Clone, Debug)]
pub struct Peers {
    endpoint: Endpoint,
    client: ClientConfig,
    proof_key: [u8; 32],
    blocklist: Blocklist,
    connections: Arc<Mutex<HashMap<SocketAddr, Connection>>>,
}

impl Peers {
    /// Binds an address; peers must have the same `secret`.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound or no certificate can be generated.
    pub fn bind(address: SocketAddr, secret: &str, blocklist: Blocklist) -> Result<Self, Error> {
        let socket = UdpSocket::bind(address).map_err(Error::connect)?;
        let endpoint = Endpoint::new(
            EndpointConfig::default(),
            Some(server_config()?),
            socket,
            Arc::new(quinn::SmolRuntime),
        )
        .map_err(Error::connect)?;
        Ok(Self {
            endpoint,
            client: client_config()?,
            proof_key: blake3::derive_key("bitterncart peer v1", secret.as_bytes()),
            blocklist,
            connections: Arc::default(),
        })
    }

    /// Local address with the actual port.
    ///
    /// # Errors
    ///
    /// If the operating system does not return the address.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Serves until the runtime stops.
    pub async fn serve<H: Handler>(self, runtime: Runtime, handler: H) {
        while let Some(incoming) = self.endpoint.accept().await {
            let (peers, stream_runtime, handler) = (self.clone(), runtime.clone(), handler.clone());
            let task = async move {
                let Ok(connection) = incoming.await else {
                    return;
                };
                if timeout(CONNECT_TIMEOUT, peers.authenticate_as_server(&connection))
                    .await
                    .is_ok()
                {
                    serve_streams(connection, stream_runtime, handler).await;
                }
            };
            runtime.spawn(task).detach();
        }
    }

    /// Sends a request to another daemon and waits up to `bound` for its response.
    ///
    /// A new connection is made first if there is none; that has a time limit of
    /// its own.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] if nothing was sent; otherwise the daemon may have
    /// received the request. After an error, the next request to the address uses
    /// a new connection from a new local port.
    pub async fn request(
        &self,
        to: SocketAddr,
        request: &Request,
        bound: Duration,
    ) -> Result<Response, Error> {
        let connection = match self.cached_connection(to) {
            Some(connection) => connection,
            None => timeout(CONNECT_TIMEOUT, self.connect(to))
                .await
                .map_err(Error::connect)?,
        };
        let exchange_while_unblocked = async {
            let response = exchange(&connection, request).await;
            self.blocklist.wait_until_unblocked(to.ip()).await;
            response
        };
        let result = timeout(bound, exchange_while_unblocked).await;
        if result.is_err() {
            self.evict_connection(to, &connection);
        }
        result
    }

    fn cached_connection(&self, to: SocketAddr) -> Option<Connection> {
        let connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        connections
            .get(&to)
            .filter(|connection| connection.close_reason().is_none())
            .cloned()
    }

    fn evict_connection(&self, to: SocketAddr, connection: &Connection) {
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if connections
            .get(&to)
            .is_some_and(|cached| cached.stable_id() == connection.stable_id())
        {
            connections.remove(&to);
        }
    }

    async fn connect(&self, to: SocketAddr) -> Result<Connection, Error> {
        self.blocklist.wait_until_unblocked(to.ip()).await;
        // Each connection has an endpoint of its own, so that a new connection has a new local
        // port.
        let listen_address = self.endpoint.local_addr().map_err(Error::connect)?;
        let local = SocketAddr::new(listen_address.ip(), 0);
        let endpoint = Endpoint::client(local).map_err(Error::connect)?;
        let connecting = endpoint
            .connect_with(self.client.clone(), to, "bitterncart")
            .map_err(Error::connect)?;
        let connection = connecting.await.map_err(Error::connect)?;
        self.authenticate_as_client(&connection).await?;
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        connections.insert(to, connection.clone());
        Ok(connection)
    }

    fn compute_proof(
        &self,
        connection: &Connection,
        context: &[u8],
    ) -> Result<[u8; PROOF_BYTES], Error> {
        let mut material = [0; 32];
        connection
            .export_keying_material(&mut material, EXPORTER_LABEL, context)
            .map_err(|_| Error::connect("no keying material"))?;
        Ok(*blake3::keyed_hash(&self.proof_key, &material).as_bytes())
    }

    async fn authenticate_as_client(&self, connection: &Connection) -> Result<(), Error> {
        let (mut send, mut receive) = connection.open_bi().await.map_err(Error::connect)?;
        let own_proof = self.compute_proof(connection, CLIENT_CONTEXT)?;
        send.write_all(&own_proof).await.map_err(Error::connect)?;
        let mut peer_proof = [0; PROOF_BYTES];
        receive
            .read_exact(&mut peer_proof)
            .await
            .map_err(Error::connect)?;
        verify_proof(peer_proof, self.compute_proof(connection, SERVER_CONTEXT)?)
    }

    async fn authenticate_as_server(&self, connection: &Connection) -> Result<(), Error> {
        let (mut send, mut receive) = connection.accept_bi().await.map_err(Error::connect)?;
        let mut peer_proof = [0; PROOF_BYTES];
        receive
            .read_exact(&mut peer_proof)
            .await
            .map_err(Error::connect)?;
        verify_proof(peer_proof, self.compute_proof(connection, CLIENT_CONTEXT)?)?;
        let own_proof = self.compute_proof(connection, SERVER_CONTEXT)?;
        send.write_all(&own_proof).await.map_err(Error::connect)
    }
}

fn verify_proof(received: [u8; PROOF_BYTES], expected: [u8; PROOF_BYTES]) -> Result<(), Error> {
    // `blake3::Hash` compares in constant time, so timing reveals nothing about the proof.
    if blake3::Hash::from(received) == blake3::Hash::from(expected) {
        Ok(())
    } else {
        Err(Error::connect(
            "the peer has another fleet secret; give all daemons the same",
        ))
    }
}

async fn serve_streams<H: Handler>(connection: Connection, runtime: Runtime, handler: H) {
    while let Ok((mut send, mut receive)) = connection.accept_bi().await {
        let handler = handler.clone();
        let task = async move {
            let Ok(bytes) = receive.read_to_end(MAX_MESSAGE_BYTES).await else {
                return;
            };
            let Ok(request) = postcard::from_bytes(&bytes) else {
                return;
            };
            let response = handler.handle(request).await;
            let Ok(bytes) = postcard::to_stdvec(&response) else {
                return;
            };
            // A write error is ignored: a peer that stopped waiting reads the outcome from the
            // log or sends the request again.
            if send.write_all(&bytes).await.is_ok() {
                drop(send.finish());
            }
        };
        runtime.spawn(task).detach();
    }
}

async fn exchange(connection: &Connection, request: &Request) -> Result<Response, Error> {
    let (mut send, mut receive) = connection.open_bi().await.map_err(Error::connect)?;
    let bytes = postcard::to_stdvec(request).map_err(Error::malformed)?;
    send.write_all(&bytes).await.map_err(Error::broken)?;
    send.finish().map_err(Error::broken)?;
    let bytes = receive
        .read_to_end(MAX_MESSAGE_BYTES)
        .await
        .map_err(Error::broken)?;
    postcard::from_bytes(&bytes).map_err(Error::malformed)
}

fn transport_config() -> Result<Arc<TransportConfig>, Error> {
    let mut transport = TransportConfig::default();
    let idle = IdleTimeout::try_from(IDLE_TIMEOUT).map_err(Error::connect)?;
    transport.max_idle_timeout(Some(idle));
    Ok(Arc::new(transport))
}

fn crypto_provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn server_config() -> Result<ServerConfig, Error> {
    let certified = rcgen::generate_simple_self_signed(vec!["bitterncart".to_owned()])
        .map_err(Error::connect)?;
    let key = PrivateKeyDer::Pkcs8(PrivatePkcs8KeyDer::from(certified.key_pair.serialize_der()));
    let certificates: Vec<CertificateDer<'static>> = vec![certified.cert.der().clone()];
    let tls = rustls::ServerConfig::builder_with_provider(crypto_provider())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(Error::connect)?
        .with_no_client_auth()
        .with_single_cert(certificates, key)
        .map_err(Error::connect)?;
    let quic = QuicServerConfig::try_from(tls).map_err(Error::connect)?;
    let mut config = ServerConfig::with_crypto(Arc::new(quic));
    config.transport_config(transport_config()?);
    Ok(config)
}

fn client_config() -> Result<ClientConfig, Error> {
    let tls = rustls::ClientConfig::builder_with_provider(crypto_provider())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(Error::connect)?
        .dangerous()
        .with_custom_certificate_verifier(Arc::new(verifier::AnyCertificate(crypto_provider())))
        .with_no_client_auth();
    let quic = QuicClientConfig::try_from(tls).map_err(Error::connect)?;
    let mut config = ClientConfig::new(Arc::new(quic));
    config.transport_config(transport_config()?);
    Ok(config)
}

mod verifier {
    //! Certificate verifier that accepts every certificate, as peers authenticate
    //! each other by a proof of the fleet secret. Handshake signatures are verified.

    use std::sync::Arc;

    use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
    use rustls::crypto::{CryptoProvider, verify_tls12_signature, verify_tls13_signature};
    use rustls::pki_types::{CertificateDer, ServerName, UnixTime};
    use rustls::{DigitallySignedStruct, Error, SignatureScheme};

    #[derive(Debug)]
    pub(super) struct AnyCertificate(pub(super) Arc<CryptoProvider>);

    impl ServerCertVerifier for AnyCertificate {
        fn verify_server_cert(
            &self,
            _: &CertificateDer<'_>,
            _: &[CertificateDer<'_>],
            _: &ServerName<'_>,
            _: &[u8],
            _: UnixTime,
        ) -> Result<ServerCertVerified, Error> {
            Ok(ServerCertVerified::assertion())
        }

        fn verify_tls12_signature(
            &self,
            message: &[u8],
            cert: &CertificateDer<'_>,
            signed: &DigitallySignedStruct,
        ) -> Result<HandshakeSignatureValid, Error> {
            verify_tls12_signature(
                message,
                cert,
                signed,
                &self.0.signature_verification_algorithms,
            )
        }

        fn verify_tls13_signature(
            &self,
            message: &[u8],
            cert: &CertificateDer<'_>,
            signed: &DigitallySignedStruct,
        ) -> Result<HandshakeSignatureValid, Error> {
            verify_tls13_signature(
                message,
                cert,
                signed,
                &self.0.signature_verification_algorithms,
            )
        }

        fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
            self.0.signature_verification_algorithms.supported_schemes()
        }
    }
}
