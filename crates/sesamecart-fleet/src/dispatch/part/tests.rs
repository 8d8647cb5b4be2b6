//! Tests the division of pools into parts.

use super::{choose_parts, part_count, part_of};

macro_rules! part_counts {
    ($($name:ident: $heads:expr => $parts:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(part_count($heads), $parts);
            }
        )*
    };
}

part_counts! {
    an_empty_pool_has_one_part: 0 => 1;
    a_full_part_is_not_divided: 32 => 1;
    one_more_head_needs_another_part: 33 => 2;
    many_heads_make_many_parts: 100 => 4;
}

#[test]
fn heads_are_spread_over_all_parts() {
    let mut heads = [0; 3];
    for index in 0..90 {
        let head = format!("engine-{index}").parse().expect("a valid id");
        heads[part_of(&head, 3) as usize] += 1;
    }
    assert!(heads.iter().all(|heads| *heads >= 15), "{heads:?}");
}

#[test]
fn parts_are_drawn_by_their_heads() {
    let mut rng = fastrand::Rng::with_seed(7);
    let first = (0..1_000).map(|_| choose_parts(&[10, 30, 0], || rng.f64())[0]);
    let mut drawn = [0; 3];
    for part in first {
        drawn[part as usize] += 1;
    }
    assert!((200..300).contains(&drawn[0]), "{drawn:?}");
    assert_eq!(drawn[2], 0);
}

#[test]
fn a_second_part_is_another_one() {
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..100 {
        let parts = choose_parts(&[5, 5, 5], || rng.f64());
        assert_eq!(parts.len(), 2);
        assert_ne!(parts[0], parts[1]);
    }
}

#[test]
fn a_pool_of_one_part_has_no_second_one() {
    assert_eq!(choose_parts(&[5], || 0.99), [0]);
    assert!(choose_parts(&[0], || 0.5).is_empty());
}
