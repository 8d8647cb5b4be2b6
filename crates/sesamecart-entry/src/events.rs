//! The decision log: JSON lines on standard output that record what a node did and why.
//!
//! docs/logs.md lists the events and their fields.

use std::io::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_channel::{Receiver, Sender, TrySendError};
use indexmap::IndexMap;
use serde::Serialize;
use sesamecart_vocabulary::{Fingerprint, NodeId, Timestamp};

/// Maximum number of lines that wait for the writer.
///
/// It bounds the memory that a stalled reader of the log costs, to about 1 MB. Further lines are dropped and
/// counted, and requests continue.
const QUEUE_CAPACITY: usize = 4_096;

/// Maximum number of lines for successful requests that are written per second; the others are only counted.
///
/// Nodes of a large deployment have fewer successes, so all of them are written there. In a burst on few
/// nodes, successes would crowd out the lines that explain failures.
const MAX_SUCCESSES_PER_S: u64 = 40;

/// A decision about a request, or a change of the node's state.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event<'a> {
    /// The process has started.
    Started {
        /// The program's version.
        version: &'a str,
    },
    /// The process has received the signal to shut down.
    Leaving {
        /// The number of open connections of callers.
        connections: usize,
    },
    /// The process exits.
    Stopped {
        /// The number of connections that were closed while still in use.
        cut_off: usize,
    },
    /// The settings file was read again.
    Reloaded {
        /// The result.
        outcome: &'a str,
    },
    /// The node has reached a step of its start. Written once for each step.
    StartStepReached {
        /// The step.
        step: &'a str,
        /// The time since the listeners were bound, in milliseconds.
        after_ms: u64,
    },
    /// New connections of callers weren't served, because the thread has no time for them, too many are open, or the memory
    /// for requests is taken.
    /// Written once a second while that happens.
    ConnectionsShed {
        /// The number of those that were closed unread.
        closed_unread: u64,
        /// The number of those whose request was answered with 503.
        refused: u64,
        /// An upper bound of the longest time that one of them waited to be accepted, in milliseconds.
        max_wait_ms: u64,
        /// The number of those that weren't served as the thread is overloaded.
        overload: u64,
        /// The number of those that weren't served as too many connections are open.
        too_many: u64,
        /// The number of those that weren't served as the memory for requests is taken.
        no_room: u64,
    },
    /// The thread that serves callers takes long to get round its tasks. Written once a second while that lasts.
    TrafficLate {
        /// The longest round, in milliseconds.
        round_ms: u64,
    },
    /// Requests have taken the memory that the node has for new connections, which are closed unread from now on.
    MemoryTaken {
        /// The memory that requests take.
        used_bytes: u64,
        /// The memory for all requests.
        limit_bytes: u64,
        /// The number of open connections.
        connections: usize,
    },
    /// There is memory for new connections again.
    MemoryFreed {
        /// The memory that requests take.
        used_bytes: u64,
        /// The memory for all requests.
        limit_bytes: u64,
    },
    /// Requests were refused, by this node itself. Written once a second while that happens.
    RefusalsCounted {
        /// The number of requests for each kind of cause.
        causes: &'a IndexMap<&'static str, u64>,
    },
    /// The control thread gets the processor late, so its timeouts are longer and work that can wait is done less
    /// often. Written once a second while that lasts.
    ControlLate {
        /// How late its timers fire, in milliseconds.
        late_ms: u64,
        /// The age of the configuration, in milliseconds; missing if there is none.
        configuration_age_ms: Option<u64>,
    },
    /// This node's control lease had run out before the store answered its renewal. No orders were given meanwhile.
    LeaseLapsed {
        /// The fencing token before.
        fence: u64,
        /// The fencing token now.
        fence_now: u64,
        /// For how long the lease had run out, in milliseconds.
        away_ms: u64,
        /// How long the store took for the renewal, in milliseconds.
        answer_ms: u64,
    },
    /// A dependency stopped answering.
    DependencyLost {
        /// The name of the dependency.
        dependency: &'a str,
        /// The failure.
        cause: &'a str,
    },
    /// A dependency answers again.
    DependencyRegained {
        /// The name of the dependency.
        dependency: &'a str,
        /// How long it didn't answer, in milliseconds.
        away_ms: u64,
    },
    /// A configuration was put in force.
    ConfigurationApplied {
        /// Its version.
        version: u64,
        /// The version before it.
        before: u64,
        /// The number of its routes.
        routes: usize,
    },
    /// The configuration in force contains something that can't be used as written.
    ConfigurationDoubtful {
        /// The service.
        service: &'a str,
        /// The problem, and what the node does instead.
        problem: &'a str,
    },
    /// How the engines are used, written every two seconds by the node that controls the groups.
    FleetCounted {
        /// The model.
        model: &'a str,
        /// The number of its open groups.
        open: usize,
        /// The number of open groups that accept requests, so not those in an evacuated failure domain.
        reachable: usize,
        /// The number of its groups that are being formed.
        forming: usize,
        /// The number of engines outside of groups that hold the model.
        spare: usize,
        /// The number of engines that are loading the model.
        loading: usize,
        /// The number of engines of the service that neither hold nor load a model.
        empty: usize,
        /// The number of its groups that callers keep busy, or `None` while there is no estimate yet.
        needed: Option<f64>,
        /// The mean urgency of their requests, where 1 is the most urgent, or `None` while there are none.
        urgency: Option<f64>,
    },
    /// A group is closed because its engines are of more use in groups of another model.
    GroupRetired {
        /// The group and its epoch.
        group: &'a str,
        /// Its model.
        model: &'a str,
        /// The model that gets its engines.
        to: &'a str,
    },
    /// A model has no groups because no fabric domain has enough engines for one. Written once while this
    /// lasts.
    ModelUnservable {
        /// The model.
        model: &'a str,
        /// The number of engines in a group of the model.
        group_size: usize,
        /// The number of engines in the largest fabric domain.
        engines: usize,
    },
    /// The number of calls of this process to the store, written every ten seconds and at exit.
    StoreCalled {
        /// The number of calls of each kind since the start.
        calls: &'a str,
    },
    /// The node now gets the store's records from another source.
    SourceChanged {
        /// The store, or the node that is followed.
        source: &'a str,
    },
    /// A node that was followed, or was to be, doesn't serve this one.
    SourceFailed {
        /// The node.
        source: &'a str,
        /// Why.
        cause: &'a str,
    },
    /// The store turns this node away, and this node searches for a source.
    SourceSearched {
        /// This node's role in its failure domain.
        role: &'a str,
    },
    /// This node has received everything that the newly followed node had to send.
    CaughtUp {
        /// The node.
        source: &'a str,
        /// The position up to which this node had the operator's topic before, as era and offset.
        operator_from: &'a str,
        /// The position up to which it has the operator's topic now.
        operator_next: &'a str,
        /// The number of records of the operator that were received.
        operator_records: usize,
        /// Whether these are the operator's complete records.
        operator_whole: bool,
        /// The position up to which this node had the registry before.
        registry_from: &'a str,
        /// The position up to which it has the registry now.
        registry_next: &'a str,
        /// The number of records of the registry that were received.
        registry_records: usize,
        /// Whether these are the registry's complete records.
        registry_whole: bool,
    },
    /// A topic of the store was read completely.
    TopicReread {
        /// The topic.
        topic: &'a str,
        /// The position up to which this node had the topic before, as era and offset.
        known_to: &'a str,
        /// The end of the topic.
        end: &'a str,
        /// The number of its records.
        records: usize,
        /// The number of records that are new to the nodes that follow this one.
        changed: usize,
        /// The number of keys that are no longer in the topic.
        gone: usize,
    },
    /// The store has returned from an older copy of itself, or this node has learned its era for the first time.
    StoreEraChanged {
        /// The era.
        era: u64,
        /// The era before.
        before: u64,
        /// Who named the era.
        source: &'a str,
    },
    /// Other nodes were asked what they know of the operator's topic, at the start or after a return of the store.
    NeighborsAsked {
        /// The number of nodes that answered.
        answered: usize,
        /// The version of the configuration in force after that.
        version: u64,
        /// The version before.
        before: u64,
        /// The number of evacuations that count though the topic doesn't name them.
        kept: usize,
    },
    /// This node's entry was missing from the list of nodes, and was written again.
    RegisteredAgain {},
    /// The store names an era that isn't a number. Written once until it names one again.
    StoreEraUnreadable {
        /// What it names.
        text: &'a str,
    },
    /// A reply of the node that this one follows was ignored, because it is older than what this node has. Written
    /// once until a reply is taken in.
    ReplyIgnored {
        /// The node.
        source: &'a str,
        /// The position up to which this node has the operator's topic.
        operator_known: &'a str,
        /// The position that the reply offers.
        operator_offered: &'a str,
        /// The position up to which this node has the registry.
        registry_known: &'a str,
        /// The position that the reply offers.
        registry_offered: &'a str,
    },
    /// A record or a response couldn't be parsed or used.
    RecordIgnored {
        /// The topic or other source of it.
        topic: &'a str,
        /// Its key.
        key: &'a str,
        /// The reason.
        cause: &'a str,
    },
    /// The set of evacuated failure domains, which get no new work, has changed.
    EvacuationChanged {
        /// All failure domains that are evacuated now.
        failure_domains: &'a [String],
    },
    /// An endpoint was discovered, or its state has changed.
    EndpointChanged {
        /// The endpoint.
        endpoint: &'a str,
        /// Its state.
        state: &'a str,
        /// The fabric domain that it is in.
        fabric_domain: &'a str,
        /// The models on its host.
        staged: &'a str,
        /// Its group, and its state in the group.
        group: &'a str,
    },
    /// An endpoint has left the registry.
    EndpointGone {
        /// The endpoint.
        endpoint: &'a str,
    },
    /// An endpoint's entry is missing after an outage of the store. The endpoint is kept until it may have registered
    /// again.
    RemovalDeferred {
        /// The endpoint.
        endpoint: &'a str,
        /// For how much longer the endpoint is kept, in milliseconds.
        for_ms: u64,
    },
    /// The store has returned from an outage in which entries of running endpoints may have expired.
    StoreReturned {
        /// How long it was away, in milliseconds.
        away_ms: u64,
        /// Who has told so: the store or another node.
        source: &'a str,
    },
    /// An endpoint has said in a response that it leaves. It gets no new work.
    EndpointLeaving {
        /// The endpoint.
        endpoint: &'a str,
        /// The request whose response said so first; empty if it was a report or an answer to an
        /// order.
        request: &'a str,
    },
    /// An endpoint is ejected: it gets no requests for some time.
    EndpointRests {
        /// The endpoint.
        endpoint: &'a str,
        /// The request that failed last.
        request: &'a str,
        /// The duration of the ejection, in milliseconds.
        rest_ms: u64,
    },
    /// An endpoint has requested a backoff: it wants no requests from this node for some time, or for longer than
    /// before.
    EndpointBackoffRequested {
        /// The endpoint.
        endpoint: &'a str,
        /// The request whose response said so.
        request: &'a str,
        /// The time from now on, in milliseconds.
        backoff_ms: u64,
        /// Whether an earlier backoff hadn't ended yet.
        is_extension: bool,
    },
    /// The first request is sent to an endpoint after its backoff.
    EndpointBackoffEnded {
        /// The endpoint.
        endpoint: &'a str,
        /// The request.
        request: &'a str,
        /// How long the backoff was, in milliseconds.
        backoff_ms: u64,
    },
    /// An endpoint has requested a backoff that isn't a number of seconds. Only its first one is logged.
    BackoffIgnored {
        /// The endpoint.
        endpoint: &'a str,
        /// The request whose response named it.
        request: &'a str,
        /// The value.
        value: &'a str,
    },
    /// An endpoint has named a limit on the requests of all nodes together, or another limit than before.
    EndpointLimited {
        /// The endpoint.
        endpoint: &'a str,
        /// The request whose response named it; empty if another node said so.
        request: &'a str,
        /// The limit, in requests per second.
        per_s: f64,
    },
    /// An endpoint names no limit any more.
    EndpointUnlimited {
        /// The endpoint.
        endpoint: &'a str,
        /// The request whose response named none; empty if another node said so.
        request: &'a str,
        /// How long this node had known of a limit, in milliseconds.
        limited_ms: u64,
    },
    /// A request is refused because the endpoints that have room limit the requests of all nodes together.
    RequestLimited {
        /// The request.
        request: &'a str,
        /// Some of the limited endpoints.
        endpoints: &'a [&'a str],
        /// The number of limited endpoints.
        limited: usize,
        /// How often it was denied a permit.
        denials: u32,
    },
    /// The dispatcher of a pool has assigned an endpoint to a request.
    DispatchAssigned {
        /// The request.
        request: &'a str,
        /// The node that dispatches.
        dispatcher: &'a str,
        /// The endpoint.
        endpoint: &'a str,
        /// The predicted time from sending to the first event, in milliseconds.
        predicted_start_ms: u64,
        /// The time until the dispatcher answered, in milliseconds.
        waited_ms: u64,
    },
    /// The endpoint that a dispatcher has assigned can't be used, so the node chooses one itself.
    DispatchUnusable {
        /// The request.
        request: &'a str,
        /// The endpoint.
        endpoint: &'a str,
    },
    /// The dispatcher of a part of a pool has refused a request.
    DispatchRefused {
        /// The request.
        request: &'a str,
        /// The node that dispatches.
        dispatcher: &'a str,
        /// The part of the pool.
        part: u32,
        /// The cause.
        cause: &'a str,
        /// When the caller may return, in milliseconds.
        retry_after_ms: u64,
        /// The time until the dispatcher answered, in milliseconds.
        waited_ms: u64,
    },
    /// The dispatcher of a pool hasn't answered, so the node chooses an endpoint itself.
    DispatchUnanswered {
        /// The request.
        request: &'a str,
        /// The node that was asked.
        dispatcher: &'a str,
        /// The time since then, in milliseconds.
        waited_ms: u64,
    },
    /// This node reports what it has at the endpoints of a part of a pool to another dispatcher than before.
    DispatcherChanged {
        /// The service, the model and the index of the part.
        part: &'a str,
        /// The node that dispatches now.
        dispatcher: &'a str,
        /// The node that did before, if there was one.
        before: Option<&'a str>,
    },
    /// An endpoint has named a limit that isn't a rate. Only its first one is logged.
    LimitIgnored {
        /// The endpoint.
        endpoint: &'a str,
        /// The request whose response named it.
        request: &'a str,
        /// The value.
        value: &'a str,
    },
    /// An endpoint crashed while it was running a request of this node.
    CrashSuspected {
        /// The fingerprint of the request.
        fingerprint: Fingerprint,
        /// The endpoint.
        endpoint: &'a str,
        /// The number of successive crashes that are attributed to the request now.
        crashes: u32,
    },
    /// A request isn't blocked, because its last endpoint was lost together with others.
    CrashExcused {
        /// The fingerprint of the request.
        fingerprint: Fingerprint,
        /// The endpoint.
        endpoint: &'a str,
        /// The number of other endpoints nearby that were checked.
        checked: usize,
        /// The number of those that have stopped or can't be reached.
        stopped: usize,
    },
    /// A request, or requests with one part in their prompts, are refused from now on, because they have crashed
    /// several endpoints in succession.
    RequestBlocked {
        /// The fingerprint of the request or of the part.
        fingerprint: Fingerprint,
        /// The part; empty if one request is blocked.
        part: &'a str,
        /// Its route.
        route: &'a str,
        /// The customer that sends it; empty if the route needs no key.
        customer: &'a str,
        /// The endpoints that it crashed.
        endpoints: &'a [&'a str],
        /// The Unix time in milliseconds since which it is blocked.
        since_unix_ms: u64,
    },
    /// A request isn't refused any more.
    RequestUnblocked {
        /// The fingerprint of the request.
        fingerprint: Fingerprint,
        /// Why the block has ended.
        cause: &'a str,
        /// How long this node had known of the block, in milliseconds.
        blocked_ms: u64,
    },
    /// The members of a group were probed.
    GroupExamined {
        /// The group and its epoch.
        group: &'a str,
        /// The verdict on the group.
        verdict: &'a str,
        /// The results of the probes.
        finding: &'a str,
    },
    /// Endpoints seem to have failed, so this node opened connections to other ones.
    LinksChecked {
        /// The group or endpoint that seems to have failed.
        subject: &'a str,
        /// The number of other endpoints that were tried.
        checked: usize,
        /// The number of those that accepted a connection before the check ended, at the first one; 0 if this node
        /// has lost its own links.
        reached: usize,
    },
    /// This node can't open connections to any endpoint of a pool.
    ReachLost {
        /// The service, and the model if there is one.
        pool: &'a str,
        /// Milliseconds since the first connection failed.
        since_ms: u64,
    },
    /// Endpoints of a pool accept connections of this node again.
    ReachRegained {
        /// The service, and the model if there is one.
        pool: &'a str,
        /// How long they couldn't be reached, in milliseconds.
        lost_ms: u64,
    },
    /// Other nodes than before forward this node's requests to a pool that it doesn't reach.
    HelpersChanged {
        /// The service, and the model if there is one.
        pool: &'a str,
        /// The nodes.
        helpers: &'a [&'a str],
    },
    /// A request was sent to another node, which forwards it to an endpoint.
    Forwarded {
        /// The request.
        request: &'a str,
        /// The other node.
        helper: &'a str,
        /// The number of the attempt, starting at 1.
        attempt: u32,
    },
    /// Another node sent a request that this node forwards to an endpoint.
    ForwardingAccepted {
        /// The request.
        request: &'a str,
        /// The address of the other node.
        from: &'a str,
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
    /// An order was sent to an engine.
    OrderGiven {
        /// The engine.
        endpoint: &'a str,
        /// The order.
        order: &'a str,
        /// The controller's fence.
        fence: u64,
        /// The outcome.
        outcome: &'a str,
    },
    /// This node started or stopped controlling the groups.
    ControlChanged {
        /// Whether it controls the groups now.
        leads: bool,
        /// Its fence, or the last one that it held.
        fence: u64,
        /// The reason.
        reason: &'a str,
    },
    /// A request was forwarded to an endpoint.
    Sent {
        /// The request.
        request: &'a str,
        /// The endpoint.
        endpoint: &'a str,
        /// The number of the attempt, starting at 1.
        attempt: u32,
        /// The estimated load of the endpoint, in requests per slot.
        load: f64,
        /// The version of the configuration that was used.
        configuration: u64,
    },
    /// An attempt failed.
    AttemptFailed {
        /// The request.
        request: &'a str,
        /// The fingerprint, which is the same whenever the caller sends the request again.
        fingerprint: Fingerprint,
        /// The parts of its prompt that other requests may share, comma-separated.
        parts: &'a str,
        /// The endpoint.
        endpoint: &'a str,
        /// The failure.
        cause: &'a str,
        /// Whether the endpoint may have executed the request.
        may_have_run: bool,
        /// Milliseconds since the request arrived.
        after_ms: u64,
    },
    /// The node responded to a request itself, without an endpoint.
    Refused {
        /// The request.
        request: &'a str,
        /// The HTTP status.
        status: u16,
        /// The reason.
        cause: &'a str,
        /// Milliseconds after which the caller may retry.
        retry_after_ms: Option<u64>,
        /// The version of the configuration that was used.
        configuration: u64,
        /// The age of that configuration, in milliseconds.
        configuration_age_ms: Option<u64>,
        /// Milliseconds since the request arrived.
        after_ms: u64,
    },
    /// A request got the complete response of an endpoint.
    Answered {
        /// The request.
        request: &'a str,
        /// The endpoint.
        endpoint: &'a str,
        /// The HTTP status.
        status: u16,
        /// The number of attempts.
        attempts: u32,
        /// The route of the request.
        route: &'a str,
        /// Milliseconds to the response, or to the first event.
        first_ms: u64,
        /// The longest pause between events, in milliseconds.
        pause_ms: u64,
        /// The total time, in milliseconds.
        total_ms: u64,
    },
    /// A stream was resumed at another endpoint.
    Resumed {
        /// The request.
        request: &'a str,
        /// The fingerprint, which is the same whenever the caller sends the request again.
        fingerprint: Fingerprint,
        /// The parts of its prompt that other requests may share, comma-separated.
        parts: &'a str,
        /// The endpoint that sent the first part.
        from: &'a str,
        /// The endpoint that continues the stream.
        endpoint: &'a str,
        /// The last event that the caller received.
        last_event: &'a str,
        /// Milliseconds since that event.
        pause_ms: u64,
    },
    /// A stream was cut off before it was complete.
    Broken {
        /// The request.
        request: &'a str,
        /// The fingerprint, which is the same whenever the caller sends the request again.
        fingerprint: Fingerprint,
        /// The parts of its prompt that other requests may share, comma-separated.
        parts: &'a str,
        /// The endpoint.
        endpoint: &'a str,
        /// The reason.
        cause: &'a str,
        /// Milliseconds since the request arrived.
        after_ms: u64,
    },
    /// The caller disconnected before the response was complete.
    CallerLeft {
        /// The request.
        request: &'a str,
        /// The endpoint that was handling the request.
        endpoint: &'a str,
        /// Milliseconds since the request arrived.
        after_ms: u64,
    },
    /// The handling of a request ended before there was a response, because its caller disconnected or the process
    /// exits.
    Unanswered {
        /// The request.
        request: &'a str,
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
struct OmittedLines {
    event: &'static str,
    lines_dropped: u64,
    successes_not_written: u64,
}

/// The decision log: a bounded queue to the thread that writes it.
#[derive(Debug)]
pub struct EventLog {
    node: NodeId,
    lines: Sender<String>,
    dropped: AtomicU64,
    successes_in_second: AtomicU64,
    current_second: AtomicU64,
    skipped_successes: AtomicU64,
}

impl EventLog {
    /// Starts the writer thread. It exits once the log is closed or dropped and all lines are written.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the thread can't be started.
    pub fn start(node: NodeId) -> std::io::Result<(Self, JoinHandle<()>)> {
        let (lines, queue) = async_channel::bounded(QUEUE_CAPACITY);
        let writer = std::thread::Builder::new().name("events".to_owned());
        let writer = writer.spawn(move || write_batches(&queue))?;
        let log = Self {
            node,
            lines,
            dropped: AtomicU64::new(0),
            successes_in_second: AtomicU64::new(0),
            current_second: AtomicU64::new(0),
            skipped_successes: AtomicU64::new(0),
        };
        Ok((log, writer))
    }

    /// Queues an event for the writer, or counts it as dropped if the queue is full.
    pub fn write(&self, event: &Event<'_>) {
        self.write_omitted();
        let line = Line {
            time_ms: unix_millis(),
            node: self.node.as_str(),
            event,
        };
        match serde_json::to_string(&line) {
            Ok(line) => self.push(line),
            Err(error) => log::error!("events: an event can't be serialized: {error}."),
        }
    }

    /// Writes the event of a successful request, unless too many were already written in this second.
    pub fn write_success(&self, now: Timestamp, event: &Event<'_>) {
        let second = now.as_millis() / 1_000;
        if self.current_second.swap(second, Ordering::Relaxed) != second {
            self.successes_in_second.store(0, Ordering::Relaxed);
        }
        if self.successes_in_second.fetch_add(1, Ordering::Relaxed) < MAX_SUCCESSES_PER_S {
            self.write(event);
        } else {
            self.skipped_successes.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of lines dropped since the last `lines_left_out` line.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Closes the queue; the writer thread exits once it has written the queued lines.
    pub fn close(&self) {
        self.lines.close();
    }

    fn write_omitted(&self) {
        let dropped = self.dropped.load(Ordering::Relaxed);
        let skipped = self.skipped_successes.load(Ordering::Relaxed);
        let has_room = self.lines.len() < QUEUE_CAPACITY / 2;
        if (dropped == 0 && skipped < MAX_SUCCESSES_PER_S) || !has_room {
            return;
        }
        let omitted = OmittedLines {
            event: "lines_left_out",
            lines_dropped: self.dropped.swap(0, Ordering::Relaxed),
            successes_not_written: self.skipped_successes.swap(0, Ordering::Relaxed),
        };
        if let Ok(line) = serde_json::to_string(&omitted) {
            self.push(line);
        }
    }

    fn push(&self, line: String) {
        if let Err(TrySendError::Full(_)) = self.lines.try_send(line) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Writes lines in batches, to avoid a system call per line.
///
/// Standard output is locked for one batch at a time only. Otherwise a second node in the process, as in
/// tests, would wait until the first one has exited.
fn write_batches(queue: &Receiver<String>) {
    let mut out = std::io::stdout();
    while let Ok(line) = queue.recv_blocking() {
        let mut batch = line;
        batch.push('\n');
        while let Ok(line) = queue.try_recv() {
            batch.push_str(&line);
            batch.push('\n');
        }
        // If standard output is closed, there is no other place to report it.
        let _result = out.write_all(batch.as_bytes()).and_then(|()| out.flush());
        // Lines arrive in bursts; a short delay collects them into one write.
        std::thread::sleep(BATCH_DELAY);
    }
}

/// How long lines are collected before they are written.
const BATCH_DELAY: Duration = Duration::from_millis(50);

/// Returns the Unix time in milliseconds.
pub(crate) fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
