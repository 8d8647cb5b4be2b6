//! Follows the observations topic of the store, in which other nodes report lost groups to the controller.

use std::time::Duration;

use async_channel::Sender;
use sesamecart_fleet::GroupKey;
use sesamecart_platform::{LogPosition, ReadResult, Record, Store, Topic};
use sesamecart_runtime::sleep;

use crate::loss_reports;

#[cfg(test)]
mod tests;

/// How long the store waits for records before it answers a read of observations that finds none.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Delay before a failed call to the store is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Sends the groups of all observations that are appended from now on to `lost_groups`.
///
/// After a return of the store, it starts at the end again: what the copy holds was sent before, and a loss that was
/// reported since is reported again for as long as it lasts.
pub(super) async fn follow_observations(store: Store, lost_groups: Sender<GroupKey>) {
    let mut next_position: Option<LogPosition> = None;
    loop {
        let Some(position) = next_position else {
            match store.end(Topic::Observations).await {
                Ok(end) => next_position = Some(end),
                Err(_) => sleep(RETRY_DELAY).await,
            }
            continue;
        };
        match store
            .read(Topic::Observations, position, LONG_POLL_TIMEOUT)
            .await
        {
            Ok(ReadResult::Records { records, next, .. }) => {
                next_position = Some(next);
                for record in records {
                    let Some(key) = parse_observation(&record) else {
                        continue;
                    };
                    if lost_groups.send(key).await.is_err() {
                        return;
                    }
                }
            }
            Ok(ReadResult::Trimmed { first }) if first > position => next_position = Some(first),
            Ok(ReadResult::Trimmed { .. } | ReadResult::Returned) => next_position = None,
            Err(_) => sleep(RETRY_DELAY).await,
        }
    }
}

fn parse_observation(record: &Record) -> Option<GroupKey> {
    loss_reports::parse_group_key(std::str::from_utf8(record.value.as_deref()?).ok()?)
}
