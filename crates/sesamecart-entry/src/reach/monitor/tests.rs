//! Tests how the requests at helpers are counted.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexSet;
use sesamecart_fleet::{Helpers, PeerNode, Pool};

use crate::clock;
use crate::state::EntryState;
use crate::testkit::new_state;

fn pool() -> Pool {
    Pool {
        service: "app".parse().expect("a valid name"),
        model: None,
    }
}

fn confirm_helper(state: &EntryState) {
    let peer = PeerNode {
        node: "n2".parse().expect("a valid ID"),
        ..state.local_peer()
    };
    let mut helpers = Helpers::default();
    helpers.record_answer(clock::now(), &peer, true);
    state.reach.lock().helpers.insert(pool(), helpers);
}

/// Guards against overlooking a silent helper, after requests that it had lost earlier have ended.
#[test]
fn a_request_at_a_lost_helper_is_not_taken_from_the_count_of_later_ones() {
    let state = Arc::new(new_state(true));
    confirm_helper(&state);
    let lost = state.choose_helper(&pool(), &IndexSet::new());
    let lost = lost.expect("a helper is confirmed");
    state
        .reach
        .expire_helpers(clock::now() + Duration::from_secs(1));
    assert!(lost.lost.is_set());
    confirm_helper(&state);
    let later = state.choose_helper(&pool(), &IndexSet::new());
    assert!(later.is_some());
    drop(lost);
    assert_eq!(state.reach.used_helpers().len(), 1);
}
