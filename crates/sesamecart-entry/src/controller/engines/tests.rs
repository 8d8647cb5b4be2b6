//! Tests of what an engine's report says of orders without an answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::join;
use sesamecart_fleet::{
    Directory, Endpoint, GroupEpoch, GroupKey, GroupRole, GroupState, OrderCount,
};
use sesamecart_platform::{EngineReport, Order, OrderOutcome};
use sesamecart_platform_standins::{Engine, EngineKind, EngineSetup, Store, USUAL_SLOTS};
use sesamecart_runtime::sleep;

use super::{EngineClient, is_still_joined};
use crate::clock;
use crate::controller::testkit::Competitor;
use crate::testkit::group_head;

/// How long a node may take to get control, and a head to be ready.
const TIMEOUT: Duration = Duration::from_secs(5);

fn key(epoch: u64) -> GroupKey {
    GroupKey {
        group: "g1-1".parse().expect("a valid name"),
        epoch: GroupEpoch(epoch),
    }
}

fn report_of_member(key: &GroupKey) -> EngineReport {
    EngineReport {
        orders: OrderCount(3),
        incarnation: None,
        group: Some(GroupRole {
            group: key.group.clone(),
            epoch: key.epoch,
            rank: 0,
            state: GroupState::Open,
        }),
        running: 0,
        waiting: 0,
        is_leaving: false,
    }
}

/// Guards against members that join another group while their head is open, as another order has raised its count.
#[test]
fn a_leave_has_not_started_while_the_engine_is_in_the_group() {
    let report = report_of_member(&key(7));
    assert!(is_still_joined(&Order::Leave(key(7)), &report));
    assert!(!is_still_joined(&Order::Leave(key(6)), &report));
    assert!(!is_still_joined(&Order::Close(key(7)), &report));
}

/// Starts an engine, and puts it in a controller's directory.
fn start_engine(controller: &Competitor, store: &Store) -> Engine {
    let setup = EngineSetup {
        id: "e0".to_owned(),
        service: "llm".to_owned(),
        zone: "a".to_owned(),
        kind: EngineKind::Model {
            domain: "a-0".to_owned(),
        },
        events: 1,
        slots: USUAL_SLOTS,
    };
    let engine = Engine::start(store, setup).expect("an engine listens");
    let mut directory = Directory::default();
    let endpoint = Endpoint {
        address: engine.address(),
        group: None,
        ..group_head()
    };
    directory.put(clock::now(), endpoint);
    controller.state.directory.store(Arc::new(directory));
    engine
}

fn wait_until(what: &str, is_met: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !is_met() {
        assert!(started_at.elapsed() < TIMEOUT, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against a group that is taken for dissolved while its head is open: a leave that gets no answer counts as
/// begun, as a close of the same head has raised the head's count meanwhile.
#[test]
fn a_leave_without_an_answer_is_not_taken_for_the_close_beside_it() {
    let store = Store::start().expect("the store listens");
    let controller = Competitor::start(&store);
    wait_until("the node has control", || controller.is_holder());
    let engine = start_engine(&controller, &store);
    let (state, lease) = (Arc::clone(&controller.state), Arc::clone(&controller.lease));
    let engines = EngineClient::new(state, controller.client.clone(), lease);
    let id = engine.id().parse().expect("a valid name");
    let send = |order: Order| async_io::block_on(engines.send_order(&id, &order));
    let order = Order::Join {
        key: key(7),
        model: "m0".parse().expect("a valid name"),
        members: vec![engine.id().parse().expect("a valid name")],
    };
    assert_eq!(send(order), OrderOutcome::Begun);
    assert_eq!(send(Order::Open(key(7))), OrderOutcome::Begun);
    wait_until("the head is open", || engine.is_open_head());
    engine.ignore_orders("leave");
    let (leave, close) = (Order::Leave(key(7)), Order::Close(key(7)));
    let close_soon = async {
        sleep(Duration::from_millis(50)).await;
        engines.send_order(&id, &close).await
    };
    let (left, closed) = async_io::block_on(join(engines.send_order(&id, &leave), close_soon));
    assert_eq!(closed, OrderOutcome::Begun);
    assert!(matches!(left, OrderOutcome::NoResponse(_)), "{left}");
}
