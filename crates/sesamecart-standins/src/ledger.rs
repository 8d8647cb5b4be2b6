//! The ledger behind a plain service, which counts every run and knows each try.

use std::sync::{Arc, Mutex, MutexGuard};

use indexmap::IndexMap;
use serde_json::{Value, json};
use sesamecart_vocabulary::stable_hash;

/// Returns the receipt that the service gives for a transfer, by which a checker verifies that an
/// answer belongs to its request.
#[must_use]
pub fn receipt_of(transfer: &str) -> String {
    format!("r-{:016x}", stable_hash(transfer))
}

/// A try was settled as not run before it came.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sealed;

#[derive(Debug, Default)]
struct Books {
    runs: IndexMap<String, u32>,
    /// The answer of each try that ran; none for one that was settled as not run.
    tries: IndexMap<String, Option<Value>>,
}

/// A ledger that the processes of one service share.
#[derive(Clone, Debug, Default)]
pub struct Ledger(Arc<Mutex<Books>>);

impl Ledger {
    fn lock(&self) -> MutexGuard<'_, Books> {
        self.0.lock().unwrap()
    }

    /// Returns how often each transfer has run.
    #[must_use]
    pub fn runs(&self) -> IndexMap<String, u32> {
        self.lock().runs.clone()
    }

    /// Returns how often one transfer has run.
    #[must_use]
    pub fn runs_of(&self, transfer: &str) -> u32 {
        self.lock().runs.get(transfer).copied().unwrap_or(0)
    }

    /// Runs a transfer, also one that ran before: the ledger is not idempotent.
    pub(crate) fn run(&self, transfer: &str, action: Option<&str>) -> Result<Value, Sealed> {
        let mut books = self.lock();
        if let Some(action) = action
            && let Some(None) = books.tries.get(action)
        {
            return Err(Sealed);
        }
        let count = books.runs.entry(transfer.to_owned()).or_insert(0);
        *count += 1;
        let run = *count;
        let answer = json!({ "transfer": transfer, "run": run, "receipt": receipt_of(transfer) });
        if let Some(action) = action {
            books.tries.insert(action.to_owned(), Some(answer.clone()));
        }
        Ok(answer)
    }

    /// Returns the answer of a try that ran; any other try will never run from now on.
    pub(crate) fn settle(&self, action: &str) -> Option<Value> {
        let mut books = self.lock();
        books.tries.entry(action.to_owned()).or_insert(None).clone()
    }
}
