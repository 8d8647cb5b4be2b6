//! The log follower: folding records and making the traffic threads' picture.

use std::hint::black_box;

use indexmap::{IndexMap, IndexSet};
use sesamecart_fold::{ActionIntent, Fold, Record};
use sesamecart_node::Snapshot;
use sesamecart_vocabulary::{
    BodyDigest, Epoch, Incarnation, Offset, Revision, SHARD_COUNT, ShardId,
};

use super::{Point, Series, fleet, to_f64};

const ENDPOINTS: [usize; 4] = [60, 165, 330, 660];
/// The intents that one group commit holds.
const INTENTS: [usize; 4] = [1, 8, 32, 128];

pub(super) fn measure(series: &mut IndexMap<&'static str, Series>) {
    series.insert(
        "fold a publish",
        Series::time("endpoints", &ENDPOINTS, fold_publish),
    );
    series.insert(
        "make a snapshot",
        Series::time("endpoints", &ENDPOINTS, make_snapshot),
    );
    series.insert(
        "renew a snapshot",
        Series::time("endpoints", &ENDPOINTS, renew_snapshot),
    );
    series.insert(
        "fold a claim",
        Series::time("endpoints", &ENDPOINTS, fold_claim),
    );
    series.insert(
        "fold intents",
        Series::time("intents", &INTENTS, fold_intents),
    );
    let sizes = ENDPOINTS.map(|endpoints| Point {
        size: to_f64(endpoints),
        value: to_f64(
            fleet::publish(fleet::configuration(endpoints), 1, Revision(0))
                .encode()
                .len(),
        ),
    });
    series.insert(
        "publish record",
        Series::new("endpoints", "bytes", sizes.to_vec()),
    );
    let sizes = ENDPOINTS.map(|endpoints| Point {
        size: to_f64(endpoints),
        value: to_f64(checkpoint(&published(endpoints)).len()),
    });
    series.insert(
        "checkpoint record",
        Series::new("endpoints", "bytes", sizes.to_vec()),
    );
}

fn published(endpoints: usize) -> Fold {
    let mut fold = Fold::new();
    let record = fleet::publish(fleet::configuration(endpoints), 0, Revision(0)).encode();
    fold.apply(Offset(0), 0, &record);
    assert_eq!(
        fold.state().revision,
        Revision(1),
        "the configuration was not accepted"
    );
    fold
}

fn checkpoint(fold: &Fold) -> Vec<u8> {
    fold.checkpoint().encode()
}

fn fold_publish(endpoints: usize) -> impl FnMut() {
    let mut fold = Fold::new();
    let configuration = fleet::configuration(endpoints);
    let mut number = 0;
    // The record is made outside of what counts as little as can be: it costs about as much as
    // folding it, so the figure is an upper bound.
    move || {
        let base = fold.state().revision;
        let record = fleet::publish(configuration.clone(), number, base).encode();
        black_box(fold.apply(Offset(number), number, &record));
        number += 1;
    }
}

fn make_snapshot(endpoints: usize) -> impl FnMut() {
    let fold = published(endpoints);
    move || {
        black_box(Snapshot::after(
            &Snapshot::default(),
            fold.state(),
            &IndexSet::new(),
        ));
    }
}

fn renew_snapshot(endpoints: usize) -> impl FnMut() {
    let fold = published(endpoints);
    let mut snapshot = Snapshot::after(&Snapshot::default(), fold.state(), &IndexSet::new());
    move || {
        snapshot = Snapshot::after(&snapshot, fold.state(), &IndexSet::new());
    }
}

fn fold_claim(endpoints: usize) -> impl FnMut() {
    let mut fold = published(endpoints);
    let mut offset = 1;
    move || {
        let shard = ShardId(u16::try_from(offset % u64::from(SHARD_COUNT)).expect("it fits"));
        let record = Record::Claim {
            shard,
            holder: "node-1".parse().expect("a name"),
            incarnation: Incarnation(1),
            builds_on: fold.state().epoch(shard),
            voters: (0..5)
                .map(|node| format!("node-{node}").parse().expect("a name"))
                .collect(),
        };
        black_box(fold.apply(Offset(offset), offset, &record.encode()));
        offset += 1;
    }
}

fn fold_intents(intents: usize) -> impl FnMut() {
    let mut fold = published(60);
    let shard = ShardId(1);
    let claim = Record::Claim {
        shard,
        holder: "node-1".parse().expect("a name"),
        incarnation: Incarnation(1),
        builds_on: None,
        voters: Vec::new(),
    };
    fold.apply(Offset(1), 1, &claim.encode());
    let mut offset = 2;
    move || {
        let entries = (0..intents).map(|index| ActionIntent {
            customer: "customer-1".parse().expect("a name"),
            service: "stock".parse().expect("a name"),
            key: format!("key-{offset}-{index}").parse().expect("a key"),
            body_digest: BodyDigest::of(b"body"),
            attempt: format!("a-{offset}-{index}").parse().expect("a name"),
            at_ms: offset,
        });
        let record = Record::ActionIntents {
            shard,
            epoch: Epoch(1),
            entries: entries.collect(),
        };
        black_box(fold.apply(Offset(offset), offset, &record.encode()));
        offset += 1;
    }
}
