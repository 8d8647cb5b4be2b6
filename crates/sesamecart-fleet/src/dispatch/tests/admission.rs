//! Single decisions about where a request goes, and whether it waits.

use super::{at, endpoint, head, ms, pool_spec, request, tokens};
use crate::dispatch::{
    DispatchDecision, DispatchRequest, Dispatcher, PoolHead, PoolSpec, RefusalCause,
};

fn dispatcher(heads: impl IntoIterator<Item = PoolHead>) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(pool_spec());
    dispatcher.set_heads(at(0), heads);
    dispatcher
}

/// Offers requests until one isn't sent. Returns the number of those that were sent, and the last decision.
fn fill(
    dispatcher: &mut Dispatcher,
    req: impl Fn(u64) -> DispatchRequest,
) -> (u64, DispatchDecision) {
    let mut sent = 0;
    loop {
        let decision = dispatcher.offer(at(0), req(sent));
        if !matches!(decision, DispatchDecision::Send(_)) {
            return (sent, decision);
        }
        sent += 1;
    }
}

#[test]
fn request_goes_to_its_failure_domain_while_starts_are_alike() {
    let mut dispatcher = dispatcher((0..3).map(head));
    let req = DispatchRequest {
        failure_domain: "b".parse().expect("valid name"),
        ..request(1)
    };
    let DispatchDecision::Send(assignment) = dispatcher.offer(at(0), req) else {
        panic!("all endpoints are idle");
    };
    assert_eq!(assignment.endpoint, endpoint(1));
}

/// Guards against an endpoint that the node knows to leave or to fail.
#[test]
fn excluded_endpoints_are_never_chosen() {
    let mut dispatcher = dispatcher((0..2).map(head));
    let req = |excluded: &[usize]| DispatchRequest {
        excluded: excluded.iter().map(|index| endpoint(*index)).collect(),
        ..request(excluded.len() as u64)
    };
    let DispatchDecision::Send(assignment) = dispatcher.offer(at(0), req(&[0])) else {
        panic!("one endpoint is left");
    };
    assert_eq!(assignment.endpoint, endpoint(1));
    let DispatchDecision::Refuse(refusal) = dispatcher.offer(at(0), req(&[0, 1])) else {
        panic!("no endpoint is left");
    };
    assert_eq!(refusal.cause, RefusalCause::NoEndpoint);
}

#[test]
fn requests_are_admitted_while_their_target_can_be_held() {
    let mut dispatcher = dispatcher([head(0)]);
    let (sent, _) = fill(&mut dispatcher, request);
    // A prompt takes 26 ms in full passes.
    assert!((5..=300 / 26).contains(&sent), "{sent} were sent");
}

#[test]
fn work_is_divided_evenly() {
    let mut dispatcher = dispatcher((0..4).map(head));
    let mut counts = [0; 4];
    for ticket in 0..16 {
        if let DispatchDecision::Send(assignment) = dispatcher.offer(at(0), request(ticket)) {
            let index = (0..4).find(|index| endpoint(*index) == assignment.endpoint);
            counts[index.expect("known endpoint")] += 1;
        }
    }
    assert!(
        counts.iter().all(|count| (3..=5).contains(count)),
        "{counts:?}"
    );
}

/// Guards against an endpoint that crashes because the requests of all nodes exceed its memory.
#[test]
fn group_never_holds_more_tokens_than_its_memory() {
    let spec = PoolSpec {
        kv_capacity_tokens: Some(2_000.0),
        ..pool_spec()
    };
    let mut dispatcher = Dispatcher::new(spec);
    dispatcher.set_heads(at(0), [head(0)]);
    assert_eq!(fill(&mut dispatcher, request).0, 2);
}

/// Guards against shutting out the prompts that no endpoint can start in time.
#[test]
fn largest_prompt_is_admitted_where_a_mean_one_is() {
    let mut dispatcher = dispatcher([head(0)]);
    let (sent, _) = fill(&mut dispatcher, request);
    let mut dispatcher = self::dispatcher([head(0)]);
    for ticket in 1..sent {
        dispatcher.offer(at(0), request(ticket));
    }
    let large = DispatchRequest {
        tokens: tokens(12_000.0, 150.0),
        ..request(0)
    };
    assert!(matches!(
        dispatcher.offer(at(0), large),
        DispatchDecision::Send(_)
    ));
}

/// Guards against work that no caller gets.
#[test]
fn request_that_its_deadline_would_cut_is_refused_at_once() {
    let mut dispatcher = dispatcher([head(0)]);
    let req = DispatchRequest {
        time_left: ms(900),
        ..request(1)
    };
    let DispatchDecision::Refuse(refusal) = dispatcher.offer(at(0), req) else {
        panic!("its answer takes over 900 ms");
    };
    assert!(refusal.retry_after <= ms(300));
}

/// Guards against a queue that holds requests back although their refusal is certain.
#[test]
fn nobody_waits_longer_than_a_quarter_of_the_target() {
    let mut dispatcher = dispatcher([PoolHead {
        slots: 1,
        ..head(0)
    }]);
    dispatcher.offer(at(0), request(0));
    let decision = dispatcher.offer(at(0), request(1));
    if decision == DispatchDecision::Wait {
        assert!(dispatcher.next_poll(at(0)).is_some());
        assert_eq!(dispatcher.poll(at(75)).len(), 1);
    }
    assert_eq!(dispatcher.poll(at(76)), []);
}
