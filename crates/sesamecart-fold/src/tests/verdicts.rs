//! One rule a test.

use sesamecart_vocabulary::{Epoch, Revision, ShardId};

use super::kit::{
    Feed, assign, claim, drain, intent, intents, name, outcome, publish, shard_of, unassign,
};
use crate::action::ACTION_HORIZON_MS;
use crate::{ActionEnd, Applied, DecodeError, PublishVerdict, Record, Rejection};

/// Two operators publish against the same revision at the same moment. One of the changes must
/// win on every node, and the other operator must learn who was faster.
#[test]
fn of_two_operators_at_once_the_first_wins() {
    let mut feed = Feed::default();
    let won = feed.apply(&publish("salma-1", 0, "salma"));
    assert_eq!(
        won,
        Applied::Published {
            revision: Revision(1)
        }
    );
    let lost = feed.apply(&publish("ines-1", 0, "ines"));
    let Applied::Rejected(Rejection::Publish(verdict)) = lost else {
        panic!("{lost:?}");
    };
    let words = "conflict: made against revision 0, but revision 1 by salma came first";
    assert_eq!(verdict.to_string(), words);
    assert!(matches!(
        verdict,
        PublishVerdict::Conflict { at_ms: 70, .. }
    ));
    assert_eq!(feed.fold.state().author, "salma");
    let audit = feed.last_audit();
    assert_eq!(
        (audit.author.as_str(), audit.from.as_str()),
        ("ines", "192.0.2.7:40100")
    );
    assert!(audit.verdict.starts_with("rejected: conflict"));
}

/// The answer to an append is lost after the record was kept, and the publisher sends the same
/// change again. The operator must see one change, also if somebody changed more meanwhile.
#[test]
fn repeated_publish_id_counts_once() {
    let mut feed = Feed::default();
    feed.apply(&publish("salma-1", 0, "salma"));
    feed.apply(&publish("ines-1", 1, "ines"));
    let again = feed.apply(&publish("salma-1", 0, "salma"));
    let publish_id = name("salma-1");
    assert_eq!(again, Applied::Repeated { publish_id });
    assert_eq!(feed.fold.state().revision, Revision(2));
    let verdict = &feed.fold.state().verdicts[&name::<sesamecart_vocabulary::PublishId>("salma-1")];
    assert!(matches!(
        verdict,
        PublishVerdict::Accepted {
            revision: Revision(1),
            ..
        }
    ));
}

#[test]
fn repeated_drain_does_not_undo_its_end() {
    let mut feed = Feed::default();
    feed.apply(&drain("d-1", "failure-domain:muscat-a", true));
    feed.apply(&drain("d-2", "failure-domain:muscat-a", false));
    feed.apply(&drain("d-1", "failure-domain:muscat-a", true));
    assert!(feed.fold.state().drains.is_empty());
}

/// Half a record, a foreign one or one of a later release lies in the log. Stopping at it would
/// hold back every later change; so it is skipped, and operators read so in the audit trail.
#[test]
fn unreadable_records_are_skipped_and_told() {
    let whole = publish("salma-1", 0, "salma").encode();
    let newer = String::from_utf8(whole.clone())
        .unwrap()
        .replacen("\"v\":1", "\"v\":2", 1);
    let unknown = br#"{"v":1,"record":{"paint":{}}}"#;
    let mut feed = Feed::default();
    let torn = feed.apply_bytes(&whole[..whole.len() / 2]);
    assert!(matches!(torn, Applied::Skipped(DecodeError::Torn(_))));
    let newer = feed.apply_bytes(newer.as_bytes());
    assert_eq!(newer, Applied::Skipped(DecodeError::NewerVersion(2)));
    let unknown = feed.apply_bytes(unknown);
    assert_eq!(
        unknown,
        Applied::Skipped(DecodeError::UnknownKind("paint".to_owned()))
    );
    assert!(feed.last_audit().verdict.contains("unknown kind"));
    assert!(matches!(
        feed.apply_bytes(&whole),
        Applied::Published { .. }
    ));
}

#[test]
fn claim_must_build_on_the_epoch_in_force() {
    let mut feed = Feed::default();
    let shard = ShardId(7);
    let first = feed.claim(shard, "n1");
    let late = feed.apply(&claim(shard, "n2", None));
    let expected = Rejection::PastEpoch {
        shard,
        holder: name("n2"),
        current: Some(first),
    };
    assert_eq!(late, Applied::Rejected(expected));
    assert!(feed.claim(shard, "n2") > first);
    let beyond = ShardId(sesamecart_vocabulary::SHARDS);
    let beyond = feed.apply(&claim(beyond, "n1", None));
    assert!(matches!(
        beyond,
        Applied::Rejected(Rejection::NoSuchShard { .. })
    ));
}

/// A holder is paused past its lease, and its successor has begun. What the old holder appends
/// when it comes back must change nothing, or a VM would serve two groups.
#[test]
fn records_of_a_past_epoch_change_nothing() {
    let mut feed = Feed::default();
    let shard = shard_of("g1");
    let old = feed.claim(shard, "n1");
    let new = feed.claim(shard, "n2");
    let stale = |applied| matches!(applied, Applied::Rejected(Rejection::StaleEpoch { .. }));
    assert!(stale(feed.apply(&assign("g1", &["vm-1"], 1, old))));
    assert!(stale(feed.apply(&intents(shard, old, "k", "a-1"))));
    let release = Record::Release {
        shard,
        holder: name("n1"),
        epoch: old,
    };
    assert!(stale(feed.apply(&release)));
    assert!(matches!(
        feed.apply(&assign("g1", &["vm-1"], 1, new)),
        Applied::Assigned { .. }
    ));
}

#[test]
fn released_lease_gives_no_right() {
    let mut feed = Feed::default();
    let shard = shard_of("g1");
    let epoch = feed.claim(shard, "n1");
    let release = Record::Release {
        shard,
        holder: name("n1"),
        epoch,
    };
    assert_eq!(feed.apply(&release), Applied::Released { shard });
    let assigned = feed.apply(&assign("g1", &["vm-1"], 1, epoch));
    assert!(matches!(
        assigned,
        Applied::Rejected(Rejection::StaleEpoch { .. })
    ));
    feed.claim(shard, "n1");
}

/// Two groups lose a VM at once and both owners pick the same spare. Only one may have it: the
/// other would answer callers with a VM that holds other weights.
#[test]
fn vm_belongs_to_one_group() {
    let mut feed = Feed::default();
    let g1 = feed.claim(shard_of("g1"), "n1");
    let g2 = feed.claim(shard_of("g2"), "n2");
    feed.apply(&assign("g1", &["vm-1", "vm-2"], 1, g1));
    let taken = feed.apply(&assign("g2", &["vm-3", "vm-2"], 1, g2));
    let expected = Rejection::VmTaken {
        vm: name("vm-2"),
        group: name("g1"),
    };
    assert_eq!(taken, Applied::Rejected(expected));
    assert!(feed.fold.state().members(&name("g2")).next().is_none());
    feed.apply(&unassign("g1", "vm-2", 1, g1));
    let free = feed.apply(&assign("g2", &["vm-3", "vm-2"], 1, g2));
    assert!(matches!(free, Applied::Assigned { .. }));
}

#[test]
fn generations_only_rise() {
    let mut feed = Feed::default();
    let epoch = feed.claim(shard_of("g1"), "n1");
    feed.apply(&assign("g1", &["vm-1"], 3, epoch));
    feed.apply(&unassign("g1", "vm-1", 3, epoch));
    let again = feed.apply(&assign("g1", &["vm-1"], 3, epoch));
    assert!(matches!(
        again,
        Applied::Rejected(Rejection::PastGeneration { .. })
    ));
}

/// An unassign of an old generation comes late, after the VM joined the group again. It must not
/// take the VM out of the new generation.
#[test]
fn late_unassign_of_an_old_generation_is_rejected() {
    let mut feed = Feed::default();
    let epoch = feed.claim(shard_of("g1"), "n1");
    feed.apply(&assign("g1", &["vm-1"], 2, epoch));
    let late = feed.apply(&unassign("g1", "vm-1", 1, epoch));
    assert!(matches!(
        late,
        Applied::Rejected(Rejection::NotAssigned { .. })
    ));
}

#[test]
fn orders_of_an_older_epoch_are_rejected() {
    let mut feed = Feed::default();
    let order = |epoch| Record::OrderIssued {
        endpoint: name("e1"),
        epoch: Epoch(epoch),
        order: "load_model assistant 2".to_owned(),
        at_ms: 1,
    };
    assert!(matches!(feed.apply(&order(9)), Applied::Ordered { .. }));
    assert!(matches!(feed.apply(&order(9)), Applied::Ordered { .. }));
    let old = feed.apply(&order(8));
    assert!(matches!(
        old,
        Applied::Rejected(Rejection::OldOrder {
            newest: Epoch(9),
            ..
        })
    ));
}

/// A deposit is sent under one owner, which dies, and its caller repeats it at the next owner.
/// The second intent must be refused, or the caller would pay twice.
#[test]
fn second_intent_for_a_key_is_refused() {
    let mut feed = Feed::default();
    let shard = ShardId(3);
    let first = feed.claim(shard, "n1");
    let key = intent("k", "a-1").action_key();
    let begun = feed.apply(&intents(shard, first, "k", "a-1"));
    assert_eq!(
        begun,
        Applied::Intents {
            shard,
            refused: vec![]
        }
    );
    let second = feed.claim(shard, "n2");
    let refused = feed.apply(&intents(shard, second, "k", "b-1"));
    assert_eq!(
        refused,
        Applied::Intents {
            shard,
            refused: vec![key.clone()]
        }
    );
    feed.apply(&outcome(shard, first, "k", "a-1", ActionEnd::Unknown));
    let refused = feed.apply(&intents(shard, second, "k", "b-2"));
    assert_eq!(
        refused,
        Applied::Intents {
            shard,
            refused: vec![key.clone()]
        }
    );
    let answered = ActionEnd::Answered {
        status: 201,
        headers: vec![],
        body: b"booked".to_vec().into(),
    };
    feed.apply(&outcome(shard, first, "k", "a-1", answered.clone()));
    feed.apply(&outcome(shard, first, "k", "a-1", ActionEnd::NotRun));
    assert_eq!(
        feed.fold.state().actions.get(&key).unwrap().end,
        Some(answered)
    );
}

#[test]
fn key_that_was_not_run_may_be_used_again() {
    let mut feed = Feed::default();
    let shard = ShardId(3);
    let epoch = feed.claim(shard, "n1");
    feed.apply(&intents(shard, epoch, "k", "a-1"));
    feed.apply(&outcome(shard, epoch, "k", "a-1", ActionEnd::NotRun));
    let again = feed.apply(&intents(shard, epoch, "k", "a-2"));
    assert_eq!(
        again,
        Applied::Intents {
            shard,
            refused: vec![]
        }
    );
    let late = feed.apply(&outcome(shard, epoch, "k", "a-1", ActionEnd::Unknown));
    assert!(matches!(late, Applied::Outcomes { ignored, .. } if ignored.len() == 1));
}

#[test]
fn actions_are_forgotten_after_the_horizon() {
    let mut feed = Feed::default();
    let shard = ShardId(3);
    let epoch = feed.claim(shard, "n1");
    feed.apply(&intents(shard, epoch, "k", "a-1"));
    feed.now_ms = ACTION_HORIZON_MS;
    feed.apply(&drain("d-1", "vm:vm-1", true));
    assert_eq!(feed.fold.state().actions.len(), 1);
    feed.now_ms += 1;
    feed.apply(&drain("d-2", "vm:vm-1", true));
    assert!(feed.fold.state().actions.is_empty());
}

/// A drain reaches an endpoint by its own name, its group, any of its VMs or its failure domain.
macro_rules! drains {
    ($($name:ident: $target:expr => $stock:expr, $group:expr;)*) => {$(
        #[test]
        fn $name() {
            let sheet = include_bytes!("../../../../examples/day.csv");
            let inventory = include_str!("../../../../examples/inventory.json");
            let inventory = serde_json::from_str(inventory).unwrap();
            let import = sesamecart_config::import_sheet(sheet, &inventory);
            let mut record = publish("p", 0, "salma");
            if let Record::Publish { configuration, .. } = &mut record {
                **configuration = import.configuration;
            }
            let mut feed = Feed::default();
            feed.apply(&record);
            feed.apply(&drain("d", $target, true));
            let state = feed.fold.state();
            assert_eq!(state.is_drained(&name("stock-a")), $stock);
            assert_eq!(state.is_drained(&name("pound-a1")), $group);
            assert!(!state.is_drained(&name("pound-b1")));
        }
    )*};
}

drains! {
    drain_of_a_failure_domain: "failure-domain:muscat-a" => true, true;
    drain_of_an_endpoint: "endpoint:stock-a" => true, false;
    drain_of_a_group: "group:pound-a1" => false, true;
    drain_of_a_group_member: "vm:engine-a2" => false, true;
    drain_of_a_service_vm: "vm:ledger-a" => true, false;
}

#[test]
fn drain_targets_name_what_is_wrong() {
    let parse = |text: &str| text.parse::<crate::DrainTarget>().unwrap_err().to_string();
    assert!(parse("muscat-a").contains("failure-domain:NAME"));
    assert!(parse("rack:7").contains("failure-domain:NAME"));
    assert!(parse("vm:").contains("must not be empty"));
}
