//! The server's side, whose files can be replaced while it runs.

use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::SystemTime;

use futures_rustls::TlsAcceptor;
use futures_rustls::rustls::ServerConfig;
use rustls_pki_types::UnixTime;
use sesamecart_config::{TlsFiles, Transport};

use super::{TlsError, server_config};

/// What looking at the files again has found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reload {
    /// The files are those in use.
    Unchanged,
    /// New files are in use for connections from now on.
    Replaced,
}

/// The server's side of one listener.
///
/// Connections that are open keep the certificate that they began with.
#[derive(Clone, Debug)]
pub struct TlsServer {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    files: TlsFiles,
    protocols: &'static [&'static [u8]],
    current: Mutex<Current>,
}

#[derive(Debug)]
struct Current {
    config: Arc<ServerConfig>,
    stamps: Stamps,
}

/// When each file was last changed.
type Stamps = [Option<SystemTime>; 3];

impl TlsServer {
    /// Reads the files for the first time.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file and why it can't be used.
    pub fn new(
        files: TlsFiles,
        protocols: &'static [&'static [u8]],
        now: UnixTime,
    ) -> Result<Self, TlsError> {
        let stamps = stamps(&files);
        let config = Arc::new(server_config(&files, protocols, now)?);
        Ok(Self {
            inner: Arc::new(Inner {
                files,
                protocols,
                current: Mutex::new(Current { config, stamps }),
            }),
        })
    }

    /// Reads the files that settings name for a side, or nothing where it takes plain text.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file and why it can't be used.
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

    /// Reads the files again if one of them has changed.
    ///
    /// A set that can't be used leaves the old one in force: a certificate and its key are two files
    /// and may be seen between two writes.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file and why it can't be used.
    pub fn reload(&self, now: UnixTime) -> Result<Reload, TlsError> {
        let stamps = stamps(&self.inner.files);
        let mut current = self
            .inner
            .current
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if current.stamps == stamps {
            return Ok(Reload::Unchanged);
        }
        let config = server_config(&self.inner.files, self.inner.protocols, now)?;
        *current = Current {
            config: Arc::new(config),
            stamps,
        };
        Ok(Reload::Replaced)
    }

    /// Returns what accepts the next connection.
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

fn stamps(files: &TlsFiles) -> Stamps {
    let changed = |file: &Path| {
        std::fs::metadata(file)
            .and_then(|data| data.modified())
            .ok()
    };
    [
        changed(&files.certificate),
        changed(&files.key),
        files.authorities.as_deref().and_then(changed),
    ]
}
