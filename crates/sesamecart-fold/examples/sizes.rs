//! Measures the size and processing time of records and checkpoints for a deployment of the target size.
//!
//! Run it with `cargo run --release -p sesamecart-fold --example sizes`. docs/design/fold.md quotes its
//! output.

use std::time::{Duration, Instant};

use serde_json::json;
use sesamecart_config::{Configuration, Inventory, import_sheet};
use sesamecart_fold::{ActionEnd, ActionIntent, ActionOutcome, EncodedBody, Fold, Record};
use sesamecart_vocabulary::{BodyDigest, Epoch, Incarnation, NodeId, Offset, Revision, ShardId};

/// The number of engines at the target size, each a group of two VMs.
const GROUPS: usize = 660;
const DOMAINS: usize = 5;
const SHARDS: u16 = 256;
const VOTERS: usize = 5;
/// The size of a stored response.
const RESPONSE_BYTES: usize = 300;
/// The number of keyed actions in one append.
const ACTIONS_PER_APPEND: usize = 50;

fn main() {
    let configuration = configuration();
    let mut log = Log::default();
    let publish = log.apply(&Record::Publish {
        publish_id: "p-1".parse().expect("a name"),
        base_revision: Revision(0),
        author: "salma".to_owned(),
        from: "192.0.2.7:40100".to_owned(),
        at_ms: 0,
        configuration: Box::new(configuration),
    });
    for shard in 0..SHARDS {
        log.apply(&claim(shard));
    }
    let mut rows = vec![CheckpointRow::measure(&log, 0)];
    for actions in [10_000, 72_000] {
        log.run_actions(actions);
        rows.push(CheckpointRow::measure(&log, actions));
    }
    println!(
        "configuration of {GROUPS} groups: {} bytes, applied in {:.2} ms",
        publish.bytes,
        to_millis(publish.elapsed)
    );
    for row in &rows {
        println!(
            "checkpoint with {} keyed actions: {} bytes, written in {:.1} ms, read in {:.1} ms",
            row.actions,
            row.bytes,
            to_millis(row.encode),
            to_millis(row.decode)
        );
    }
    let batch = log.batch;
    println!(
        "{ACTIONS_PER_APPEND} intents in one record: {} bytes, applied in {:.3} ms",
        batch.bytes,
        to_millis(batch.elapsed)
    );
    let rows: Vec<_> = rows.iter().map(CheckpointRow::to_json).collect();
    let publish = json!({"bytes": publish.bytes, "apply_ms": to_millis(publish.elapsed)});
    let batch = json!({"bytes": batch.bytes, "apply_ms": to_millis(batch.elapsed)});
    println!(
        "{}",
        json!({"publish": publish, "intents": batch, "checkpoints": rows})
    );
}

/// The size of an applied record and the time it took.
#[derive(Clone, Copy, Default)]
struct AppliedRecord {
    bytes: usize,
    elapsed: Duration,
}

#[derive(Default)]
struct Log {
    fold: Fold,
    actions: usize,
    batch: AppliedRecord,
}

impl Log {
    fn apply(&mut self, record: &Record) -> AppliedRecord {
        let data = record.encode();
        let offset = self.fold.state().next_offset;
        let start = Instant::now();
        self.fold.apply(offset, 0, &data);
        AppliedRecord {
            bytes: data.len(),
            elapsed: start.elapsed(),
        }
    }

    /// Applies intents and outcomes until the state has `count` actions.
    fn run_actions(&mut self, count: usize) {
        let shard = ShardId(0);
        let epoch = self.fold.state().epoch(shard).unwrap_or(Epoch(0));
        while self.actions < count {
            let keys = self.actions..self.actions + ACTIONS_PER_APPEND;
            let intents = Record::ActionIntents {
                shard,
                epoch,
                entries: keys.clone().map(intent).collect(),
            };
            self.batch = self.apply(&intents);
            self.apply(&Record::ActionOutcomes {
                shard,
                epoch,
                entries: keys.map(outcome).collect(),
            });
            self.actions += ACTIONS_PER_APPEND;
        }
    }
}

/// The size of a checkpoint and its encoding and decoding times.
struct CheckpointRow {
    actions: usize,
    bytes: usize,
    encode: Duration,
    decode: Duration,
}

impl CheckpointRow {
    fn measure(log: &Log, actions: usize) -> Self {
        let start = Instant::now();
        let data = log.fold.checkpoint().encode();
        let encode = start.elapsed();
        let start = Instant::now();
        let read = Record::decode(&data).expect("a whole record");
        let decode = start.elapsed();
        assert!(matches!(read.record, Record::Checkpoint { .. }));
        Self {
            actions,
            bytes: data.len(),
            encode,
            decode,
        }
    }

    fn to_json(&self) -> serde_json::Value {
        json!({
            "actions": self.actions, "bytes": self.bytes,
            "encode_ms": to_millis(self.encode), "decode_ms": to_millis(self.decode),
        })
    }
}

fn configuration() -> Configuration {
    let domain = |index: usize| format!("domain-{}", index % DOMAINS);
    let domains = (0..DOMAINS).map(|index| (domain(index), json!({"region": "region-1"})));
    let vms = (0..2 * GROUPS).map(|index| {
        let (domain, fabric) = (domain(index / 2), index / 64);
        let vm =
            json!({"failure_domain": domain, "fabric_domain": format!("fabric-{fabric}-{domain}")});
        (format!("vm-{index}"), vm)
    });
    let customers = (0..10).map(|index| {
        let customer = json!({"weight": 1, "models": ["assistant"], "services": ["stock"]});
        (format!("customer-{index}"), customer)
    });
    let object = |items: Vec<(String, serde_json::Value)>| serde_json::Value::from_iter(items);
    let inventory = json!({
        "failure_domains": object(domains.collect()),
        "vms": object(vms.collect()),
        "models": {"assistant": {"version": "1", "vms_per_group": 2}},
        "services": {"stock": {"class": "action"}},
        "customers": object(customers.collect()),
    });
    let inventory: Inventory = serde_json::from_value(inventory).expect("an inventory");
    let mut sheet = "date,sheet,kind,name,serves,vms,failure_domain,address,cold,warm\n".to_owned();
    for index in 0..GROUPS {
        let (one, two, domain) = (2 * index, 2 * index + 1, domain(index));
        let address = format!("10.0.{}.{}:8000", index / 250, index % 250 + 1);
        sheet += &format!(
            "2026-12-03,1,group,group-{index},assistant,vm-{one} vm-{two},{domain},{address},2,16\n"
        );
    }
    import_sheet(sheet.as_bytes(), &inventory).configuration
}

fn claim(shard: u16) -> Record {
    let node = |index: usize| -> NodeId { format!("entry-{index}").parse().expect("a name") };
    Record::Claim {
        shard: ShardId(shard),
        holder: node(usize::from(shard)),
        incarnation: Incarnation(1),
        builds_on: None,
        voters: (0..VOTERS)
            .map(|index| node(usize::from(shard) + index))
            .collect(),
    }
}

fn intent(index: usize) -> ActionIntent {
    ActionIntent {
        customer: format!("customer-{}", index % 10).parse().expect("a name"),
        service: "stock".parse().expect("a name"),
        key: format!("{:032x}", index).parse().expect("a key"),
        body_digest: BodyDigest::of(&index.to_be_bytes()),
        attempt: format!("a-entry-{}-{index:x}", index % 380)
            .parse()
            .expect("a name"),
        at_ms: Offset::default().0,
    }
}

fn outcome(index: usize) -> ActionOutcome {
    let ActionIntent {
        customer,
        service,
        key,
        attempt,
        ..
    } = intent(index);
    ActionOutcome {
        customer,
        service,
        key,
        attempt,
        outcome: ActionEnd::Answered {
            status: 201,
            headers: Vec::new(),
            body: EncodedBody(vec![b'x'; RESPONSE_BYTES]),
        },
    }
}

fn to_millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
