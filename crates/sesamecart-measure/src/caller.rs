//! A caller as users' programs are: it speaks the usual protocols and checks what it gets.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context as _, ensure};
use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HOST};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt as _, Full};
use serde_json::{Value, json};
use sesamecart_edges::{DEADLINE_MS, HttpClient, IDEMPOTENCY_KEY, Reuse, read_body};
use sesamecart_runtime::Tasks;
use sesamecart_vocabulary::Bytes as ByteSize;

/// The largest answer that a caller reads.
const MAX_ANSWER: ByteSize = ByteSize(64 * 1024 * 1024);

/// How long a caller waits for one request.
const LIMIT: Duration = Duration::from_secs(30);

/// A caller with a customer's key.
#[derive(Clone, Debug)]
pub struct Caller {
    client: HttpClient,
    key: String,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// How long it took.
    pub taken: Duration,
}

impl Answer {
    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error when the body isn't JSON.
    pub fn json(&self) -> anyhow::Result<Value> {
        serde_json::from_slice(&self.body).context("the answer is not JSON")
    }
}

/// A streamed answer.
#[derive(Clone, Debug)]
pub struct StreamAnswer {
    /// Its status.
    pub status: StatusCode,
    /// The text of all events.
    pub text: String,
    /// The times from the request to each event.
    pub events: Vec<Duration>,
    /// Whether the last event came.
    pub done: bool,
    /// The error that an event or the body carried.
    pub error: Option<String>,
}

impl Caller {
    /// Makes a caller whose connections run on `tasks`.
    #[must_use]
    pub fn new(tasks: Tasks, key: impl Into<String>) -> Self {
        Self {
            client: HttpClient::new(tasks, Duration::from_secs(2)),
            key: key.into(),
        }
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns an error when no whole answer comes.
    pub async fn call(
        &self,
        node: SocketAddr,
        method: Method,
        path: &str,
        idempotency_key: Option<&str>,
        body: impl Into<Bytes>,
    ) -> anyhow::Result<Answer> {
        let begun = Instant::now();
        let req = self.request(node, method, path, idempotency_key, body.into())?;
        let exchange = self.client.send(node, req, Reuse::Allowed, LIMIT).await?;
        let (head, incoming) = exchange.response.into_parts();
        let body = read_body(incoming, MAX_ANSWER, LIMIT).await?;
        exchange.lease.return_to_pool();
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body,
            taken: begun.elapsed(),
        })
    }

    /// Books a transfer under an idempotency key.
    ///
    /// # Errors
    ///
    /// Returns an error when no whole answer comes.
    pub async fn transfer(
        &self,
        node: SocketAddr,
        service: &str,
        transfer: &str,
        idempotency_key: &str,
    ) -> anyhow::Result<Answer> {
        let path = format!("/services/{service}/transfers");
        let body = json!({ "transfer": transfer }).to_string();
        self.call(node, Method::POST, &path, Some(idempotency_key), body)
            .await
    }

    /// Asks for a streamed chat completion and reads it to its end.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection fails or breaks.
    pub async fn chat(
        &self,
        node: SocketAddr,
        model: &str,
        prompt: &str,
        tokens: u64,
    ) -> anyhow::Result<StreamAnswer> {
        let body = json!({
            "model": model,
            "stream": true,
            "max_tokens": tokens,
            "messages": [{ "role": "user", "content": prompt }],
        });
        let begun = Instant::now();
        let req = self.request(
            node,
            Method::POST,
            "/v1/chat/completions",
            None,
            body.to_string().into(),
        )?;
        let exchange = self.client.send(node, req, Reuse::Allowed, LIMIT).await?;
        let (head, mut incoming) = exchange.response.into_parts();
        let mut answer = StreamAnswer {
            status: head.status,
            text: String::new(),
            events: Vec::new(),
            done: false,
            error: None,
        };
        if !head.status.is_success() {
            let body = read_body(incoming, MAX_ANSWER, LIMIT).await?;
            exchange.lease.return_to_pool();
            answer.error = Some(String::from_utf8_lossy(&body).into_owned());
            return Ok(answer);
        }
        let mut buf = Vec::new();
        while let Some(frame) = incoming.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            buf.extend_from_slice(&data);
            take_events(&mut buf, begun, &mut answer)?;
        }
        ensure!(buf.is_empty(), "the stream ended inside an event");
        exchange.lease.return_to_pool();
        Ok(answer)
    }

    fn request(
        &self,
        node: SocketAddr,
        method: Method,
        path: &str,
        idempotency_key: Option<&str>,
        body: Bytes,
    ) -> anyhow::Result<Request<Full<Bytes>>> {
        let mut builder = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, node.to_string())
            .header(AUTHORIZATION, format!("Bearer {}", self.key))
            .header(DEADLINE_MS, LIMIT.as_millis().to_string())
            .header(CONTENT_TYPE, "application/json");
        if let Some(key) = idempotency_key {
            builder = builder.header(IDEMPOTENCY_KEY, key);
        }
        Ok(builder.body(Full::new(body))?)
    }
}

/// Takes the whole events out of `buf` and adds them to the answer.
fn take_events(buf: &mut Vec<u8>, begun: Instant, answer: &mut StreamAnswer) -> anyhow::Result<()> {
    while let Some(end) = buf.windows(2).position(|pair| pair == b"\n\n") {
        let event: Vec<u8> = buf.drain(..end + 2).collect();
        let text = std::str::from_utf8(&event)?;
        let Some(data) = text.lines().find_map(|line| line.strip_prefix("data: ")) else {
            continue;
        };
        if data == "[DONE]" {
            answer.done = true;
            continue;
        }
        let chunk: Value = serde_json::from_str(data)?;
        if let Some(error) = chunk.get("error") {
            answer.error = Some(error.to_string());
            continue;
        }
        answer.events.push(begun.elapsed());
        let delta = &chunk["choices"][0]["delta"]["content"];
        answer.text.push_str(delta.as_str().unwrap_or_default());
    }
    Ok(())
}
