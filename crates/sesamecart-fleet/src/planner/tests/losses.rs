//! Simulates the loss of one fabric domain under steady demand, and checks what each model keeps of the groups
//! that its callers need.

use std::time::Duration;

use sesamecart_vocabulary::ModelId;

use super::domains::Fleet;
use crate::demand::Demand;

const DOMAINS: [&str; 6] = ["a-0", "a-1", "b-0", "b-1", "c-0", "c-1"];

const ENGINES_PER_DOMAIN: usize = 9;

/// The models with their group sizes, their expected shares and the groups that their callers keep busy.
const MODELS: [(&str, usize, f64, f64); 2] = [("large", 4, 0.57, 4.2), ("small", 3, 0.43, 5.1)];

fn observed_demand() -> Demand {
    let demand = MODELS.iter().map(|(name, _, _, groups)| {
        let model: ModelId = name.parse().expect("valid name");
        (model, *groups)
    });
    demand.collect()
}

/// Guards against an assignment in which a power failure of one fabric domain takes half of a model's groups.
#[test]
fn each_model_keeps_what_its_callers_need_when_a_fabric_domain_is_lost() {
    let models = MODELS.map(|(name, size, share, _)| (name, size, share));
    for lost in DOMAINS {
        let domains = DOMAINS.map(|domain| (domain, ENGINES_PER_DOMAIN));
        let mut fleet = Fleet::new(&models, &domains);
        fleet.advance(Duration::from_secs(12));
        fleet.has_traffic = true;
        fleet.demand = Some(observed_demand());
        fleet.remove(lost, ENGINES_PER_DOMAIN);
        fleet.advance(Duration::from_secs(1));
        for (name, _, _, needed) in MODELS {
            let open = fleet.open_groups(name);
            assert!(
                open as f64 >= needed.floor(),
                "{name} keeps {open} groups without {lost}"
            );
        }
    }
}
