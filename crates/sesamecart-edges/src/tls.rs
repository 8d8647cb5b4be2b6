//! TLS by rustls: certificates from settings, checked before use and read again without a restart.

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

pub use certificate::Weakness;
pub use server::{Reload, TlsServer};

/// A file can't be used for TLS.
#[derive(Clone, Debug, Display, Error)]
#[display("tls: {}: {reason}", file.display())]
pub struct TlsError {
    /// The file.
    pub file: PathBuf,
    /// Why it can't be used.
    #[error(not(source))]
    pub reason: TlsReason,
}

/// Why a file can't be used for TLS.
#[derive(Clone, Debug, Display)]
pub enum TlsReason {
    /// It can't be read, or isn't PEM of the right kind.
    #[display("can't be read: {_0}")]
    Unreadable(String),
    /// It holds no certificate.
    #[display("holds no certificate")]
    Empty,
    /// A certificate in it must not be used.
    #[display("certificate {number}: {weakness}")]
    Certificate {
        /// The certificate's place in the file, from 1.
        number: usize,
        /// What is wrong with it.
        weakness: Weakness,
    },
    /// Settings ask for the other side's certificate but name no authorities.
    #[display("client_certificates needs authorities")]
    NoAuthorities,
    /// rustls refuses it.
    #[display("{_0}")]
    Refused(rustls::Error),
    /// rustls can't check other certificates by it.
    #[display("{_0}")]
    Verifier(String),
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(ring::default_provider())
}

/// Makes the server's side from files that are valid at `now`.
///
/// # Errors
///
/// Returns an error that names the file and why it can't be used.
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

/// Makes the client's side of links from files that are valid at `now`.
///
/// Only servers that the files' authorities have signed are trusted; without authorities nothing is.
///
/// # Errors
///
/// Returns an error that names the file and why it can't be used.
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

/// Reads a file's certificates and checks each.
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
        certificate::check(certificate, now).map_err(|weakness| {
            error(TlsReason::Certificate {
                number: index + 1,
                weakness,
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
