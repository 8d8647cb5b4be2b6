//! Operators' changes: configurations and drains.

use std::sync::Arc;

use sesamecart_vocabulary::{PublishId, Revision};

use super::{Fold, Position};
use crate::audit::AuditKind;
use crate::drain::Drain;
use crate::record::Record;
use crate::verdict::{Applied, PublishVerdict, Rejection};

/// The number of verdicts that a state keeps.
///
/// A publisher asks for its verdict within seconds, and an operator changes something some hundred
/// times a day, so this covers days.
const KEPT_VERDICTS: usize = 1_024;

impl Fold {
    /// Puts a configuration in force if it was made against the revision in force.
    ///
    /// Operators race each other, and the log has no compare-and-set. Since every node decides by
    /// this rule, exactly one of two changes made against one revision wins, and it is the same one
    /// everywhere.
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
        let mut entry = at.audit(AuditKind::Publish, "configuration");
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
            self.keep_verdict(publish_id, verdict.clone());
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
        self.keep_verdict(publish_id, PublishVerdict::Accepted { revision, offset });
        Applied::Published { revision }
    }

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
        let mut entry = at.audit(AuditKind::Drain, &target);
        entry.author.clone_from(&author);
        entry.from.clone_from(&from);
        entry.old = drain_word(self.state.drains.contains_key(&target));
        entry.new = drain_word(on);
        self.accept(entry);
        let verdict = PublishVerdict::Accepted {
            revision: self.state.revision,
            offset: at.offset,
        };
        self.keep_verdict(publish_id.clone(), verdict);
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

    fn keep_verdict(&mut self, publish_id: PublishId, verdict: PublishVerdict) {
        let verdicts = &mut self.state.verdicts;
        verdicts.insert(publish_id, verdict);
        if verdicts.len() > KEPT_VERDICTS {
            verdicts.shift_remove_index(0);
        }
    }
}

fn drain_word(on: bool) -> String {
    let word = if on { "drained" } else { "in service" };
    word.to_owned()
}
