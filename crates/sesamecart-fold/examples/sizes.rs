//! Prints how large records and checkpoints are at the target's size, and how long they take.
//!
//! `cargo run --release -p sesamecart-fold --example sizes`; docs/design/fold.md quotes a run.

use std::time::{Duration, Instant};

use serde_json::json;
use sesamecart_config::{Configuration, Inventory, import_sheet};
use sesamecart_fold::{ActionEnd, ActionIntent, ActionOutcome, EncodedBody, Fold, Record};
use sesamecart_vocabulary::{BodyDigest, Epoch, Incarnation, NodeId, Offset, Revision, ShardId};

/// The target's engines, each a group of two VMs.
const GROUPS: usize = 660;
const DOMAINS: usize = 5;
const SHARDS: u16 = 256;
const VOTERS: usize = 5;
/// The bytes of one answer that is kept for its key.
const ANSWER_BYTES: usize = 300;
/// The keyed actions that one append carries.
const BATCH: usize = 50;

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
    let mut rows = vec![Row::of(&log, 0)];
    for actions in [10_000, 72_000] {
        log.act(actions);
        rows.push(Row::of(&log, actions));
    }
    println!(
        "configuration of {GROUPS} groups: {} bytes, applied in {:.2} ms",
        publish.bytes,
        millis(publish.taken)
    );
    for row in &rows {
        println!(
            "checkpoint with {} keyed actions: {} bytes, written in {:.1} ms, read in {:.1} ms",
            row.actions,
            row.bytes,
            millis(row.encode),
            millis(row.decode)
        );
    }
    let batch = log.batch;
    println!(
        "{BATCH} intents in one record: {} bytes, applied in {:.3} ms",
        batch.bytes,
        millis(batch.taken)
    );
    let rows: Vec<_> = rows.iter().map(Row::json).collect();
    let publish = json!({"bytes": publish.bytes, "apply_ms": millis(publish.taken)});
    let batch = json!({"bytes": batch.bytes, "apply_ms": millis(batch.taken)});
    println!(
        "{}",
        json!({"publish": publish, "intents": batch, "checkpoints": rows})
    );
}

/// A record that was applied.
#[derive(Clone, Copy, Default)]
struct AppliedRecord {
    bytes: usize,
    taken: Duration,
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
        let begun = Instant::now();
        self.fold.apply(offset, 0, &data);
        AppliedRecord {
            bytes: data.len(),
            taken: begun.elapsed(),
        }
    }

    /// Lets actions begin and end until there are `count`.
    fn act(&mut self, count: usize) {
        let shard = ShardId(0);
        let epoch = self.fold.state().epoch(shard).unwrap_or(Epoch(0));
        while self.actions < count {
            let keys = self.actions..self.actions + BATCH;
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
            self.actions += BATCH;
        }
    }
}

/// A checkpoint's size and times.
struct Row {
    actions: usize,
    bytes: usize,
    encode: Duration,
    decode: Duration,
}

impl Row {
    fn of(log: &Log, actions: usize) -> Self {
        let begun = Instant::now();
        let data = log.fold.checkpoint().encode();
        let encode = begun.elapsed();
        let begun = Instant::now();
        let read = Record::decode(&data).expect("a whole record");
        let decode = begun.elapsed();
        assert!(matches!(read.record, Record::Checkpoint { .. }));
        Self {
            actions,
            bytes: data.len(),
            encode,
            decode,
        }
    }

    fn json(&self) -> serde_json::Value {
        json!({
            "actions": self.actions, "bytes": self.bytes,
            "encode_ms": millis(self.encode), "decode_ms": millis(self.decode),
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
            body: EncodedBody(vec![b'x'; ANSWER_BYTES]),
        },
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
