//! The owner of a key: what one keyed action costs from its begin to its recorded end.

use std::hint::black_box;
use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_actions::{
    AttemptRequest, CallId, CommitResult, Effect, Owner, OwnerConfig, OwnerContext,
};
use sesamecart_fold::{ActionEnd, ActionKey, Actions, EncodedBody};
use sesamecart_vocabulary::{BodyDigest, Epoch, ShardId, Timestamp};

use super::Series;

const UNDER_WAY: [usize; 4] = [1, 64, 512, 4_096];

pub(super) fn measure(series: &mut IndexMap<&'static str, Series>) {
    series.insert(
        "run a keyed action",
        Series::time("actions under way", &UNDER_WAY, run),
    );
}

fn known(actions: &Actions, now: Timestamp) -> OwnerContext<'_> {
    OwnerContext {
        now,
        wall_ms: now.as_millis(),
        actions,
        has_room: true,
    }
}

fn asking(number: usize, now: Timestamp) -> AttemptRequest {
    AttemptRequest {
        key: ActionKey {
            customer: "customer-1".parse().expect("a name"),
            service: "stock".parse().expect("a name"),
            key: format!("key-{number}").parse().expect("a key"),
        },
        body_digest: BodyDigest::of(b"body"),
        attempt: format!("a-{number}").parse().expect("a name"),
        deadline: now + Duration::from_secs(30),
    }
}

/// Begins an action and confirms that its intent is durable.
fn begin(owner: &mut Owner, actions: &Actions, number: usize, now: Timestamp) {
    let mut out = Vec::new();
    let ticket = CallId(u64::try_from(number).expect("it fits"));
    owner.begin(known(actions, now), ticket, asking(number, now), &mut out);
    commit(owner, actions, now, out);
}

fn commit(owner: &mut Owner, actions: &Actions, now: Timestamp, out: Vec<Effect>) {
    for effect in out {
        if let Effect::Commit(item) = effect {
            let mut replies = Vec::new();
            owner.on_commit_result(
                known(actions, now),
                &CommitResult::Logged(item),
                &mut replies,
            );
            black_box(replies);
        }
    }
}

fn run(under_way: usize) -> impl FnMut() {
    let actions = Actions::default();
    let mut owner = Owner::new(ShardId(1), Epoch(1), OwnerConfig::default());
    let mut now = Timestamp::from_millis(1);
    owner.complete_takeover(known(&actions, now), Vec::new(), true, &mut Vec::new());
    for number in 0..under_way {
        begin(&mut owner, &actions, number, now);
    }
    let mut number = under_way;
    move || {
        now = now + Duration::from_millis(1);
        begin(&mut owner, &actions, number, now);
        let oldest = asking(number - under_way, now);
        let end = ActionEnd::Answered {
            status: 200,
            headers: Vec::new(),
            body: EncodedBody::from(vec![b'x'; 64]),
        };
        let mut out = Vec::new();
        let ticket = CallId(u64::try_from(number).expect("it fits"));
        owner.record_outcome(
            known(&actions, now),
            ticket,
            &oldest.key,
            &oldest.attempt,
            end,
            &mut out,
        );
        commit(&mut owner, &actions, now, out);
        number += 1;
    }
}
