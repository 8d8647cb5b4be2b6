//! The platform's rate-limited store of model weights.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use futures_lite::future::Boxed;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use sesamecart_vocabulary::{Bytes as ByteSize, ModelId};

use crate::body::BoxError;
use crate::client::HttpClient;

/// The largest answer that is read, in bytes.
const MAX_ANSWER: ByteSize = ByteSize(64 * 1024);

/// A load that the store has taken on.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct WeightTransfer {
    /// The size of the weights.
    pub bytes: ByteSize,
    /// Milliseconds until it will be done at the store's present rate.
    pub done_after_ms: u64,
}

/// Why the store didn't take on a load.
#[derive(Debug, Display, Error)]
pub enum WeightStoreError {
    /// The store has no rate left.
    #[display("weight store at {peer}: out of rate, again after {} ms", again_after.as_millis())]
    OutOfRate {
        /// The store.
        peer: SocketAddr,
        /// When to ask again.
        again_after: Duration,
    },
    /// The store couldn't be asked.
    #[display("weight store at {peer}: {reason}")]
    Failed {
        /// The store.
        peer: SocketAddr,
        /// What failed.
        #[error(not(source))]
        reason: BoxError,
    },
}

/// The platform's weight store, as the node sees it.
pub trait WeightStore: Send + Sync + std::fmt::Debug {
    /// Starts or goes on with a load of one version of a model.
    fn load(
        &self,
        model: ModelId,
        version: String,
    ) -> Boxed<Result<WeightTransfer, WeightStoreError>>;
}

/// The weight store over HTTP.
#[derive(Clone, Debug)]
pub struct HttpWeightStore {
    client: HttpClient,
    peer: SocketAddr,
    limit: Duration,
}

impl HttpWeightStore {
    /// Makes an adapter for the store at `peer`; each call takes at most `limit`.
    #[must_use]
    pub fn new(client: HttpClient, peer: SocketAddr, limit: Duration) -> Self {
        Self {
            client,
            peer,
            limit,
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
            .get(peer, &path, MAX_ANSWER, self.limit)
            .await
            .map_err(failed)?;
        let (head, body) = response.into_parts();
        if head.status == StatusCode::TOO_MANY_REQUESTS {
            let again_after = retry_after(&head.headers);
            return Err(WeightStoreError::OutOfRate { peer, again_after });
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

/// Reads `Retry-After` in seconds; a missing or odd one counts as one second.
fn retry_after(headers: &http::HeaderMap) -> Duration {
    let seconds = headers
        .get(http::header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .unwrap_or(1);
    Duration::from_secs(seconds)
}
