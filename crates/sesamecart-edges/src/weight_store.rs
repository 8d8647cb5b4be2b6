//! The client of the platform's rate-limited store of model weights.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use futures_lite::future::Boxed;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use sesamecart_vocabulary::{Bytes as ByteSize, ModelId};

use crate::body::BoxError;
use crate::client::HttpClient;

/// The maximum size of a response.
const MAX_RESPONSE_BYTES: ByteSize = ByteSize(64 * 1024);

/// A transfer of weights that the store has accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct WeightTransfer {
    /// The size of the weights.
    pub bytes: ByteSize,
    /// The estimated milliseconds until the transfer is done at the store's current rate.
    pub done_after_ms: u64,
}

/// The reason why the store did not accept a transfer.
#[derive(Debug, Display, Error)]
pub enum WeightStoreError {
    /// The store's rate limit is exhausted.
    #[display("weight store at {peer}: out of rate, again after {} ms", retry_after.as_millis())]
    RateLimited {
        /// The address of the store.
        peer: SocketAddr,
        /// How long to wait before the next request.
        retry_after: Duration,
    },
    /// The request failed.
    #[display("weight store at {peer}: {reason}")]
    Failed {
        /// The address of the store.
        peer: SocketAddr,
        /// The cause.
        #[error(not(source))]
        reason: BoxError,
    },
}

/// A client of the platform's weight store.
pub trait WeightStore: Send + Sync + std::fmt::Debug {
    /// Starts or continues the transfer of one version of a model.
    fn load(
        &self,
        model: ModelId,
        version: String,
    ) -> Boxed<Result<WeightTransfer, WeightStoreError>>;
}

/// The HTTP client of the weight store.
#[derive(Clone, Debug)]
pub struct HttpWeightStore {
    client: HttpClient,
    peer: SocketAddr,
    timeout: Duration,
}

impl HttpWeightStore {
    /// Creates a client of the store at `peer`; each call times out after `timeout`.
    #[must_use]
    pub fn new(client: HttpClient, peer: SocketAddr, timeout: Duration) -> Self {
        Self {
            client,
            peer,
            timeout,
        }
    }

    async fn start(
        self,
        model: ModelId,
        version: String,
    ) -> Result<WeightTransfer, WeightStoreError> {
        let peer = self.peer;
        let failed = |reason: BoxError| WeightStoreError::Failed { peer, reason };
        let path = format!("/weights/{model}/{version}");
        let response = self
            .client
            .get(peer, &path, MAX_RESPONSE_BYTES, self.timeout)
            .await
            .map_err(failed)?;
        let (head, body) = response.into_parts();
        if head.status == StatusCode::TOO_MANY_REQUESTS {
            let retry_after = parse_retry_after(&head.headers);
            return Err(WeightStoreError::RateLimited { peer, retry_after });
        }
        if !head.status.is_success() {
            return Err(failed(format!("answered {}", head.status).into()));
        }
        serde_json::from_slice(&body).map_err(|cause| failed(cause.into()))
    }
}

impl WeightStore for HttpWeightStore {
    fn load(
        &self,
        model: ModelId,
        version: String,
    ) -> Boxed<Result<WeightTransfer, WeightStoreError>> {
        Box::pin(self.clone().start(model, version))
    }
}

/// Returns the `Retry-After` header in seconds, or one second if it is missing or invalid.
fn parse_retry_after(headers: &http::HeaderMap) -> Duration {
    let seconds = headers
        .get(http::header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .unwrap_or(1);
    Duration::from_secs(seconds)
}
