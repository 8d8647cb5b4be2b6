//! What became of each transfer, compared with the ledger.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use indexmap::IndexMap;
use serde::Serialize;
use sesamecart_standins::Ledger;

use crate::quantile::quantile;

/// What one caller knows of its transfer in the end.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Told {
    pub(crate) confirmed: bool,
    pub(crate) refusals: u32,
    pub(crate) false_refusals: u32,
    pub(crate) unknowns: u32,
    pub(crate) wrong_answers: u32,
    pub(crate) last_was_refusal: bool,
    pub(crate) taken: Duration,
    /// The time of the call that was answered.
    pub(crate) answered_in: Duration,
}

/// All transfers of one run.
#[derive(Debug)]
pub(crate) struct Tally {
    wanted: u64,
    next: AtomicU64,
    pub(crate) ledger: Ledger,
    /// Whether callers go on beyond what was wanted, since faults are still to come.
    more: AtomicU64,
    told: Mutex<IndexMap<String, Told>>,
    /// How often each error was given, by its code.
    errors: Mutex<IndexMap<String, u64>>,
}

/// The totals of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Totals {
    pub(crate) asked: u64,
    pub(crate) run: u64,
    pub(crate) run_more_than_once: u64,
    pub(crate) confirmed: u64,
    pub(crate) confirmed_share: f64,
    pub(crate) refused_not_run: u64,
    pub(crate) false_refusals: u64,
    pub(crate) unknown: u64,
    pub(crate) unknown_resolved_by_retry: u64,
    pub(crate) unresolved: u64,
    pub(crate) lost_confirmations: u64,
    pub(crate) wrong_answers: u64,
    pub(crate) p50_ms: f64,
    pub(crate) p99_ms: f64,
    pub(crate) to_confirmation_p99_ms: f64,
    pub(crate) errors: IndexMap<String, u64>,
}

impl Tally {
    pub(crate) fn new(wanted: u64, ledger: Ledger) -> Self {
        Self {
            wanted,
            next: AtomicU64::new(0),
            ledger,
            more: AtomicU64::new(1),
            told: Mutex::default(),
            errors: Mutex::default(),
        }
    }

    /// Returns the next transfer to book, if there is one.
    pub(crate) fn take(&self) -> Option<String> {
        let next = self.next.fetch_add(1, Ordering::Relaxed);
        if next >= self.wanted && self.more.load(Ordering::Relaxed) == 0 {
            self.next.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        Some(format!("t-{next}"))
    }

    /// Says that all faults have been played, so that callers may end.
    pub(crate) fn no_more_faults(&self) {
        self.more.store(0, Ordering::Relaxed);
    }

    pub(crate) fn tell(&self, transfer: String, told: Told) {
        self.told.lock().unwrap().insert(transfer, told);
    }

    pub(crate) fn note_error(&self, code: &str) {
        *self
            .errors
            .lock()
            .unwrap()
            .entry(code.to_owned())
            .or_insert(0) += 1;
    }

    pub(crate) fn is_done(&self) -> bool {
        let told = self.told.lock().unwrap().len() as u64;
        told >= self.wanted && told >= self.next.load(Ordering::Relaxed)
    }

    pub(crate) fn totals(&self) -> Totals {
        let runs = self.ledger.runs();
        let told = self.told.lock().unwrap();
        let mut totals = Totals {
            asked: self.next.load(Ordering::Relaxed),
            run: runs.len() as u64,
            run_more_than_once: runs.values().filter(|runs| **runs > 1).count() as u64,
            errors: self.errors.lock().unwrap().clone(),
            ..Totals::default()
        };
        let mut answered = Vec::new();
        let mut confirmed = Vec::new();
        for (transfer, told) in &*told {
            let ran = runs.contains_key(transfer);
            totals.refused_not_run += u64::from(told.refusals);
            // A refusal is also false if the try ran after it was refused.
            let late = told.last_was_refusal && ran;
            totals.false_refusals += u64::from(told.false_refusals) + u64::from(late);
            totals.wrong_answers += u64::from(told.wrong_answers);
            let unknown = told.unknowns > 0;
            totals.unknown += u64::from(unknown);
            if told.confirmed {
                totals.confirmed += 1;
                totals.unknown_resolved_by_retry += u64::from(unknown);
                answered.push(told.answered_in.as_secs_f64() * 1_000.0);
                confirmed.push(told.taken.as_secs_f64() * 1_000.0);
            } else {
                totals.lost_confirmations += u64::from(ran);
                totals.unresolved += u64::from(!told.last_was_refusal);
            }
        }
        #[expect(clippy::cast_precision_loss, reason = "counts of transfers are small")]
        let share = totals.confirmed as f64 / totals.asked.max(1) as f64;
        totals.confirmed_share = share;
        totals.p50_ms = quantile(&mut answered, 0.5);
        totals.p99_ms = quantile(&mut answered, 0.99);
        totals.to_confirmation_p99_ms = quantile(&mut confirmed, 0.99);
        totals
    }
}
