//! Tests of which new connections a busy server serves.

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
        shedder.admit(now)
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
    assert!(shedder.admit(late));
    shedder.record_begun();
    assert_eq!(served(&mut shedder, late + OVERLOAD_TIME), 10);
}

/// Guards against callers that get no answer while an overloaded server hasn't read those that it has accepted.
#[test]
fn an_overloaded_server_that_reads_nothing_accepts_no_more_than_one() {
    let (mut shedder, now) = overloaded();
    let admitted = (0..100).filter(|_| shedder.admit(now)).count();
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
