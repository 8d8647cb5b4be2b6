//! One attempt's place at an endpoint, given back however the attempt ends.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use sesamecart_runtime::Signal;
use sesamecart_vocabulary::{EndpointId, RequestId, Timestamp};

use crate::beliefs::Beliefs;
use crate::clock;
use crate::events::Event;
use crate::follower::millis;

/// A request under way at an endpoint.
///
/// When the caller leaves, the library drops the request's future wherever it stands. The place at
/// the endpoint is given back then, or the node would believe it full for ever.
#[derive(Debug)]
pub(crate) struct Flight {
    beliefs: Arc<Beliefs>,
    pub(crate) endpoint: EndpointId,
    request: RequestId,
    arrived: Timestamp,
    sent_at: Timestamp,
    /// Given when the endpoint's group is found lost.
    lost: Option<Signal>,
    begun: bool,
    settled: bool,
}

impl Flight {
    /// Counts a request that is sent to an endpoint now.
    pub(crate) fn begin(
        beliefs: Arc<Beliefs>,
        endpoint: EndpointId,
        request: RequestId,
        arrived: Timestamp,
        lost: Option<Signal>,
    ) -> Self {
        let sent_at = clock::now();
        beliefs.loads().sent(sent_at, &endpoint);
        beliefs.loads_changed.notify(usize::MAX);
        Self {
            beliefs,
            endpoint,
            request,
            arrived,
            sent_at,
            lost,
            begun: false,
            settled: false,
        }
    }

    /// Returns a future that ends when the endpoint's group is found lost.
    pub(crate) fn lost(&self) -> impl Future<Output = ()> + Send + use<> {
        let lost = self.lost.clone();
        async move {
            match lost {
                Some(lost) => lost.wait().await,
                None => future::pending().await,
            }
        }
    }

    /// Returns how long ago the request was sent.
    pub(crate) fn age(&self) -> Duration {
        clock::now().since(self.sent_at)
    }

    /// Notes a sign of life of the endpoint on this request.
    pub(crate) fn heard(&mut self) {
        let now = clock::now();
        if self.begun {
            self.beliefs.loads().heard(now, &self.endpoint);
            return;
        }
        self.begun = true;
        self.beliefs.loads().begun(now, &self.endpoint);
        self.beliefs.loads_changed.notify(usize::MAX);
    }

    /// Notes that the answer was whole.
    pub(crate) fn succeed(&mut self) {
        self.settled = true;
        self.beliefs.loads().succeeded(&self.endpoint);
    }

    /// Notes that the endpoint failed the request.
    pub(crate) fn fail(&mut self) {
        self.settled = true;
        let rest = self.beliefs.loads().failed(clock::now(), &self.endpoint);
        if let Some(rest) = rest {
            self.beliefs.events.write(&Event::EndpointRests {
                endpoint: self.endpoint.as_str(),
                request: self.request.as_str(),
                rest_ms: millis(rest),
            });
        }
    }

    /// Notes that the attempt ended through no fault of the endpoint.
    pub(crate) fn settle(&mut self) {
        self.settled = true;
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.beliefs.loads().ended(&self.endpoint, self.begun);
        self.beliefs.loads_changed.notify(usize::MAX);
        if self.settled {
            return;
        }
        self.beliefs.events.write(&Event::CallerLeft {
            request: self.request.as_str(),
            endpoint: self.endpoint.as_str(),
            after_ms: millis(clock::now().since(self.arrived)),
        });
    }
}
