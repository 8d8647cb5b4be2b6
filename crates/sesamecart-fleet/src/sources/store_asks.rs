//! When a node without a source asks the store again, and which nodes it asks meanwhile.
//!
//! The load: the store turns away some or all nodes for seconds. If each of them asked again by itself, the
//! calls would grow with the number of nodes just when the store is busy. The nodes take turns instead: the
//! readers ask once in [`ASK_INTERVAL`], and of the others [`ASKERS_PER_INTERVAL`] at a time, so that the
//! calls of all nodes together don't depend on their number. A node that is served reads the store for the
//! others, which look for it among the nodes whose turn has come. All nodes derive the same order from the
//! list of nodes. A node that already follows another one refers the searching nodes to it. docs/design/store-calls.md has the ways weighed.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{FailureDomainId, NodeId, Timestamp};

use super::{PeerNode, Source, node_source, sorted_domains};

#[cfg(test)]
mod tests;

/// The interval between two asks of a reader, and the length of the turn of other nodes.
///
/// Callers get a configuration that is at most 2 s old once the store is back. An ask and the search of the
/// nodes that follow have to fit in.
const ASK_INTERVAL: Duration = Duration::from_secs(1);

/// The number of nodes beside the readers that ask the store in one [`ASK_INTERVAL`].
const ASKERS_PER_INTERVAL: usize = 6;

/// The interval between two asks of a node that no other node answers. It can't know whether others ask.
const ISOLATED_ASK_INTERVAL: Duration = Duration::from_millis(1_500);

/// The mean interval between two searches for a node that serves.
const SEARCH_INTERVAL: Duration = Duration::from_millis(400);

/// The same in the first second of a search. The configuration is then up to 2 s old, and changes have to be in
/// force within 3 s.
const FIRST_SEARCH_INTERVAL: Duration = Duration::from_millis(150);

/// How many past turns are searched for a node that serves.
const SEARCHED_TURNS: usize = 2;

/// How many readers of other failure domains are asked in one search.
const SEARCHED_READERS: usize = 1;

/// How many nodes whose turn has come are asked in one search.
const SEARCHED_ASKERS: usize = 3;

/// How many nodes of any rank are asked in one search. They may refer this node to one that serves, and they show that
/// it isn't isolated if all nodes that ask first are down.
const SEARCHED_OTHERS: usize = 4;

/// The number of searches in a row without any answer after which a node considers itself isolated.
const UNANSWERED_SEARCHES: u32 = 2;

/// Returns the delay of the next search of a node that has searched for this long. `draw` is a random number between 0
/// and 1, which keeps nodes from searching at the same time.
#[must_use]
pub fn search_delay(seeking: Duration, draw: f64) -> Duration {
    let interval = if seeking < ASK_INTERVAL {
        FIRST_SEARCH_INTERVAL
    } else {
        SEARCH_INTERVAL
    };
    interval.mul_f64(0.75 + 0.5 * draw)
}

/// The order in which the nodes ask the store: the readers, the standbys, then the other nodes of each failure
/// domain, the largest first.
#[derive(Clone, Debug)]
pub struct AskOrder<'a> {
    nodes: Vec<&'a PeerNode>,
    readers: usize,
}

impl<'a> AskOrder<'a> {
    /// Derives the order from the list of nodes.
    #[must_use]
    pub fn new(nodes: &'a [PeerNode]) -> Self {
        let domains: IndexMap<&FailureDomainId, Vec<&PeerNode>> = sorted_domains(nodes);
        let longest = domains.values().map(Vec::len).max().unwrap_or_default();
        let ranks = (0..longest).flat_map(|rank| domains.values().map(move |peers| (peers, rank)));
        Self {
            readers: domains.len(),
            nodes: ranks
                .filter_map(|(peers, rank)| peers.get(rank).copied())
                .collect(),
        }
    }

    /// Returns the turn of a node. A node that isn't listed has the first one.
    #[must_use]
    pub fn turn(&self, node: &NodeId) -> AskTurn {
        let rank = self.nodes.iter().position(|peer| peer.node == *node);
        let Some(place) = rank.and_then(|rank| rank.checked_sub(self.readers)) else {
            return AskTurn::Reader;
        };
        let others = self.nodes.len() - self.readers;
        AskTurn::Other {
            turn: place / ASKERS_PER_INTERVAL,
            turns: others.div_ceil(ASKERS_PER_INTERVAL),
        }
    }

    /// Returns the nodes to ask next whether they serve, in order of preference: the reader and the standby of
    /// the own failure domain, some other readers, some of the nodes whose turn has come, and some of all. `rng` returns
    /// random numbers between 0 and 1.
    #[must_use]
    pub fn candidates(
        &self,
        own: &NodeId,
        seeking: Duration,
        mut rng: impl FnMut() -> f64,
    ) -> Vec<Source> {
        let me = self.nodes.iter().find(|peer| peer.node == *own);
        let is_local = |peer: &&&PeerNode| {
            me.is_some_and(|me| me.failure_domain == peer.failure_domain) && peer.node != *own
        };
        let local = self.nodes.iter().filter(is_local).take(2);
        let mut chosen: Vec<&PeerNode> = local.copied().collect();
        let (readers, others) = self.nodes.split_at(self.readers);
        let end = (turns_begun(seeking) * ASKERS_PER_INTERVAL).min(others.len());
        let start = end.saturating_sub(SEARCHED_TURNS * ASKERS_PER_INTERVAL);
        for (group, count) in [
            (readers, SEARCHED_READERS),
            (&others[start..end], SEARCHED_ASKERS),
            (&self.nodes[..], SEARCHED_OTHERS),
        ] {
            let unchosen = |peer: &&PeerNode| peer.node != *own && !chosen.contains(peer);
            let group = group.iter().copied().filter(unchosen);
            let mut drawn: Vec<(f64, &PeerNode)> = group.map(|peer| (rng(), peer)).collect();
            drawn.sort_by(|(a, _), (b, _)| a.total_cmp(b));
            chosen.extend(drawn.into_iter().take(count).map(|(_, peer)| peer));
        }
        chosen.into_iter().map(node_source).collect()
    }
}

/// When a node may ask the store, relative to the other nodes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AskTurn {
    /// The node is a reader, which may always ask.
    Reader,
    /// The node shares its turn with some others, and `turns` follow one another.
    Other {
        /// The number of the node's turn.
        turn: usize,
        /// The number of turns until it comes again.
        turns: usize,
    },
}

fn turns_begun(seeking: Duration) -> usize {
    1 + interval_number(seeking)
}

fn interval_number(seeking: Duration) -> usize {
    usize::try_from(seeking.as_millis() / ASK_INTERVAL.as_millis()).unwrap_or(usize::MAX - 1)
}

/// What a node knows of its own search for a source.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreAsks {
    seeking_since: Option<Timestamp>,
    asked_at: Option<Timestamp>,
    /// Whether the store turned this node away, or another node said that it isn't served.
    is_turned_away: bool,
    /// The number of searches in a row in which no other node answered.
    unanswered: u32,
}

impl StoreAsks {
    /// Records that a source serves.
    pub fn record_served(&mut self) {
        *self = Self::default();
    }

    /// Records that the store turned this node away, or that another node said that the store doesn't serve it.
    pub const fn record_turned_away(&mut self) {
        self.is_turned_away = true;
    }

    /// Returns whether this node has to wait for its turn before it reads the store. On a deployment whose store
    /// serves all nodes, none ever has to.
    #[must_use]
    pub const fn must_wait(&self) -> bool {
        self.is_turned_away
    }

    /// Starts the search for a source, unless it has begun. Returns how long it has lasted.
    pub fn search(&mut self, now: Timestamp) -> Duration {
        now.since(*self.seeking_since.get_or_insert(now))
    }

    /// Records whether any other node answered in a search.
    pub const fn record_answers(&mut self, has_answers: bool) {
        self.unanswered = if has_answers {
            0
        } else {
            self.unanswered.saturating_add(1)
        };
    }

    /// Returns whether this node asks the store now, and records that it does.
    pub fn try_ask(&mut self, now: Timestamp, turn: AskTurn) -> bool {
        let is_due = self.is_due(now, turn);
        if is_due {
            self.asked_at = Some(now);
        }
        is_due
    }

    fn is_due(&self, now: Timestamp, turn: AskTurn) -> bool {
        let since_ask = self.asked_at.map(|at| now.since(at));
        let interval = match turn {
            AskTurn::Reader => ASK_INTERVAL,
            _ if self.unanswered >= UNANSWERED_SEARCHES => ISOLATED_ASK_INTERVAL,
            AskTurn::Other { turn, turns } => {
                let since = self.seeking_since.unwrap_or(now);
                let current = interval_number(now.since(since));
                let asked = self.asked_at.map(|at| interval_number(at.since(since)));
                return current % turns.max(1) == turn && asked != Some(current);
            }
        };
        since_ask.is_none_or(|elapsed| elapsed >= interval)
    }
}
