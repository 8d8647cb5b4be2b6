//! Callers that book transfers, and ask again until they have an answer.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use fastrand::Rng;
use http::Method;
use serde_json::{Value, json};
use sesamecart_edges::OUTCOME;
use sesamecart_runtime::{Worker, sleep};
use sesamecart_standins::receipt_of;

use super::SERVICE;
use super::tally::{Tally, Told};
use crate::caller::{Answer, Caller};
use crate::cluster::Cluster;

/// How long a caller goes on with one transfer.
const PATIENCE: Duration = Duration::from_secs(40);
/// The time before a caller asks again.
const REST: Duration = Duration::from_millis(100);

fn error_code(body: &Value) -> Option<String> {
    let error = body.get("error")?;
    let code = error.get("code")?.as_str()?;
    // Only this code's message is the same for all.
    let message = error.get("message")?.as_str()?;
    let detailed = code == "not_begun";
    Some(if detailed { message } else { code }.to_owned())
}

/// Whether callers use idempotency keys.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Keys {
    Used,
    None,
}

/// The nodes that a balancer would send callers to.
#[derive(Clone, Debug)]
pub(crate) struct Nodes(Arc<Mutex<Vec<SocketAddr>>>);

impl Nodes {
    pub(crate) fn of(cluster: &Cluster) -> Self {
        let nodes = Self(Arc::default());
        nodes.show(cluster);
        nodes
    }

    /// Shows the nodes that run now.
    pub(crate) fn show(&self, cluster: &Cluster) {
        let addresses = (0..cluster.nodes.len()).map(|node| cluster.callers(node));
        *self.0.lock().unwrap() = addresses.collect();
    }

    fn choose(&self, rng: &mut Rng) -> Option<SocketAddr> {
        let nodes = self.0.lock().unwrap();
        (!nodes.is_empty()).then(|| nodes[rng.usize(..nodes.len())])
    }
}

/// One caller, cheap to copy for many.
#[derive(Clone, Debug)]
pub(crate) struct Booker {
    caller: Caller,
    nodes: Nodes,
    tally: Arc<Tally>,
    keys: Keys,
}

impl Booker {
    pub(crate) fn new(
        worker: &Worker,
        cluster: &Cluster,
        nodes: Nodes,
        tally: Arc<Tally>,
        keys: Keys,
    ) -> Self {
        Self {
            caller: Caller::new(worker.tasks().clone(), cluster.callers_key()),
            nodes,
            tally,
            keys,
        }
    }

    /// Books transfers until there are none left.
    pub(crate) async fn run(&self, seed: u64) {
        let mut rng = Rng::with_seed(seed);
        while let Some(transfer) = self.tally.take() {
            let told = self.book(&transfer, &mut rng).await;
            self.tally.tell(transfer, told);
        }
    }

    async fn book(&self, transfer: &str, rng: &mut Rng) -> Told {
        let begun = Instant::now();
        let mut told = Told::default();
        while begun.elapsed() < PATIENCE {
            if let Some(node) = self.nodes.choose(rng) {
                let answer = self.ask(node, transfer).await;
                self.note(transfer, answer, &mut told);
            }
            if told.confirmed {
                told.taken = begun.elapsed();
                return told;
            }
            sleep(REST).await;
        }
        told
    }

    async fn ask(&self, node: SocketAddr, transfer: &str) -> anyhow::Result<Answer> {
        let path = format!("/services/{SERVICE}/transfers");
        let body = json!({ "transfer": transfer }).to_string();
        let key = (self.keys == Keys::Used).then_some(transfer);
        self.caller.call(node, Method::POST, &path, key, body).await
    }

    fn note(&self, transfer: &str, answer: anyhow::Result<Answer>, told: &mut Told) {
        told.last_was_refusal = false;
        let Ok(answer) = answer else {
            self.tally.note_error("no_connection");
            told.unknowns += 1;
            return;
        };
        if let Some(code) = answer.json().ok().as_ref().and_then(error_code) {
            self.tally.note_error(&code);
        }
        let outcome = answer.headers.get(OUTCOME).map(http::HeaderValue::as_bytes);
        match outcome {
            Some(b"answered") => {
                let right = answer
                    .json()
                    .is_ok_and(|body| body["receipt"] == receipt_of(transfer));
                told.wrong_answers += u32::from(!right);
                told.confirmed = right;
                told.answered_in = answer.taken;
            }
            Some(b"not-run") => {
                told.refusals += 1;
                told.last_was_refusal = true;
                let ran = self.tally.ledger.runs_of(transfer) > 0;
                told.false_refusals += u32::from(ran);
            }
            _ => told.unknowns += 1,
        }
    }
}
