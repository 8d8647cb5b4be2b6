//! The decision log: JSON lines on standard output that explain afterwards what a node did and why.
//!
//! docs/logs.md lists the events and their fields.

use std::io::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_channel::{Receiver, Sender, TrySendError};
use serde::Serialize;
use sesamecart_vocabulary::{NodeId, Timestamp};

/// Lines that may wait for the writer.
///
/// A reader of the log that stalls must cost memory only up to here (about 1 MB);
/// beyond it lines are dropped and counted, and requests go on.
const QUEUE: usize = 4_096;

/// Lines of plain successes that are written in a second; the others are only counted.
///
/// Nodes of a large deployment have fewer, so all are written there; in a burst on few nodes successes would
/// crowd out the lines that explain failures.
const SUCCESSES_PER_S: u64 = 40;

/// One decision that touched a request, or one change of what the node believes.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event<'a> {
    /// The process has started.
    Started {
        /// The program's version.
        version: &'a str,
    },
    /// The process was told to leave.
    Leaving {
        /// Connections of callers that are open.
        connections: usize,
    },
    /// The process ends.
    Stopped {
        /// Connections that were cut off.
        cut_off: usize,
    },
    /// The settings file was read again.
    Reloaded {
        /// What came of it.
        outcome: &'a str,
    },
    /// A dependency doesn't answer any more.
    DependencyLost {
        /// Which one.
        dependency: &'a str,
        /// What failed.
        cause: &'a str,
    },
    /// A dependency answers again.
    DependencyRegained {
        /// Which one.
        dependency: &'a str,
        /// How long it was away.
        away_ms: u64,
    },
    /// A configuration is in force.
    ConfigurationApplied {
        /// Its version.
        version: u64,
        /// The one before it.
        before: u64,
        /// Its routes.
        routes: usize,
    },
    /// A configuration in force holds something that can't be used as it stands.
    ConfigurationDoubtful {
        /// The service.
        service: &'a str,
        /// What it is, and what is done instead.
        problem: &'a str,
    },
    /// What the engines are used for, every two seconds on the node that controls the groups.
    FleetCounted {
        /// The model.
        model: &'a str,
        /// Its open groups.
        open: usize,
        /// Those of them that take requests: none in a failure domain that is evacuated.
        reachable: usize,
        /// Its groups that are being formed.
        forming: usize,
        /// Engines outside of groups that hold it.
        spare: usize,
        /// Engines that load it.
        loading: usize,
        /// Engines of the service that hold no model and load none.
        empty: usize,
        /// Its groups that callers keep busy; nothing before that is known.
        needed: Option<f64>,
    },
    /// A group is closed, as its engines serve more in groups of another model.
    GroupRetired {
        /// The group and its epoch.
        group: &'a str,
        /// Its model.
        model: &'a str,
        /// The model that gets its engines.
        to: &'a str,
    },
    /// A model has no groups, as no fabric domain has the engines for one; said once while it lasts.
    ModelUnservable {
        /// The model.
        model: &'a str,
        /// The engines that a group of it needs.
        group_size: usize,
        /// The engines of the largest fabric domain.
        engines: usize,
    },
    /// How often this process has called the store, every ten seconds and at its end.
    StoreCalled {
        /// The calls of each kind since the start.
        calls: &'a str,
    },
    /// What the store says is heard from elsewhere now.
    SourceChanged {
        /// The store, or the node that reads it.
        source: &'a str,
    },
    /// All that the node followed now had to offer was taken in.
    CaughtUp {
        /// The node.
        source: &'a str,
        /// Where the operator's topic was known up to before.
        operator_from: u64,
        /// Where it is known up to now.
        operator_next: u64,
        /// The operator's records that came.
        operator_records: usize,
        /// Whether these were all of the operator's records.
        operator_whole: bool,
        /// Where the registry was known up to before.
        registry_from: u64,
        /// Where it is known up to now.
        registry_next: u64,
        /// The registry's records that came.
        registry_records: usize,
        /// Whether these were all of the registry's records.
        registry_whole: bool,
    },
    /// A topic of the store was read whole.
    TopicReread {
        /// The topic.
        topic: &'a str,
        /// Where it was known up to before.
        known_to: u64,
        /// Where it ends.
        end: u64,
        /// Its records.
        records: usize,
        /// Those that are new to the nodes that follow this one.
        changed: usize,
        /// Keys that aren't there any more.
        gone: usize,
    },
    /// A record or an answer couldn't be read or used.
    RecordIgnored {
        /// Where it stands.
        topic: &'a str,
        /// Its key.
        key: &'a str,
        /// Why.
        cause: &'a str,
    },
    /// The failure domains that get no new work have changed.
    EvacuationChanged {
        /// All of them now.
        failure_domains: &'a [String],
    },
    /// An endpoint is known, or its state has changed.
    EndpointChanged {
        /// The endpoint.
        endpoint: &'a str,
        /// Its state.
        state: &'a str,
        /// The fabric domain that it lies in.
        fabric_domain: &'a str,
        /// The models on its host.
        staged: &'a str,
        /// Its group and state there.
        group: &'a str,
    },
    /// An endpoint has left the registry.
    EndpointGone {
        /// The endpoint.
        endpoint: &'a str,
    },
    /// An endpoint gets nothing for a while.
    EndpointRests {
        /// The endpoint.
        endpoint: &'a str,
        /// The request that failed last.
        request: &'a str,
        /// For how long.
        rest_ms: u64,
    },
    /// The members of a group were asked.
    GroupExamined {
        /// The group and its epoch.
        group: &'a str,
        /// What followed.
        verdict: &'a str,
        /// What the members said.
        finding: &'a str,
    },
    /// A group is being formed.
    GroupPlanned {
        /// The group and its epoch.
        group: &'a str,
        /// Its model.
        model: &'a str,
        /// Its members, the head first.
        members: &'a str,
        /// The controller's fence.
        fence: u64,
    },
    /// An engine got an order.
    OrderGiven {
        /// The engine.
        endpoint: &'a str,
        /// The order.
        order: &'a str,
        /// The controller's fence.
        fence: u64,
        /// What came of it.
        outcome: &'a str,
    },
    /// This node controls the groups, or doesn't any more.
    ControlChanged {
        /// Whether it does.
        leads: bool,
        /// Its fence, or that of the group it left.
        fence: u64,
        /// Why.
        reason: &'a str,
    },
    /// A request was passed to an endpoint.
    Sent {
        /// The request.
        request: &'a str,
        /// The endpoint.
        endpoint: &'a str,
        /// The attempt, from 1 on.
        attempt: u32,
        /// The endpoint's guessed load, in requests for each slot.
        load: f64,
        /// The version of the configuration that decided.
        configuration: u64,
    },
    /// An attempt failed.
    AttemptFailed {
        /// The request.
        request: &'a str,
        /// The endpoint.
        endpoint: &'a str,
        /// What failed.
        cause: &'a str,
        /// Whether it may have run.
        may_have_run: bool,
        /// Milliseconds since the request arrived.
        after_ms: u64,
    },
    /// A request got an answer of the node's own.
    Refused {
        /// The request.
        request: &'a str,
        /// The status.
        status: u16,
        /// Why.
        cause: &'a str,
        /// Milliseconds after which the caller may come back.
        retry_after_ms: Option<u64>,
        /// The version of the configuration that decided.
        configuration: u64,
        /// The age of that configuration.
        configuration_age_ms: Option<u64>,
        /// Milliseconds since the request arrived.
        after_ms: u64,
    },
    /// A request got an endpoint's answer, whole.
    Answered {
        /// The request.
        request: &'a str,
        /// The endpoint.
        endpoint: &'a str,
        /// The status.
        status: u16,
        /// The attempts it took.
        attempts: u32,
        /// Its route.
        route: &'a str,
        /// Milliseconds to the answer, or to the first event.
        first_ms: u64,
        /// The longest pause between events, in milliseconds.
        pause_ms: u64,
        /// Milliseconds in all.
        total_ms: u64,
    },
    /// A stream went on at another endpoint.
    Resumed {
        /// The request.
        request: &'a str,
        /// The endpoint that it left.
        from: &'a str,
        /// The endpoint that goes on.
        endpoint: &'a str,
        /// The last event that the caller had.
        last_event: &'a str,
        /// Milliseconds since that event.
        pause_ms: u64,
    },
    /// A stream ended before its end.
    Broken {
        /// The request.
        request: &'a str,
        /// The endpoint.
        endpoint: &'a str,
        /// Why.
        cause: &'a str,
        /// Milliseconds since the request arrived.
        after_ms: u64,
    },
    /// The caller left before its answer was whole.
    CallerLeft {
        /// The request.
        request: &'a str,
        /// The endpoint that worked for it.
        endpoint: &'a str,
        /// Milliseconds since the request arrived.
        after_ms: u64,
    },
}

#[derive(Serialize)]
struct Line<'a> {
    time_ms: u64,
    node: &'a str,
    #[serde(flatten)]
    event: &'a Event<'a>,
}

#[derive(Serialize)]
struct Lost {
    event: &'static str,
    lines_dropped: u64,
    successes_not_written: u64,
}

/// The bounded queue to the thread that writes the log.
#[derive(Debug)]
pub struct EventLog {
    node: NodeId,
    lines: Sender<String>,
    dropped: AtomicU64,
    successes: AtomicU64,
    success_window: AtomicU64,
    unwritten: AtomicU64,
}

impl EventLog {
    /// Starts the writer; joining the handle returns once the log is dropped and all is written.
    ///
    /// # Errors
    ///
    /// Returns the system's error when no thread can be started.
    pub fn start(node: NodeId) -> std::io::Result<(Self, JoinHandle<()>)> {
        let (lines, queue) = async_channel::bounded(QUEUE);
        let writer = std::thread::Builder::new().name("events".to_owned());
        let writer = writer.spawn(move || write(&queue))?;
        let log = Self {
            node,
            lines,
            dropped: AtomicU64::new(0),
            successes: AtomicU64::new(0),
            success_window: AtomicU64::new(0),
            unwritten: AtomicU64::new(0),
        };
        Ok((log, writer))
    }

    /// Writes an event, or counts it as dropped when the writer is behind.
    pub fn write(&self, event: &Event<'_>) {
        self.tell_losses();
        let line = Line {
            time_ms: unix_millis(),
            node: self.node.as_str(),
            event,
        };
        match serde_json::to_string(&line) {
            Ok(line) => self.push(line),
            Err(error) => log::error!("events: an event can't be written: {error}."),
        }
    }

    /// Writes a plain success, unless this second had many.
    pub fn write_success(&self, now: Timestamp, event: &Event<'_>) {
        let second = now.as_millis() / 1_000;
        if self.success_window.swap(second, Ordering::Relaxed) != second {
            self.successes.store(0, Ordering::Relaxed);
        }
        if self.successes.fetch_add(1, Ordering::Relaxed) < SUCCESSES_PER_S {
            self.write(event);
        } else {
            self.unwritten.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns how many lines were dropped since the last line that told of it.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Lets the writer end once it has written what waits.
    pub fn close(&self) {
        self.lines.close();
    }

    fn tell_losses(&self) {
        let dropped = self.dropped.load(Ordering::Relaxed);
        let unwritten = self.unwritten.load(Ordering::Relaxed);
        let has_room = self.lines.len() < QUEUE / 2;
        if (dropped == 0 && unwritten < SUCCESSES_PER_S) || !has_room {
            return;
        }
        let lost = Lost {
            event: "lines_left_out",
            lines_dropped: self.dropped.swap(0, Ordering::Relaxed),
            successes_not_written: self.unwritten.swap(0, Ordering::Relaxed),
        };
        if let Ok(line) = serde_json::to_string(&lost) {
            self.push(line);
        }
    }

    fn push(&self, line: String) {
        if let Err(TrySendError::Full(_)) = self.lines.try_send(line) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Writes lines in batches, which spares a system call for each.
///
/// Standard output is locked for a batch at a time: a second node of the process, as in tests, would
/// wait for it until the first one has ended.
fn write(queue: &Receiver<String>) {
    let mut out = std::io::stdout();
    while let Ok(line) = queue.recv_blocking() {
        let mut batch = line;
        batch.push('\n');
        while let Ok(line) = queue.try_recv() {
            batch.push_str(&line);
            batch.push('\n');
        }
        // When nobody reads standard output any more there is nowhere else to say so.
        let _lost = out.write_all(batch.as_bytes()).and_then(|()| out.flush());
        // Lines come in bursts: a short rest gathers them into one write.
        std::thread::sleep(BATCH);
    }
}

/// How long lines are gathered before they are written.
const BATCH: Duration = Duration::from_millis(50);

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
