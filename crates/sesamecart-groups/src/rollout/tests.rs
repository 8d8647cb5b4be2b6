use super::{Replica, next_to_update};

/// Reads replicas such as "a+" (serves), "a-" (doesn't), with `*` current and `~` changing.
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

macro_rules! next {
    ($($name:ident: $replicas:literal => $next:expr;)*) => {$(
        #[test]
        fn $name() {
            let replicas = replicas($replicas);
            let next: Option<&str> = $next;
            assert_eq!(next_to_update(&replicas).map(|group| group.as_str()), next);
        }
    )*};
}

next! {
    first_of_two_serving: "a+ b+" => Some("a");
    one_at_a_time: "a-*~ b+" => None;
    idle_first: "a+ b- c+" => Some("b");
    last_serving_stays: "a+ b-*" => None;
    last_goes_once_another_serves: "a+*  b+" => Some("b");
    single_replica_goes: "a+" => Some("a");
    all_current: "a+* b+*" => None;
}
