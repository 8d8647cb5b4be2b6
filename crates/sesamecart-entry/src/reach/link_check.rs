//! Checks whether this node can open connections to endpoints at all.
//!
//! A probe without an answer says the same of an endpoint that is gone and of one that this node has no path
//! to. Other endpoints tell the two apart: a node that reaches none of them has lost its own links.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::stream::{FuturesUnordered, StreamExt as _};
use indexmap::IndexMap;
use sesamecart_edges::HttpClient;
use sesamecart_fleet::{Directory, Endpoint};
use sesamecart_vocabulary::{FailureDomainId, ServiceId};

use crate::events::Event;
use crate::state::EntryState;
use crate::traffic::CONNECT_TIMEOUT;

/// The number of endpoints to which connections are opened at once.
const SAMPLE_SIZE: usize = 3;

/// The number of samples that a check opens connections to while all endpoints refuse them. Endpoints that have just
/// ended refuse connections like a path that is lost, so a few of them don't tell the two apart.
const MAX_SAMPLES: usize = 4;

/// The result of a check.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct LinkCheck {
    pub(crate) checked: usize,
    /// The number of endpoints that had accepted a connection when the check ended, at the first one.
    pub(crate) reached: usize,
}

impl LinkCheck {
    /// Returns whether this node has lost its own links: there are other endpoints, and it reaches none.
    pub(crate) const fn are_links_lost(self) -> bool {
        self.checked > 0 && self.reached == 0
    }
}

/// Opens connections to some other endpoints of the service of `suspects`, which seem to have failed, and writes
/// the result to the decision log.
pub(crate) async fn check_links(
    state: &EntryState,
    client: &HttpClient,
    subject: &str,
    service: &ServiceId,
    is_suspect: impl Fn(&Endpoint) -> bool,
) -> LinkCheck {
    let others = rank_others(&state.directory.load(), service, is_suspect);
    let check = check_samples(client, &others).await;
    state.events.write(&Event::LinksChecked {
        subject,
        checked: check.checked,
        reached: check.reached,
    });
    check
}

/// Opens connections to one sample after the other, until an endpoint accepts one or a connection is lost in another
/// way than by a refusal.
async fn check_samples(client: &HttpClient, peers: &[SocketAddr]) -> LinkCheck {
    let mut check = LinkCheck {
        checked: 0,
        reached: 0,
    };
    for sample in peers.chunks(SAMPLE_SIZE).take(MAX_SAMPLES) {
        check.checked += sample.len();
        match open_connections(client, sample).await {
            SampleOutcome::Accepted => {
                check.reached = 1;
                break;
            }
            SampleOutcome::Refused => {}
            SampleOutcome::Failed => break,
        }
    }
    check
}

/// What became of the connections to a sample of endpoints.
enum SampleOutcome {
    Accepted,
    /// All endpoints refused them.
    Refused,
    /// None was accepted, and some failed in another way.
    Failed,
}

/// Opens connections to all `peers` at once, and returns as soon as one of them accepts: others may be gone, and
/// the repair of a lost group waits for the result.
async fn open_connections(client: &HttpClient, peers: &[SocketAddr]) -> SampleOutcome {
    let attempts = peers
        .iter()
        .map(|peer| client.check_connection(*peer, CONNECT_TIMEOUT));
    let mut attempts: FuturesUnordered<_> = attempts.collect();
    let mut outcome = SampleOutcome::Refused;
    while let Some(result) = attempts.next().await {
        match result {
            Ok(()) => return SampleOutcome::Accepted,
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => {}
            Err(_) => outcome = SampleOutcome::Failed,
        }
    }
    outcome
}

/// Returns the addresses of the endpoints of a service that aren't suspected, those first that are in different
/// failure domains: all endpoints of one may be lost together. If the service has no others, those of other services
/// are used.
fn rank_others(
    directory: &Directory,
    service: &ServiceId,
    is_suspect: impl Fn(&Endpoint) -> bool,
) -> Vec<SocketAddr> {
    let others = directory.listed().filter(|endpoint| !is_suspect(endpoint));
    let mut others: Vec<&Arc<Endpoint>> = others.collect();
    if others.iter().any(|endpoint| endpoint.service == *service) {
        others.retain(|endpoint| endpoint.service == *service);
    }
    fastrand::shuffle(&mut others);
    let mut ranks: IndexMap<&FailureDomainId, usize> = IndexMap::new();
    let mut ranked: Vec<(usize, SocketAddr)> = Vec::new();
    for endpoint in others {
        let rank = ranks.entry(&endpoint.failure_domain).or_default();
        ranked.push((*rank, endpoint.address));
        *rank += 1;
    }
    ranked.sort_by_key(|(rank, _)| *rank);
    ranked.into_iter().map(|(_, address)| address).collect()
}
