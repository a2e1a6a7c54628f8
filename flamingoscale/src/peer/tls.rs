//! Mutual TLS between instances: one authority signs all certificates, and each certificate names
//! its instance.

use std::sync::Arc;

use derive_more::{
    Display,
    Error, //
};
use rustls::{
    client::{
        danger::{
            HandshakeSignatureValid,
            ServerCertVerified,
            ServerCertVerifier, //
        },
        verify_server_cert_signed_by_trust_anchor,
        verify_server_name, //
    },
    crypto::{
        ring,
        verify_tls12_signature,
        verify_tls13_signature,
        CryptoProvider, //
    },
    pki_types::{
        CertificateDer,
        PrivateKeyDer,
        ServerName,
        UnixTime, //
    },
    server::{
        ParsedCertificate,
        WebPkiClientVerifier, //
    },
    ClientConfig,
    DigitallySignedStruct,
    RootCertStore,
    ServerConfig,
    SignatureScheme, //
};

use crate::settings::PeerTls;

/// The result of loading the TLS files.
pub(crate) type Result<T> = std::result::Result<T, TlsError>;

/// The ALPN protocol that both ends must offer.
const ALPN: &[u8] = b"h2";

/// Why TLS between peers could not be set up.
#[derive(Debug, Display, Error)]
#[non_exhaustive]
pub enum TlsError {
    /// A file cannot be read, or does not hold the expected PEM item.
    #[display("{file} can't be read ({reason}): check path, rights and that it is PEM")]
    File {
        /// The path of the file.
        file: Arc<str>,
        /// A description of the cause.
        reason: String,
    },
    /// The certificate, key and authority do not belong together.
    #[display("certificate, key and authority don't fit together ({_0}): issue them anew")]
    Mismatch(#[error(not(source))] String),
}

/// The TLS configurations of both ends of a connection.
#[derive(Clone, Debug)]
pub(crate) struct TlsConfigs {
    /// Used for connections that this instance opens.
    pub(crate) client: Arc<ClientConfig>,
    /// Used for connections that this instance accepts.
    pub(crate) server: Arc<ServerConfig>,
}

/// Reads the files and builds the TLS configurations.
///
/// # Errors
///
/// Any [`TlsError`]; its message names the file.
pub(crate) fn load(files: &PeerTls) -> Result<TlsConfigs> {
    let chain = certificates(&files.certificate)?;
    let key = private_key(&files.key)?;
    let roots = Arc::new(authority(&files.authority)?);
    let provider = Arc::new(ring::default_provider());
    let client = client_config(&provider, &roots, chain.clone(), key.clone_key())?;
    let server = server_config(&provider, &roots, chain, key)?;
    Ok(TlsConfigs { client, server })
}

fn client_config(
    provider: &Arc<CryptoProvider>,
    roots: &Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<Arc<ClientConfig>> {
    let verifier = Arc::new(SignedByAuthority {
        roots: roots.clone(),
        provider: provider.clone(),
    });
    let mut config = ClientConfig::builder_with_provider(provider.clone())
        .with_safe_default_protocol_versions()
        .map_err(mismatch)?
        .dangerous()
        .with_custom_certificate_verifier(verifier)
        .with_client_auth_cert(chain, key)
        .map_err(mismatch)?;
    config.alpn_protocols = vec![ALPN.to_vec()];
    Ok(Arc::new(config))
}

fn server_config(
    provider: &Arc<CryptoProvider>,
    roots: &Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<Arc<ServerConfig>> {
    let verifier =
        WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone()).build();
    let verifier = verifier.map_err(|error| TlsError::Mismatch(error.to_string()))?;
    let mut config = ServerConfig::builder_with_provider(provider.clone())
        .with_safe_default_protocol_versions()
        .map_err(mismatch)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)
        .map_err(mismatch)?;
    config.alpn_protocols = vec![ALPN.to_vec()];
    Ok(Arc::new(config))
}

fn mismatch(error: rustls::Error) -> TlsError {
    TlsError::Mismatch(error.to_string())
}

fn file_error(file: &Arc<str>, reason: impl ToString) -> TlsError {
    TlsError::File {
        file: file.clone(),
        reason: reason.to_string(),
    }
}

fn read(file: &Arc<str>) -> Result<Vec<u8>> {
    std::fs::read(&**file).map_err(|error| file_error(file, error))
}

fn certificates(file: &Arc<str>) -> Result<Vec<CertificateDer<'static>>> {
    let text = read(file)?;
    let parsed: std::io::Result<Vec<_>> = rustls_pemfile::certs(&mut &text[..]).collect();
    match parsed {
        Ok(chain) if !chain.is_empty() => Ok(chain),
        Ok(_) => Err(file_error(file, "no certificate in it")),
        Err(error) => Err(file_error(file, error)),
    }
}

fn private_key(file: &Arc<str>) -> Result<PrivateKeyDer<'static>> {
    let text = read(file)?;
    match rustls_pemfile::private_key(&mut &text[..]) {
        Ok(Some(key)) => Ok(key),
        Ok(None) => Err(file_error(file, "no private key in it")),
        Err(error) => Err(file_error(file, error)),
    }
}

fn authority(file: &Arc<str>) -> Result<RootCertStore> {
    let mut roots = RootCertStore::empty();
    for certificate in certificates(file)? {
        roots
            .add(certificate)
            .map_err(|error| file_error(file, error))?;
    }
    Ok(roots)
}

/// Returns whether `certificate`, which the authority has signed, names `instance`.
pub(crate) fn certificate_matches(certificate: &CertificateDer<'_>, instance: &str) -> bool {
    let Ok(name) = ServerName::try_from(instance) else {
        return false;
    };
    ParsedCertificate::try_from(certificate)
        .is_ok_and(|parsed| verify_server_name(&parsed, &name).is_ok())
}

/// Accepts every certificate that the authority signed. Only the address of a seed instance is
/// known, so its name cannot be verified during the handshake; [`certificate_matches`] compares it
/// with the name that the peer claims once a message has arrived.
#[derive(Debug)]
struct SignedByAuthority {
    roots: Arc<RootCertStore>,
    provider: Arc<CryptoProvider>,
}

impl ServerCertVerifier for SignedByAuthority {
    fn verify_server_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        intermediates: &[CertificateDer<'_>],
        _server_name: &ServerName<'_>,
        _ocsp_response: &[u8],
        now: UnixTime,
    ) -> std::result::Result<ServerCertVerified, rustls::Error> {
        let certificate = ParsedCertificate::try_from(end_entity)?;
        let algorithms = self.provider.signature_verification_algorithms.all;
        verify_server_cert_signed_by_trust_anchor(
            &certificate,
            &self.roots,
            intermediates,
            now,
            algorithms,
        )?;
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> std::result::Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.provider.signature_verification_algorithms;
        verify_tls12_signature(message, certificate, signature, algorithms)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> std::result::Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.provider.signature_verification_algorithms;
        verify_tls13_signature(message, certificate, signature, algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.provider
            .signature_verification_algorithms
            .supported_schemes()
    }
}
