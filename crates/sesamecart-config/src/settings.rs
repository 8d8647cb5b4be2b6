//! A node's settings: what one process must know before it can reach the log.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use sesamecart_decisions::settings::DecisionSettings;
use sesamecart_vocabulary::{Bytes, FailureDomainId, NodeId, RegionId};
use thiserror::Error;

use crate::access::AdministrationAccess;
use crate::tls::TlsSettings;

#[cfg(test)]
mod tests;

/// The settings of one node, as read from its JSON file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The node's name, unique among all nodes.
    pub node: NodeId,
    /// The failure domain that its VM lies in.
    pub failure_domain: FailureDomainId,
    /// The region that its VM lies in.
    pub region: RegionId,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub administration: SocketAddr,
    /// Who may connect there.
    #[serde(default)]
    pub access: AdministrationAccess,
    /// Where other nodes connect.
    pub links: SocketAddr,
    /// How connections to these are encrypted; a side without an entry takes plain text.
    #[serde(default)]
    pub tls: TlsSettings,
    /// The platform's log service.
    pub log: LogSettings,
    /// The platform's VM list, if the node should ask it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub vm_list: Option<SocketAddr>,
    /// The platform's weight store, if groups are to be controlled.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight_store: Option<SocketAddr>,
    /// The other nodes that are known from the start.
    #[serde(default)]
    pub peers: Vec<LinkPeer>,
    /// The number of traffic threads.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: usize,
    /// Bounds on what callers may hold.
    #[serde(default)]
    pub bounds: CallerBounds,
    /// Thresholds of the decisions under load; docs/policy.md says what set the defaults.
    #[serde(default)]
    pub decisions: DecisionSettings,
    /// Milliseconds between not being ready and closing the callers' side on leave, which gives the
    /// platform's balancer time to notice.
    #[serde(default = "default_balancer_delay_ms")]
    pub balancer_delay_ms: u64,
    /// Milliseconds that requests in flight may take after that.
    #[serde(default = "default_leave_limit_ms")]
    pub leave_limit_ms: u64,
}

/// Bounds on what callers may hold, so that no caller can take memory without limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerBounds {
    /// The largest body of a request.
    pub max_body_bytes: Bytes,
    /// The largest answer that is held whole before it is passed on.
    pub max_answer_bytes: Bytes,
    /// Milliseconds in which a request's body must arrive.
    pub body_limit_ms: u64,
    /// Milliseconds that a request may take when its caller names no deadline.
    pub request_limit_ms: u64,
    /// Milliseconds in which a connection to an endpoint must open.
    pub connect_limit_ms: u64,
    /// The most connections of callers at once.
    pub max_connections: usize,
}

impl Default for CallerBounds {
    fn default() -> Self {
        Self {
            max_body_bytes: Bytes(8 * 1024 * 1024),
            max_answer_bytes: Bytes(16 * 1024 * 1024),
            body_limit_ms: 30_000,
            request_limit_ms: 120_000,
            connect_limit_ms: 500,
            max_connections: 8_192,
        }
    }
}

/// How the node reaches the platform's log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// The address of the log service.
    pub address: SocketAddr,
    /// Milliseconds between two reads of the tail.
    #[serde(default = "default_poll_ms")]
    pub poll_ms: u64,
    /// Milliseconds between two checkpoints; the log must keep records for at least three times as
    /// long, and for the hour of keyed actions; see docs/design/fold.md.
    #[serde(default = "default_checkpoint_ms")]
    pub checkpoint_ms: u64,
    /// The most records between two checkpoints; the log must keep at least three times as many.
    #[serde(default = "default_checkpoint_records")]
    pub checkpoint_records: u64,
}

/// Another node.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkPeer {
    /// The other node's name.
    pub node: NodeId,
    /// Where it takes links.
    pub address: SocketAddr,
    /// The failure domain that its VM lies in.
    pub failure_domain: FailureDomainId,
}

const fn default_traffic_threads() -> usize {
    2
}

const fn default_balancer_delay_ms() -> u64 {
    2_000
}

const fn default_leave_limit_ms() -> u64 {
    120_000
}

const fn default_poll_ms() -> u64 {
    200
}

const fn default_checkpoint_ms() -> u64 {
    10 * 60 * 1_000
}

const fn default_checkpoint_records() -> u64 {
    10_000
}

/// The most traffic threads that settings may ask for.
const MAX_TRAFFIC_THREADS: usize = 256;

/// Why settings can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{}: can't be read: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file isn't JSON of the right shape.
    #[error("{}: {field}: {value}: {source}", path.display())]
    Shape {
        /// The file.
        path: PathBuf,
        /// The field, as a path from the top; `.` for the file as a whole.
        field: String,
        /// What stands there, cut short, or a dash if nothing can be read there.
        value: String,
        /// What the reader said, with line and column.
        source: serde_json::Error,
    },
    /// A field's value can't be used.
    #[error("{}: {field}: {value}: {reason}", path.display())]
    Value {
        /// The file.
        path: PathBuf,
        /// The field.
        field: &'static str,
        /// The value.
        value: String,
        /// Why it can't be used.
        reason: &'static str,
    },
}

/// The most characters of a wrong value that an error shows.
const SHOWN_CHARACTERS: usize = 60;

/// Returns what stands at a field, for an error to show.
fn value_at(text: &str, field: &str) -> String {
    let Ok(whole) = serde_json::from_str::<serde_json::Value>(text) else {
        return "-".to_owned();
    };
    let pointer = format!("/{}", field.replace(['.', '['], "/").replace(']', ""));
    match whole.pointer(&pointer) {
        Some(value) => value.to_string().chars().take(SHOWN_CHARACTERS).collect(),
        None => "-".to_owned(),
    }
}

impl Settings {
    /// Reads and checks the settings in a file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, the field and the value that can't be used.
    pub fn read(path: impl AsRef<Path>) -> Result<Self, SettingsError> {
        let path = path.as_ref();
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
            path: path.to_owned(),
            source,
        })?;
        Self::parse(path, &text)
    }

    /// Reads and checks settings from text; `path` only names it in errors.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, the field and the value that can't be used.
    pub fn parse(path: &Path, text: &str) -> Result<Self, SettingsError> {
        let reader = &mut serde_json::Deserializer::from_str(text);
        let settings: Self = serde_path_to_error::deserialize(reader).map_err(|error| {
            let field = error.path().to_string();
            SettingsError::Shape {
                path: path.to_owned(),
                value: value_at(text, &field),
                field,
                source: error.into_inner(),
            }
        })?;
        settings.check(path)?;
        Ok(settings)
    }

    fn check(&self, path: &Path) -> Result<(), SettingsError> {
        let error = |field, value: String, reason| {
            Err(SettingsError::Value {
                path: path.to_owned(),
                field,
                value,
                reason,
            })
        };
        if let Err(threshold) = self.decisions.check() {
            return error("decisions", threshold.to_string(), "is out of its range");
        }
        if self.traffic_threads == 0 || self.traffic_threads > MAX_TRAFFIC_THREADS {
            let value = self.traffic_threads.to_string();
            return error("traffic_threads", value, "must be from 1 to 256");
        }
        if self.log.poll_ms == 0 || self.log.poll_ms > 10_000 {
            return error(
                "log.poll_ms",
                self.log.poll_ms.to_string(),
                "must be from 1 to 10000",
            );
        }
        if self.log.checkpoint_ms == 0 {
            return error("log.checkpoint_ms", "0".to_owned(), "must be at least 1");
        }
        if self.log.checkpoint_records == 0 {
            return error(
                "log.checkpoint_records",
                "0".to_owned(),
                "must be at least 1",
            );
        }
        if self.access.requests_per_s == 0 {
            let value = "0".to_owned();
            return error("access.requests_per_s", value, "must be at least 1");
        }
        let mut operators = IndexSet::new();
        for operator in &self.access.operators {
            if !operators.insert(&operator.name) {
                let value = operator.name.clone();
                return error(
                    "access.operators",
                    value,
                    "stands twice among the operators",
                );
            }
        }
        let mut addresses = IndexSet::new();
        for (field, address) in [
            ("callers", self.callers),
            ("administration", self.administration),
            ("links", self.links),
        ] {
            let taken = address.port() != 0 && !addresses.insert(address);
            if taken {
                return error(
                    field,
                    address.to_string(),
                    "stands twice among the node's addresses",
                );
            }
        }
        let mut nodes = IndexSet::from([&self.node]);
        for peer in &self.peers {
            if !nodes.insert(&peer.node) {
                return error(
                    "peers",
                    peer.node.to_string(),
                    "stands twice among the nodes",
                );
            }
        }
        Ok(())
    }
}
