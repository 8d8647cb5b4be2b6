//! Tests of the era that a node knows.

use std::time::Duration;

use sesamecart_vocabulary::{StoreEra, Timestamp};

use super::StoreEras;
use crate::number::FencingToken;

const NOW: Timestamp = Timestamp(1_000_000);

#[test]
fn an_era_is_learned_once_and_never_goes_back() {
    let eras = StoreEras::default();
    assert_eq!(eras.learn(NOW, StoreEra(0)), None);
    assert_eq!(eras.learn(NOW, StoreEra(3)), Some(StoreEra(0)));
    let later = NOW + Duration::from_secs(1);
    assert_eq!(eras.learn(later, StoreEra(3)), None);
    assert_eq!(eras.learn(later, StoreEra(2)), None);
    assert_eq!((eras.latest(), eras.learned_at()), (StoreEra(3), NOW));
}

/// Guards against orders that engines refuse, and against names of groups that are used twice, after a return.
#[test]
fn a_generation_that_is_given_out_again_has_a_higher_fence() {
    let before = FencingToken::of(StoreEra(1), 25);
    let after = FencingToken::of(StoreEra(2), 25);
    assert!(before < FencingToken::of(StoreEra(2), 1));
    assert_ne!(before, after);
    assert_eq!(FencingToken::of(StoreEra(0), 25), FencingToken(25));
}
