//! The owner of an endpoint's allowance: what one borrow costs as more nodes borrow.

use std::hint::black_box;
use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_decisions::allowance::{Allowance, Demand, EndpointLimits, EndpointWork, Sample};
use sesamecart_decisions::settings::AllowanceSettings;
use sesamecart_vocabulary::{Concurrency, NodeId, Permits, Timestamp, Tokens};

use super::Series;

const BORROWERS: [usize; 4] = [4, 16, 64, 380];

pub(super) fn measure(series: &mut IndexMap<&'static str, Series>) {
    series.insert(
        "lend a slice",
        Series::time("borrowing nodes", &BORROWERS, lend),
    );
}

fn lend(nodes: usize) -> impl FnMut() {
    let limits = EndpointLimits {
        cold: Concurrency(4),
        warm: Concurrency(64),
        kv_tokens: Tokens(400_000),
        kind: EndpointWork::Engine,
    };
    let mut allowance = Allowance::new(Timestamp::ZERO, limits, AllowanceSettings::default());
    let nodes: Vec<NodeId> = (0..nodes)
        .map(|index| format!("node-{index}").parse().expect("a name"))
        .collect();
    let mut demand = Demand {
        sent_at: Timestamp::ZERO,
        wanted: Permits(2),
        in_flight: Permits(1),
        sample: Sample::default(),
    };
    let mut now = Timestamp::from_millis(60_000);
    let mut next = 0;
    move || {
        now = now + Duration::from_millis(1);
        next = (next + 1) % nodes.len();
        demand.sent_at = now;
        black_box(allowance.borrow(now, &nodes[next], &demand));
    }
}
