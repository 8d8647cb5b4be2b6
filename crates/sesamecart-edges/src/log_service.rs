//! The client of the platform's log service: the trait that the node uses and its HTTP implementation.

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

use crate::body::{BoxError, read_body};
use crate::client::{HttpClient, Reuse, SendStatus};

/// The maximum size of a response of the log.
const MAX_RESPONSE_BYTES: ByteSize = ByteSize(64 * 1024 * 1024);

/// A record as stored in the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoggedRecord {
    /// The record's position in the log.
    pub offset: Offset,
    /// When the record was appended, in milliseconds of the log's clock.
    pub time_ms: u64,
    /// The content of the record.
    pub data: Bytes,
}

/// Consecutive records read from the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogPage {
    /// The oldest offset that the log retains.
    pub first: Offset,
    /// The offset of the next append.
    pub next: Offset,
    /// The records, starting at the requested offset.
    pub records: Vec<LoggedRecord>,
}

/// The error of a call to the log service.
#[derive(Debug, Display, Error)]
pub enum LogError {
    /// The log rejected the call without storing anything.
    #[display("log {step} at {peer}: refused with {status}")]
    Refused {
        /// The operation: `append` or `read`.
        step: &'static str,
        /// The address of the log service.
        peer: SocketAddr,
        /// The HTTP status of the response.
        status: StatusCode,
    },
    /// No part of the request reached the log.
    #[display("log {step} at {peer}: not reached: {reason}")]
    NotSent {
        /// The operation: `append` or `read`.
        step: &'static str,
        /// The address of the log service.
        peer: SocketAddr,
        /// The cause.
        #[error(not(source))]
        reason: BoxError,
    },
    /// No usable response arrived; an append may have taken effect.
    #[display("log {step} at {peer}: no answer: {reason}")]
    NoResponse {
        /// The operation: `append` or `read`.
        step: &'static str,
        /// The address of the log service.
        peer: SocketAddr,
        /// The cause.
        #[error(not(source))]
        reason: BoxError,
    },
}

/// A client of the platform's append-only log.
pub trait Log: Send + Sync + std::fmt::Debug {
    /// Appends a record and returns its offset once it is durable.
    ///
    /// After [`LogError::NoResponse`] the record may be in the log, so read the log before appending it again.
    fn append(&self, data: Bytes) -> Boxed<Result<Offset, LogError>>;

    /// Reads up to `limit` records starting at `from`, waiting up to `wait` for the first one.
    fn read(&self, from: Offset, limit: usize, wait: Duration) -> Boxed<Result<LogPage, LogError>>;
}

/// The HTTP client of the log service.
#[derive(Clone, Debug)]
pub struct HttpLog {
    client: HttpClient,
    peer: SocketAddr,
    timeout: Duration,
}

#[derive(Serialize, Deserialize)]
struct AppendReply {
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
    /// Creates a client of the log at `peer`. A call times out after `timeout`, plus the `wait` of a read.
    #[must_use]
    pub fn new(client: HttpClient, peer: SocketAddr, timeout: Duration) -> Self {
        Self {
            client,
            peer,
            timeout,
        }
    }

    async fn call(
        &self,
        step: &'static str,
        method: Method,
        path: String,
        data: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, LogError> {
        let peer = self.peer;
        let no_answer = |reason: BoxError| LogError::NoResponse { step, peer, reason };
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, peer.to_string())
            .body(Full::new(data))
            .map_err(|error| LogError::NotSent {
                step,
                peer,
                reason: error.into(),
            })?;
        let exchange = self
            .client
            .send(peer, req, Reuse::Allowed, timeout)
            .await
            .map_err(|error| match error.sent {
                SendStatus::Nothing => LogError::NotSent {
                    step,
                    peer,
                    reason: error.into(),
                },
                SendStatus::PossiblySent => no_answer(error.into()),
            })?;
        let status = exchange.response.status();
        let body = read_body(exchange.response.into_body(), MAX_RESPONSE_BYTES, timeout)
            .await
            .map_err(|error| no_answer(error.into()))?;
        exchange.lease.return_to_pool();
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
                self.timeout,
            )
            .await?;
        let appended: AppendReply = self.parse("append", &body)?;
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
            .call("read", Method::GET, path, Bytes::new(), self.timeout + wait)
            .await?;
        let page: Page = self.parse("read", &body)?;
        let records = page
            .records
            .into_iter()
            .map(|record| {
                let data = STANDARD
                    .decode(record.data)
                    .map_err(|error| LogError::NoResponse {
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
        serde_json::from_slice(body).map_err(|error| LogError::NoResponse {
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
