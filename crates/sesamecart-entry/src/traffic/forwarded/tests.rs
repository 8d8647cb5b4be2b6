//! Tests when a node accepts requests of other nodes again.

use std::sync::Arc;
use std::time::Duration;

use super::measure_thread_delay;
use crate::testkit::new_state;

/// Guards against rejecting the requests of other nodes for ever after one overload.
#[test]
fn a_node_that_was_overloaded_accepts_requests_again() {
    let state = Arc::new(new_state(true));
    for _ in 0..20 {
        state.reach.gate().record_delay(Duration::from_secs(1));
    }
    assert!(state.try_forward(1).is_none(), "the node is overloaded");
    async_io::block_on(measure_thread_delay(&state));
    assert!(state.try_forward(1).is_some());
}
