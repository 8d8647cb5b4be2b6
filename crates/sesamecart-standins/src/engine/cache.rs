//! The prefix cache and the events that tell of it, late and with gaps.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::IndexSet;
use serde::Serialize;
use sesamecart_vocabulary::stable_hash;

/// Bytes of prompt in one cached block.
const BLOCK_BYTES: usize = 64;
/// The most events that are kept for readers.
const MAX_EVENTS: usize = 10_000;

#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum CacheEventKind {
    Stored,
    Evicted,
}

#[derive(Clone, Debug, Serialize)]
pub(crate) struct CacheEvent {
    pub(crate) sequence: u64,
    pub(crate) prefix: String,
    pub(crate) kind: CacheEventKind,
    #[serde(skip)]
    happened: Instant,
}

/// The blocks that are cached, the least recently used first.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity: usize,
    blocks: IndexSet<u64>,
    events: VecDeque<CacheEvent>,
    next: u64,
}

/// Returns the hashes of a prompt's prefixes, one for each whole block.
fn prefixes(prompt: &str) -> impl Iterator<Item = u64> {
    let whole = prompt.len() / BLOCK_BYTES;
    let mut hash = 0;
    (0..whole).map(move |block| {
        let bytes = &prompt.as_bytes()[block * BLOCK_BYTES..(block + 1) * BLOCK_BYTES];
        hash = stable_hash(&format!("{hash:016x}{}", String::from_utf8_lossy(bytes)));
        hash
    })
}

impl PrefixCache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            blocks: IndexSet::new(),
            events: VecDeque::new(),
            next: 0,
        }
    }

    /// Uses a prompt and returns how many of its bytes were cached; `lost` draws event gaps.
    pub(crate) fn use_prompt(&mut self, prompt: &str, mut lost: impl FnMut() -> bool) -> usize {
        let mut cached = 0;
        for hash in prefixes(prompt) {
            if self.blocks.shift_remove(&hash) {
                cached += BLOCK_BYTES;
            } else {
                self.tell(hash, CacheEventKind::Stored, lost());
            }
            self.blocks.insert(hash);
        }
        while self.blocks.len() > self.capacity {
            let oldest = self.blocks.shift_remove_index(0);
            if let Some(hash) = oldest {
                self.tell(hash, CacheEventKind::Evicted, lost());
            }
        }
        cached
    }

    /// Forgets everything without telling, as a restart does.
    pub(crate) fn clear(&mut self) {
        self.blocks.clear();
    }

    fn tell(&mut self, hash: u64, kind: CacheEventKind, lost: bool) {
        let sequence = self.next;
        self.next += 1;
        if lost {
            return;
        }
        self.events.push_back(CacheEvent {
            sequence,
            prefix: format!("{hash:016x}"),
            kind,
            happened: Instant::now(),
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events from a sequence number on that are older than the lag.
    pub(crate) fn events(&self, from: u64, lag: Duration) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|event| event.sequence >= from && event.happened.elapsed() >= lag)
            .cloned()
            .collect()
    }
}
