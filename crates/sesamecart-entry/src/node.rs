//! One node on the platform: its threads, started and joined together.

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use async_signal::{Signal as SystemSignal, Signals};
use derive_more::{Display, Error};
use futures_lite::{StreamExt as _, future};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use sesamecart_edges::{CallerBody, Connections, HttpClient, ServerLimits, whole};
use sesamecart_links::Links;
use sesamecart_platform::Store;
use sesamecart_runtime::{ByteCount, Signal, Trigger, Worker, listen, sleep};
use sesamecart_vocabulary::NodeId;

use crate::beliefs::Beliefs;
use crate::controller::Controller;
use crate::events::{Event, EventLog};
use crate::examinations::Examinations;
use crate::exchange;
use crate::feed;
use crate::follower::Following;
use crate::metrics::Metrics;
use crate::settings::EntrySettings;
use crate::{traffic, watch};

/// How long the balancer takes to notice that a node isn't ready: it asks once a second and takes a
/// node out after two misses.
const BALANCER_NOTICE: Duration = Duration::from_millis(2_200);

/// What is kept of the time until the SIGKILL, to join threads and write the log.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// How often a leaving node looks whether its requests have ended.
const LEAVE_POLL: Duration = Duration::from_millis(20);

/// How long a call to the store may take beyond what it asks the store to wait.
const STORE_LIMIT: Duration = Duration::from_millis(900);

/// How often the calls to the store are logged.
const STORE_CALLS_EVERY: Duration = Duration::from_secs(10);

/// How long a connection for control may take to open.
const CONTROL_CONNECT_LIMIT: Duration = Duration::from_millis(250);

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
pub struct Entry {
    beliefs: Arc<Beliefs>,
    callers: SocketAddr,
    readiness: SocketAddr,
    leave: Trigger,
    traffic: Worker,
    control: Worker,
    log_writer: Option<JoinHandle<()>>,
}

/// The listeners of a node, bound before any thread starts.
struct Listeners {
    callers: TcpListener,
    control: ControlListeners,
}

/// Those of the control thread.
struct ControlListeners {
    readiness: TcpListener,
    metrics: TcpListener,
    links: TcpListener,
}

impl Listeners {
    fn bind(settings: &EntrySettings) -> anyhow::Result<Self> {
        let bind = |field: &str, address| {
            listen(address).map_err(|error| anyhow::anyhow!("{field}: {address}: {error}"))
        };
        let control = ControlListeners {
            readiness: bind("readiness", settings.readiness)?,
            metrics: bind("metrics", settings.metrics)?,
            links: bind("links", settings.links)?,
        };
        Ok(Self {
            callers: bind("callers", settings.callers)?,
            control,
        })
    }
}

impl Entry {
    /// Starts the node's threads.
    ///
    /// # Errors
    ///
    /// Returns an error that names the node and the step, such as an address that is taken.
    pub fn start(mut settings: EntrySettings) -> Result<Self, StartError> {
        let node = settings.node.clone();
        let error = |step, reason: anyhow::Error| StartError {
            node: node.clone(),
            step,
            reason,
        };
        let listeners = Listeners::bind(&settings).map_err(|reason| error("listen", reason))?;
        let callers = listeners.callers.local_addr();
        let callers = callers.map_err(|reason| error("listen", reason.into()))?;
        let readiness = listeners.control.readiness.local_addr();
        let readiness = readiness.map_err(|reason| error("listen", reason.into()))?;
        // Other nodes are told of the address, which may have been left to the system to choose.
        let links = listeners.control.links.local_addr();
        settings.links = links.map_err(|reason| error("listen", reason.into()))?;
        let (events, log_writer) = EventLog::start(node.clone())
            .map_err(|reason| error("start the log", reason.into()))?;
        events.write(&Event::Started {
            version: env!("CARGO_PKG_VERSION"),
        });
        let metrics = Metrics::new().map_err(|reason| error("set up metrics", reason))?;
        let beliefs = Arc::new(Beliefs::new(settings, events, metrics));
        let (leave, leaving) = Signal::new();
        let control = start_control(&beliefs, listeners.control)
            .map_err(|reason| error("start control", reason.into()))?;
        let traffic = traffic::start(&beliefs, listeners.callers, &leaving)
            .map_err(|reason| error("start traffic", reason.into()))?;
        Ok(Self {
            beliefs,
            callers,
            readiness,
            leave,
            traffic,
            control,
            log_writer: Some(log_writer),
        })
    }

    /// Returns where callers connect.
    #[must_use]
    pub const fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns where the balancer asks.
    #[must_use]
    pub const fn readiness(&self) -> SocketAddr {
        self.readiness
    }

    /// Returns what the node's threads share.
    #[must_use]
    pub const fn beliefs(&self) -> &Arc<Beliefs> {
        &self.beliefs
    }

    /// Leaves: says that it isn't ready, lets the balancer notice, lets requests in flight end and
    /// joins all threads; returns the number of connections that were cut off.
    pub async fn leave(mut self) -> usize {
        let begun = Instant::now();
        self.beliefs.set_leaving();
        self.beliefs.events.write(&Event::Leaving {
            connections: self.beliefs.connections.open(),
        });
        let grace = self.beliefs.settings.bounds.shutdown_grace();
        let limit = grace.saturating_sub(EXIT_MARGIN);
        sleep(BALANCER_NOTICE.min(limit / 2)).await;
        self.leave.give();
        while begun.elapsed() < limit && self.beliefs.connections.open() > 0 {
            sleep(LEAVE_POLL).await;
        }
        let cut_off = self.beliefs.connections.open();
        self.stop(cut_off);
        cut_off
    }

    /// Stops at once, as a crash would; requests in flight are cut off.
    pub fn kill(mut self) {
        let cut_off = self.beliefs.connections.open();
        self.stop(cut_off);
    }

    fn stop(&mut self, cut_off: usize) {
        self.traffic.stop();
        self.control.stop();
        write_store_calls(&self.beliefs);
        self.beliefs.events.write(&Event::Stopped { cut_off });
        self.beliefs.events.close();
        if let Some(writer) = self.log_writer.take()
            && writer.join().is_err()
        {
            log::error!("node: the log's writer panicked.");
        }
    }

    /// Reads the settings file again and says what came of it.
    fn reload(&self, path: &Path) {
        let outcome = match EntrySettings::read(path) {
            Ok(settings) if settings == self.beliefs.settings => "nothing has changed".to_owned(),
            // Addresses and names can't change under open connections.
            Ok(_) => "the new settings take effect at the next start".to_owned(),
            Err(error) => format!("the settings stay as they are: {error}"),
        };
        self.beliefs
            .events
            .write(&Event::Reloaded { outcome: &outcome });
    }
}

/// Runs a node until it is told to leave; returns the number of connections that it cut off.
///
/// # Errors
///
/// Returns why it couldn't start.
pub fn run(path: &Path, settings: EntrySettings) -> anyhow::Result<usize> {
    let mut signals = Signals::new([SystemSignal::Term, SystemSignal::Int, SystemSignal::Hup])?;
    let entry = Entry::start(settings)?;
    async_io::block_on(async {
        while let Some(signal) = signals.next().await {
            if matches!(signal, Ok(SystemSignal::Hup)) {
                entry.reload(path);
            } else {
                break;
            }
        }
        Ok(entry.leave().await)
    })
}

fn start_control(beliefs: &Arc<Beliefs>, listeners: ControlListeners) -> std::io::Result<Worker> {
    let worker = Worker::start("control")?;
    let tasks = worker.tasks().clone();
    let client = HttpClient::new(tasks.clone(), CONTROL_CONNECT_LIMIT);
    let store = {
        let counted = Arc::clone(beliefs);
        let called = move |step, topic| counted.metrics.count_store_call(step, topic);
        Store::new(client.clone(), beliefs.settings.store, STORE_LIMIT, called)
    };
    tasks.spawn(log_store_calls(Arc::clone(beliefs)));
    let (change_tx, registry_changed) = async_channel::bounded(1);
    let (loss_tx, lost_groups) = async_channel::unbounded();
    let links = Links::new(tasks.clone(), ByteCount::default());
    let following = Following::new(Arc::clone(beliefs), store.clone(), links.clone(), change_tx);
    tasks.spawn(following.run());
    let examinations = Examinations::new(Arc::clone(beliefs), client.clone(), links.clone());
    tasks.spawn(feed::serve(
        Arc::clone(beliefs),
        store.clone(),
        examinations.clone(),
        listeners.links,
        tasks.clone(),
    ));
    tasks.spawn(exchange::watch_peers(
        Arc::clone(beliefs),
        links.clone(),
        tasks.clone(),
    ));
    tasks.spawn(watch::watch_heads(
        Arc::clone(beliefs),
        examinations,
        tasks.clone(),
        loss_tx,
    ));
    let controller = Controller {
        beliefs: Arc::clone(beliefs),
        store,
        client,
        links,
        tasks: tasks.clone(),
        registry_changed,
        lost_groups,
    };
    tasks.spawn(controller.run());
    serve_pages(beliefs, listeners.readiness, &worker, ready);
    serve_pages(beliefs, listeners.metrics, &worker, show_metrics);
    Ok(worker)
}

/// Logs the calls to the store until the task is cancelled; a process that is killed has said most.
async fn log_store_calls(beliefs: Arc<Beliefs>) {
    loop {
        sleep(STORE_CALLS_EVERY).await;
        write_store_calls(&beliefs);
    }
}

fn write_store_calls(beliefs: &Beliefs) {
    if let Some(calls) = beliefs.metrics.store_called() {
        beliefs.events.write(&Event::StoreCalled { calls: &calls });
    }
}

/// Serves one page, whatever the path, until the thread stops.
fn serve_pages(
    beliefs: &Arc<Beliefs>,
    listener: TcpListener,
    worker: &Worker,
    page: fn(&Beliefs) -> Response<CallerBody>,
) {
    let tasks = worker.tasks().clone();
    let beliefs = Arc::clone(beliefs);
    tasks.clone().spawn(async move {
        // The balancer asks until the process is gone, so nothing ends this but the thread's stop.
        let (_never, until) = Signal::new();
        let handle = move |_req: Request<Incoming>, _peer| future::ready(page(&beliefs));
        let limits = ServerLimits::default;
        let connections = Connections::default();
        let served =
            sesamecart_edges::serve(listener, None, limits, tasks, connections, until, handle);
        if let Err(error) = served.await {
            log::error!("node: a page can't be served: {error}.");
        }
    });
}

fn ready(beliefs: &Beliefs) -> Response<CallerBody> {
    let Some(reason) = beliefs.unready_reason() else {
        return Response::new(whole("ready\n"));
    };
    let mut response = Response::new(whole(format!("{reason}\n")));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}

fn show_metrics(beliefs: &Beliefs) -> Response<CallerBody> {
    match beliefs.metrics.render() {
        Ok(text) => Response::new(whole(text)),
        Err(error) => {
            log::error!("node: the metrics can't be written: {error}.");
            let mut response = Response::new(whole("the metrics can't be written\n"));
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}
