//! The requests of a play.

use fastrand::Rng;
use sesamecart_decisions::routing::PrefixHash;
use sesamecart_vocabulary::{RequestClass, Timestamp};

use super::play::Play;
use super::size::Size;

/// Seconds that an idle engine needs for one token.
pub(super) const TOKEN_S: f64 = 0.015;
/// Tokens of a prompt that an idle engine computes in a second.
pub(super) const PREFILL_PER_S: f64 = 12_000.0;
/// Seconds that an idle plain service needs for one request.
pub(super) const SERVICE_S: f64 = 0.020;
/// Seconds a token that a reader puts up with on average.
const READER_S: f64 = 0.040;

/// One request, with what becomes of it.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) class: RequestClass,
    pub(super) customer: usize,
    pub(super) node: usize,
    pub(super) arrived: Timestamp,
    pub(super) prompt: u64,
    pub(super) prefix: PrefixHash,
    pub(super) prefix_tokens: u64,
    pub(super) answer: u64,
    /// When the answer has to begin.
    pub(super) deadline: Timestamp,
    /// When it has to be whole.
    pub(super) whole_by: Timestamp,
    pub(super) attempts: u32,
    pub(super) given: u64,
    pub(super) first_token: Option<Timestamp>,
    pub(super) fate: Fate,
}

/// What has become of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Fate {
    /// It waits or runs.
    Open,
    Answered(Timestamp),
    Refused,
    Failed,
    /// Its caller left before the answer began.
    Abandoned,
}

impl Job {
    pub(super) fn is_action(&self) -> bool {
        self.class == RequestClass::Action
    }

    /// Returns the tokens of KV memory that it needs at the end of its answer.
    pub(super) const fn kv(&self) -> u64 {
        self.prompt + self.answer
    }

    /// Returns the seconds that an idle endpoint needs until the answer begins.
    pub(super) fn begin_work(&self, cached: bool) -> f64 {
        if self.is_action() {
            return SERVICE_S;
        }
        let known = if cached { self.prefix_tokens } else { 0 };
        (self.prompt - known + self.given) as f64 / PREFILL_PER_S + TOKEN_S
    }

    /// Returns the seconds that an idle endpoint needs for the rest of the answer.
    pub(super) fn rest_work(&self) -> f64 {
        if self.is_action() {
            return 0.0;
        }
        (self.answer - self.given).saturating_sub(1) as f64 * TOKEN_S
    }

    /// Returns whether the caller got the whole answer in time.
    pub(super) fn is_good(&self) -> bool {
        let begun = self.first_token.is_some_and(|first| first <= self.deadline);
        let Fate::Answered(ended) = self.fate else {
            return false;
        };
        begun && ended <= self.whole_by
    }
}

/// Draws all requests of one run in order of arrival.
pub(super) fn draw(play: Play, size: &Size, seed: u64) -> Vec<Job> {
    let mut rng = Rng::with_seed(seed);
    let capacity = capacity(play, size, &mut rng);
    let mut jobs = Vec::new();
    let mut second = 0.0;
    let end = size.seconds as f64;
    while second < end {
        let model_rate = capacity * play.load(size, second);
        let rate = model_rate + size.actions_per_s;
        second += -(1.0 - rng.f64()).ln() / rate;
        let arrived = Timestamp((second * 1e6) as u64);
        let is_action = rng.f64() < size.actions_per_s / rate;
        jobs.push(if is_action {
            action(play, size, arrived, &mut rng)
        } else {
            model_job(play, size, arrived, &mut rng)
        });
    }
    jobs
}

/// Returns the requests a second that the whole model pool can answer at its warm limit, if half of
/// the prefixes are found in caches.
fn capacity(play: Play, size: &Size, rng: &mut Rng) -> f64 {
    const SAMPLES: usize = 4_000;
    let work: f64 = (0..SAMPLES)
        .map(|index| {
            let job = model_job(play, size, Timestamp::ZERO, rng);
            job.begin_work(index % 2 == 0) + job.rest_work()
        })
        .sum();
    let per_engine = f64::from(super::endpoint::WARM) / super::endpoint::WARM_SLOWDOWN;
    size.engines as f64 * per_engine / (work / SAMPLES as f64)
}

fn action(play: Play, size: &Size, arrived: Timestamp, rng: &mut Rng) -> Job {
    let deadline = arrived + std::time::Duration::from_secs(1);
    Job {
        class: RequestClass::Action,
        customer: customer(play, size, rng),
        node: rng.usize(..size.nodes),
        arrived,
        prompt: 50,
        prefix: PrefixHash(0),
        prefix_tokens: 0,
        answer: 1,
        deadline,
        whole_by: deadline,
        attempts: 0,
        given: 0,
        first_token: None,
        fate: Fate::Open,
    }
}

fn model_job(play: Play, size: &Size, arrived: Timestamp, rng: &mut Rng) -> Job {
    let customer = customer(play, size, rng);
    let is_long = rng.f64() < play.long_share(size);
    let is_batch = rng.f64() < size.batch_share;
    let is_hot = rng.f64() < play.hot_share();
    let (own, answer) = if is_long {
        (rng.u64(3_000..6_000), rng.u64(500..900))
    } else {
        (rng.u64(50..500), rng.u64(60..200))
    };
    // A few of a customer's prefixes take most of its requests.
    let rank = (rng.f64() * rng.f64() * 20.0) as u64;
    let (prefix, prefix_tokens) = if is_hot {
        (PrefixHash(1), 1_500)
    } else {
        let number = 100 * (customer as u64 + 1) + rank;
        (PrefixHash(number), 300 + 97 * number % 700)
    };
    let wait_ms = match (is_batch, is_long) {
        (true, _) => 20_000,
        (false, true) => 5_000,
        (false, false) => 2_000,
    };
    let deadline = arrived + std::time::Duration::from_millis(wait_ms);
    let reading = std::time::Duration::from_secs_f64(answer as f64 * READER_S);
    Job {
        class: if is_batch {
            RequestClass::Batch
        } else {
            RequestClass::Interactive
        },
        customer,
        node: rng.usize(..size.nodes),
        arrived,
        prompt: prefix_tokens + own,
        prefix,
        prefix_tokens,
        answer,
        deadline,
        whole_by: deadline + reading,
        attempts: 0,
        given: 0,
        first_token: None,
        fate: Fate::Open,
    }
}

fn customer(play: Play, size: &Size, rng: &mut Rng) -> usize {
    let mut left = rng.f64();
    for customer in 0..size.customers {
        left -= play.customer_share(size, customer);
        if left < 0.0 {
            return customer;
        }
    }
    size.customers - 1
}
