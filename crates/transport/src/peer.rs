//! Requests between daemons over quinn.
//!
//! Certificates are made at start and signed by nobody. Both sides instead
//! prove that they know the fleet's secret by a code over keying material of
//! the very connection, so a relay in between cannot pass.

use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bitterncart_protocol::peer::{Ask, Reply};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{
    ClientConfig, Connection, Endpoint, EndpointConfig, IdleTimeout, ServerConfig, TransportConfig,
};
use rustls::pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer};

use crate::runtime::within;
use crate::{Error, Links, Runtime};

/// Bytes of one message at most.
const MAX_MESSAGE: usize = 8 << 20;

/// Time after which a connection that carries nothing is dropped.
const IDLE: Duration = Duration::from_secs(20);

/// Time for a connection and its proof.
const CONNECT: Duration = Duration::from_secs(2);

const PROOF_BYTES: usize = 32;
const LABEL: &[u8] = b"bitterncart peer v1";
const CLIENT: &[u8] = b"client";
const SERVER: &[u8] = b"server";

/// What answers the requests of other daemons.
pub trait Answer: Clone + Send + Sync + 'static {
    /// Answers one request.
    fn answer(&self, ask: Ask) -> impl Future<Output = Reply> + Send;
}

/// End of the peer protocol: a server and the connections to others.
#[derive(Clone, Debug)]
pub struct Peers {
    endpoint: Endpoint,
    client: ClientConfig,
    secret: [u8; 32],
    links: Links,
    connections: Arc<Mutex<HashMap<SocketAddr, Connection>>>,
}

impl Peers {
    /// Binds an address.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound or no certificate can be made.
    pub fn bind(address: SocketAddr, secret: &str, links: Links) -> Result<Self, Error> {
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
            secret: blake3::derive_key("bitterncart peer v1", secret.as_bytes()),
            links,
            connections: Arc::default(),
        })
    }

    /// Address, with the port that was given.
    ///
    /// # Errors
    ///
    /// If the system does not tell.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Serves until the runtime stops.
    pub async fn serve<A: Answer>(self, runtime: Runtime, answer: A) {
        while let Some(incoming) = self.endpoint.accept().await {
            let (peers, runtime_of, answer) = (self.clone(), runtime.clone(), answer.clone());
            let task = async move {
                let Ok(connection) = incoming.await else {
                    return;
                };
                if within(CONNECT, peers.prove_as_server(&connection))
                    .await
                    .is_ok()
                {
                    streams(connection, runtime_of, answer).await;
                }
            };
            runtime.spawn(task).detach();
        }
    }

    /// Asks another daemon.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] if nothing was sent; otherwise the daemon may have
    /// received the request. After an error the next request to the address
    /// has a new connection from a new port.
    pub async fn ask(&self, to: SocketAddr, ask: &Ask, bound: Duration) -> Result<Reply, Error> {
        let connection = match self.cached(to) {
            Some(connection) => connection,
            None => within(CONNECT, self.connect(to))
                .await
                .map_err(Error::connect)?,
        };
        let exchanging = async {
            let reply = exchange(&connection, ask).await;
            self.links.pass(to.ip()).await;
            reply
        };
        let result = within(bound, exchanging).await;
        if result.is_err() {
            self.forget(to, &connection);
        }
        result
    }

    fn cached(&self, to: SocketAddr) -> Option<Connection> {
        let connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        connections
            .get(&to)
            .filter(|connection| connection.close_reason().is_none())
            .cloned()
    }

    fn forget(&self, to: SocketAddr, connection: &Connection) {
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if connections
            .get(&to)
            .is_some_and(|known| known.stable_id() == connection.stable_id())
        {
            connections.remove(&to);
        }
    }

    async fn connect(&self, to: SocketAddr) -> Result<Connection, Error> {
        self.links.pass(to.ip()).await;
        // An endpoint for each connection, so that a new one has a new port.
        let own = self.endpoint.local_addr().map_err(Error::connect)?;
        let local = SocketAddr::new(own.ip(), 0);
        let endpoint = Endpoint::client(local).map_err(Error::connect)?;
        let connecting = endpoint
            .connect_with(self.client.clone(), to, "bitterncart")
            .map_err(Error::connect)?;
        let connection = connecting.await.map_err(Error::connect)?;
        self.prove_as_client(&connection).await?;
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        connections.insert(to, connection.clone());
        Ok(connection)
    }

    fn proof(&self, connection: &Connection, side: &[u8]) -> Result<[u8; PROOF_BYTES], Error> {
        let mut material = [0; 32];
        connection
            .export_keying_material(&mut material, LABEL, side)
            .map_err(|_| Error::connect("no keying material"))?;
        Ok(*blake3::keyed_hash(&self.secret, &material).as_bytes())
    }

    async fn prove_as_client(&self, connection: &Connection) -> Result<(), Error> {
        let (mut send, mut receive) = connection.open_bi().await.map_err(Error::connect)?;
        let own = self.proof(connection, CLIENT)?;
        send.write_all(&own).await.map_err(Error::connect)?;
        let mut theirs = [0; PROOF_BYTES];
        receive
            .read_exact(&mut theirs)
            .await
            .map_err(Error::connect)?;
        verify(theirs, self.proof(connection, SERVER)?)
    }

    async fn prove_as_server(&self, connection: &Connection) -> Result<(), Error> {
        let (mut send, mut receive) = connection.accept_bi().await.map_err(Error::connect)?;
        let mut theirs = [0; PROOF_BYTES];
        receive
            .read_exact(&mut theirs)
            .await
            .map_err(Error::connect)?;
        verify(theirs, self.proof(connection, CLIENT)?)?;
        let own = self.proof(connection, SERVER)?;
        send.write_all(&own).await.map_err(Error::connect)
    }
}

fn verify(theirs: [u8; PROOF_BYTES], own: [u8; PROOF_BYTES]) -> Result<(), Error> {
    // The hash type compares in constant time.
    if blake3::Hash::from(theirs) == blake3::Hash::from(own) {
        Ok(())
    } else {
        Err(Error::connect(
            "the peer has another fleet secret; give all daemons the same",
        ))
    }
}

async fn streams<A: Answer>(connection: Connection, runtime: Runtime, answer: A) {
    while let Ok((mut send, mut receive)) = connection.accept_bi().await {
        let answer = answer.clone();
        let task = async move {
            let Ok(bytes) = receive.read_to_end(MAX_MESSAGE).await else {
                return;
            };
            let Ok(ask) = postcard::from_bytes(&bytes) else {
                return;
            };
            let reply = answer.answer(ask).await;
            let Ok(bytes) = postcard::to_stdvec(&reply) else {
                return;
            };
            // A peer that no longer waits takes the answer from the log or asks again.
            if send.write_all(&bytes).await.is_ok() {
                drop(send.finish());
            }
        };
        runtime.spawn(task).detach();
    }
}

async fn exchange(connection: &Connection, ask: &Ask) -> Result<Reply, Error> {
    let (mut send, mut receive) = connection.open_bi().await.map_err(Error::connect)?;
    let bytes = postcard::to_stdvec(ask).map_err(Error::malformed)?;
    send.write_all(&bytes).await.map_err(Error::broken)?;
    send.finish().map_err(Error::broken)?;
    let bytes = receive
        .read_to_end(MAX_MESSAGE)
        .await
        .map_err(Error::broken)?;
    postcard::from_bytes(&bytes).map_err(Error::malformed)
}

fn transport_config() -> Result<Arc<TransportConfig>, Error> {
    let mut transport = TransportConfig::default();
    let idle = IdleTimeout::try_from(IDLE).map_err(Error::connect)?;
    transport.max_idle_timeout(Some(idle));
    Ok(Arc::new(transport))
}

fn provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn server_config() -> Result<ServerConfig, Error> {
    let made = rcgen::generate_simple_self_signed(vec!["bitterncart".to_owned()])
        .map_err(Error::connect)?;
    let key = PrivateKeyDer::Pkcs8(PrivatePkcs8KeyDer::from(made.key_pair.serialize_der()));
    let certificates: Vec<CertificateDer<'static>> = vec![made.cert.der().clone()];
    let tls = rustls::ServerConfig::builder_with_provider(provider())
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
    let tls = rustls::ClientConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(Error::connect)?
        .dangerous()
        .with_custom_certificate_verifier(Arc::new(verifier::Unsigned(provider())))
        .with_no_client_auth();
    let quic = QuicClientConfig::try_from(tls).map_err(Error::connect)?;
    let mut config = ClientConfig::new(Arc::new(quic));
    config.transport_config(transport_config()?);
    Ok(config)
}

mod verifier {
    //! Certificates that nobody signed; the proof over the connection stands in.

    use std::sync::Arc;

    use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
    use rustls::crypto::{CryptoProvider, verify_tls12_signature, verify_tls13_signature};
    use rustls::pki_types::{CertificateDer, ServerName, UnixTime};
    use rustls::{DigitallySignedStruct, Error, SignatureScheme};

    #[derive(Debug)]
    pub(super) struct Unsigned(pub(super) Arc<CryptoProvider>);

    impl ServerCertVerifier for Unsigned {
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
