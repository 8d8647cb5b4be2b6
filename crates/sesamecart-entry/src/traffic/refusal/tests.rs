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

const MEND_TIME: Duration = Duration::from_millis(400);

refusals! {
    a_full_service_has_no_fixed_time:
        Refusal::Unavailable(Unavailable::Full) => StatusCode::SERVICE_UNAVAILABLE, None;
    a_customer_over_its_share_is_told_so:
        Refusal::Unavailable(Unavailable::OverShare) => StatusCode::TOO_MANY_REQUESTS, None;
    a_group_is_mended_soon:
        Refusal::Unavailable(Unavailable::NoEndpoint) =>
            StatusCode::SERVICE_UNAVAILABLE, Some(MEND_TIME);
    engines_that_have_to_be_added_take_long:
        Refusal::Unavailable(Unavailable::Unservable) =>
            StatusCode::SERVICE_UNAVAILABLE, Some(Duration::from_secs(60));
    what_may_have_run_is_not_asked_for_again:
        Refusal::NoAnswer("cut".to_owned()) => StatusCode::BAD_GATEWAY, None;
}

/// A status that promises that nothing has run must not be given for what may have.
#[test]
fn what_may_have_run_promises_nothing() {
    for refusal in [Refusal::NoAnswer("cut".to_owned()), Refusal::TimedOut] {
        assert!(!matches!(refusal.status().as_u16(), 408 | 429 | 503));
    }
}
