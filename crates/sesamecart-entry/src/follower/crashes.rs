//! The topic of crashes: what each node has observed of requests that were in flight at a crash.

use indexmap::{IndexMap, IndexSet};
use sesamecart_fleet::CrashReport;
use sesamecart_platform::{Record, StoreEra, Topic};
use sesamecart_vocabulary::NodeId;

use super::topic_era::TopicEra;
use super::{log_ignored_record, present_keys};
use crate::clock;
use crate::crashes::PublishedReport;
use crate::state::EntryState;

/// Applies the reports of other nodes to the evidence of this one.
#[derive(Debug, Default)]
pub(super) struct CrashesState {
    era: TopicEra,
    /// The revision of each node's last report.
    revisions: IndexMap<NodeId, u64>,
}

impl CrashesState {
    /// Replaces the topic's contents with `records` and with the keys in `unchanged`, whose records this node
    /// has.
    pub(super) fn replace(
        &mut self,
        state: &EntryState,
        era: StoreEra,
        records: &[Record],
        unchanged: &IndexSet<String>,
    ) {
        let is_restored = self.era.advance(era);
        if !is_restored {
            retain_peers(state, records, unchanged);
        }
        self.apply_records(state, is_restored, records);
    }

    pub(super) fn apply(&mut self, state: &EntryState, era: StoreEra, records: &[Record]) {
        let is_restored = self.era.advance(era);
        self.apply_records(state, is_restored, records);
    }

    /// Applies records. After a return of the store, reports that are older than the known ones are passed over, and
    /// this node publishes its own again.
    fn apply_records(&mut self, state: &EntryState, is_restored: bool, records: &[Record]) {
        let now = clock::now();
        let own = &state.settings.node;
        if is_restored {
            state
                .crashes
                .tracker()
                .reset_published(CrashReport::default());
        }
        let mut reports = Vec::with_capacity(records.len());
        for record in records {
            let Some((node, published)) = decode_report(state, record) else {
                continue;
            };
            if node == *own {
                if let Some(published) = published {
                    restore_own(state, is_restored, published);
                }
            } else if !is_restored || self.is_newer(&node, published.as_ref()) {
                if let Some(published) = &published {
                    self.revisions.insert(node.clone(), published.revision);
                }
                reports.push((node, published.map(|published| published.report)));
            }
        }
        if !reports.is_empty() {
            state.crashes.tracker().apply_peers(now, reports);
        }
        state.crashes.notify();
    }

    fn is_newer(&self, node: &NodeId, published: Option<&PublishedReport>) -> bool {
        let revision = published.map(|published| published.revision);
        revision.is_some_and(|revision| {
            self.revisions
                .get(node)
                .is_none_or(|known| *known < revision)
        })
    }
}

/// Drops the reports of nodes that are neither in `records` nor in `unchanged`.
fn retain_peers(state: &EntryState, records: &[Record], unchanged: &IndexSet<String>) {
    let present: IndexSet<&str> = present_keys(records, unchanged).collect();
    state
        .crashes
        .tracker()
        .retain_peers(clock::now(), |node| present.contains(node.as_str()));
}

/// Continues with what this node had published before it was restarted, or learns what the topic has of it after a
/// return of the store.
fn restore_own(state: &EntryState, is_restored: bool, published: PublishedReport) {
    state.crashes.continue_revisions(published.revision);
    let mut tracker = state.crashes.tracker();
    tracker.restore(clock::now(), published.report.clone());
    if is_restored {
        tracker.reset_published(published.report);
    }
}

/// Returns the node of a record and its report, or `None` if the record can't be parsed.
fn decode_report(state: &EntryState, record: &Record) -> Option<(NodeId, Option<PublishedReport>)> {
    let key = record.key.as_deref().unwrap_or_default();
    let ignore = |cause: &str| log_ignored_record(state, Topic::Crashes, key, cause);
    let Ok(node) = key.parse::<NodeId>() else {
        ignore("the key is not a valid node name");
        return None;
    };
    let Some(value) = record.value.as_deref() else {
        return Some((node, None));
    };
    match serde_json::from_slice(value) {
        Ok(report) => Some((node, Some(report))),
        Err(error) => {
            ignore(&error.to_string());
            None
        }
    }
}
