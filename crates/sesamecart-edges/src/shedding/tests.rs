//! Tests of which new connections a busy server serves.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::{ConnectionShedder, MAX_ROUND, MAX_WAITING, OVERLOAD_TIME, PROBE_INTERVAL, PROBE_TTL};

/// The two rounds of a measurement.
#[derive(Clone, Copy, Debug)]
struct Rounds {
    first: Duration,
    second: Duration,
}

/// Rounds that take equally long, as at a thread that never stops.
const fn rounds(round: Duration) -> Rounds {
    Rounds {
        first: round,
        second: round,
    }
}

/// Measures the same again and again for some time. Returns when the last measurement ended.
fn probe_for(
    shedder: &mut ConnectionShedder,
    started_at: Instant,
    rounds: Rounds,
    duration: Duration,
) -> Instant {
    let mut now = started_at;
    loop {
        now += PROBE_INTERVAL;
        assert!(shedder.begin_probe(now));
        let resumed_at = now + rounds.first;
        now = resumed_at + rounds.second;
        shedder.end_probe(resumed_at, now);
        if now.duration_since(started_at) >= duration {
            return now;
        }
    }
}

/// Returns the shedder of an overloaded server, and the time of its last measurement.
fn overloaded() -> (ConnectionShedder, Instant) {
    let mut shedder = ConnectionShedder::default();
    let started_at = Instant::now();
    let now = probe_for(
        &mut shedder,
        started_at,
        rounds(MAX_ROUND),
        OVERLOAD_TIME * 2,
    );
    (shedder, now)
}

/// Returns how many of 100 new connections are served, if the thread begins to serve every tenth of those.
fn served(shedder: &mut ConnectionShedder, now: Instant) -> usize {
    let served = (0..100).filter(|offered| {
        if offered % 10 == 0 {
            shedder.record_begun();
        }
        shedder.admit(now, 0)
    });
    served.count()
}

const LONG: Duration = Duration::from_secs(5);

const STOPPED: Duration = Duration::from_millis(130);

const SHORT: Duration = Duration::from_millis(5);

macro_rules! shedding_cases {
    ($($(#[doc = $doc:literal])* $name:ident: $rounds:expr, $duration:expr => $served:expr;)*) => {
        $(
            $(#[doc = $doc])*
            #[test]
            fn $name() {
                let mut shedder = ConnectionShedder::default();
                let now = probe_for(&mut shedder, Instant::now(), $rounds, $duration);
                assert_eq!(served(&mut shedder, now), $served);
            }
        )*
    };
}

shedding_cases! {
    a_server_that_keeps_up_serves_all: rounds(SHORT), LONG => 100;
    /// Guards against refusing connections because the processor's share is used up until the next period.
    a_round_of_one_period_is_no_overload: rounds(Duration::from_millis(75)), LONG => 100;
    /// Guards against refusing connections after a freeze.
    a_single_long_round_is_no_overload: rounds(LONG), Duration::ZERO => 100;
    /// Guards against refusing connections because the processor is away before each round.
    stops_before_the_first_round_are_no_overload: Rounds { first: STOPPED, second: SHORT }, LONG => 100;
    /// Guards against the same in the middle of each measurement.
    stops_between_two_rounds_are_no_overload: Rounds { first: SHORT, second: STOPPED }, LONG => 100;
    /// Guards against a server that accepts connections and doesn't read them until their callers give up.
    an_overloaded_server_serves_one_whenever_it_has_read_one: rounds(MAX_ROUND), OVERLOAD_TIME * 2 => 10;
}

/// Guards against noticing an overload only when it is over.
#[test]
fn a_measurement_that_does_not_end_shows_an_overload() {
    let mut shedder = ConnectionShedder::default();
    let started_at = Instant::now();
    shedder.begin_probe(started_at);
    let late = started_at + MAX_ROUND;
    assert!(shedder.admit(late, 0));
    shedder.record_begun();
    assert_eq!(served(&mut shedder, late + OVERLOAD_TIME), 10);
}

/// Guards against callers that get no answer while an overloaded server hasn't read those that it has accepted.
#[test]
fn an_overloaded_server_that_reads_nothing_accepts_no_more_than_one() {
    let (mut shedder, now) = overloaded();
    let admitted = (0..100).filter(|_| shedder.admit(now, 0)).count();
    assert_eq!(admitted, MAX_WAITING);
}

/// Guards against a server that goes on refusing connections.
#[test]
fn a_server_serves_all_as_soon_as_it_keeps_up() {
    let (mut shedder, now) = overloaded();
    let now = probe_for(&mut shedder, now, rounds(Duration::ZERO), Duration::ZERO);
    assert_eq!(served(&mut shedder, now), 100);
}

/// Guards against refusing the first connection after a pause.
#[test]
fn an_old_measurement_does_not_count() {
    let (mut shedder, now) = overloaded();
    assert_eq!(served(&mut shedder, now + PROBE_TTL), 100);
}

/// How long each request takes in a simulation, and how many new connections come in each interval.
const REQUEST_TIME: Duration = Duration::from_millis(1_500);
const OFFERED: usize = 10;

/// Plays new connections for a server whose rounds grow with its requests under way. `capacity` of them fill a round of
/// [`MAX_ROUND`]. Returns the requests under way at each step of the last 20 s of 30.
fn under_way_while_crowded(capacity: usize) -> Vec<usize> {
    let mut shedder = ConnectionShedder::default();
    let started_at = Instant::now();
    let mut now = started_at;
    let mut ends: VecDeque<Instant> = VecDeque::new();
    let mut counts = Vec::new();
    while now.duration_since(started_at) < Duration::from_secs(30) {
        let round = MAX_ROUND.mul_f64(ends.len() as f64 / capacity as f64);
        let next = now + round * 2 + PROBE_INTERVAL;
        assert!(shedder.begin_probe(now));
        shedder.end_probe(now + round, now + round * 2);
        while now < next {
            while ends.front().is_some_and(|end| *end <= now) {
                ends.pop_front();
            }
            for _ in 0..OFFERED {
                if shedder.admit(now, ends.len()) {
                    ends.push_back(now + REQUEST_TIME);
                    shedder.record_begun();
                }
            }
            now += PROBE_INTERVAL;
        }
        if now.duration_since(started_at) > Duration::from_secs(10) {
            counts.push(ends.len());
        }
    }
    counts
}

macro_rules! crowd_cases {
    ($($name:ident: $capacity:expr;)*) => {
        $(
            /// Guards against streams that all miss their deadlines, as the load of those admitted shows too late.
            #[test]
            fn $name() {
                let counts = under_way_while_crowded($capacity);
                let mean = counts.iter().sum::<usize>() / counts.len();
                let max = counts.iter().max().copied().unwrap_or(0);
                let found = format!("{mean} in the mean, {max} at most");
                assert!(2 * mean >= $capacity, "{found}");
                assert!(max <= 2 * $capacity, "{found}");
            }
        )*
    };
}

crowd_cases! {
    a_crowded_server_with_room_for_ten_keeps_to_it: 10;
    a_crowded_server_with_room_for_forty_keeps_to_it: 40;
    a_crowded_server_with_room_for_four_hundred_keeps_to_it: 400;
}

/// Guards against a server that takes no new connection for as long as its requests last.
#[test]
fn an_overloaded_server_serves_a_new_connection_each_second() {
    let (mut shedder, started_at) = overloaded();
    let mut now = started_at;
    let mut served = 0;
    while now.duration_since(started_at) < LONG {
        if shedder.admit(now, 100) {
            shedder.record_begun();
            served += 1;
        }
        now = probe_for(&mut shedder, now, rounds(MAX_ROUND), MAX_ROUND);
    }
    assert!((4..=5).contains(&served), "{served} in {LONG:?}");
}

/// Guards against a limit that outlasts the crowd.
#[test]
fn the_limit_ends_when_few_requests_are_under_way() {
    let (mut shedder, now) = overloaded();
    assert!(shedder.admit(now, 100));
    shedder.record_begun();
    assert!(!shedder.admit(now, 100));
    let now = probe_for(&mut shedder, now, rounds(SHORT), LONG);
    assert!(shedder.admit(now, 10));
    shedder.record_begun();
    assert!(shedder.admit(now + LONG, 1_000));
}
