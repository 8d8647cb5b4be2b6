//! The TLS configuration of a listener, whose files can be replaced without a restart.

use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::SystemTime;

use futures_rustls::TlsAcceptor;
use futures_rustls::rustls::ServerConfig;
use rustls_pki_types::UnixTime;
use sesamecart_config::{TlsFiles, Transport};

use super::{TlsError, server_config};

/// The result of [`TlsServer::reload`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reload {
    /// The files have not changed.
    Unchanged,
    /// New connections use the new files.
    Replaced,
}

/// The TLS configuration of one listener.
///
/// Open connections keep the certificate that was in use when they were accepted.
#[derive(Clone, Debug)]
pub struct TlsServer {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    files: TlsFiles,
    protocols: &'static [&'static [u8]],
    current: Mutex<LoadedConfig>,
}

#[derive(Debug)]
struct LoadedConfig {
    config: Arc<ServerConfig>,
    modification_times: ModificationTimes,
}

/// The modification times of the certificate, the key and the authorities.
type ModificationTimes = [Option<SystemTime>; 3];

impl TlsServer {
    /// Loads the files.
    ///
    /// # Errors
    ///
    /// Returns an error with the file and the reason if a file can't be used.
    pub fn new(
        files: TlsFiles,
        protocols: &'static [&'static [u8]],
        now: UnixTime,
    ) -> Result<Self, TlsError> {
        let modification_times = modification_times(&files);
        let config = Arc::new(server_config(&files, protocols, now)?);
        Ok(Self {
            inner: Arc::new(Inner {
                files,
                protocols,
                current: Mutex::new(LoadedConfig {
                    config,
                    modification_times,
                }),
            }),
        })
    }

    /// Loads the files that the settings name for a listener, or returns `None` if it uses plain text.
    ///
    /// # Errors
    ///
    /// Returns an error with the file and the reason if a file can't be used.
    pub fn of(
        transport: &Transport,
        protocols: &'static [&'static [u8]],
        now: UnixTime,
    ) -> Result<Option<Self>, TlsError> {
        match transport {
            Transport::PlainText => Ok(None),
            Transport::Tls(files) => Self::new(files.clone(), protocols, now).map(Some),
        }
    }

    /// Reloads the files if the modification time of one of them has changed.
    ///
    /// If the new files can't be used, the old configuration stays in use. A certificate and its key are two
    /// files, so a reload may happen after only one of them was replaced.
    ///
    /// # Errors
    ///
    /// Returns an error with the file and the reason if a file can't be used.
    pub fn reload(&self, now: UnixTime) -> Result<Reload, TlsError> {
        let modification_times = modification_times(&self.inner.files);
        let mut current = self
            .inner
            .current
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if current.modification_times == modification_times {
            return Ok(Reload::Unchanged);
        }
        let config = server_config(&self.inner.files, self.inner.protocols, now)?;
        *current = LoadedConfig {
            config: Arc::new(config),
            modification_times,
        };
        Ok(Reload::Replaced)
    }

    /// Returns an acceptor with the current configuration.
    #[must_use]
    pub fn acceptor(&self) -> TlsAcceptor {
        let current = self
            .inner
            .current
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        TlsAcceptor::from(Arc::clone(&current.config))
    }
}

fn modification_times(files: &TlsFiles) -> ModificationTimes {
    let modified = |file: &Path| {
        std::fs::metadata(file)
            .and_then(|data| data.modified())
            .ok()
    };
    [
        modified(&files.certificate),
        modified(&files.key),
        files.authorities.as_deref().and_then(modified),
    ]
}
