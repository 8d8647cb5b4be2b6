//! A configuration of any number of endpoints, shaped as the target's: replicas of 4 VMs, one plain
//! service endpoint for about 17 groups, 20 customers.

use std::net::SocketAddr;

use sesamecart_config::{
    Configuration, Customer, Endpoint, EndpointKind, FailureDomain, Group, Limits, Model, Service,
    Vm,
};
use sesamecart_fold::Record;
use sesamecart_vocabulary::{
    Concurrency, FailureDomainId, KeyHash, RequestClass, Revision, Tokens, Weight,
};

const VMS_PER_GROUP: usize = 4;
const DOMAINS: usize = 5;
const CUSTOMERS: usize = 20;
const GROUPS_PER_SERVICE_ENDPOINT: usize = 17;

fn name<T: std::str::FromStr>(text: String) -> T {
    text.parse()
        .unwrap_or_else(|_| panic!("{text} is a valid name"))
}

fn domain(index: usize) -> FailureDomainId {
    name(format!("domain-{}", index % DOMAINS))
}

/// Makes a configuration with `endpoints` endpoints.
pub(super) fn configuration(endpoints: usize) -> Configuration {
    let mut cfg = Configuration {
        date: "2026-12-03".to_owned(),
        sheet: 1,
        ..Configuration::default()
    };
    for index in 0..DOMAINS {
        let region = name(format!("region-{}", index % 2));
        cfg.failure_domains
            .insert(domain(index), FailureDomain { region });
    }
    let model = Model {
        version: "1".to_owned(),
        vms_per_group: 4,
        adapters: Default::default(),
    };
    cfg.models.insert(name("assistant".to_owned()), model);
    let service = Service {
        class: RequestClass::Action,
        idempotent_methods: ["GET".to_owned()].into(),
        settles_actions: true,
        team: None,
    };
    cfg.services.insert(name("stock".to_owned()), service);
    for index in 0..endpoints {
        if index % (GROUPS_PER_SERVICE_ENDPOINT + 1) == GROUPS_PER_SERVICE_ENDPOINT {
            add_service(&mut cfg, index);
        } else {
            add_group(&mut cfg, index);
        }
    }
    for index in 0..CUSTOMERS {
        let customer = Customer {
            weight: Weight(1),
            keys: [KeyHash::of(format!("key-{index}").as_bytes())].into(),
            models: [name("assistant".to_owned())].into(),
            services: [name("stock".to_owned())].into(),
            endpoints: Default::default(),
            team: None,
        };
        cfg.customers
            .insert(name(format!("customer-{index}")), customer);
    }
    cfg
}

fn endpoint(index: usize, kind: EndpointKind) -> Endpoint {
    let port = u16::try_from(10_000 + index).expect("there are less than 50,000 endpoints");
    Endpoint {
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        failure_domain: domain(index),
        kind,
        vm: None,
        limits: Limits {
            cold: Concurrency(4),
            warm: Concurrency(64),
            kv_tokens: Tokens(400_000),
        },
        checks_epoch: index.is_multiple_of(2),
    }
}

fn add_group(cfg: &mut Configuration, index: usize) {
    let vms = (0..VMS_PER_GROUP).map(|member| {
        let vm: sesamecart_vocabulary::VmId = name(format!("engine-{index}-{member}"));
        let place = Vm {
            failure_domain: domain(index),
            fabric_domain: name(format!("fabric-{}", index / 8)),
        };
        cfg.vms.insert(vm.clone(), place);
        vm
    });
    let group = Group {
        model: name("assistant".to_owned()),
        vms: vms.collect(),
    };
    let id: sesamecart_vocabulary::GroupId = name(format!("group-{index}"));
    cfg.groups.insert(id.clone(), group);
    let endpoint = endpoint(index, EndpointKind::Group(id));
    cfg.endpoints
        .insert(name(format!("endpoint-{index}")), endpoint);
}

fn add_service(cfg: &mut Configuration, index: usize) {
    let endpoint = endpoint(index, EndpointKind::Service(name("stock".to_owned())));
    cfg.endpoints
        .insert(name(format!("endpoint-{index}")), endpoint);
}

/// Makes the record that publishes a configuration.
pub(super) fn publish(configuration: Configuration, number: u64, base: Revision) -> Record {
    Record::Publish {
        publish_id: name(format!("change-{number}")),
        base_revision: base,
        author: "planner".to_owned(),
        from: "10.0.0.1".to_owned(),
        at_ms: number,
        configuration: Box::new(configuration),
    }
}
