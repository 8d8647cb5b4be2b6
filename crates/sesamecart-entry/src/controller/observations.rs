//! Follows the observations topic of the store, in which other nodes report lost groups to the controller.

use std::time::Duration;

use async_channel::Sender;
use sesamecart_fleet::GroupKey;
use sesamecart_platform::{Offset, ReadResult, Record, Store, Topic};
use sesamecart_runtime::sleep;

use crate::loss_reports;

/// How long the store waits for records before it answers a read of observations that finds none.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Delay before a failed call to the store is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Sends the groups of all observations that are appended from now on to `lost_groups`. If the start of the
/// topic was trimmed, the observations that it still holds are sent as well.
pub(super) async fn follow_observations(store: Store, lost_groups: Sender<GroupKey>) {
    let mut next_offset: Option<Offset> = None;
    loop {
        let Some(offset) = next_offset else {
            // This read only finds where to start. The reply to a read contains the topic's end. If offset 0
            // was trimmed, the reply only has the first record kept, and reading starts there.
            match store
                .read(Topic::Observations, Offset(0), Duration::ZERO)
                .await
            {
                Ok(ReadResult::Records { end, .. }) => next_offset = Some(end),
                Ok(ReadResult::Trimmed { first }) => next_offset = Some(first),
                Err(_) => sleep(RETRY_DELAY).await,
            }
            continue;
        };
        match store
            .read(Topic::Observations, offset, LONG_POLL_TIMEOUT)
            .await
        {
            Ok(ReadResult::Records { records, next, .. }) => {
                next_offset = Some(next);
                for record in records {
                    let Some(key) = parse_observation(&record) else {
                        continue;
                    };
                    if lost_groups.send(key).await.is_err() {
                        return;
                    }
                }
            }
            Ok(ReadResult::Trimmed { first }) => next_offset = Some(first),
            Err(_) => sleep(RETRY_DELAY).await,
        }
    }
}

fn parse_observation(record: &Record) -> Option<GroupKey> {
    loss_reports::parse_group_key(std::str::from_utf8(record.value.as_deref()?).ok()?)
}
