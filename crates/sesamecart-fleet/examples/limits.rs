//! Measures what the decisions about limits of endpoints cost at the size of the target.
//!
//! docs/CAPACITY.md has the results.

use std::time::Instant;

use sesamecart_fleet::{
    AuthorityRanking, LimitAuthority, LimitObservation, PeerNode, Permit, PermitRequest,
};
use sesamecart_vocabulary::{EndpointId, RequestRate, Timestamp};

const NODES: usize = 380;
const ENDPOINTS: usize = 660;
const CUSTOMERS: usize = 64;
const REQUESTS: usize = 200_000;

fn peer(index: usize) -> PeerNode {
    PeerNode {
        node: format!("front-{index}").parse().expect("a valid id"),
        failure_domain: format!("domain-{}", index % 5).parse().expect("a valid id"),
        links: "127.0.0.1:1".parse().expect("an address"),
        forwarding: None,
        processor_share: 0.25,
        memory_mb: None,
    }
}

fn main() {
    let nodes: Vec<PeerNode> = (0..NODES).map(peer).collect();
    let endpoints: Vec<EndpointId> = (0..ENDPOINTS)
        .map(|index| format!("i-{index:010x}").parse().expect("a valid id"))
        .collect();
    let domain = "domain-1".parse().expect("a valid id");
    let ranking = AuthorityRanking::default();
    let started_at = Instant::now();
    let mut found = 0;
    for endpoint in &endpoints {
        let authority =
            ranking.authority(Timestamp::ZERO, endpoint.as_str(), Some(&domain), &nodes);
        found += usize::from(authority.is_some());
    }
    let ranked = started_at.elapsed() / ENDPOINTS as u32;
    println!("{found} authorities among {NODES} nodes: {ranked:?} each");

    let requests = (0..CUSTOMERS).map(|customer| PermitRequest {
        limit: LimitObservation {
            endpoint: endpoints[0].clone(),
            incarnation: None,
            limit: RequestRate::new(5.0),
            sent_at: Timestamp(1),
        },
        customer: Some(format!("customer-{customer}").parse().expect("a valid id")),
        priority: 5,
    });
    let mut requests: Vec<PermitRequest> = requests.collect();
    let mut authority = LimitAuthority::default();
    let started_at = Instant::now();
    let mut granted = 0;
    for number in 0..REQUESTS {
        let req = &mut requests[number % CUSTOMERS];
        req.limit
            .endpoint
            .clone_from(&endpoints[number % ENDPOINTS]);
        let now = Timestamp(1_000_000 + number as u64 * 300);
        granted += usize::from(authority.request(now, req) == Permit::Granted);
    }
    let decided = started_at.elapsed() / REQUESTS as u32;
    println!("{granted} of {REQUESTS} permits with {CUSTOMERS} customers: {decided:?} each");
}
