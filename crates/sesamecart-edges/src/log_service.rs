//! The platform's log service: the trait that the node uses and its HTTP adapter.

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use derive_more::{Display, Error};
use futures_lite::future::Boxed;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use sesamecart_vocabulary::{Bytes as ByteSize, Offset};

use crate::body::{BoxError, read_whole};
use crate::client::{HttpClient, Reuse, Sent};

/// The largest answer of the log that is read, in bytes.
const MAX_PAGE: ByteSize = ByteSize(64 * 1024 * 1024);

/// A record as the log keeps it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoggedRecord {
    /// Its position.
    pub offset: Offset,
    /// When the log took it, in milliseconds of the log's own clock.
    pub time_ms: u64,
    /// Its bytes.
    pub data: Bytes,
}

/// A part of the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogPage {
    /// The oldest offset that the log still keeps.
    pub first: Offset,
    /// The offset that the next append gets.
    pub next: Offset,
    /// The records from the wanted offset on.
    pub records: Vec<LoggedRecord>,
}

/// Why the log didn't do what was asked.
#[derive(Debug, Display, Error)]
pub enum LogError {
    /// The log refused before it kept anything.
    #[display("log {step} at {peer}: refused with {status}")]
    Refused {
        /// The step.
        step: &'static str,
        /// The log service.
        peer: SocketAddr,
        /// What it answered.
        status: StatusCode,
    },
    /// Nothing reached the log.
    #[display("log {step} at {peer}: not reached: {reason}")]
    NotReached {
        /// The step.
        step: &'static str,
        /// The log service.
        peer: SocketAddr,
        /// What failed.
        #[error(not(source))]
        reason: BoxError,
    },
    /// The answer was lost: an append may have taken effect.
    #[display("log {step} at {peer}: no answer: {reason}")]
    NoAnswer {
        /// The step.
        step: &'static str,
        /// The log service.
        peer: SocketAddr,
        /// What failed.
        #[error(not(source))]
        reason: BoxError,
    },
}

/// The platform's append-only log, as the node sees it.
pub trait Log: Send + Sync + std::fmt::Debug {
    /// Appends a record and returns its offset once it is durable.
    ///
    /// After [`LogError::NoAnswer`] the record may be there: read back before appending again.
    fn append(&self, data: Bytes) -> Boxed<Result<Offset, LogError>>;

    /// Reads records from an offset on, waiting up to `wait` for the first.
    fn read(&self, from: Offset, limit: usize, wait: Duration) -> Boxed<Result<LogPage, LogError>>;
}

/// The log service over HTTP.
#[derive(Clone, Debug)]
pub struct HttpLog {
    client: HttpClient,
    peer: SocketAddr,
    limit: Duration,
}

#[derive(Serialize, Deserialize)]
struct Appended {
    offset: Offset,
}

#[derive(Serialize, Deserialize)]
struct Page {
    first: Offset,
    next: Offset,
    records: Vec<PageRecord>,
}

#[derive(Serialize, Deserialize)]
struct PageRecord {
    offset: Offset,
    time_ms: u64,
    data: String,
}

impl HttpLog {
    /// Makes an adapter for the log at `peer`; each call takes at most `limit` beyond its wait.
    #[must_use]
    pub fn new(client: HttpClient, peer: SocketAddr, limit: Duration) -> Self {
        Self {
            client,
            peer,
            limit,
        }
    }

    async fn call(
        &self,
        step: &'static str,
        method: Method,
        path: String,
        data: Bytes,
        limit: Duration,
    ) -> Result<Bytes, LogError> {
        let peer = self.peer;
        let no_answer = |reason: BoxError| LogError::NoAnswer { step, peer, reason };
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, peer.to_string())
            .body(Full::new(data))
            .map_err(|error| LogError::NotReached {
                step,
                peer,
                reason: error.into(),
            })?;
        let exchange = self
            .client
            .send(peer, req, Reuse::Allowed, limit)
            .await
            .map_err(|error| match error.sent {
                Sent::Nothing => LogError::NotReached {
                    step,
                    peer,
                    reason: error.into(),
                },
                Sent::Maybe => no_answer(error.into()),
            })?;
        let status = exchange.response.status();
        let body = read_whole(exchange.response.into_body(), MAX_PAGE, limit)
            .await
            .map_err(|error| no_answer(error.into()))?;
        exchange.lease.give_back();
        if status.is_success() {
            return Ok(body);
        }
        Err(LogError::Refused { step, peer, status })
    }

    async fn append_record(self, data: Bytes) -> Result<Offset, LogError> {
        let body = self
            .call(
                "append",
                Method::POST,
                "/append".to_owned(),
                data,
                self.limit,
            )
            .await?;
        let appended: Appended = self.parse("append", &body)?;
        Ok(appended.offset)
    }

    async fn read_page(
        self,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> Result<LogPage, LogError> {
        let path = format!(
            "/records?from={from}&limit={limit}&wait_ms={}",
            wait.as_millis()
        );
        let body = self
            .call("read", Method::GET, path, Bytes::new(), self.limit + wait)
            .await?;
        let page: Page = self.parse("read", &body)?;
        let records = page
            .records
            .into_iter()
            .map(|record| {
                let data = STANDARD
                    .decode(record.data)
                    .map_err(|error| LogError::NoAnswer {
                        step: "read",
                        peer: self.peer,
                        reason: error.into(),
                    })?;
                Ok(LoggedRecord {
                    offset: record.offset,
                    time_ms: record.time_ms,
                    data: data.into(),
                })
            })
            .collect::<Result<_, LogError>>()?;
        Ok(LogPage {
            first: page.first,
            next: page.next,
            records,
        })
    }

    fn parse<'a, T: Deserialize<'a>>(
        &self,
        step: &'static str,
        body: &'a [u8],
    ) -> Result<T, LogError> {
        serde_json::from_slice(body).map_err(|error| LogError::NoAnswer {
            step,
            peer: self.peer,
            reason: error.into(),
        })
    }
}

impl Log for HttpLog {
    fn append(&self, data: Bytes) -> Boxed<Result<Offset, LogError>> {
        Box::pin(self.clone().append_record(data))
    }

    fn read(&self, from: Offset, limit: usize, wait: Duration) -> Boxed<Result<LogPage, LogError>> {
        Box::pin(self.clone().read_page(from, limit, wait))
    }
}
