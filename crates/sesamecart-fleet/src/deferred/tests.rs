//! Tests of work that is due at a known time.

use sesamecart_vocabulary::Timestamp;

use super::Deferred;

const fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[test]
fn items_are_due_at_their_own_times() {
    let mut deferred = Deferred::default();
    assert!(deferred.defer("late", at(30)));
    assert!(deferred.defer("early", at(10)));
    assert_eq!(deferred.next_due(), Some(at(10)));
    assert!(deferred.take_due(at(9)).is_empty());
    assert_eq!(deferred.take_due(at(10)), ["early"]);
    assert_eq!(deferred.next_due(), Some(at(30)));
    assert_eq!(deferred.take_due(at(40)), ["late"]);
    assert_eq!(deferred.next_due(), None);
}

/// Guards against an endpoint that is gone and is kept for ever because the store is away again and again.
#[test]
fn an_item_that_is_deferred_again_keeps_its_time() {
    let mut deferred = Deferred::default();
    assert!(deferred.defer("item", at(10)));
    assert!(!deferred.defer("item", at(90)));
    assert_eq!(deferred.take_due(at(10)), ["item"]);
}

#[test]
fn a_cancelled_item_is_never_due() {
    let mut deferred = Deferred::default();
    deferred.defer("item", at(10));
    assert!(deferred.cancel(&"item"));
    assert!(!deferred.cancel(&"item"));
    assert!(deferred.take_due(at(90)).is_empty());
}
