//! The time that a key adds, by how fast the log is.

use std::time::Duration;

use fastrand::Rng;
use http::Method;
use serde::Serialize;
use serde_json::json;
use sesamecart_runtime::{Worker, sleep};
use sesamecart_standins::{LogFaults, LogOutage};

use super::{SERVICE, start};
use crate::caller::Caller;
use crate::cluster::Cluster;
use crate::quantile::quantile;

/// Transfers for each log speed, one after another.
const TRANSFERS: u32 = 150;
/// The time between two transfers, as a few callers would make them.
const REST: Duration = Duration::from_millis(15);

/// What a transfer took with one behaviour of the log.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Added {
    /// The log's behaviour.
    pub(crate) log: String,
    pub(crate) asked: u32,
    pub(crate) refused: u32,
    pub(crate) p50_ms: f64,
    pub(crate) p99_ms: f64,
}

/// Measures transfers without a key, and with keys at several speeds of the log and in its outage.
pub(crate) async fn measure(worker: &Worker) -> anyhow::Result<Vec<Added>> {
    let cluster = start().await?;
    let caller = Caller::new(worker.tasks().clone(), cluster.callers_key());
    // Every shard gets its owner first, so that the claims aren't measured.
    warm(&cluster, &caller).await;
    let mut added = vec![run(&cluster, &caller, "no key", None).await];
    for append_ms in [1, 5, 20] {
        let faults = LogFaults {
            append_ms,
            ..LogFaults::default()
        };
        cluster.log.set_faults(faults);
        let name = format!("key, {append_ms} ms per append");
        let prefix = format!("l{append_ms}");
        added.push(run(&cluster, &caller, &name, Some(&prefix)).await);
    }
    cluster.log.set_faults(LogFaults {
        outage: LogOutage::Refusing,
        ..LogFaults::default()
    });
    sleep(Duration::from_millis(300)).await;
    added.push(run(&cluster, &caller, "key, log out", Some("out")).await);
    cluster.stop();
    Ok(added)
}

async fn warm(cluster: &Cluster, caller: &Caller) {
    let keys = (0..600).map(|index| format!("warm-{index}"));
    let calls = keys.map(|key| {
        let node = cluster.callers(key.len() % cluster.nodes.len());
        async move {
            // Its answer doesn't matter here.
            let _answer = caller.transfer(node, SERVICE, &key, &key).await;
        }
    });
    futures_util::future::join_all(calls).await;
}

async fn run(cluster: &Cluster, caller: &Caller, log: &str, keys: Option<&str>) -> Added {
    let mut rng = Rng::with_seed(5);
    let mut taken = Vec::new();
    let mut refused = 0;
    for index in 0..TRANSFERS {
        let node = cluster.callers(rng.usize(..cluster.nodes.len()));
        let transfer = format!("{}-{index}", keys.unwrap_or("plain"));
        let path = format!("/services/{SERVICE}/transfers");
        let body = json!({ "transfer": transfer }).to_string();
        let key = keys.map(|_| transfer.as_str());
        match caller.call(node, Method::POST, &path, key, body).await {
            Ok(answer) if answer.status.is_success() => {
                taken.push(answer.taken.as_secs_f64() * 1_000.0);
            }
            _ => refused += 1,
        }
        sleep(REST).await;
    }
    Added {
        log: log.to_owned(),
        asked: TRANSFERS,
        refused,
        p50_ms: quantile(&mut taken, 0.5),
        p99_ms: quantile(&mut taken, 0.99),
    }
}
