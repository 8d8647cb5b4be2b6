//! Tests of what a node takes from the era that an answer names.

use std::sync::Arc;

use sesamecart_platform::{NamedEra, StoreEra, StoreObserver as _};

use super::StoreCalls;
use crate::testkit::new_state;

/// Returns the era that each answer is attributed to; nothing for one that is over.
fn attribute(named: &[NamedEra]) -> Vec<Option<u64>> {
    let state = Arc::new(new_state(true));
    let calls = StoreCalls::new(state);
    let eras = named.iter().map(|named| calls.attribute(named).ok());
    eras.map(|era| era.map(|era| era.0)).collect()
}

macro_rules! attribution_tests {
    ($($(#[$doc:meta])* $name:ident: $named:expr => $expected:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                assert_eq!(attribute(&$named), $expected);
            }
        )*
    };
}

use NamedEra::{Era, Missing};

fn unreadable() -> NamedEra {
    NamedEra::Unreadable("-1".to_owned())
}

attribution_tests! {
    a_store_without_eras_has_one: [Missing, Missing] => [Some(0), Some(0)];
    a_later_era_is_learned: [Era(StoreEra(3)), Era(StoreEra(4))] => [Some(3), Some(4)];
    /// Guards against a delayed answer that confirms what is over.
    an_answer_of_an_earlier_era_fails: [Era(StoreEra(4)), Era(StoreEra(3)), Era(StoreEra(4))]
        => [Some(4), None, Some(4)];
    /// Guards against a node that reads nothing any more because a header is left out.
    an_answer_without_an_era_is_of_the_known_one: [Era(StoreEra(4)), Missing, unreadable()]
        => [Some(4), Some(4), Some(4)];
}
