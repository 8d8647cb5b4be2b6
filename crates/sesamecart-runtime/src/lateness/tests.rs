use std::time::Duration;

use super::Lateness;

fn after_delays(delay_ms: u64, count: usize) -> Lateness {
    let delay = Duration::from_millis(delay_ms);
    (0..count).fold(Lateness::default(), |lateness, _| lateness.after(delay))
}

macro_rules! lateness_tests {
    ($($(#[$doc:meta])* $name:ident: $delay_ms:expr, $count:expr => $patience_ms:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let lateness = after_delays($delay_ms, $count);
                let wanted = Duration::from_millis($patience_ms);
                let difference = lateness.patience().abs_diff(wanted);
                assert!(difference < Duration::from_millis(10), "{:?}", lateness.patience());
            }
        )*
    };
}

lateness_tests! {
    timers_on_time_change_nothing: 2, 50 => 0;
    late_timers_lengthen_timeouts: 100, 50 => 800;
    /// Guards against waiting without end for a peer.
    very_late_timers_lengthen_timeouts_by_two_seconds: 5_000, 50 => 2_000;
    one_freeze_counts_little: 4_000, 1 => 500;
}

#[test]
fn a_thread_that_is_on_time_again_is_so_at_once() {
    let late = after_delays(200, 50);
    let recovered = (0..10).fold(late, |lateness, _| lateness.after(Duration::ZERO));
    assert_eq!(recovered.patience(), Duration::ZERO);
}

/// Guards against reports that rest for so long that their receivers forget the sender.
#[test]
fn work_that_can_wait_is_put_off_by_a_second_at_most() {
    assert_eq!(after_delays(2, 50).added_interval(), Duration::ZERO);
    let longest = after_delays(5_000, 50).added_interval();
    assert!(longest <= Duration::from_secs(1), "{longest:?}");
    assert!(longest > Duration::from_millis(990), "{longest:?}");
}
