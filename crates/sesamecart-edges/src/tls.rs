//! TLS with rustls: certificates from settings, which are checked before use and reloaded without a restart.

mod certificate;
mod server;
#[cfg(test)]
mod tests;

use std::path::{Path, PathBuf};
use std::sync::Arc;

use derive_more::{Display, Error};
use rustls::client::WebPkiServerVerifier;
use rustls::crypto::{CryptoProvider, ring};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
pub use rustls_pki_types::UnixTime;
use rustls_pki_types::pem::PemObject as _;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use sesamecart_config::TlsFiles;

pub use certificate::CertificateError;
pub use server::{Reload, TlsServer};

/// The error of a file that can't be used for TLS.
#[derive(Clone, Debug, Display, Error)]
#[display("tls: {}: {reason}", file.display())]
pub struct TlsError {
    /// The file.
    pub file: PathBuf,
    /// Why the file can't be used.
    #[error(not(source))]
    pub reason: TlsReason,
}

/// The reason why a file can't be used for TLS.
#[derive(Clone, Debug, Display)]
pub enum TlsReason {
    /// The file can't be read or isn't PEM of the expected kind.
    #[display("can't be read: {_0}")]
    Unreadable(String),
    /// The file contains no certificate.
    #[display("holds no certificate")]
    Empty,
    /// A certificate in the file must not be used.
    #[display("certificate {number}: {cause}")]
    Certificate {
        /// The position of the certificate in the file, starting at 1.
        number: usize,
        /// Why the certificate must not be used.
        cause: CertificateError,
    },
    /// The settings require peer certificates but name no certificate authorities.
    #[display("client_certificates needs authorities")]
    NoAuthorities,
    /// rustls rejects the certificate or the key.
    #[display("{_0}")]
    Refused(rustls::Error),
    /// rustls can't build a certificate verifier from the file.
    #[display("{_0}")]
    Verifier(String),
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(ring::default_provider())
}

/// Builds the configuration of a server from files, whose certificates must be valid at `now`.
///
/// # Errors
///
/// Returns an error with the file and the reason if a file can't be used.
pub fn server_config(
    files: &TlsFiles,
    protocols: &[&[u8]],
    now: UnixTime,
) -> Result<ServerConfig, TlsError> {
    let (chain, key) = identity(files, now)?;
    let builder = ServerConfig::builder_with_provider(provider())
        .with_safe_default_protocol_versions()
        .map_err(|error| refused(&files.certificate, error))?;
    let builder = if files.client_certificates {
        let file = files.authorities.as_ref().ok_or_else(|| TlsError {
            file: files.certificate.clone(),
            reason: TlsReason::NoAuthorities,
        })?;
        let roots = Arc::new(authorities(file, now)?);
        let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider())
            .build()
            .map_err(|error| unverifiable(file, error.to_string()))?;
        builder.with_client_cert_verifier(verifier)
    } else {
        builder.with_no_client_auth()
    };
    let mut config = builder
        .with_single_cert(chain, key)
        .map_err(|error| refused(&files.key, error))?;
    config.alpn_protocols = protocols.iter().map(|name| name.to_vec()).collect();
    Ok(config)
}

/// Builds the configuration of a link's client from files, whose certificates must be valid at `now`.
///
/// Only server certificates that are signed by the configured authorities are trusted, so the files must
/// name authorities.
///
/// # Errors
///
/// Returns an error with the file and the reason if a file can't be used.
pub fn client_config(
    files: &TlsFiles,
    protocols: &[&[u8]],
    now: UnixTime,
) -> Result<ClientConfig, TlsError> {
    let file = files.authorities.as_ref().ok_or_else(|| TlsError {
        file: files.certificate.clone(),
        reason: TlsReason::NoAuthorities,
    })?;
    let roots = Arc::new(authorities(file, now)?);
    let verifier = WebPkiServerVerifier::builder_with_provider(roots, provider())
        .build()
        .map_err(|error| unverifiable(file, error.to_string()))?;
    let (chain, key) = identity(files, now)?;
    let mut config = ClientConfig::builder_with_provider(provider())
        .with_safe_default_protocol_versions()
        .map_err(|error| refused(&files.certificate, error))?
        .with_webpki_verifier(verifier)
        .with_client_auth_cert(chain, key)
        .map_err(|error| refused(&files.key, error))?;
    config.alpn_protocols = protocols.iter().map(|name| name.to_vec()).collect();
    Ok(config)
}

type Chain = Vec<CertificateDer<'static>>;

fn identity(files: &TlsFiles, now: UnixTime) -> Result<(Chain, PrivateKeyDer<'static>), TlsError> {
    let chain = certificates(&files.certificate, now)?;
    let key =
        PrivateKeyDer::from_pem_file(&files.key).map_err(|error| unreadable(&files.key, &error))?;
    Ok((chain, key))
}

fn authorities(file: &Path, now: UnixTime) -> Result<RootCertStore, TlsError> {
    let mut roots = RootCertStore::empty();
    for certificate in certificates(file, now)? {
        roots
            .add(certificate)
            .map_err(|error| refused(file, error))?;
    }
    Ok(roots)
}

/// Reads the certificates in a file and checks each of them.
fn certificates(file: &Path, now: UnixTime) -> Result<Chain, TlsError> {
    let certificates: Result<Chain, _> = CertificateDer::pem_file_iter(file)
        .map_err(|error| unreadable(file, &error))?
        .collect();
    let certificates = certificates.map_err(|error| unreadable(file, &error))?;
    let error = |reason| TlsError {
        file: file.to_owned(),
        reason,
    };
    if certificates.is_empty() {
        return Err(error(TlsReason::Empty));
    }
    for (index, certificate) in certificates.iter().enumerate() {
        certificate::check(certificate, now).map_err(|cause| {
            error(TlsReason::Certificate {
                number: index + 1,
                cause,
            })
        })?;
    }
    Ok(certificates)
}

fn unreadable(file: &Path, error: &rustls_pki_types::pem::Error) -> TlsError {
    TlsError {
        file: file.to_owned(),
        reason: TlsReason::Unreadable(error.to_string()),
    }
}

fn refused(file: &Path, error: rustls::Error) -> TlsError {
    TlsError {
        file: file.to_owned(),
        reason: TlsReason::Refused(error),
    }
}

fn unverifiable(file: &Path, error: String) -> TlsError {
    TlsError {
        file: file.to_owned(),
        reason: TlsReason::Verifier(error),
    }
}
