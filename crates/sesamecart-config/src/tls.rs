//! How connections are encrypted, as settings say.

use std::path::PathBuf;

use serde::{Deserialize, Serialize};

/// How each side of a node takes connections.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TlsSettings {
    /// The callers' side.
    pub callers: Transport,
    /// The operators' side.
    pub administration: Transport,
    /// The other nodes' side, and how this node connects to them.
    pub links: Transport,
}

/// How one side takes connections.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Transport {
    /// Unencrypted.
    #[default]
    PlainText,
    /// By TLS.
    Tls(TlsFiles),
}

/// The PEM files of one side.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsFiles {
    /// The certificate and its chain, the own one first.
    pub certificate: PathBuf,
    /// The certificate's private key.
    pub key: PathBuf,
    /// The certificates that the other side's must be signed by: peers' on links, and clients' where
    /// `client_certificates` is set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub authorities: Option<PathBuf>,
    /// Whether the other side must show a certificate.
    #[serde(default)]
    pub client_certificates: bool,
}
