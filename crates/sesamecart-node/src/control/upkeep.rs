//! What the control thread does beside following the log: checkpoints, provisional drains and the
//! address book of other nodes.

use std::sync::Arc;
use std::time::Duration;

use sesamecart_edges::tls::{Reload, TlsServer, UnixTime};
use sesamecart_edges::{Log, VmList};
use sesamecart_fold::{CheckpointInterval, CheckpointSchedule, State};
use sesamecart_runtime::sleep;
use sesamecart_vocabulary::{ShardId, stable_hash};

use crate::control::peers::Peers;
use crate::shared::Shared;

/// How often the node looks whether a checkpoint is due.
const CHECKPOINT_POLL: Duration = Duration::from_millis(500);

/// How often provisional drains are passed on and offered to the log.
///
/// A drain must take effect within three seconds on every node that can be reached, also on one
/// that missed the first call.
const DRAIN_POLL: Duration = Duration::from_millis(500);

/// By how much later each further node offers a provisional drain to the log that is back.
///
/// Hundreds of nodes that appended the same drain at once would spend the log's rate for seconds.
/// The first one's record settles the drain on the others before most of them have their turn.
const DRAIN_TURN: Duration = Duration::from_millis(10);

/// How often the platform's VM list is read by a node that knows hardly any other.
const LIST_POLL: Duration = Duration::from_secs(2);

/// How often it is read once heartbeats tell of the others.
///
/// The list grows with all VMs of the platform. Read every two seconds by each of 380 nodes it alone
/// would cost more than all other control traffic.
const SETTLED_LIST_POLL: Duration = Duration::from_secs(30);

/// For how many reads after the start the list is read often, also if other nodes are known.
const FIRST_READS: u32 = 5;

/// The shard whose holder writes checkpoints.
const CHECKPOINT_SHARD: ShardId = ShardId(0);

/// Writes checkpoints before the log forgets the last one.
pub(crate) async fn write_checkpoints(shared: Arc<Shared>, log: Arc<dyn Log>) {
    let settings = &shared.settings.log;
    let pace = CheckpointInterval {
        every: Duration::from_millis(settings.checkpoint_ms),
        records: settings.checkpoint_records,
    };
    let mut schedule = CheckpointSchedule::new(pace, spread(&shared));
    loop {
        sleep(CHECKPOINT_POLL).await;
        if !shared.is_settled() || !shared.folded.log_answers() {
            continue;
        }
        let now = shared.clock.now();
        let due = shared
            .folded
            .with(|state| schedule.is_due(state, is_holder(&shared, state), now));
        if !due {
            continue;
        }
        let checkpoint = shared.folded.checkpoint();
        match log.append(checkpoint.encode().into()).await {
            Ok(offset) => log::info!("fold: wrote a checkpoint at offset {offset}."),
            Err(error) => log::warn!("fold: no checkpoint: {error}."),
        }
    }
}

/// Returns a number from 0 to 1 that differs between nodes.
fn spread(shared: &Shared) -> f64 {
    const PARTS: u64 = 1_000;
    let part = stable_hash(shared.identity.node.as_str()) % PARTS;
    part as f64 / PARTS as f64
}

fn is_holder(shared: &Shared, state: &State) -> bool {
    state.leases.get(&CHECKPOINT_SHARD).is_some_and(|lease| {
        lease.holder == shared.identity.node
            && lease.incarnation == shared.identity.incarnation
            && !lease.released
    })
}

/// Passes provisional drains on to all nodes and writes them to the log once it is back.
///
/// Every node that knows of one does so, since the node at which it was ordered may be gone when
/// the log returns. The fold counts it once, by its publish id.
pub(crate) async fn spread_drains(shared: Arc<Shared>, log: Arc<dyn Log>, peers: Peers) {
    let mut answers_since = None;
    loop {
        sleep(DRAIN_POLL).await;
        let now = shared.clock.now();
        if shared.folded.settle_drains(now) {
            shared.refresh_snapshot();
        }
        let records: Vec<_> = shared.folded.with_drains(|_, drains| {
            let records = drains.iter().map(|(_, drain)| drain.record.clone());
            records.collect()
        });
        if records.is_empty() {
            answers_since = None;
            continue;
        }
        let nodes = peers.ask_all().await.len();
        if !shared.folded.log_answers() {
            answers_since = None;
            continue;
        }
        let turn = DRAIN_TURN.mul_f64(spread(&shared) * nodes as f64);
        if now - *answers_since.get_or_insert(now) < turn {
            continue;
        }
        for record in records {
            if let Err(error) = log.append(record.into()).await {
                log::warn!("fold: a provisional drain is not in the log yet: {error}.");
            }
        }
    }
}

/// Reads the platform's VM list for the other nodes' addresses.
pub(crate) async fn read_vm_list(shared: Arc<Shared>, list: Arc<dyn VmList>, peers: Peers) {
    let mut failing = false;
    let mut reads = 0;
    loop {
        reads += 1;
        match list.read().await {
            Ok(vms) => {
                peers.take_list(&vms);
                shared.take_vm_list(&vms);
                failing = false;
            }
            Err(error) => {
                if !failing {
                    log::warn!("peers: {error}.");
                }
                failing = true;
            }
        }
        let is_settled = reads > FIRST_READS && shared.duties.knows_others(shared.clock.now());
        sleep(if is_settled {
            SETTLED_LIST_POLL
        } else {
            LIST_POLL
        })
        .await;
    }
}

/// How often a node looks whether its TLS files have changed.
const TLS_POLL: Duration = Duration::from_secs(5);

/// Takes up new TLS files, and tells operators when they can't be used.
pub(super) async fn reload_tls(tls: TlsServer) {
    let mut last_error = String::new();
    loop {
        sleep(TLS_POLL).await;
        match tls.reload(UnixTime::now()) {
            Ok(Reload::Unchanged) => {}
            Ok(Reload::Replaced) => {
                last_error.clear();
                log::info!("tls: new files are in use.");
            }
            Err(error) => {
                let text = error.to_string();
                if text != last_error {
                    log::error!("{text}; the old files stay in use.");
                }
                last_error = text;
            }
        }
    }
}
