//! Choices that need no news: heads or their places are divided among the nodes.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::Timestamp;

use super::decider::Verdict;
use super::shape::Shape;
use super::{Arrival, RequestId};

/// The number of heads in a node's subset.
const SUBSET_SIZE: usize = 4;

/// How long a node uses its subset.
const ROTATION_INTERVAL: Duration = Duration::from_secs(4);

/// Nodes that send to a subset of the heads, the one with the fewest of their own requests first.
#[derive(Debug)]
pub struct Subsets {
    heads: usize,
    seed: u64,
    own: Vec<Vec<u32>>,
    rng: fastrand::Rng,
}

impl Subsets {
    pub fn new(shape: &Shape, seed: u64) -> Self {
        Self {
            heads: shape.heads,
            seed,
            own: vec![vec![0; shape.heads]; shape.nodes],
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    pub fn choose(&mut self, now: Timestamp, node: usize) -> Verdict {
        let mut subset = self.subset(now, node);
        self.rng.shuffle(&mut subset);
        let least = subset.into_iter().min_by_key(|head| self.own[node][*head]);
        least.map_or(Verdict::Refuse, Verdict::Send)
    }

    /// Returns the subset of a node: each round of nodes divides all heads, shuffled alike, among its nodes.
    fn subset(&self, now: Timestamp, node: usize) -> Vec<usize> {
        let rotation = now.0 / ROTATION_INTERVAL.as_micros() as u64;
        let subsets = (self.heads / SUBSET_SIZE).max(1);
        let round = (node / subsets) as u64;
        let mut heads: Vec<usize> = (0..self.heads).collect();
        let seed = self.seed ^ (rotation << 32) ^ round;
        fastrand::Rng::with_seed(seed).shuffle(&mut heads);
        let first = node % subsets * SUBSET_SIZE;
        heads[first..first + SUBSET_SIZE].to_vec()
    }

    pub fn record_sent(&mut self, node: usize, head: usize) {
        self.own[node][head] += 1;
    }

    pub fn record_end(&mut self, node: usize, head: usize) {
        self.own[node][head] -= 1;
    }
}

/// Nodes that each own some places of the heads.
#[derive(Debug)]
pub struct Places {
    free: Vec<Vec<usize>>,
    used: IndexMap<RequestId, usize>,
}

impl Places {
    pub fn new(shape: &Shape) -> Self {
        let mut free = vec![Vec::new(); shape.nodes];
        for place in 0..shape.heads * shape.slots as usize {
            free[place % shape.nodes].push(place % shape.heads);
        }
        Self {
            free,
            used: IndexMap::new(),
        }
    }

    pub fn choose(&mut self, arrival: &Arrival) -> Verdict {
        let free = &mut self.free[arrival.node];
        if free.is_empty() {
            return Verdict::Refuse;
        }
        let head = free.remove(0);
        self.used.insert(arrival.id, head);
        Verdict::Send(head)
    }

    pub fn record_end(&mut self, arrival: &Arrival) {
        if let Some(head) = self.used.swap_remove(&arrival.id) {
            self.free[arrival.node].push(head);
        }
    }
}
