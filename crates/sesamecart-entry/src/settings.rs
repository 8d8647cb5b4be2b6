//! The settings of a node: everything that it needs before it can reach the store.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;
use sesamecart_fleet::{DispatchSetting, RetryLimit};
use sesamecart_vocabulary::{FailureDomainId, NodeId, RegionId};
use thiserror::Error;

#[cfg(test)]
mod tests;

/// The number of files that a node needs at least, for itself and two for each of some requests.
const MIN_FILES: usize = 512;

/// The settings of one node, as read from its JSON file.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The node's name, unique among all nodes.
    pub node: NodeId,
    /// The failure domain of its VM.
    pub failure_domain: FailureDomainId,
    /// The region of its VM.
    pub region: RegionId,
    /// The address that callers connect to.
    pub callers: SocketAddr,
    /// The address that the platform's load balancer checks for readiness.
    pub readiness: SocketAddr,
    /// The address that serves the metrics.
    pub metrics: SocketAddr,
    /// The address for links from other nodes.
    pub links: SocketAddr,
    /// The address for requests that other nodes forward. If it is missing, it is at the next port after that of
    /// `metrics` that none of the other addresses uses, or at another one if that port is taken. Other nodes learn of
    /// it with the node's registration.
    #[serde(default)]
    pub forwarding: Option<SocketAddr>,
    /// Whether `forwarding` wasn't set.
    #[serde(skip)]
    pub is_forwarding_default: bool,
    /// The share of a core that the node may use. The nodes with the largest shares read the store for the
    /// others.
    pub processor_share: f64,
    /// The memory that the node may use, in megabytes.
    #[serde(default)]
    pub memory_mb: Option<u64>,
    /// The number of files and connections that the node may have open.
    #[serde(default)]
    pub max_files: Option<usize>,
    /// Whether dispatchers place requests. If it is missing, that depends on the configuration and on the nodes'
    /// memory; docs/design/dispatch.md has the rule.
    #[serde(default)]
    pub dispatch: Option<DispatchSetting>,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// Whether the whole deployment starts for the first time, rather than only this process.
    pub first_start: bool,
    /// Limits that the operator sets for all nodes.
    pub bounds: OperatorBounds,
}

/// Limits that the operator sets for all nodes.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct OperatorBounds {
    /// Milliseconds after which a revoked key must be refused.
    pub key_revocation_ms: u64,
    /// Milliseconds within which a new configuration must be in force.
    pub configuration_ms: u64,
    /// Milliseconds that a group stalls after the loss of a member before its head gives up.
    pub group_stall_ms: u64,
    /// Seconds between the SIGTERM and the SIGKILL.
    pub leave_s: f64,
    /// Retries that each request adds to the retry budget.
    pub retry_ratio: f64,
    /// Retries that all nodes together may send in addition.
    pub retry_burst: f64,
    /// Milliseconds between two heartbeats of an endpoint.
    pub heartbeat_ms: u64,
    /// Minimum TTL, in milliseconds, of a node's membership in the store's group of nodes that compete for
    /// control.
    pub lease_least_ms: u64,
    /// Milliseconds within which a node that can reach the store must know what other nodes have reported.
    #[serde(default = "default_contact_ms")]
    pub contact_ms: u64,
    /// Milliseconds for which an endpoint serves after it has said that it leaves.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
}

const fn default_drain_ms() -> u64 {
    2_000
}

const fn default_contact_ms() -> u64 {
    3_000
}

impl OperatorBounds {
    /// Returns the retry budget that all nodes share.
    #[must_use]
    pub const fn retry_share(&self) -> RetryLimit {
        RetryLimit {
            ratio: self.retry_ratio,
            burst: self.retry_burst,
        }
    }

    /// Returns the time between the SIGTERM and the SIGKILL.
    #[must_use]
    pub fn shutdown_grace(&self) -> Duration {
        // The validation of the settings rejects values for which the conversion fails.
        Duration::try_from_secs_f64(self.leave_s).unwrap_or_default()
    }

    /// Returns the interval at which endpoints write their heartbeats.
    #[must_use]
    pub const fn heartbeat_interval(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    /// Returns the time within which a node must know what other nodes have reported.
    #[must_use]
    pub const fn contact(&self) -> Duration {
        Duration::from_millis(self.contact_ms)
    }

    /// Returns how long an endpoint serves after it has said that it leaves.
    #[must_use]
    pub const fn drain_time(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }

    /// Returns how long a group stalls before its head gives up.
    #[must_use]
    pub const fn group_stall(&self) -> Duration {
        Duration::from_millis(self.group_stall_ms)
    }
}

/// The reason why settings can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{}: can't be read: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The file isn't valid JSON or doesn't have the expected fields.
    #[error("{}: {field}: {source}", path.display())]
    Shape {
        /// The file.
        path: PathBuf,
        /// The path of the field from the root; `.` for the whole file.
        field: String,
        /// The deserializer's error, with line and column.
        source: serde_json::Error,
    },
    /// The value of a field is invalid.
    #[error("{}: {field}: {value}: {reason}", path.display())]
    Value {
        /// The file.
        path: PathBuf,
        /// The field.
        field: &'static str,
        /// The value.
        value: String,
        /// Why the value is invalid.
        reason: &'static str,
    },
}

impl EntrySettings {
    /// Reads and validates the settings in a file.
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

    /// Parses and validates settings from text; `path` is only used in errors.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, the field and the value that can't be used.
    pub fn parse(path: &Path, text: &str) -> Result<Self, SettingsError> {
        let deserializer = &mut serde_json::Deserializer::from_str(text);
        let settings: Self = serde_path_to_error::deserialize(deserializer).map_err(|error| {
            SettingsError::Shape {
                path: path.to_owned(),
                field: error.path().to_string(),
                source: error.into_inner(),
            }
        })?;
        settings.validate(path)?;
        Ok(Self {
            is_forwarding_default: settings.forwarding.is_none(),
            forwarding: Some(settings.forwarding_address()),
            ..settings
        })
    }

    /// Returns the address for requests that other nodes forward.
    fn forwarding_address(&self) -> SocketAddr {
        let addresses = [self.callers, self.readiness, self.metrics, self.links];
        let is_free = |port: &u16| addresses.iter().all(|address| address.port() != *port);
        let metrics = self.metrics.port();
        // With port 0, the system chooses one.
        let default_port = match metrics {
            0 => Some(0),
            _ => (metrics..).skip(1).find(is_free),
        };
        self.forwarding
            .unwrap_or_else(|| SocketAddr::new(self.links.ip(), default_port.unwrap_or_default()))
    }

    fn validate(&self, path: &Path) -> Result<(), SettingsError> {
        let error = |field, value: String, reason| {
            Err(SettingsError::Value {
                path: path.to_owned(),
                field,
                value,
                reason,
            })
        };
        let bounds = &self.bounds;
        let positive_fields = [
            ("bounds.key_revocation_ms", bounds.key_revocation_ms),
            ("bounds.configuration_ms", bounds.configuration_ms),
            ("bounds.group_stall_ms", bounds.group_stall_ms),
            ("bounds.heartbeat_ms", bounds.heartbeat_ms),
            ("bounds.lease_least_ms", bounds.lease_least_ms),
            ("bounds.contact_ms", bounds.contact_ms),
        ];
        for (field, value) in positive_fields {
            if value == 0 {
                return error(field, value.to_string(), "must be at least 1");
            }
        }
        if Duration::try_from_secs_f64(bounds.leave_s).is_err() || bounds.leave_s == 0.0 {
            let value = bounds.leave_s.to_string();
            return error("bounds.leave_s", value, "must be more than 0");
        }
        if !(self.processor_share.is_finite() && self.processor_share > 0.0) {
            let value = self.processor_share.to_string();
            return error("processor_share", value, "must be more than 0");
        }
        for (field, value) in [
            ("bounds.retry_ratio", bounds.retry_ratio),
            ("bounds.retry_burst", bounds.retry_burst),
        ] {
            if !(value.is_finite() && value >= 0.0) {
                return error(field, value.to_string(), "must be 0 or more");
            }
        }
        if self.memory_mb == Some(0) {
            return error("memory_mb", "0".to_owned(), "must be at least 1");
        }
        if self.max_files.is_some_and(|files| files < MIN_FILES) {
            let value = self.max_files.unwrap_or_default().to_string();
            return error("max_files", value, "leaves no files for callers");
        }
        let addresses = [
            ("readiness", self.readiness, self.callers),
            ("metrics", self.metrics, self.readiness),
            ("metrics", self.metrics, self.callers),
            ("links", self.links, self.callers),
            ("links", self.links, self.readiness),
            ("links", self.links, self.metrics),
        ];
        let forwarding = self.forwarding.into_iter().flat_map(|forwarding| {
            let others = [self.callers, self.readiness, self.metrics, self.links];
            others.map(|other| ("forwarding", forwarding, other))
        });
        for (field, address, other) in addresses.into_iter().chain(forwarding) {
            if address == other && address.port() != 0 {
                let value = address.to_string();
                return error(field, value, "stands twice among the node's addresses");
            }
        }
        Ok(())
    }
}
