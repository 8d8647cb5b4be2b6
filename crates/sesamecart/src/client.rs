//! The client of the administration API.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context as _, bail};
use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HOST};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sesamecart_administration::{ErrorCode, ErrorReply};
use sesamecart_edges::{ClientError, HttpClient, Reuse, SendStatus, read_body};
use sesamecart_runtime::Worker;
use sesamecart_vocabulary::Bytes as ByteSize;
use thiserror::Error;

/// How long opening a connection may take.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);

/// How long an answer may take; a change waits for its verdict on the other side.
const ANSWER_LIMIT: Duration = Duration::from_secs(20);

/// The largest answer, in bytes.
const MAX_ANSWER: ByteSize = ByteSize(64 * 1024 * 1024);

/// Why a request to the API failed.
#[derive(Debug, Error)]
pub(crate) enum RequestError {
    /// The API says why.
    #[error("{0}")]
    Refused(Box<ErrorReply>),
    /// No node answered.
    #[error("{0:#}")]
    NoAnswer(anyhow::Error),
    /// A node may have taken a change, but its answer was lost.
    #[error("{0:#}; the change may have taken effect")]
    LostAnswer(anyhow::Error),
}

/// Asks the nodes' administration APIs.
#[derive(Debug)]
pub(crate) struct Client {
    servers: Vec<SocketAddr>,
    token: String,
    http: HttpClient,
    worker: Worker,
}

impl Client {
    /// Makes a client that asks the nodes in the order in which they are named.
    pub(crate) fn new(servers: &str, token: &str) -> anyhow::Result<Self> {
        let names = servers.split(',').map(str::trim);
        let names = names.filter(|name| !name.is_empty());
        let servers = names.map(|name| {
            let parsed = name.parse::<SocketAddr>();
            parsed.with_context(|| format!("server {name:?} is not an IP number and port"))
        });
        let servers = servers.collect::<anyhow::Result<Vec<_>>>()?;
        if servers.is_empty() {
            bail!("no node is named; set SESAMECART_SERVER or use --server IP:PORT");
        }
        if token.is_empty() {
            bail!("no token is set; set SESAMECART_TOKEN");
        }
        let worker = Worker::start("client")?;
        let http = HttpClient::new(worker.tasks().clone(), CONNECT_LIMIT);
        Ok(Self {
            servers,
            token: token.to_owned(),
            http,
            worker,
        })
    }

    /// Reads something.
    pub(crate) fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, RequestError> {
        self.ask(&Method::GET, path, Bytes::new())
    }

    /// Sends something.
    pub(crate) fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, RequestError> {
        let body =
            serde_json::to_vec(body).map_err(|error| RequestError::NoAnswer(error.into()))?;
        self.ask(&Method::POST, path, body.into())
    }

    /// Asks one node after the other until one answers.
    ///
    /// Every change has a publish id and counts once, so it may go to the next node also when the
    /// one before may have taken it.
    fn ask<T: DeserializeOwned>(
        &self,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, RequestError> {
        let mut may_be_taken = false;
        let mut last = anyhow::anyhow!("no node was asked");
        for server in &self.servers {
            match self.ask_one(*server, method, path, body.clone()) {
                Ok(answer) => return Ok(answer),
                Err(RequestError::Refused(reply)) if reply.code != ErrorCode::Unavailable => {
                    return Err(RequestError::Refused(reply));
                }
                Err(RequestError::Refused(reply)) => last = anyhow::anyhow!("{server}: {reply}"),
                Err(RequestError::LostAnswer(error)) => {
                    may_be_taken |= *method == Method::POST;
                    last = error;
                }
                Err(RequestError::NoAnswer(error)) => last = error,
            }
        }
        if may_be_taken {
            Err(RequestError::LostAnswer(last))
        } else {
            Err(RequestError::NoAnswer(last))
        }
    }

    fn ask_one<T: DeserializeOwned>(
        &self,
        server: SocketAddr,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, RequestError> {
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, server.to_string())
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .context("the token holds characters that a header can't carry")
            .map_err(RequestError::NoAnswer)?;
        let answered = async_io::block_on(self.exchange(server, req));
        let Answer { status, body } = answered?;
        let unreadable = |error: serde_json::Error| {
            let error = anyhow::Error::new(error).context(format!("{server}: {status}"));
            RequestError::NoAnswer(error.context("the answer can't be read"))
        };
        if status.is_success() {
            return serde_json::from_slice(&body).map_err(unreadable);
        }
        let reply: ErrorReply = serde_json::from_slice(&body).map_err(unreadable)?;
        Err(RequestError::Refused(Box::new(reply)))
    }

    async fn exchange(
        &self,
        server: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> Result<Answer, RequestError> {
        let sent = self.http.send(server, req, Reuse::Allowed, ANSWER_LIMIT);
        let exchange = sent.await.map_err(|error: ClientError| match error.sent {
            SendStatus::Nothing => RequestError::NoAnswer(error.into()),
            SendStatus::PossiblySent => RequestError::LostAnswer(error.into()),
        })?;
        let status = exchange.response.status();
        let body = read_body(exchange.response.into_body(), MAX_ANSWER, ANSWER_LIMIT).await;
        let body = body.map_err(|error| RequestError::LostAnswer(error.into()))?;
        exchange.lease.return_to_pool();
        Ok(Answer { status, body })
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.worker.stop();
    }
}

struct Answer {
    status: StatusCode,
    body: Bytes,
}
