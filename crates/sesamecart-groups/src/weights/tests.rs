use sesamecart_property::check_property;
use sesamecart_vocabulary::{Bytes, Weight};

use super::{LoadRequest, allocate_rates};

fn load(group: &str, vm: &str, remaining: u64, value: u32, urgent: bool) -> LoadRequest {
    LoadRequest {
        group: group.parse().unwrap(),
        vm: vm.parse().unwrap(),
        remaining: Bytes(remaining),
        value: Weight(value),
        urgent,
    }
}

/// Each case lists loads and the VMs that are granted a rate, in order.
macro_rules! grant_cases {
    ($($name:ident: $loads:expr, total $total:literal => $vms:expr;)*) => {$(
        #[test]
        fn $name() {
            let grants = allocate_rates(&$loads, Bytes($total), Bytes(10));
            let vms: Vec<String> = grants.iter().map(|g| format!("{}:{}", g.vm, g.bytes_per_s)).collect();
            assert_eq!(vms, $vms);
        }
    )*};
}

grant_cases! {
    fewest_remaining_bytes_first: [load("a", "a1", 90, 1, true), load("b", "b1", 30, 1, true)], total 10
        => ["b1:10"];
    remaining_bytes_are_summed_per_group: [load("a", "a1", 20, 1, true), load("a", "a2", 20, 1, true),
        load("b", "b1", 30, 1, true)], total 15 => ["b1:10", "a1:5"];
    higher_value_per_byte_first: [load("a", "a1", 30, 1, true), load("b", "b1", 60, 3, true)], total 10
        => ["b1:10"];
    urgent_before_prefetch: [load("a", "a1", 1, 9, false), load("b", "b1", 90, 1, true)], total 10
        => ["b1:10"];
    complete_load_gets_no_rate: [load("a", "a1", 0, 1, true), load("b", "b1", 9, 1, true)], total 20
        => ["b1:10"];
    ties_are_broken_by_group_id: [load("b", "b1", 9, 1, true), load("a", "a1", 9, 1, true)], total 10
        => ["a1:10"];
}

#[test]
fn grants_use_the_total_rate_and_never_exceed_it() {
    check_property(
        bolero::produce::<(Vec<(u8, u8, u16, u8, bool)>, u16, u8)>(),
        |(loads, total, per_vm)| {
            let loads: Vec<LoadRequest> = loads
                .iter()
                .enumerate()
                .map(|(index, (group, _, remaining, value, urgent))| {
                    let vm = format!("vm-{index}");
                    load(
                        &format!("g-{group}"),
                        &vm,
                        u64::from(*remaining),
                        u32::from(*value),
                        *urgent,
                    )
                })
                .collect();
            let total = Bytes(u64::from(*total));
            let per_vm = Bytes(u64::from(*per_vm));
            let grants = allocate_rates(&loads, total, per_vm);
            assert!(grants.iter().map(|grant| grant.bytes_per_s).sum::<Bytes>() <= total);
            assert!(grants.iter().all(|grant| grant.bytes_per_s <= per_vm));
            // No rate is left unused while a load could use it.
            let unfinished_loads = loads
                .iter()
                .filter(|load| load.remaining > Bytes(0))
                .count() as u64;
            let granted: Bytes = grants.iter().map(|grant| grant.bytes_per_s).sum();
            assert_eq!(granted, total.min(Bytes(per_vm.0 * unfinished_loads)));
        },
    );
}
