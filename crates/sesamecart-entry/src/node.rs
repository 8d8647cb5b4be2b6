//! Starts and stops the threads of one node.

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
use sesamecart_edges::{
    CallerBody, Connections, Dialer, HttpClient, ServerLimits, TcpDialer, whole,
};
use sesamecart_links::Links;
use sesamecart_platform::Store;
use sesamecart_runtime::{ByteCounters, Signal, Trigger, Worker, lateness, listen, sleep};
use sesamecart_vocabulary::NodeId;

use crate::clock;
use crate::controller::Controller;
use crate::crashes::{CrashMonitor, SuspectClient};
use crate::deferred::make_removals;
use crate::dispatch::{poll_dispatchers, report_held};
use crate::events::{Event, EventLog};
use crate::feed::{self, FeedHandler};
use crate::follower::{SourceFollower, keep_registered, millis};
use crate::group_prober::GroupProber;
use crate::limits::LimitClient;
use crate::metrics::Metrics;
use crate::operator_page::operator_page;
use crate::peer_loads;
use crate::reach::{ReachChecker, ReachMonitor};
use crate::settings::EntrySettings;
use crate::start_steps::StartStep;
use crate::state::EntryState;
use crate::stopping::StopTimes;
use crate::store_observer::StoreCalls;
use crate::traffic::{self, TrafficThreads};
use crate::watch;

/// How long the load balancer takes to notice that a node isn't ready: it checks once a second and removes a
/// node after two failed checks.
const BALANCER_REMOVAL_TIME: Duration = Duration::from_millis(2_200);

/// Part of the time until the SIGKILL that is reserved for joining threads and writing the log.
const EXIT_RESERVE: Duration = Duration::from_millis(500);

/// The time before that reserve in which requests that have no answer get one, and their callers read it.
const FINAL_ANSWER_TIME: Duration = Duration::from_millis(400);

/// Interval at which a leaving node checks whether its requests have ended.
const LEAVE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout of a call to the store, in addition to the time that the call asks the store to wait.
const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Interval at which it is logged what wasn't served, and whether the control thread is late.
const LOAD_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The time to get round all tasks of the thread that serves callers from which on it is logged.
const LONG_ROUND: Duration = Duration::from_millis(50);

/// Interval at which the calls to the store are logged.
const STORE_CALLS_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Timeout for opening a connection from the control thread.
const CONTROL_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The error when a node can't start.
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
    state: Arc<EntryState>,
    callers: SocketAddr,
    readiness: SocketAddr,
    metrics: SocketAddr,
    leave: Trigger,
    traffic: TrafficThreads,
    control: Worker,
    log_writer: Option<JoinHandle<()>>,
}

/// The number of ports that are tried before the system chooses one.
const NEAR_PORTS: usize = 12;

/// The listeners of a node. They are bound before any thread starts.
struct Listeners {
    callers: TcpListener,
    forwarding: Option<TcpListener>,
    control: ControlListeners,
}

/// The listeners of the control thread.
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
            forwarding: settings
                .forwarding
                .map(|address| match settings.is_forwarding_default {
                    true => listen_near(address),
                    false => listen(address),
                })
                .transpose()
                .map_err(|error| anyhow::anyhow!("forwarding: {error}"))?,
            control,
        })
    }
}

/// Binds a listener to an address, or to one of the next ports if that is taken, or else to any port.
///
/// Nobody chose this address, so it must not decide whether the node starts.
fn listen_near(address: SocketAddr) -> std::io::Result<TcpListener> {
    let ports = (address.port()..=u16::MAX).take(NEAR_PORTS);
    let mut addresses = ports.map(|port| SocketAddr::new(address.ip(), port));
    let near = addresses.find_map(|address| listen(address).ok());
    near.map_or_else(|| listen(SocketAddr::new(address.ip(), 0)), Ok)
}

impl Entry {
    /// Starts the node's threads.
    ///
    /// # Errors
    ///
    /// Returns an error that names the node and the step that failed, for example when an address is in use.
    pub fn start(settings: EntrySettings) -> Result<Self, StartError> {
        Self::start_with_dialer(settings, Arc::new(TcpDialer))
    }

    /// Starts the node's threads, which open connections to endpoints and to the store with `dialer`.
    ///
    /// # Errors
    ///
    /// Returns an error that names the node and the step that failed, for example when an address is in use.
    pub fn start_with_dialer(
        mut settings: EntrySettings,
        dialer: Arc<dyn Dialer>,
    ) -> Result<Self, StartError> {
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
        let metrics_address = listeners.control.metrics.local_addr();
        let metrics_address = metrics_address.map_err(|reason| error("listen", reason.into()))?;
        // Other nodes get this address. With port 0 in the settings, the system has chosen the port.
        let links = listeners.control.links.local_addr();
        settings.links = links.map_err(|reason| error("listen", reason.into()))?;
        if let Some(forwarding) = &listeners.forwarding {
            let address = forwarding.local_addr();
            settings.forwarding = Some(address.map_err(|reason| error("listen", reason.into()))?);
        }
        let (events, log_writer) = EventLog::start(node.clone())
            .map_err(|reason| error("start the log", reason.into()))?;
        events.write(&Event::Started {
            version: env!("CARGO_PKG_VERSION"),
        });
        let metrics = Metrics::new().map_err(|reason| error("set up metrics", reason))?;
        let state = Arc::new(EntryState::new(settings, events, metrics));
        let (leave, leaving) = Signal::new();
        let control = start_control(&state, listeners.control, Arc::clone(&dialer))
            .map_err(|reason| error("start control", reason.into()))?;
        let traffic = traffic::start(
            &state,
            listeners.callers,
            listeners.forwarding,
            &leaving,
            dialer,
        )
        .map_err(|reason| error("start traffic", reason.into()))?;
        Ok(Self {
            state,
            callers,
            readiness,
            metrics: metrics_address,
            leave,
            traffic,
            control,
            log_writer: Some(log_writer),
        })
    }

    /// Returns the address that callers connect to.
    #[must_use]
    pub const fn caller_address(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address for requests that other nodes forward, if this node accepts them.
    #[must_use]
    pub fn forwarding_address(&self) -> Option<SocketAddr> {
        self.state.settings.forwarding
    }

    /// Returns the address of the readiness check.
    #[must_use]
    pub const fn readiness_address(&self) -> SocketAddr {
        self.readiness
    }

    /// Returns the address of the metrics and of the operators' page of blocked requests.
    #[must_use]
    pub const fn metrics_address(&self) -> SocketAddr {
        self.metrics
    }

    /// Returns the state that the node's threads share.
    #[must_use]
    pub const fn state(&self) -> &Arc<EntryState> {
        &self.state
    }

    /// Shuts down gracefully: reports that the node isn't ready, waits until the load balancer has noticed
    /// and requests in flight have ended, and joins all threads. Returns the number of connections that were
    /// cut off.
    pub async fn leave(mut self) -> usize {
        let started_at = Instant::now();
        let grace = self.state.settings.bounds.shutdown_grace();
        let limit = grace.saturating_sub(EXIT_RESERVE);
        let removal_time = BALANCER_REMOVAL_TIME.min(limit / 2);
        let serving_time = limit.saturating_sub(FINAL_ANSWER_TIME.min(limit / 4));
        let now = clock::now();
        self.state.set_leaving(StopTimes {
            known_at: now + removal_time,
            ends_at: now + serving_time,
        });
        self.state.events.write(&Event::Leaving {
            connections: self.state.connections.open(),
        });
        sleep(removal_time).await;
        self.leave.set();
        self.wait_for_connections(started_at + serving_time).await;
        self.state.stop.end_requests();
        self.wait_for_connections(started_at + limit).await;
        let cut_off = self.state.connections.open();
        self.stop(cut_off);
        cut_off
    }

    /// Waits until no connection is open, or until `latest`.
    async fn wait_for_connections(&self, latest: Instant) {
        while Instant::now() < latest && self.state.connections.open() > 0 {
            sleep(LEAVE_POLL_INTERVAL).await;
        }
    }

    /// Stops immediately, as in a crash; requests in flight are cut off.
    pub fn kill(mut self) {
        let cut_off = self.state.connections.open();
        self.stop(cut_off);
    }

    fn stop(&mut self, cut_off: usize) {
        self.traffic.stop();
        self.control.stop();
        write_store_calls(&self.state);
        write_shed_connections(&self.state);
        self.state.events.write(&Event::Stopped { cut_off });
        self.state.events.close();
        if let Some(writer) = self.log_writer.take()
            && writer.join().is_err()
        {
            log::error!("node: the log writer panicked.");
        }
    }

    /// Reads the settings file again and logs the result. No setting takes effect before a restart.
    fn reload(&self, path: &Path) {
        let outcome = match EntrySettings::read(path) {
            Ok(settings) if settings == self.state.settings => "nothing has changed".to_owned(),
            // Addresses and names can't change while connections are open.
            Ok(_) => "the new settings take effect at the next start".to_owned(),
            Err(error) => format!("the settings stay as they are: {error}"),
        };
        self.state
            .events
            .write(&Event::Reloaded { outcome: &outcome });
    }
}

/// Runs a node until a SIGTERM or SIGINT; returns the number of connections that were cut off.
///
/// # Errors
///
/// Returns an error if the node can't start.
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

fn start_control(
    state: &Arc<EntryState>,
    listeners: ControlListeners,
    dialer: Arc<dyn Dialer>,
) -> std::io::Result<Worker> {
    let worker = Worker::start("control")?;
    let tasks = worker.tasks().clone();
    let client = HttpClient::with_dialer(tasks.clone(), CONTROL_CONNECT_TIMEOUT, dialer).patient();
    let store = {
        Store::new(
            client.clone(),
            state.settings.store,
            STORE_CALL_TIMEOUT,
            StoreCalls::new(Arc::clone(state)),
        )
    };
    tasks.spawn(log_store_calls(Arc::clone(state)));
    tasks.spawn(log_load(Arc::clone(state)));
    let (change_tx, registry_changed) = async_channel::bounded(1);
    let (loss_tx, lost_groups) = async_channel::unbounded();
    let links = Links::new(tasks.clone(), ByteCounters::default());
    tasks.spawn(make_removals(Arc::clone(state), change_tx.clone()));
    let source_follower =
        SourceFollower::new(Arc::clone(state), store.clone(), links.clone(), change_tx);
    tasks.spawn(source_follower.run());
    tasks.spawn(keep_registered(
        Arc::clone(state),
        store.clone(),
        links.clone(),
    ));
    let group_prober = GroupProber::new(Arc::clone(state), client.clone(), links.clone());
    let reach_checker = ReachChecker::new(Arc::clone(state), client.clone());
    let reach_monitor = ReachMonitor::new(Arc::clone(state), reach_checker.clone(), links.clone());
    tasks.spawn(reach_monitor.run());
    let handler = FeedHandler {
        state: Arc::clone(state),
        store: store.clone(),
        group_prober: group_prober.clone(),
        reach_checker,
        limits: LimitClient::new(Arc::clone(state), links.clone(), tasks.clone()),
        suspects: SuspectClient::new(Arc::clone(state), links.clone()),
    };
    tasks.spawn(feed::serve(handler, listeners.links, tasks.clone()));
    tasks.spawn(poll_dispatchers(Arc::clone(state)));
    tasks.spawn(report_held(Arc::clone(state), links.clone()));
    tasks.spawn(peer_loads::watch_peers(
        Arc::clone(state),
        links.clone(),
        tasks.clone(),
    ));
    tasks.spawn(watch::watch_heads(
        Arc::clone(state),
        group_prober,
        tasks.clone(),
        loss_tx,
    ));
    let crash_monitor = CrashMonitor::new(
        Arc::clone(state),
        store.clone(),
        client.clone(),
        tasks.clone(),
    );
    tasks.spawn(crash_monitor.run());
    let controller = Controller {
        state: Arc::clone(state),
        store,
        client,
        links,
        tasks: tasks.clone(),
        registry_changed,
        lost_groups,
    };
    tasks.spawn(controller.run());
    serve_page(state, listeners.readiness, &worker, readiness_page);
    serve_page(state, listeners.metrics, &worker, operator_page);
    Ok(worker)
}

/// Logs the calls to the store at an interval until the task is cancelled, so that most of them are in the
/// log even if the process is killed.
async fn log_store_calls(state: Arc<EntryState>) {
    loop {
        sleep(STORE_CALLS_LOG_INTERVAL).await;
        write_store_calls(&state);
    }
}

/// Logs what wasn't served, and whether the control thread is late, at an interval until the task is cancelled.
async fn log_load(state: Arc<EntryState>) {
    let mut is_memory_taken = false;
    loop {
        sleep(LOAD_LOG_INTERVAL).await;
        let has_shed_for_memory = write_shed_connections(&state);
        is_memory_taken = write_memory(&state, is_memory_taken, has_shed_for_memory);
        write_refusals(&state);
        write_lateness(&state);
        write_traffic_lateness(&state);
    }
}

/// Logs when requests have taken the memory for new connections, and when there is some again. Returns whether it is taken.
fn write_memory(state: &EntryState, was_taken: bool, has_shed_for_memory: bool) -> bool {
    let (used, limit) = state.body_memory.usage();
    state.metrics.record_request_memory(used);
    if has_shed_for_memory == was_taken {
        return was_taken;
    }
    let (used_bytes, limit_bytes) = (used.0, limit.0);
    state.events.write(&match has_shed_for_memory {
        true => Event::MemoryTaken {
            used_bytes,
            limit_bytes,
            connections: state.connections.open(),
        },
        false => Event::MemoryFreed {
            used_bytes,
            limit_bytes,
        },
    });
    has_shed_for_memory
}

/// Logs how long the thread that serves callers takes to get round its tasks, if that is long.
fn write_traffic_lateness(state: &EntryState) {
    let round = state.connections.take_longest_round();
    if round >= LONG_ROUND {
        let round_ms = millis(round);
        state.events.write(&Event::TrafficLate { round_ms });
    }
}

fn write_refusals(state: &EntryState) {
    let causes = state.refusals.take();
    if !causes.is_empty() {
        let event = Event::RefusalsCounted { causes: &causes };
        state.events.write(&event);
    }
}

/// Logs how late the timers of this thread fire, if they do.
fn write_lateness(state: &EntryState) {
    let late = lateness().delay();
    if !late.is_zero() {
        state.events.write(&Event::ControlLate {
            late_ms: millis(late),
            configuration_age_ms: state.configuration_age().map(millis),
        });
    }
}

/// Logs the connections that weren't served. Returns whether one of them wasn't for lack of memory.
fn write_shed_connections(state: &EntryState) -> bool {
    let shed = state.connections.take_shed();
    if shed.is_empty() {
        return false;
    }
    state.metrics.count_shed(&shed);
    state.events.write(&Event::ConnectionsShed {
        closed_unread: shed.closed_unread,
        refused: shed.refused,
        max_wait_ms: millis(shed.max_wait),
        overload: shed.overload,
        too_many: shed.too_many,
        no_room: shed.no_room,
    });
    shed.no_room > 0
}

fn write_store_calls(state: &EntryState) {
    if let Some(calls) = state.metrics.store_call_summary() {
        state.events.write(&Event::StoreCalled { calls: &calls });
    }
}

/// Serves a page until the thread stops.
fn serve_page(
    state: &Arc<EntryState>,
    listener: TcpListener,
    worker: &Worker,
    page: fn(&EntryState, &Request<Incoming>) -> Response<CallerBody>,
) {
    let tasks = worker.tasks().clone();
    let state = Arc::clone(state);
    tasks.clone().spawn(async move {
        // The load balancer checks readiness until the process exits, so this ends only with the thread.
        let (_trigger, until) = Signal::new();
        let handle = move |req: Request<Incoming>, _peer| future::ready(page(&state, &req));
        let limits = ServerLimits::default;
        let connections = Connections::default();
        let serving =
            sesamecart_edges::serve(listener, None, limits, tasks, connections, until, handle);
        if let Err(error) = serving.await {
            log::error!("node: the page listener failed: {error}.");
        }
    });
}

fn readiness_page(state: &EntryState, _req: &Request<Incoming>) -> Response<CallerBody> {
    let Some(reason) = state.unready_reason() else {
        state.reach_start_step(StartStep::Ready);
        return Response::new(whole("ready\n"));
    };
    let mut response = Response::new(whole(format!("{reason}\n")));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}
