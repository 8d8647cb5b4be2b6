//! Counts the requests that this node refuses, by kind of cause, for the log.

use std::sync::Mutex;

use indexmap::IndexMap;

use crate::lock::lock;

/// The numbers of refused requests since they were last taken.
#[derive(Debug, Default)]
pub(crate) struct RefusalCounts(Mutex<IndexMap<&'static str, u64>>);

impl RefusalCounts {
    /// Counts one refused request.
    pub(crate) fn count(&self, kind: &'static str) {
        *lock(&self.0).entry(kind).or_default() += 1;
    }

    /// Returns the numbers and begins anew.
    pub(crate) fn take(&self) -> IndexMap<&'static str, u64> {
        std::mem::take(&mut *lock(&self.0))
    }
}
