//! Tests the endpoints and groups that a node derives from the registry.

use std::time::Duration;

use indexmap::IndexSet;
use sesamecart_vocabulary::Timestamp;

use super::Directory;
use crate::endpoint::{EndpointState, GroupState};
use crate::testkit::{engine, id, key, member, model, service};

const NOW: Timestamp = Timestamp(1_000_000);

fn candidates(directory: &Directory, serves: Option<&str>) -> Vec<String> {
    let serves = serves.map(model);
    let service = service();
    let found = directory.candidates(&service, serves.as_ref());
    found.map(|endpoint| endpoint.id.to_string()).collect()
}

/// Members other than the head refuse requests, and a head that isn't open has no complete group.
#[test]
fn only_open_heads_take_requests_for_a_model() {
    let mut directory = Directory::default();
    let open = key("open", 1);
    let ready = key("ready", 2);
    directory.put(
        NOW,
        member(engine("head", "a-0"), &open, 0, GroupState::Open, "large"),
    );
    directory.put(
        NOW,
        member(
            engine("member", "a-0"),
            &open,
            1,
            GroupState::Ready,
            "large",
        ),
    );
    directory.put(
        NOW,
        member(
            engine("closed", "a-0"),
            &ready,
            0,
            GroupState::Ready,
            "large",
        ),
    );
    assert_eq!(candidates(&directory, Some("large")), ["head"]);
    assert!(candidates(&directory, Some("small")).is_empty());
}

/// An operator evacuates a failure domain at short notice. Work that is still sent there is lost with it.
#[test]
fn an_evacuated_failure_domain_gets_no_requests() {
    let mut directory = Directory::default();
    directory.put(NOW, engine("here", "a-0"));
    directory.put(NOW, engine("there", "b-0"));
    directory.set_evacuated(IndexSet::from(["b".parse().expect("valid name")]));
    assert_eq!(candidates(&directory, None), ["here"]);
}

/// An endpoint that is draining or whose entry is gone serves only for a moment longer. Requests that are
/// still sent there would be interrupted.
#[test]
fn draining_and_gone_endpoints_get_no_requests() {
    let mut directory = Directory::default();
    let mut draining = engine("draining", "a-0");
    draining.state = EndpointState::Draining;
    directory.put(NOW, draining);
    directory.put(NOW, engine("gone", "a-0"));
    assert!(directory.remove(NOW, &id("gone")));
    assert!(candidates(&directory, None).is_empty());
    assert!(
        !directory.remove(NOW, &id("gone")),
        "it was already removed"
    );
}

/// The entry of an unresponsive member expires from the registry before anybody has probed it. Without its
/// address, its group could never be probed completely.
#[test]
fn members_that_left_recently_are_kept_for_a_while() {
    let mut directory = Directory::default();
    let group = key("g", 1);
    directory.put(
        NOW,
        member(engine("e1", "a-0"), &group, 0, GroupState::Open, "small"),
    );
    directory.put(
        NOW,
        member(engine("e2", "a-0"), &group, 1, GroupState::Ready, "small"),
    );
    directory.remove(NOW, &id("e2"));
    assert_eq!(directory.members(&group).count(), 2);
    directory.prune(NOW + Duration::from_secs(60));
    assert_eq!(directory.members(&group).count(), 1);
}
