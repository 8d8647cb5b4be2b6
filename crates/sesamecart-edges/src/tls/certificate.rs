//! Checks that a certificate may be used.
//!
//! rustls presents whatever certificate it is given. An expired or weak one would be noticed only by
//! callers, who then refuse to connect; checked here, operators see it in the node's log at once.

use derive_more::Display;
use rustls_pki_types::{CertificateDer, UnixTime};
use x509_parser::der_parser::oid;
use x509_parser::oid_registry::{OID_HASH_SHA1, OID_PKCS1_SHA1WITHRSA, OID_SIG_DSA_WITH_SHA1, Oid};
use x509_parser::prelude::{FromDer as _, X509Certificate};
use x509_parser::public_key::PublicKey;

/// The shortest RSA key that is accepted, in bits.
const MIN_RSA_BITS: usize = 2_048;

/// The shortest elliptic curve key that is accepted, in bits.
const MIN_CURVE_BITS: usize = 256;

/// The signature algorithm ecdsa-with-SHA1.
const ECDSA_WITH_SHA1: Oid<'static> = oid!(1.2.840.10045.4.1);

/// Why a certificate must not be used.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Weakness {
    /// It isn't an X.509 certificate.
    #[display("not a certificate: {_0}")]
    Malformed(String),
    /// Its time is over.
    #[display("expired at {_0}")]
    Expired(String),
    /// Its time hasn't come.
    #[display("not valid before {_0}")]
    NotYetValid(String),
    /// Its key is too short.
    #[display("a key of {bits} bits, at least {least} are needed")]
    ShortKey {
        /// The key's length.
        bits: usize,
        /// The least length.
        least: usize,
    },
    /// It is signed by way of SHA-1.
    #[display("signed with SHA-1")]
    Sha1,
}

/// Checks a certificate at a point of wall-clock time.
pub(super) fn check(certificate: &CertificateDer<'_>, now: UnixTime) -> Result<(), Weakness> {
    let (_, parsed) = X509Certificate::from_der(certificate)
        .map_err(|error| Weakness::Malformed(error.to_string()))?;
    check_time(&parsed, now)?;
    check_key(&parsed)?;
    if is_sha1(&parsed.signature_algorithm.algorithm) {
        return Err(Weakness::Sha1);
    }
    Ok(())
}

fn check_time(certificate: &X509Certificate<'_>, now: UnixTime) -> Result<(), Weakness> {
    let validity = certificate.validity();
    let now = i64::try_from(now.as_secs()).unwrap_or(i64::MAX);
    if now < validity.not_before.timestamp() {
        return Err(Weakness::NotYetValid(validity.not_before.to_string()));
    }
    if now > validity.not_after.timestamp() {
        return Err(Weakness::Expired(validity.not_after.to_string()));
    }
    Ok(())
}

fn check_key(certificate: &X509Certificate<'_>) -> Result<(), Weakness> {
    let key = certificate
        .public_key()
        .parsed()
        .map_err(|error| Weakness::Malformed(error.to_string()))?;
    let (bits, least) = match &key {
        PublicKey::RSA(_) | PublicKey::DSA(_) => (key.key_size(), MIN_RSA_BITS),
        PublicKey::EC(_) => (key.key_size(), MIN_CURVE_BITS),
        // Ed25519 and Ed448 keys have one size; others rustls doesn't take.
        PublicKey::GostR3410(_) | PublicKey::GostR3410_2012(_) | PublicKey::Unknown(_) => {
            return Ok(());
        }
    };
    if bits < least {
        return Err(Weakness::ShortKey { bits, least });
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
