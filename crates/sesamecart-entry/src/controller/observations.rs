//! What other nodes tell the controller through the store: groups that they found lost.

use std::time::Duration;

use async_channel::Sender;
use sesamecart_fleet::GroupKey;
use sesamecart_platform::{Offset, Read, Record, Store, Topic};
use sesamecart_runtime::sleep;

use crate::losses;

/// How long the store holds a read of observations that finds nothing.
const OBSERVATIONS_WAIT: Duration = Duration::from_millis(2_000);

/// How long a failed call to the store is followed by a rest.
const REST: Duration = Duration::from_millis(200);

/// Reads what other nodes tell the controller, from now on.
pub(super) async fn follow_observations(store: Store, observe: Sender<GroupKey>) {
    let mut from: Option<Offset> = None;
    loop {
        let Some(at) = from else {
            // An offset past the end is answered with where the topic ends.
            match store
                .read(Topic::Observations, Offset(0), Duration::ZERO)
                .await
            {
                Ok(Read::Records { end, .. }) => from = Some(end),
                Ok(Read::Trimmed { first }) => from = Some(first),
                Err(_) => sleep(REST).await,
            }
            continue;
        };
        match store.read(Topic::Observations, at, OBSERVATIONS_WAIT).await {
            Ok(Read::Records { records, next, .. }) => {
                from = Some(next);
                for record in records {
                    let Some(key) = read_observation(&record) else {
                        continue;
                    };
                    if observe.send(key).await.is_err() {
                        return;
                    }
                }
            }
            Ok(Read::Trimmed { first }) => from = Some(first),
            Err(_) => sleep(REST).await,
        }
    }
}

fn read_observation(record: &Record) -> Option<GroupKey> {
    losses::parse_group(std::str::from_utf8(record.value.as_deref()?).ok()?)
}
