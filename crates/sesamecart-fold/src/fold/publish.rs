//! Changes by operators: configurations and drains.

use std::sync::Arc;

use sesamecart_vocabulary::{PublishId, Revision};

use super::{Fold, Position};
use crate::audit::AuditKind;
use crate::drain::Drain;
use crate::record::Record;
use crate::verdict::{Applied, PublishVerdict, Rejection};

/// The maximum number of verdicts in the state.
///
/// A publisher queries its verdict within seconds. With about a hundred changes a day, this limit covers
/// several days.
const MAX_VERDICTS: usize = 1_024;

impl Fold {
    /// Puts a configuration in force if it is based on the revision in force.
    ///
    /// Operators may publish concurrently, and the log has no compare-and-set. Since every node applies this
    /// rule, exactly one of two changes based on the same revision wins, and it is the same one on every
    /// node.
    pub(super) fn apply_publish(&mut self, at: Position, record: Record) -> Applied {
        let Record::Publish {
            publish_id,
            base_revision,
            author,
            from,
            at_ms,
            configuration,
        } = record
        else {
            unreachable!("called with another kind of record");
        };
        if self.state.verdicts.contains_key(&publish_id) {
            return Applied::Repeated { publish_id };
        }
        let old = self.state.revision;
        let mut entry = at.audit_entry(AuditKind::Publish, "configuration");
        entry.author.clone_from(&author);
        entry.from = from;
        entry.old = self.describe_configuration();
        if base_revision != old {
            let verdict = PublishVerdict::Conflict {
                base: base_revision,
                revision: old,
                author: self.state.author.clone(),
                at_ms: self.state.published_at_ms,
                offset: at.offset,
            };
            entry.new = format!("sheet {} of {}", configuration.sheet, configuration.date);
            self.store_verdict(publish_id, verdict.clone());
            return self.reject(entry, Rejection::Publish(verdict));
        }
        self.state.revision = old.next();
        self.state.author = author;
        self.state.published_at_ms = at_ms;
        self.state.configuration = Arc::from(configuration);
        entry.new = self.describe_configuration();
        self.accept(entry);
        let revision = self.state.revision;
        let offset = at.offset;
        self.store_verdict(publish_id, PublishVerdict::Accepted { revision, offset });
        Applied::Published { revision }
    }

    /// Starts or ends a drain.
    pub(super) fn apply_drain(&mut self, at: Position, record: Record) -> Applied {
        let Record::Drain {
            publish_id,
            target,
            on,
            author,
            from,
            at_ms,
        } = record
        else {
            unreachable!("called with another kind of record");
        };
        if self.state.verdicts.contains_key(&publish_id) {
            return Applied::Repeated { publish_id };
        }
        let mut entry = at.audit_entry(AuditKind::Drain, &target);
        entry.author.clone_from(&author);
        entry.from.clone_from(&from);
        entry.old = drain_status(self.state.drains.contains_key(&target));
        entry.new = drain_status(on);
        self.accept(entry);
        let verdict = PublishVerdict::Accepted {
            revision: self.state.revision,
            offset: at.offset,
        };
        self.store_verdict(publish_id.clone(), verdict);
        if on {
            let drain = Drain {
                publish_id,
                author,
                from,
                at_ms,
                offset: at.offset,
            };
            self.state.drains.insert(target.clone(), drain);
        } else {
            self.state.drains.shift_remove(&target);
        }
        Applied::Drained { target, on }
    }

    fn describe_configuration(&self) -> String {
        let cfg = &self.state.configuration;
        if self.state.revision == Revision(0) {
            return "nothing published".to_owned();
        }
        format!(
            "revision {}: sheet {} of {}",
            self.state.revision, cfg.sheet, cfg.date
        )
    }

    fn store_verdict(&mut self, publish_id: PublishId, verdict: PublishVerdict) {
        let verdicts = &mut self.state.verdicts;
        verdicts.insert(publish_id, verdict);
        if verdicts.len() > MAX_VERDICTS {
            verdicts.shift_remove_index(0);
        }
    }
}

fn drain_status(on: bool) -> String {
    let status = if on { "drained" } else { "in service" };
    status.to_owned()
}
