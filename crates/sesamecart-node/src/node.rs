//! One node: its threads, started and joined together.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use derive_more::{Display, Error};
use futures_lite::future;
use sesamecart_config::{Settings, Transport};
use sesamecart_edges::tls::{TlsServer, UnixTime};
use sesamecart_runtime::{Signal, Trigger, Worker, listen, sleep};
use sesamecart_vocabulary::NodeId;

use crate::actions::Desk;
use crate::control;
use crate::shared::Shared;
use crate::traffic;

/// How often a leaving node looks whether its requests have ended.
const LEAVE_POLL: Duration = Duration::from_millis(10);

/// How long a leaving node tries to hand its shards over.
///
/// Without the hand-over the next holders wait until the leases have run out.
const LEASE_LIMIT: Duration = Duration::from_secs(4);

/// A node couldn't start.
#[derive(Debug, Display, Error)]
#[display("node {node}: {step}: {reason}")]
pub struct StartError {
    node: NodeId,
    step: &'static str,
    #[error(not(source))]
    reason: anyhow::Error,
}

/// A running node.
#[derive(Debug)]
pub struct Node {
    shared: Arc<Shared>,
    desk: Arc<Desk>,
    addresses: Addresses,
    leave: Trigger,
    traffic: Vec<Worker>,
    control: Worker,
}

/// Where a running node listens; a port of 0 in the settings is replaced by the real one.
#[derive(Clone, Copy, Debug)]
struct Addresses {
    callers: SocketAddr,
    links: SocketAddr,
    administration: SocketAddr,
}

/// The listeners of a node, bound before any thread starts.
#[derive(Debug)]
pub(crate) struct Listeners {
    pub(crate) callers: TcpListener,
    pub(crate) links: TcpListener,
    pub(crate) administration: TcpListener,
    pub(crate) callers_tls: Option<TlsServer>,
    pub(crate) administration_tls: Option<TlsServer>,
}

/// What callers and operators speak inside TLS.
const HTTP: &[&[u8]] = &[b"http/1.1"];

impl Listeners {
    fn bind(settings: &Settings) -> anyhow::Result<Self> {
        let bind = |field: &str, address| {
            listen(address).map_err(|error| anyhow::anyhow!("{field}: {address}: {error}"))
        };
        // Plain text in place of what settings ask for would be noticed only by who listens in.
        if settings.tls.links != Transport::PlainText {
            anyhow::bail!("tls.links: links can't be encrypted yet");
        }
        let now = UnixTime::now();
        Ok(Self {
            callers: bind("callers", settings.callers)?,
            links: bind("links", settings.links)?,
            administration: bind("administration", settings.administration)?,
            callers_tls: TlsServer::of(&settings.tls.callers, HTTP, now)?,
            administration_tls: TlsServer::of(&settings.tls.administration, HTTP, now)?,
        })
    }

    fn addresses(&self) -> std::io::Result<Addresses> {
        Ok(Addresses {
            callers: self.callers.local_addr()?,
            links: self.links.local_addr()?,
            administration: self.administration.local_addr()?,
        })
    }
}

impl Node {
    /// Starts the node's threads.
    ///
    /// # Errors
    ///
    /// Returns an error that names the node and the step, such as an address that is taken.
    pub fn start(settings: Settings) -> Result<Self, StartError> {
        let node = settings.node.clone();
        let error = |step, reason| StartError {
            node: node.clone(),
            step,
            reason,
        };
        let listeners = Listeners::bind(&settings).map_err(|reason| error("listen", reason))?;
        let addresses = listeners
            .addresses()
            .map_err(|reason| error("listen", reason.into()))?;
        let settings = Settings {
            links: addresses.links,
            ..settings
        };
        let shared = Shared::new(settings).map_err(|reason| error("set up metrics", reason))?;
        let (leave, leaving) = Signal::new();
        let (control, desk) = control::start(&shared, &listeners, &leaving)
            .map_err(|reason| error("start control", reason))?;
        let traffic = traffic::start(&shared, &desk, &listeners, &leaving)
            .map_err(|reason| error("start traffic", reason))?;
        log::info!("node: {node} takes callers at {}.", addresses.callers);
        Ok(Self {
            shared,
            desk,
            addresses,
            leave,
            traffic,
            control,
        })
    }

    /// Returns what the node's threads share.
    #[must_use]
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Returns where callers connect.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.addresses.callers
    }

    /// Returns where other nodes connect.
    #[must_use]
    pub fn links(&self) -> SocketAddr {
        self.addresses.links
    }

    /// Returns where operators connect.
    #[must_use]
    pub fn administration(&self) -> SocketAddr {
        self.addresses.administration
    }

    /// Leaves: says that it isn't ready, lets the balancer notice, lets requests in flight end and
    /// joins all threads.
    ///
    /// Returns the number of connections that were cut off because the limit ran out, or because
    /// `hurry` was given.
    pub async fn leave(mut self, hurry: &Signal) -> usize {
        self.shared.note_leaving();
        self.shared.duties.announce_leave();
        let settings = &self.shared.settings;
        log::info!("node: {} leaves.", settings.node);
        wait_until(Duration::from_millis(settings.balancer_delay_ms), || {
            hurry.is_set()
        })
        .await;
        self.leave.set();
        let limit = Duration::from_millis(settings.leave_limit_ms);
        wait_until(limit, || {
            self.shared.connections.open() == 0 || hurry.is_set()
        })
        .await;
        if !hurry.is_set() {
            let settled = future::or(self.desk.leave(limit), async {
                hurry.wait().await;
                false
            });
            settled.await;
        }
        if !hurry.is_set() {
            self.shared.duties.leave();
            let limit = LEASE_LIMIT.min(limit);
            wait_until(limit, || self.shared.duties.is_empty() || hurry.is_set()).await;
        }
        let cut_off = self.shared.connections.open();
        if cut_off > 0 {
            log::error!("node: {cut_off} connections were cut off.");
        }
        self.stop();
        cut_off
    }

    /// Stops all threads for a time, as a VM that is paused; for tests and measurements.
    ///
    /// The threads resume where they stopped, with leases that have lapsed and answers that are late.
    pub fn pause(&self, time: Duration) {
        for worker in self.traffic.iter().chain([&self.control]) {
            worker
                .tasks()
                .spawn(async move { std::thread::sleep(time) });
        }
    }

    /// Stops at once, as a crash would; requests in flight are cut off.
    pub fn kill(mut self) {
        self.stop();
    }

    fn stop(&mut self) {
        for worker in &mut self.traffic {
            worker.stop();
        }
        self.control.stop();
    }
}

async fn wait_until(limit: Duration, done: impl Fn() -> bool) {
    let begun = Instant::now();
    while begun.elapsed() < limit && !done() {
        sleep(LEAVE_POLL.min(limit)).await;
    }
}
