//! Checks of certificates before they are used.
//!
//! rustls presents any certificate it is given, so only callers would notice an expired or weak one, by
//! failing to connect. With these checks, operators see the problem in the node's log immediately.

use derive_more::Display;
use rustls_pki_types::{CertificateDer, UnixTime};
use x509_parser::der_parser::oid;
use x509_parser::oid_registry::{OID_HASH_SHA1, OID_PKCS1_SHA1WITHRSA, OID_SIG_DSA_WITH_SHA1, Oid};
use x509_parser::prelude::{FromDer as _, X509Certificate};
use x509_parser::public_key::PublicKey;

/// The minimum length of an RSA or DSA key.
const MIN_RSA_BITS: usize = 2_048;

/// The minimum length of an elliptic curve key.
const MIN_EC_BITS: usize = 256;

/// The OID of the signature algorithm ecdsa-with-SHA1.
const ECDSA_WITH_SHA1: Oid<'static> = oid!(1.2.840.10045.4.1);

/// The reason why a certificate must not be used.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum CertificateError {
    /// The data is not an X.509 certificate.
    #[display("not a certificate: {_0}")]
    Malformed(String),
    /// The certificate has expired.
    #[display("expired at {_0}")]
    Expired(String),
    /// The certificate is not valid yet.
    #[display("not valid before {_0}")]
    NotYetValid(String),
    /// The key is too short.
    #[display("a key of {bits} bits, at least {min_bits} are needed")]
    ShortKey {
        /// The length of the key.
        bits: usize,
        /// The minimum length.
        min_bits: usize,
    },
    /// The signature uses SHA-1.
    #[display("signed with SHA-1")]
    Sha1,
}

/// Checks the validity at `now`, the key length and the signature algorithm of a certificate.
pub(super) fn check(
    certificate: &CertificateDer<'_>,
    now: UnixTime,
) -> Result<(), CertificateError> {
    let (_, parsed) = X509Certificate::from_der(certificate)
        .map_err(|error| CertificateError::Malformed(error.to_string()))?;
    check_time(&parsed, now)?;
    check_key(&parsed)?;
    if is_sha1(&parsed.signature_algorithm.algorithm) {
        return Err(CertificateError::Sha1);
    }
    Ok(())
}

fn check_time(certificate: &X509Certificate<'_>, now: UnixTime) -> Result<(), CertificateError> {
    let validity = certificate.validity();
    let now = i64::try_from(now.as_secs()).unwrap_or(i64::MAX);
    if now < validity.not_before.timestamp() {
        return Err(CertificateError::NotYetValid(
            validity.not_before.to_string(),
        ));
    }
    if now > validity.not_after.timestamp() {
        return Err(CertificateError::Expired(validity.not_after.to_string()));
    }
    Ok(())
}

fn check_key(certificate: &X509Certificate<'_>) -> Result<(), CertificateError> {
    let key = certificate
        .public_key()
        .parsed()
        .map_err(|error| CertificateError::Malformed(error.to_string()))?;
    let (bits, min_bits) = match &key {
        PublicKey::RSA(_) | PublicKey::DSA(_) => (key.key_size(), MIN_RSA_BITS),
        PublicKey::EC(_) => (key.key_size(), MIN_EC_BITS),
        // Ed25519 and Ed448 keys have a fixed size, and rustls supports no other kinds.
        PublicKey::GostR3410(_) | PublicKey::GostR3410_2012(_) | PublicKey::Unknown(_) => {
            return Ok(());
        }
    };
    if bits < min_bits {
        return Err(CertificateError::ShortKey { bits, min_bits });
    }
    Ok(())
}

fn is_sha1(algorithm: &Oid<'_>) -> bool {
    [
        OID_HASH_SHA1,
        OID_PKCS1_SHA1WITHRSA,
        OID_SIG_DSA_WITH_SHA1,
        ECDSA_WITH_SHA1,
    ]
    .contains(algorithm)
}
