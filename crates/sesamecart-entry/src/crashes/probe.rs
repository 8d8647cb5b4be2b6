//! Checks whether an endpoint has crashed, as opposed to having closed a single connection.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use sesamecart_edges::HttpClient;
use sesamecart_fleet::Incarnation;
use sesamecart_platform::fetch_report;
use sesamecart_runtime::sleep;

/// The delays before the probes of an endpoint. A process may close its listener a moment after its
/// connections.
const PROBE_DELAYS: [Duration; 2] = [Duration::from_millis(10), Duration::from_millis(60)];

/// Timeout for opening a connection, and for a report.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// The result of a probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Liveness {
    /// The incarnation is still running.
    Running,
    /// Something listens at the address, but doesn't say which incarnation it is.
    Listening,
    /// The incarnation has ended: nothing listens at its address, or a newer one does.
    Stopped,
    /// The endpoint can't be reached from this node, which says nothing about its process.
    Unreachable,
}

/// Probes an endpoint after a connection to it was closed.
pub(crate) async fn probe(
    client: &HttpClient,
    address: SocketAddr,
    incarnation: Option<Incarnation>,
) -> Liveness {
    let mut liveness = Liveness::Unreachable;
    for delay in PROBE_DELAYS {
        sleep(delay).await;
        liveness = probe_once(client, address, incarnation).await;
        if matches!(liveness, Liveness::Running | Liveness::Stopped) {
            break;
        }
    }
    liveness
}

async fn probe_once(
    client: &HttpClient,
    address: SocketAddr,
    incarnation: Option<Incarnation>,
) -> Liveness {
    match client.check_connection(address, PROBE_TIMEOUT).await {
        Ok(()) => {}
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => return Liveness::Stopped,
        Err(_) => return Liveness::Unreachable,
    }
    let Ok(report) = fetch_report(client, address, PROBE_TIMEOUT).await else {
        return Liveness::Listening;
    };
    let is_restarted = incarnation
        .zip(report.incarnation)
        .is_some_and(|(known, current)| known != current);
    if is_restarted {
        Liveness::Stopped
    } else {
        Liveness::Running
    }
}
