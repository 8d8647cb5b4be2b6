//! Operators' changes: they go through the log, and its fold gives the verdict.

use std::sync::Arc;
use std::time::{Duration, Instant};

use sesamecart_administration::{ChangeOutcome, ErrorCode, ErrorReply};
use sesamecart_edges::{Log, LogError};
use sesamecart_fold::{PROVISIONAL_DRAIN_TTL, PublishVerdict, Record};
use sesamecart_runtime::{sleep, with_timeout};
use sesamecart_vocabulary::PublishId;

use crate::control::Peers;
use crate::shared::Shared;

/// How long a request waits for its verdict.
const VERDICT_LIMIT: Duration = Duration::from_secs(8);

/// How often the fold is asked for a verdict.
const VERDICT_POLL: Duration = Duration::from_millis(10);

/// How long the log may take to answer one append of a configuration.
const APPEND_LIMIT: Duration = Duration::from_secs(3);

/// How long the log may take to answer the append of a drain before the drain becomes provisional.
///
/// A drain must stop new work within three seconds everywhere; this leaves time to spread it.
const DRAIN_APPEND_LIMIT: Duration = Duration::from_millis(800);

/// How long to wait for a record whose append had no answer to be read back.
const READ_BACK_LIMIT: Duration = Duration::from_secs(1);

/// Puts operators' changes into the log and finds their verdicts.
#[derive(Clone, Debug)]
pub(crate) struct Changes {
    shared: Arc<Shared>,
    log: Arc<dyn Log>,
    peers: Peers,
}

/// What one append came to.
enum Append {
    /// The log has the record.
    Kept,
    /// The log surely doesn't have it.
    Refused(String),
    /// The log may have it.
    Unknown(String),
}

impl Changes {
    pub(crate) fn new(shared: Arc<Shared>, log: Arc<dyn Log>, peers: Peers) -> Self {
        Self { shared, log, peers }
    }

    /// Returns what became of a change, if this node knows of it.
    pub(crate) fn outcome(&self, publish_id: &PublishId) -> Option<ChangeOutcome> {
        let now = self.shared.clock.now();
        self.shared.folded.with_drains(|state, drains| {
            if let Some(verdict) = state.verdicts.get(publish_id) {
                return Some(ChangeOutcome::Decided(verdict.clone()));
            }
            let drain = drains.get(publish_id)?;
            let left = drain.expires_at - now;
            Some(ChangeOutcome::Provisional {
                expires_in_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            })
        })
    }

    /// Appends a configuration and returns its verdict.
    ///
    /// An answer of the log can be lost after the append took effect. The record is then looked for
    /// under its publish id, and appended again only with the same id, which the fold counts once.
    pub(crate) async fn publish(
        &self,
        publish_id: &PublishId,
        record: &Record,
    ) -> Result<ChangeOutcome, ErrorReply> {
        let begun = Instant::now();
        let data = record.encode();
        let mut may_be_kept = false;
        let mut reason = String::new();
        while begun.elapsed() < VERDICT_LIMIT {
            if let Some(verdict) = self.verdict(publish_id) {
                return Ok(ChangeOutcome::Decided(verdict));
            }
            let wait = match self.append(&data, APPEND_LIMIT).await {
                Append::Kept => {
                    may_be_kept = true;
                    VERDICT_LIMIT.saturating_sub(begun.elapsed())
                }
                Append::Refused(why) if !may_be_kept => {
                    return Err(unavailable(&why));
                }
                Append::Refused(why) | Append::Unknown(why) => {
                    may_be_kept = true;
                    reason = why;
                    READ_BACK_LIMIT
                }
            };
            if let Some(verdict) = self.wait_for_verdict(publish_id, wait).await {
                return Ok(ChangeOutcome::Decided(verdict));
            }
        }
        log::warn!("administration: change {publish_id} is undecided: {reason}.");
        Err(undecided(publish_id))
    }

    /// Appends a drain or its end; while the log is out, a drain begins provisionally.
    pub(crate) async fn drain(
        &self,
        publish_id: &PublishId,
        record: &Record,
        on: bool,
    ) -> Result<ChangeOutcome, ErrorReply> {
        if !on {
            return self.publish(publish_id, record).await;
        }
        if let Some(outcome) = self.outcome(publish_id) {
            return Ok(outcome);
        }
        let data = record.encode();
        if self.shared.folded.log_answers()
            && let Append::Kept = self.append(&data, DRAIN_APPEND_LIMIT).await
            && let Some(verdict) = self.wait_for_verdict(publish_id, READ_BACK_LIMIT).await
        {
            return Ok(ChangeOutcome::Decided(verdict));
        }
        self.shared.take_provisional(&data, PROVISIONAL_DRAIN_TTL);
        self.peers.ask_all().await;
        self.outcome(publish_id)
            .ok_or_else(|| unavailable("there are too many provisional drains"))
    }

    fn verdict(&self, publish_id: &PublishId) -> Option<PublishVerdict> {
        self.shared
            .folded
            .with(|state| state.verdicts.get(publish_id).cloned())
    }

    async fn wait_for_verdict(
        &self,
        publish_id: &PublishId,
        limit: Duration,
    ) -> Option<PublishVerdict> {
        let begun = Instant::now();
        loop {
            if let Some(verdict) = self.verdict(publish_id) {
                return Some(verdict);
            }
            if begun.elapsed() >= limit {
                return None;
            }
            sleep(VERDICT_POLL).await;
        }
    }

    async fn append(&self, data: &[u8], limit: Duration) -> Append {
        match with_timeout(limit, self.log.append(data.to_vec().into())).await {
            Ok(Ok(_)) => Append::Kept,
            Ok(Err(error @ (LogError::Refused { .. } | LogError::NotSent { .. }))) => {
                Append::Refused(error.to_string())
            }
            Ok(Err(error @ LogError::NoResponse { .. })) => Append::Unknown(error.to_string()),
            Err(elapsed) => Append::Unknown(format!("log append: {elapsed}")),
        }
    }
}

fn unavailable(why: &str) -> ErrorReply {
    let message = format!("nothing was changed: {why}; try again once the log answers");
    ErrorReply::new(ErrorCode::Unavailable, message)
}

fn undecided(publish_id: &PublishId) -> ErrorReply {
    let message = format!(
        "the log did not say whether it kept the change; repeat it with the publish id {publish_id}, \
         which counts once"
    );
    ErrorReply::new(ErrorCode::Undecided, message)
}
