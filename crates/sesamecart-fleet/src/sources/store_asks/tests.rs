//! Plays a store that turns nodes away into the asks of many nodes.

use std::net::IpAddr;
use std::time::Duration;

use sesamecart_vocabulary::Timestamp;

use super::{ASK_INTERVAL, ASKERS_PER_INTERVAL, AskOrder, AskTurn, StoreAsks, search_delay};
use crate::sources::{PeerNode, Source};

/// The calls per second of all nodes together while the store turns them away: half of what a deployment of 105
/// nodes sends in quiet times.
const MAX_ASKS_PER_S: usize = 25;

/// The time within which all nodes have a source again.
const MAX_SEARCH: Duration = Duration::from_secs(2);

/// The time from which the store serves the nodes that it turned away.
const RETURN: Timestamp = Timestamp(9_000_000);

/// The time at which nodes are killed that the store serves until then.
const DEATH: Timestamp = Timestamp(4_000_000);

const END: Timestamp = Timestamp(13_000_000);

const STEP: Duration = Duration::from_millis(10);

/// The time after which a node notices that the one that it follows no longer serves.
const NOTICE: Duration = Duration::from_millis(850);

/// What a node can do until the store returns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Condition {
    /// The store serves the node.
    Served,
    /// The store turns the node away.
    TurnedAway,
    /// The store turns the node away, and no other node reaches it.
    Isolated,
    /// The store serves the node until it is killed at [`DEATH`].
    ServedThenDead,
    /// The node doesn't run, also after the store has returned.
    Dead,
}

struct Node {
    condition: Condition,
    asks: StoreAsks,
    source: Option<Source>,
    lost_at: Timestamp,
    next_at: Timestamp,
}

impl Node {
    fn is_served(&self, now: Timestamp) -> bool {
        match self.condition {
            Condition::Served | Condition::ServedThenDead => true,
            Condition::TurnedAway | Condition::Isolated => now >= RETURN,
            Condition::Dead => false,
        }
    }

    fn is_running(&self, now: Timestamp) -> bool {
        match self.condition {
            Condition::Served | Condition::TurnedAway | Condition::Isolated => true,
            Condition::ServedThenDead => now < DEATH,
            Condition::Dead => false,
        }
    }

    fn answers(&self, now: Timestamp) -> bool {
        self.is_running(now) && (self.condition != Condition::Isolated || now >= RETURN)
    }
}

struct Deployment {
    peers: Vec<PeerNode>,
    nodes: Vec<Node>,
    /// The times of all asks.
    asks: Vec<Timestamp>,
    rng: fastrand::Rng,
}

impl Deployment {
    fn new(domains: u8, count: usize, condition: impl Fn(usize) -> Condition) -> Self {
        let peers = (0..count).map(|index| {
            let domain = u8::try_from(index).unwrap_or(u8::MAX) % domains;
            let number = u16::try_from(index).expect("the fleet is small");
            let [high, low] = number.to_be_bytes();
            PeerNode {
                node: format!("node-{index}").parse().expect("valid name"),
                failure_domain: format!("domain-{domain}").parse().expect("valid name"),
                links: ([127, 0, high, low], 7_000).into(),
                forwarding: None,
                processor_share: 0.084,
                memory_mb: None,
            }
        });
        let peers: Vec<PeerNode> = peers.collect();
        let mut rng = fastrand::Rng::with_seed(count as u64);
        // Nodes notice one after the other that their source has ended.
        let nodes = AskOrder::new(&peers).nodes.into_iter().enumerate();
        let mut ranked: Vec<(usize, Node)> = nodes
            .map(|(rank, peer)| {
                let index = peers.iter().position(|known| known.node == peer.node);
                let node = Node {
                    condition: condition(rank),
                    asks: StoreAsks::default(),
                    source: None,
                    lost_at: Timestamp::ZERO,
                    next_at: Timestamp::ZERO + NOTICE.mul_f64(rng.f64()),
                };
                (index.expect("the peer is listed"), node)
            })
            .collect();
        ranked.sort_by_key(|(index, _)| *index);
        Self {
            peers,
            nodes: ranked.into_iter().map(|(_, node)| node).collect(),
            asks: Vec::new(),
            rng,
        }
    }

    /// Runs until [`END`]. Returns how long a node searched at most before and after the return.
    fn run(&mut self) -> (Duration, Duration) {
        let peers = self.peers.clone();
        let order = AskOrder::new(&peers);
        let turns: Vec<AskTurn> = peers.iter().map(|peer| order.turn(&peer.node)).collect();
        let (mut before, mut after) = (Duration::ZERO, Duration::ZERO);
        let mut now = Timestamp::ZERO;
        while now < END {
            for (index, turn) in turns.iter().enumerate() {
                self.check_source(now, index);
                if !self.search(now, index, &order, *turn) {
                    continue;
                }
                if now < RETURN {
                    before = before.max(now.since(self.nodes[index].lost_at));
                } else {
                    after = now.since(RETURN);
                }
            }
            now = now + STEP;
        }
        (before, after)
    }

    /// Lets a node lose its source if that no longer serves.
    fn check_source(&mut self, now: Timestamp, index: usize) {
        let Some(source @ Source::Node(_)) = self.nodes[index].source else {
            return;
        };
        if self.reads(now, source) {
            return;
        }
        let delay = NOTICE.mul_f64(self.rng.f64());
        let node = &mut self.nodes[index];
        node.asks.record_served();
        node.source = None;
        node.lost_at = now;
        node.next_at = now + delay;
    }

    /// Runs one search of a node that is due. Returns whether it has found a source.
    fn search(
        &mut self,
        now: Timestamp,
        index: usize,
        order: &AskOrder<'_>,
        turn: AskTurn,
    ) -> bool {
        let node = &mut self.nodes[index];
        if !node.is_running(now) || node.source.is_some() || now < node.next_at {
            return false;
        }
        let own = &self.peers[index].node;
        let seeking = node.asks.search(now);
        if node.asks.try_ask(now, turn) {
            self.asks.push(now);
            if node.is_served(now) {
                node.source = Some(Source::Store);
                return true;
            }
        }
        let candidates = order.candidates(own, seeking, || self.rng.f64());
        let is_heard = self.nodes[index].answers(now);
        let heard = candidates.iter().copied().filter(|source| {
            let peer = self.node_at(*source);
            is_heard && peer.is_some_and(|node| node.answers(now))
        });
        let heard: Vec<Source> = heard.collect();
        let serving = heard
            .iter()
            .copied()
            .find(|source| self.reads(now, *source));
        let source = serving.or_else(|| {
            let referrals = heard
                .iter()
                .filter_map(|source| self.node_at(*source)?.source);
            let mut referrals = referrals.filter(|source| self.reads(now, *source));
            referrals.next()
        });
        let delay = search_delay(seeking, self.rng.f64());
        let node = &mut self.nodes[index];
        node.asks.record_answers(!heard.is_empty());
        node.source = source;
        node.next_at = now + delay;
        source.is_some()
    }

    /// Returns whether another node answers and reads the store.
    fn reads(&self, now: Timestamp, source: Source) -> bool {
        let node = self.node_at(source);
        node.is_some_and(|node| node.answers(now) && node.source == Some(Source::Store))
    }

    fn node_at(&self, source: Source) -> Option<&Node> {
        let Source::Node(address) = source else {
            return None;
        };
        let IpAddr::V4(ip) = address.ip() else {
            return None;
        };
        let [_, _, high, low] = ip.octets();
        self.nodes.get(usize::from(u16::from_be_bytes([high, low])))
    }

    fn max_asks_per_s(&self) -> usize {
        let within = |from: &Timestamp| {
            let until = *from + Duration::from_secs(1);
            let asks = self.asks.iter();
            asks.filter(|at| (*from..until).contains(at)).count()
        };
        self.asks.iter().map(within).max().unwrap_or_default()
    }
}

/// Returns `condition` for a third of the nodes, spread over all ranks, and `Served` for the others.
fn a_third(condition: Condition) -> impl Fn(usize) -> Condition {
    move |rank| match rank % 3 {
        0 => condition,
        _ => Condition::Served,
    }
}

/// Returns `condition` for the readers, the standbys and a third of the others.
fn the_first_and_a_third(condition: Condition) -> impl Fn(usize) -> Condition {
    move |rank| match rank {
        0..10 => condition,
        _ => a_third(condition)(rank),
    }
}

macro_rules! store_turns_nodes_away_tests {
    ($($(#[$doc:meta])* $name:ident: $condition:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                for (domains, count) in [(3, 61), (3, 105), (5, 380)] {
                    let mut deployment = Deployment::new(domains, count, $condition);
                    let (before, after) = deployment.run();
                    let asks = deployment.max_asks_per_s();
                    let case = format!(
                        "{count} nodes: {asks} asks a second, searched for {before:?}, for {after:?} \
                         after the return"
                    );
                    assert!(asks <= MAX_ASKS_PER_S, "{case}");
                    assert!(before <= NOTICE + MAX_SEARCH, "{case}");
                    assert!(after <= MAX_SEARCH, "{case}");
                }
            }
        )*
    };
}

store_turns_nodes_away_tests! {
    /// Guards against calls that grow with the number of nodes that the store turns away.
    a_third_turned_away: a_third(Condition::TurnedAway);
    /// Guards against nodes that have no source although the store serves most of them.
    all_readers_and_standbys_turned_away: the_first_and_a_third(Condition::TurnedAway);
    /// Guards against calls from all nodes to a store that serves none, and against a late return.
    all_turned_away: |_| Condition::TurnedAway;
    /// Guards against a search that depends on one node, which has been killed or is frozen.
    the_nodes_that_ask_first_are_dead: the_first_and_a_third(Condition::Dead);
    /// Guards against nodes that go on to follow a node that served them and was killed.
    the_nodes_that_serve_first_are_killed: |rank| match rank {
        0..10 => Condition::ServedThenDead,
        _ => a_third(Condition::TurnedAway)(rank),
    };
    /// Guards against a store that isn't found again, because all nodes rely on those that ask first.
    all_turned_away_and_the_nodes_that_ask_first_are_dead: |rank| match rank {
        0..10 => Condition::Dead,
        _ => Condition::TurnedAway,
    };
    /// Guards against nodes that wait for askers that are cut off from them.
    the_nodes_that_ask_first_are_isolated: |rank| match rank {
        0..10 => Condition::Isolated,
        _ => Condition::TurnedAway,
    };
}

/// Guards against a node that waits for the turns of others although it may be the only one left.
#[test]
fn an_isolated_node_asks_by_itself() {
    let mut asks = StoreAsks::default();
    let turn = AskTurn::Other {
        turn: 40,
        turns: 60,
    };
    let mut now = Timestamp(1_000_000);
    let mut asked = 0;
    for _ in 0..40 {
        let _seeking = asks.search(now);
        asks.record_answers(false);
        asked += u32::from(asks.try_ask(now, turn));
        now = now + Duration::from_millis(100);
    }
    assert_eq!(asked, 3, "one ask in 1.5 s, for 4 s");
}

/// Guards against an added ask where the store serves every node.
#[test]
fn a_node_that_was_not_turned_away_never_waits() {
    let mut asks = StoreAsks::default();
    assert!(!asks.must_wait());
    asks.record_turned_away();
    assert!(asks.must_wait());
    asks.record_served();
    assert!(!asks.must_wait());
}

/// Guards against turns that leave out a node, or that differ between nodes.
#[test]
fn each_node_has_a_turn() {
    let deployment = Deployment::new(5, 380, |_| Condition::Served);
    let order = AskOrder::new(&deployment.peers);
    let turns = deployment.peers.iter().map(|peer| order.turn(&peer.node));
    let turns: Vec<AskTurn> = turns.collect();
    let readers = turns.iter().filter(|turn| **turn == AskTurn::Reader);
    assert_eq!(readers.count(), 5);
    for number in 0..62 {
        let same = |known: &&AskTurn| matches!(known, AskTurn::Other { turn, turns: 63 } if *turn == number);
        assert_eq!(turns.iter().filter(same).count(), ASKERS_PER_INTERVAL);
    }
    assert!(ASK_INTERVAL < MAX_SEARCH);
}
