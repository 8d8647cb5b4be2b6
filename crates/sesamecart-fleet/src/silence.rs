//! Telling from the silence of a head's streams that its group has lost a member.

use std::time::Duration;

use sesamecart_vocabulary::Timestamp;

/// How long a head may be silent before its members are asked.
///
/// A group that lost a member goes on accepting requests while nothing moves, for seconds; callers
/// see their streams stop. The registry shows the loss only after three heartbeats. Asking is cheap
/// and harms nothing, so the limits lie close above the longest pause of a sound head: seven steps
/// with a full piece of a prompt each.
#[derive(Clone, Copy, Debug)]
pub struct SilenceLimits {
    /// For a head with many streams that had begun; twice as long for a single one.
    ///
    /// All streams of a head move in one pass, but the fewer a node has there the less their pauses
    /// say, and the more nodes there are the fewer each has.
    pub flowing: Duration,
    /// For a head at which requests only wait for their first event.
    pub waiting: Duration,
    /// Between the first two questions about the same head; each further one waits twice as long, until
    /// the head is heard. A head that reads many prompts is silent for a second and sound all the time.
    pub again: Duration,
}

impl Default for SilenceLimits {
    fn default() -> Self {
        Self {
            flowing: Duration::from_millis(160),
            waiting: Duration::from_millis(350),
            again: Duration::from_millis(250),
        }
    }
}

/// What one node hears of one head.
#[derive(Clone, Copy, Debug, Default)]
pub struct Silence {
    flowing: u32,
    waiting: u32,
    heard_at: Timestamp,
    asked_at: Option<Timestamp>,
    /// How often the members were asked since the head was last heard.
    asked: u32,
}

/// Questions after which the time between two of them doesn't grow any more.
const MOST_DOUBLED: u32 = 3;

impl Silence {
    /// Returns how many requests wait for the first sign of an answer.
    #[must_use]
    pub const fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Returns when the head was last heard.
    #[must_use]
    pub const fn heard_at(&self) -> Timestamp {
        self.heard_at
    }

    /// Notes a request that was sent.
    pub fn sent(&mut self, now: Timestamp) {
        if self.flowing + self.waiting == 0 {
            self.heard_at = now;
        }
        self.waiting += 1;
    }

    /// Notes the first event of a request.
    pub fn begun(&mut self, now: Timestamp) {
        self.waiting = self.waiting.saturating_sub(1);
        self.flowing += 1;
        self.heard(now);
    }

    /// Notes anything that came from the head.
    pub fn heard(&mut self, now: Timestamp) {
        self.heard_at = now;
        self.asked = 0;
    }

    /// Notes the end of a request, whether it had begun or not.
    pub fn ended(&mut self, begun: bool) {
        let count = if begun {
            &mut self.flowing
        } else {
            &mut self.waiting
        };
        *count = count.saturating_sub(1);
    }

    /// Returns whether the members should be asked now, and notes that they are.
    pub fn ask(&mut self, now: Timestamp, limits: SilenceLimits) -> bool {
        let limit = match (self.flowing, self.waiting) {
            (0, 0) => return false,
            (0, _) => limits.waiting,
            (flowing, _) => limits.flowing.mul_f64(1.0 + 1.0 / f64::from(flowing)),
        };
        let doubled = self.asked.saturating_sub(1).min(MOST_DOUBLED);
        let again = limits.again * (1 << doubled);
        let asked_lately = self.asked_at.is_some_and(|at| now.since(at) < again);
        if asked_lately || now.since(self.heard_at) < limit {
            return false;
        }
        self.asked_at = Some(now);
        self.asked += 1;
        true
    }
}
