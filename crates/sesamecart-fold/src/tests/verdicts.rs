//! Tests of the rules by which records are accepted or rejected.

use sesamecart_vocabulary::{Epoch, Revision, ShardId};

use super::fixtures::{
    FoldDriver, assign, claim, drain, intent, intents, name, outcome, publish, shard_of, unassign,
};
use crate::action::ACTION_RETENTION_MS;
use crate::{ActionEnd, Applied, DecodeError, PublishVerdict, Record, Rejection};

/// Two operators concurrently publish changes based on the same revision. The same change must win on every
/// node, and the verdict on the other must name the operator whose change won.
#[test]
fn first_of_two_concurrent_publishes_wins() {
    let mut driver = FoldDriver::default();
    let won = driver.apply(&publish("salma-1", 0, "salma"));
    assert_eq!(
        won,
        Applied::Published {
            revision: Revision(1)
        }
    );
    let lost = driver.apply(&publish("ines-1", 0, "ines"));
    let Applied::Rejected(Rejection::Publish(verdict)) = lost else {
        panic!("{lost:?}");
    };
    let words = "conflict: made against revision 0, but revision 1 by salma came first";
    assert_eq!(verdict.to_string(), words);
    assert!(matches!(
        verdict,
        PublishVerdict::Conflict { at_ms: 70, .. }
    ));
    assert_eq!(driver.fold.state().author, "salma");
    let audit = driver.last_audit();
    assert_eq!(
        (audit.author.as_str(), audit.from.as_str()),
        ("ines", "192.0.2.7:40100")
    );
    assert!(audit.verdict.starts_with("rejected: conflict"));
}

/// The response to an append is lost after the record was stored, and the publisher appends the same change
/// again. The change must take effect once, even if another one was published in between.
#[test]
fn repeated_publish_id_takes_effect_once() {
    let mut driver = FoldDriver::default();
    driver.apply(&publish("salma-1", 0, "salma"));
    driver.apply(&publish("ines-1", 1, "ines"));
    let again = driver.apply(&publish("salma-1", 0, "salma"));
    let publish_id = name("salma-1");
    assert_eq!(again, Applied::Repeated { publish_id });
    assert_eq!(driver.fold.state().revision, Revision(2));
    let verdict =
        &driver.fold.state().verdicts[&name::<sesamecart_vocabulary::PublishId>("salma-1")];
    assert!(matches!(
        verdict,
        PublishVerdict::Accepted {
            revision: Revision(1),
            ..
        }
    ));
}

#[test]
fn repeated_drain_does_not_start_again_after_its_end() {
    let mut driver = FoldDriver::default();
    driver.apply(&drain("d-1", "failure-domain:muscat-a", true));
    driver.apply(&drain("d-2", "failure-domain:muscat-a", false));
    driver.apply(&drain("d-1", "failure-domain:muscat-a", true));
    assert!(driver.fold.state().drains.is_empty());
}

/// The log contains a truncated record, a foreign one or one of a newer release. Stopping there would block
/// every later change, so the record is skipped and added to the audit trail.
#[test]
fn unreadable_records_are_skipped_and_audited() {
    let whole = publish("salma-1", 0, "salma").encode();
    let newer = String::from_utf8(whole.clone())
        .unwrap()
        .replacen("\"v\":1", "\"v\":2", 1);
    let unknown = br#"{"v":1,"record":{"paint":{}}}"#;
    let mut driver = FoldDriver::default();
    let torn = driver.apply_bytes(&whole[..whole.len() / 2]);
    assert!(matches!(torn, Applied::Skipped(DecodeError::Malformed(_))));
    let newer = driver.apply_bytes(newer.as_bytes());
    assert_eq!(newer, Applied::Skipped(DecodeError::NewerVersion(2)));
    let unknown = driver.apply_bytes(unknown);
    assert_eq!(
        unknown,
        Applied::Skipped(DecodeError::UnknownKind("paint".to_owned()))
    );
    assert!(driver.last_audit().verdict.contains("unknown kind"));
    assert!(matches!(
        driver.apply_bytes(&whole),
        Applied::Published { .. }
    ));
}

#[test]
fn claim_must_be_based_on_the_epoch_in_force() {
    let mut driver = FoldDriver::default();
    let shard = ShardId(7);
    let first = driver.claim(shard, "n1");
    let late = driver.apply(&claim(shard, "n2", None));
    let expected = Rejection::PastEpoch {
        shard,
        holder: name("n2"),
        current: Some(first),
    };
    assert_eq!(late, Applied::Rejected(expected));
    assert!(driver.claim(shard, "n2") > first);
    let beyond = ShardId(sesamecart_vocabulary::SHARD_COUNT);
    let beyond = driver.apply(&claim(beyond, "n1", None));
    assert!(matches!(
        beyond,
        Applied::Rejected(Rejection::NoSuchShard { .. })
    ));
}

/// A holder is paused until after its lease has passed to a successor. The records that it appends after the
/// pause must change nothing, or a VM could serve two groups.
#[test]
fn records_of_a_past_epoch_are_rejected() {
    let mut driver = FoldDriver::default();
    let shard = shard_of("g1");
    let old = driver.claim(shard, "n1");
    let new = driver.claim(shard, "n2");
    let stale = |applied| matches!(applied, Applied::Rejected(Rejection::StaleEpoch { .. }));
    assert!(stale(driver.apply(&assign("g1", &["vm-1"], 1, old))));
    assert!(stale(driver.apply(&intents(shard, old, "k", "a-1"))));
    let release = Record::Release {
        shard,
        holder: name("n1"),
        epoch: old,
    };
    assert!(stale(driver.apply(&release)));
    assert!(matches!(
        driver.apply(&assign("g1", &["vm-1"], 1, new)),
        Applied::Assigned { .. }
    ));
}

#[test]
fn records_of_a_released_lease_are_rejected() {
    let mut driver = FoldDriver::default();
    let shard = shard_of("g1");
    let epoch = driver.claim(shard, "n1");
    let release = Record::Release {
        shard,
        holder: name("n1"),
        epoch,
    };
    assert_eq!(driver.apply(&release), Applied::Released { shard });
    let assigned = driver.apply(&assign("g1", &["vm-1"], 1, epoch));
    assert!(matches!(
        assigned,
        Applied::Rejected(Rejection::StaleEpoch { .. })
    ));
    driver.claim(shard, "n1");
}

/// Two groups lose a VM at the same time, and both owners select the same spare. Only one group may get it,
/// as otherwise the other would serve requests from a VM with the wrong weights.
#[test]
fn vm_is_assigned_to_only_one_group() {
    let mut driver = FoldDriver::default();
    let g1 = driver.claim(shard_of("g1"), "n1");
    let g2 = driver.claim(shard_of("g2"), "n2");
    driver.apply(&assign("g1", &["vm-1", "vm-2"], 1, g1));
    let taken = driver.apply(&assign("g2", &["vm-3", "vm-2"], 1, g2));
    let expected = Rejection::VmInOtherGroup {
        vm: name("vm-2"),
        group: name("g1"),
    };
    assert_eq!(taken, Applied::Rejected(expected));
    assert!(driver.fold.state().members(&name("g2")).next().is_none());
    driver.apply(&unassign("g1", "vm-2", 1, g1));
    let free = driver.apply(&assign("g2", &["vm-3", "vm-2"], 1, g2));
    assert!(matches!(free, Applied::Assigned { .. }));
}

#[test]
fn generations_must_increase() {
    let mut driver = FoldDriver::default();
    let epoch = driver.claim(shard_of("g1"), "n1");
    driver.apply(&assign("g1", &["vm-1"], 3, epoch));
    driver.apply(&unassign("g1", "vm-1", 3, epoch));
    let again = driver.apply(&assign("g1", &["vm-1"], 3, epoch));
    assert!(matches!(
        again,
        Applied::Rejected(Rejection::PastGeneration { .. })
    ));
}

/// The removal of a VM in an old generation is appended after the VM was assigned to the group again. It must
/// not remove the VM from the new generation.
#[test]
fn late_unassign_of_an_old_generation_is_rejected() {
    let mut driver = FoldDriver::default();
    let epoch = driver.claim(shard_of("g1"), "n1");
    driver.apply(&assign("g1", &["vm-1"], 2, epoch));
    let late = driver.apply(&unassign("g1", "vm-1", 1, epoch));
    assert!(matches!(
        late,
        Applied::Rejected(Rejection::NotAssigned { .. })
    ));
}

#[test]
fn orders_of_an_older_epoch_are_rejected() {
    let mut driver = FoldDriver::default();
    let order = |epoch| Record::OrderIssued {
        endpoint: name("e1"),
        epoch: Epoch(epoch),
        order: "load_model assistant 2".to_owned(),
        at_ms: 1,
    };
    assert!(matches!(driver.apply(&order(9)), Applied::Ordered { .. }));
    assert!(matches!(driver.apply(&order(9)), Applied::Ordered { .. }));
    let old = driver.apply(&order(8));
    assert!(matches!(
        old,
        Applied::Rejected(Rejection::StaleOrder {
            newest: Epoch(9),
            ..
        })
    ));
}

/// An owner sends a deposit and fails, and the caller repeats the request at the next owner. The second
/// intent must be refused, or the deposit could be made twice.
#[test]
fn second_intent_for_a_key_is_refused() {
    let mut driver = FoldDriver::default();
    let shard = ShardId(3);
    let first = driver.claim(shard, "n1");
    let key = intent("k", "a-1").action_key();
    let begun = driver.apply(&intents(shard, first, "k", "a-1"));
    assert_eq!(
        begun,
        Applied::Intents {
            shard,
            refused: vec![]
        }
    );
    let second = driver.claim(shard, "n2");
    let refused = driver.apply(&intents(shard, second, "k", "b-1"));
    assert_eq!(
        refused,
        Applied::Intents {
            shard,
            refused: vec![key.clone()]
        }
    );
    driver.apply(&outcome(shard, first, "k", "a-1", ActionEnd::Unknown));
    let refused = driver.apply(&intents(shard, second, "k", "b-2"));
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
    driver.apply(&outcome(shard, first, "k", "a-1", answered.clone()));
    driver.apply(&outcome(shard, first, "k", "a-1", ActionEnd::NotRun));
    assert_eq!(
        driver.fold.state().actions.get(&key).unwrap().end,
        Some(answered)
    );
}

#[test]
fn key_can_be_reused_after_an_attempt_that_did_not_run() {
    let mut driver = FoldDriver::default();
    let shard = ShardId(3);
    let epoch = driver.claim(shard, "n1");
    driver.apply(&intents(shard, epoch, "k", "a-1"));
    driver.apply(&outcome(shard, epoch, "k", "a-1", ActionEnd::NotRun));
    let again = driver.apply(&intents(shard, epoch, "k", "a-2"));
    assert_eq!(
        again,
        Applied::Intents {
            shard,
            refused: vec![]
        }
    );
    let late = driver.apply(&outcome(shard, epoch, "k", "a-1", ActionEnd::Unknown));
    assert!(matches!(late, Applied::Outcomes { ignored, .. } if ignored.len() == 1));
}

#[test]
fn actions_expire_after_the_horizon() {
    let mut driver = FoldDriver::default();
    let shard = ShardId(3);
    let epoch = driver.claim(shard, "n1");
    driver.apply(&intents(shard, epoch, "k", "a-1"));
    driver.now_ms = ACTION_RETENTION_MS;
    driver.apply(&drain("d-1", "vm:vm-1", true));
    assert_eq!(driver.fold.state().actions.len(), 1);
    driver.now_ms += 1;
    driver.apply(&drain("d-2", "vm:vm-1", true));
    assert!(driver.fold.state().actions.is_empty());
}

/// Each case drains a target and checks whether the service endpoint and the group's endpoint are drained.
macro_rules! drain_targets {
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
            let mut driver = FoldDriver::default();
            driver.apply(&record);
            driver.apply(&drain("d", $target, true));
            let state = driver.fold.state();
            assert_eq!(state.is_drained(&name("stock-a")), $stock);
            assert_eq!(state.is_drained(&name("pound-a1")), $group);
            assert!(!state.is_drained(&name("pound-b1")));
        }
    )*};
}

drain_targets! {
    drain_of_a_failure_domain: "failure-domain:muscat-a" => true, true;
    drain_of_an_endpoint: "endpoint:stock-a" => true, false;
    drain_of_a_group: "group:pound-a1" => false, true;
    drain_of_a_group_member: "vm:engine-a2" => false, true;
    drain_of_a_service_vm: "vm:ledger-a" => true, false;
}

#[test]
fn invalid_drain_targets_are_rejected_with_the_reason() {
    let parse = |text: &str| text.parse::<crate::DrainTarget>().unwrap_err().to_string();
    assert!(parse("muscat-a").contains("failure-domain:NAME"));
    assert!(parse("rack:7").contains("failure-domain:NAME"));
    assert!(parse("vm:").contains("must not be empty"));
}
