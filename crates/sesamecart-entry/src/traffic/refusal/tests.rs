use std::time::Duration;

use http::StatusCode;
use sesamecart_fleet::Unavailable;

use super::Refusal;

macro_rules! refusals {
    ($($name:ident: $refusal:expr => $status:expr, $after:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let refusal: Refusal = $refusal;
                assert_eq!(refusal.status(), $status);
                assert_eq!(refusal.retry_after(0.0), $after);
            }
        )+
    };
}

const MIN_RETRY_AFTER: Duration = Duration::from_millis(400);

refusals! {
    full_service_has_no_fixed_retry_time:
        Refusal::Unavailable(Unavailable::Full) => StatusCode::SERVICE_UNAVAILABLE, None;
    customer_over_its_share_gets_too_many_requests:
        Refusal::Unavailable(Unavailable::OverShare) => StatusCode::TOO_MANY_REQUESTS, None;
    missing_endpoint_allows_an_early_retry:
        Refusal::Unavailable(Unavailable::NoEndpoint) =>
            StatusCode::SERVICE_UNAVAILABLE, Some(MIN_RETRY_AFTER);
    unservable_model_allows_only_a_late_retry:
        Refusal::Unavailable(Unavailable::Unservable) =>
            StatusCode::SERVICE_UNAVAILABLE, Some(Duration::from_secs(60));
    a_node_without_memory_allows_a_retry_elsewhere_at_once:
        Refusal::NoMemory("none") => StatusCode::SERVICE_UNAVAILABLE, Some(Duration::from_millis(100));
    incomplete_response_has_no_retry_time:
        Refusal::IncompleteResponse("cut".to_owned()) => StatusCode::BAD_GATEWAY, None;
}

/// A request that may have run must not get a status that guarantees that it hasn't run.
#[test]
fn request_that_may_have_run_gets_no_not_run_status() {
    for refusal in [
        Refusal::IncompleteResponse("cut".to_owned()),
        Refusal::TimedOut,
    ] {
        assert!(!matches!(refusal.status().as_u16(), 408 | 429 | 503));
    }
}

/// Guards against callers who come back to a node without memory, as they keep their connection to it.
#[test]
fn a_refusal_for_lack_of_memory_closes_the_connection() {
    let response = Refusal::NoMemory("none").to_response(None);
    assert_eq!(
        response.headers().get("connection").expect("it is there"),
        "close"
    );
}
