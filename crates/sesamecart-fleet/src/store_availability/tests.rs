//! Tests of what counts as an outage of the store.

use std::time::Duration;

use sesamecart_vocabulary::Timestamp;

use super::{StoreAvailability, StoreReport};

const HEARTBEAT: Duration = Duration::from_millis(1_200);

const fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// What happens to the calls of one node, or what it hears from the node that it follows.
enum Step {
    Answer(u64),
    Failure,
    /// The other node's last answer, its first answer after a gap, and the return that it has noticed.
    Report(u64, u64, Option<u64>),
}

use Step::{Answer, Failure, Report};

/// Returns when the store returned last, as far as a node knows after `steps`.
fn returned_at(steps: &[Step]) -> Option<u64> {
    let mut known = StoreAvailability::new(HEARTBEAT);
    for step in steps {
        match *step {
            Answer(now) => {
                known.record_answer(at(now));
            }
            Failure => known.record_failure(),
            Report(answered, since, returned) => {
                known.record_report(&StoreReport {
                    answered_at: at(answered),
                    answers_since: at(since),
                    returned_at: returned.map(at),
                });
            }
        }
    }
    known.returned_at().map(Timestamp::as_millis)
}

macro_rules! outage_tests {
    ($($(#[$doc:meta])* $name:ident: $steps:expr => $expected:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                assert_eq!(returned_at(&$steps), $expected);
            }
        )*
    };
}

outage_tests! {
    nothing_is_known_of_outages_before_the_first_answer: [Failure, Answer(9_000)] => None;
    /// Guards against deferring removals, and so sending requests to endpoints that are gone, after a reset connection.
    a_reset_connection_is_no_outage: [Answer(1_000), Failure, Answer(2_100)] => None;
    /// Guards against dropping endpoints whose entries have expired while the store was away.
    failures_for_a_heartbeat_interval_are_an_outage:
        [Answer(1_000), Failure, Failure, Answer(2_200)] => Some(2_200);
    /// Guards against the first error where this node has only not called the store, as another node read it.
    a_time_without_calls_is_no_outage: [Answer(1_000), Answer(9_000)] => None;
    /// Guards against the second error at nodes that follow the one that has noticed the outage.
    a_reported_outage_counts: [Answer(1_000), Report(3_100, 3_000, Some(3_000))] => Some(3_000);
    /// Guards against the first error where the reader was cut off, and this node has followed another one meanwhile.
    a_reported_outage_during_which_others_were_answered_does_not_count:
        [Answer(1_000), Report(2_900, 500, None), Report(3_100, 3_000, Some(3_000))] => None;
    /// Guards against the second error where the reader has just started.
    an_outage_that_this_node_saw_counts_though_the_reader_has_just_started:
        [Answer(1_000), Failure, Report(3_100, 3_000, None)] => Some(3_000);
    /// Guards against the first error where this node was without a source that other nodes had.
    a_reader_that_was_answered_all_the_while_rules_an_outage_out:
        [Answer(1_000), Failure, Report(3_100, 0, None)] => None;
    an_outage_from_before_is_learned_by_a_node_that_starts:
        [Report(3_100, 3_000, Some(3_000))] => Some(3_000);
    a_delayed_report_changes_nothing:
        [Answer(9_000), Report(3_100, 3_000, Some(3_000))] => None;
}
