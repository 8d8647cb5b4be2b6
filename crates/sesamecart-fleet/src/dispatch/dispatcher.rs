//! Assigns endpoints of one pool to the requests of all nodes.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{EndpointId, NodeId, Timestamp};

use super::attempts::Attempts;
use super::classes::{Class, Classes};
use super::heads::Head;
use super::message::{
    Assignment, AttemptEnd, DispatchDecision, DispatchRefusal, DispatchRequest, HeldRequest,
    PoolHead, PoolSpec, RefusalCause, TicketKey,
};
use super::placement::{Pool, Search, StartLimits};
use super::queue::{Offer, Queue, Rank};
use super::returns::{Returns, Standing};
use super::shares::Shares;
use crate::millis::{from_millis, to_millis};

/// How often waiting requests are looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The time after which the attempts of a silent node count as over.
const MAX_NODE_SILENCE: Duration = Duration::from_millis(1_500);

/// The number of waiting requests with the same limits that find no place until the others aren't tried.
const MAX_MISSES: usize = 8;

/// The time until a place may be free if no endpoint is there or none is in time.
const NO_PLACE_DELAY: Duration = Duration::from_millis(200);

/// The fraction of an endpoint's slots that customers above their share leave to the others.
const OVER_SHARE_RESERVE: f64 = 0.4;

/// The scale of served tokens per weight in the order of waiting requests.
const SERVED_SCALE: f64 = 1_000.0;

/// The times to the first event that hold for a class of requests, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct StartTimes {
    /// That of a mean request at an idle endpoint.
    idle_ms: f64,
    /// The promised one.
    target_ms: f64,
    /// The promised one of the requests that must find room after it.
    shared_ms: f64,
}

impl StartTimes {
    /// Returns whether a request that has waited for so long can't start in time any more.
    fn are_missed_after(self, waited: Duration) -> bool {
        self.target_ms - to_millis(waited) < self.idle_ms
    }
}

/// The dispatcher of one pool.
///
/// docs/design/dispatch.md has the rules of admission.
#[derive(Debug)]
pub struct Dispatcher {
    spec: PoolSpec,
    attempts: Attempts,
    nodes: IndexMap<NodeId, Timestamp>,
    classes: Classes,
    shares: Shares,
    returns: Returns,
    queue: Queue,
}

impl Dispatcher {
    /// Creates a dispatcher that knows no endpoint yet.
    #[must_use]
    pub fn new(spec: PoolSpec) -> Self {
        Self {
            spec,
            attempts: Attempts::new(),
            nodes: IndexMap::new(),
            classes: Classes::default(),
            shares: Shares::default(),
            returns: Returns::new(),
            queue: Queue::default(),
        }
    }

    /// Sets the properties of the pool, which change with the configuration.
    pub fn set_spec(&mut self, spec: PoolSpec) {
        self.spec = spec;
    }

    /// Sets the endpoints that take requests now. What is known of an endpoint is kept while it has attempts.
    pub fn set_heads(&mut self, now: Timestamp, heads: impl IntoIterator<Item = PoolHead>) {
        self.attempts.advance(now, &self.spec);
        self.attempts.set_heads(now, heads);
    }

    /// Decides about a new request.
    pub fn offer(&mut self, now: Timestamp, mut req: DispatchRequest) -> DispatchDecision {
        self.advance(now);
        self.record_heard(now, &req.key.node);
        let (standing, refused_for) = self
            .returns
            .record_asked(now, &req.fingerprint, req.urgency);
        req.waited += refused_for;
        let offer = Offer {
            req,
            standing,
            offered_at: now,
        };
        self.classes.record_asked(now, offer.class());
        if standing != Standing::Early {
            self.shares
                .record_asked(now, &offer.req.customer, offer.tokens());
        }
        let rank = self.rank(now, &offer);
        let ahead_ms = self.work_ahead_ms(now, rank);
        match self.search(now, &offer) {
            Search::Found {
                endpoint,
                predicted_ms,
            } if ahead_ms == 0.0 => self.send(now, &offer, endpoint, predicted_ms),
            Search::Found { .. } => self.wait_or_refuse(now, rank, offer, from_millis(ahead_ms)),
            Search::Later(delay) => {
                self.wait_or_refuse(now, rank, offer, delay + from_millis(ahead_ms))
            }
            Search::TooLate => self.refuse(now, &offer, RefusalCause::Full, NO_PLACE_DELAY),
            Search::NoEndpoint => {
                self.refuse(now, &offer, RefusalCause::NoEndpoint, NO_PLACE_DELAY)
            }
        }
    }

    /// Returns the decisions about requests that have waited.
    pub fn poll(&mut self, now: Timestamp) -> Vec<(TicketKey, DispatchDecision)> {
        self.advance(now);
        if self.queue.is_empty() {
            return Vec::new();
        }
        let mut queue = std::mem::take(&mut self.queue);
        let offers = queue.take_sorted(|offer| self.rank(now, offer));
        let mut decisions = Vec::new();
        let mut misses = 0;
        let mut last: Option<Rank> = None;
        for (rank, offer) in offers {
            if last.is_none_or(|last| !rank.has_limits_of(&last)) {
                misses = 0;
            }
            last = Some(rank);
            let decision = self.decide_waiting(now, &offer, misses < MAX_MISSES);
            match decision {
                DispatchDecision::Wait => {
                    misses += 1;
                    self.queue.push(rank, offer);
                }
                DispatchDecision::Send(_) | DispatchDecision::Refuse(_) => {
                    decisions.push((offer.req.key, decision));
                }
            }
        }
        decisions
    }

    /// Returns when [`Self::poll`] has to be called next, if requests wait.
    #[must_use]
    pub fn next_poll(&self, now: Timestamp) -> Option<Timestamp> {
        (!self.queue.is_empty()).then(|| now + POLL_INTERVAL)
    }

    /// Removes a waiting request whose caller has left.
    pub fn cancel(&mut self, key: &TicketKey) {
        self.queue.remove(key);
    }

    /// Records an attempt that a node has at an endpoint, also one that this dispatcher hasn't assigned.
    ///
    /// Reporting an attempt again changes nothing. A report with a start has to be recorded before the end of the
    /// attempt.
    pub fn record_held(&mut self, now: Timestamp, held: HeldRequest) {
        self.record_heard(now, &held.key.node);
        self.attempts.record_held(now, &self.spec, held);
    }

    /// Records that an attempt has ended.
    pub fn record_ended(&mut self, now: Timestamp, key: &TicketKey, end: AttemptEnd) {
        self.attempts.record_ended(now, &self.spec, key, end);
    }

    /// Records that a report of a node arrived. `is_complete` is whether it named all of the node's attempts:
    /// those not named in it are over.
    ///
    /// The attempts that it names have to be recorded before it, with the same `now`.
    pub fn record_report(&mut self, now: Timestamp, node: &NodeId, is_complete: bool) {
        self.record_heard(now, node);
        if is_complete {
            self.attempts.keep_reported_at(now, node);
        }
    }

    /// Removes the attempts of a node that is gone.
    pub fn drop_node(&mut self, _now: Timestamp, node: &NodeId) {
        self.nodes.swap_remove(node);
        self.attempts.remove_node(node);
        self.queue.remove_node(node);
    }

    /// Returns the number of attempts that nodes have at the endpoints, as far as this dispatcher knows.
    #[must_use]
    pub fn held(&self) -> usize {
        let heads = self.attempts.heads().values();
        heads.map(Head::attempt_count).sum()
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    fn record_heard(&mut self, now: Timestamp, node: &NodeId) {
        match self.nodes.get_mut(node) {
            Some(heard_at) => *heard_at = now,
            None => {
                self.nodes.insert(node.clone(), now);
            }
        }
    }

    /// Removes what is over by now.
    fn advance(&mut self, now: Timestamp) {
        let is_silent = |heard_at: &Timestamp| now.since(*heard_at) >= MAX_NODE_SILENCE;
        let silent = self
            .nodes
            .iter()
            .filter(|(_, heard_at)| is_silent(heard_at));
        let silent: Vec<NodeId> = silent.map(|(node, _)| node.clone()).collect();
        for node in &silent {
            self.drop_node(now, node);
        }
        self.attempts.advance(now, &self.spec);
    }

    /// Decides about a request that waits. Its place is only looked for if `is_tried`.
    fn decide_waiting(
        &mut self,
        now: Timestamp,
        offer: &Offer,
        is_tried: bool,
    ) -> DispatchDecision {
        let is_over = now >= offer.waits_until();
        if !is_tried && !is_over {
            return DispatchDecision::Wait;
        }
        match self.search(now, offer) {
            Search::Found {
                endpoint,
                predicted_ms,
            } => self.send(now, offer, endpoint, predicted_ms),
            Search::Later(delay) if is_over || now + delay > offer.waits_until() => {
                self.refuse(now, offer, RefusalCause::Full, delay)
            }
            Search::Later(_) => DispatchDecision::Wait,
            Search::TooLate => self.refuse(now, offer, RefusalCause::Full, NO_PLACE_DELAY),
            Search::NoEndpoint => self.refuse(now, offer, RefusalCause::NoEndpoint, NO_PLACE_DELAY),
        }
    }

    fn pool(&self, now: Timestamp) -> Pool<'_> {
        Pool {
            now,
            spec: &self.spec,
            overhead: self.attempts.overhead(),
            slots: self.attempts.slots(),
        }
    }

    fn search(&self, now: Timestamp, offer: &Offer) -> Search {
        let limits = self.limits(now, offer);
        let req = offer.at(now);
        self.pool(now).search(self.attempts.heads(), &req, limits)
    }

    /// Returns the times to the first event that hold for a class of requests.
    ///
    /// A target that not even an idle endpoint can hold is replaced by the time in which one starts a request behind
    /// another.
    fn start_times(&self, now: Timestamp, class: Class) -> StartTimes {
        let pool = self.pool(now);
        let idle_ms = pool.idle_start_ms(self.attempts.heads());
        let reachable_ms = idle_ms + pool.mean_prompt_ms(0);
        StartTimes {
            idle_ms,
            target_ms: to_millis(class.target).max(reachable_ms),
            shared_ms: to_millis(self.classes.shared_target(now, class)).max(reachable_ms),
        }
    }

    /// Returns the limits of a request's start. A request that is late when it is offered is treated like a new one,
    /// but yields to those in time.
    fn limits(&self, now: Timestamp, offer: &Offer) -> StartLimits {
        let class = offer.class();
        let times = self.start_times(now, class);
        let is_late = times.are_missed_after(offer.req.waited);
        let waited = if is_late {
            Duration::ZERO
        } else {
            offer.req.waited
        };
        let waited_ms = to_millis(waited + now.since(offer.offered_at));
        let precedence = self.classes.precedence(now, class);
        let is_over_share = self.is_over_share(now, offer);
        let is_early = offer.standing == Standing::Early;
        let yields = [precedence.is_ahead, is_late, is_early, is_over_share];
        let yields = yields.into_iter().filter(|yields| *yields).count();
        StartLimits {
            own_ms: times.target_ms - waited_ms,
            shared_ms: times.shared_ms,
            reserved: usize::from(precedence.urgencies_before) + yields,
            reserved_slots: if is_over_share {
                OVER_SHARE_RESERVE
            } else {
                0.0
            },
        }
    }

    fn is_over_share(&self, now: Timestamp, offer: &Offer) -> bool {
        let mean = self.spec.steps.mean;
        self.shares
            .is_over(now, &offer.req.customer, mean.prompt + mean.answer)
    }

    fn rank(&self, now: Timestamp, offer: &Offer) -> Rank {
        let served = self.shares.served_per_weight(now, &offer.req.customer);
        Rank {
            precedence: self.classes.precedence(now, offer.class()),
            is_over_share: self.is_over_share(now, offer),
            is_late: self
                .start_times(now, offer.class())
                .are_missed_after(offer.req.waited),
            standing: offer.standing,
            served_tokens: (served * SERVED_SCALE) as u64,
            late_at: offer.offered_at + offer.req.latency_target - offer.req.waited,
        }
    }

    /// Returns the time until the requests that go before one of rank `rank` have found places: that in which the
    /// pool reads their prompts, or in which as many requests end if all slots are taken.
    fn work_ahead_ms(&self, now: Timestamp, rank: Rank) -> f64 {
        let tokens: Vec<f64> = self.queue.prompts_before(rank).collect();
        if tokens.is_empty() {
            return 0.0;
        }
        let heads = self.attempts.usable_heads().max(1) as f64;
        let reading_ms = tokens.iter().sum::<f64>() * self.spec.token_ms(0) / heads;
        let ends_ms = tokens.len() as f64 * self.pool(now).end_interval_ms(0);
        reading_ms.max(ends_ms)
    }

    fn send(
        &mut self,
        now: Timestamp,
        offer: &Offer,
        endpoint: EndpointId,
        predicted_ms: f64,
    ) -> DispatchDecision {
        self.attempts
            .assign(now, &self.spec, &offer.at(now), &endpoint);
        self.classes.record_decided(now, offer.class(), true);
        self.shares
            .record_served(now, &offer.req.customer, offer.tokens());
        self.returns.record_admitted(now, &offer.req.fingerprint);
        DispatchDecision::Send(Assignment {
            endpoint,
            predicted_start: from_millis(predicted_ms),
        })
    }

    fn wait_or_refuse(
        &mut self,
        now: Timestamp,
        rank: Rank,
        offer: Offer,
        delay: Duration,
    ) -> DispatchDecision {
        if self.queue.is_full() || now + delay > offer.waits_until() {
            return self.refuse(now, &offer, RefusalCause::Full, delay);
        }
        self.queue.push(rank, offer);
        DispatchDecision::Wait
    }

    fn refuse(
        &mut self,
        now: Timestamp,
        offer: &Offer,
        cause: RefusalCause,
        room_after: Duration,
    ) -> DispatchDecision {
        let is_over = self.is_over_share(now, offer);
        let cause = match cause {
            RefusalCause::Full if is_over => RefusalCause::OverShare,
            cause => cause,
        };
        if offer.standing != Standing::Early {
            self.classes.record_decided(now, offer.class(), false);
        }
        self.shares.record_refused(now);
        let time_left = offer.at(now).time_left;
        let retry_after = self.returns.promise(
            now,
            &offer.req.fingerprint,
            offer.req.urgency,
            room_after,
            time_left,
        );
        DispatchDecision::Refuse(DispatchRefusal { cause, retry_after })
    }
}
