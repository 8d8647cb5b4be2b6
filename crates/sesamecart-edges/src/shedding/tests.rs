//! Tests of when new connections are closed unread.

use std::time::{Duration, Instant};

use super::{ConnectionShedder, MAX_DELAY, OVERLOAD_TIME, PROBE_TIME, PROBE_TTL};

/// Measures a delay again and again for some time. Returns when the last measurement ended.
fn probe_for(
    shedder: &mut ConnectionShedder,
    started_at: Instant,
    delay: Duration,
    duration: Duration,
) -> Instant {
    let mut now = started_at;
    loop {
        assert!(shedder.begin_probe(now));
        now += PROBE_TIME + delay;
        shedder.end_probe(now);
        if now.duration_since(started_at) >= duration {
            return now;
        }
    }
}

/// Returns how many of 100 new connections are served.
fn served(shedder: &mut ConnectionShedder, now: Instant) -> usize {
    (0..100).filter(|_| shedder.admit(now)).count()
}

macro_rules! shedding_cases {
    ($($(#[doc = $doc:literal])* $name:ident: $delay:expr, $duration:expr => $served:literal;)*) => {
        $(
            $(#[doc = $doc])*
            #[test]
            fn $name() {
                let mut shedder = ConnectionShedder::default();
                let now = probe_for(&mut shedder, Instant::now(), $delay, $duration);
                assert_eq!(served(&mut shedder, now), $served);
            }
        )*
    };
}

shedding_cases! {
    a_server_that_keeps_up_serves_all: Duration::from_millis(5), Duration::from_secs(5) => 100;
    /// Guards against refusing connections because the processor's share is used up until the next period.
    a_delay_of_one_period_is_no_overload: Duration::from_millis(75), Duration::from_secs(5) => 100;
    /// Guards against refusing connections after a freeze.
    a_single_long_delay_is_no_overload: Duration::from_secs(5), Duration::ZERO => 100;
    /// Guards against a server that accepts connections and doesn't read them until their callers give up.
    an_overloaded_server_serves_few: MAX_DELAY, OVERLOAD_TIME * 2 => 25;
}

/// Guards against noticing an overload only when it is over.
#[test]
fn a_measurement_that_does_not_end_shows_an_overload() {
    let mut shedder = ConnectionShedder::default();
    let started_at = Instant::now();
    shedder.begin_probe(started_at);
    let late = started_at + PROBE_TIME + MAX_DELAY;
    assert!(shedder.admit(late));
    assert_eq!(served(&mut shedder, late + OVERLOAD_TIME), 25);
}

/// Guards against a server that goes on refusing connections.
#[test]
fn a_server_serves_all_as_soon_as_it_keeps_up() {
    let mut shedder = ConnectionShedder::default();
    let now = probe_for(&mut shedder, Instant::now(), MAX_DELAY, OVERLOAD_TIME * 2);
    let now = probe_for(&mut shedder, now, Duration::ZERO, Duration::ZERO);
    assert_eq!(served(&mut shedder, now), 100);
}

/// Guards against refusing the first connection after a pause.
#[test]
fn an_old_measurement_does_not_count() {
    let mut shedder = ConnectionShedder::default();
    let now = probe_for(&mut shedder, Instant::now(), MAX_DELAY, OVERLOAD_TIME * 2);
    assert_eq!(served(&mut shedder, now + PROBE_TTL), 100);
}
