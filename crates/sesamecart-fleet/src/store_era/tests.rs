//! Tests of the era that a node knows.

use std::time::Duration;

use sesamecart_vocabulary::{StoreEra, Timestamp};

use super::StoreEras;

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
