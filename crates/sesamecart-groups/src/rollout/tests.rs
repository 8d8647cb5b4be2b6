use super::{Replica, next_to_update};

/// Parses replicas such as "a+" (serving) or "a-" (not serving); `*` marks up to date and `~` updating.
fn replicas(text: &str) -> Vec<Replica> {
    text.split_whitespace()
        .map(|word| Replica {
            group: word[..1].parse().unwrap(),
            routable: word.contains('+'),
            up_to_date: word.contains('*'),
            updating: word.contains('~'),
        })
        .collect()
}

macro_rules! next_cases {
    ($($name:ident: $replicas:literal => $next:expr;)*) => {$(
        #[test]
        fn $name() {
            let replicas = replicas($replicas);
            let next: Option<&str> = $next;
            assert_eq!(next_to_update(&replicas).map(|group| group.as_str()), next);
        }
    )*};
}

next_cases! {
    first_of_two_serving_replicas_is_updated: "a+ b+" => Some("a");
    only_one_replica_is_updated_at_a_time: "a-*~ b+" => None;
    replica_that_is_not_serving_is_first: "a+ b- c+" => Some("b");
    last_serving_replica_is_not_updated: "a+ b-*" => None;
    outdated_replica_is_updated_once_another_serves: "a+*  b+" => Some("b");
    only_replica_is_updated: "a+" => Some("a");
    no_update_if_all_are_up_to_date: "a+* b+*" => None;
}
