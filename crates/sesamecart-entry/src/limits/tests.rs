//! Tests of what a response states about its endpoint's limit.

use sesamecart_platform::ResponseHead;
use sesamecart_vocabulary::RequestRate;

use super::stated_limit;

fn stated(status: u16, headers: &[(&str, &str)]) -> Option<Option<f64>> {
    let mut response = http::Response::builder().status(status);
    for (name, value) in headers {
        response = response.header(*name, *value);
    }
    let (parts, ()) = response.body(()).expect("it is valid").into_parts();
    let request = "r1".parse().expect("a valid id");
    let limit = stated_limit(&ResponseHead::read(&parts), &request)?;
    Some(limit.map(RequestRate::per_s))
}

macro_rules! statements {
    ($($name:ident: $status:literal, $headers:expr => $stated:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(stated($status, &$headers), $stated);
            }
        )*
    };
}

const OWN: (&str, &str) = ("request-id", "r1");
const SEAL: (&str, &str) = ("response-seal", "seal");
const NOT_RUN: (&str, &str) = ("not-executed", "1");

statements! {
    a_success_with_a_limit_names_it: 200, [OWN, SEAL, ("server-limit", "3.5")] => Some(Some(3.5));
    a_success_without_a_limit_ends_it: 200, [OWN, SEAL] => Some(None);
    an_unsealed_success_does_not_end_a_limit: 200, [OWN] => None;
    a_rejection_may_name_a_limit: 503, [NOT_RUN, ("server-limit", "0.5")] => Some(Some(0.5));
    a_rejection_without_a_limit_says_nothing: 503, [NOT_RUN] => None;
    a_server_error_without_a_limit_says_nothing: 500, [OWN, SEAL] => None;
    a_limit_of_zero_is_a_limit: 200, [OWN, SEAL, ("server-limit", "0")] => Some(Some(0.0));
    a_huge_limit_is_a_limit: 200, [OWN, SEAL, ("server-limit", "1e300")] => Some(Some(1e300));
    an_empty_limit_says_nothing: 200, [OWN, SEAL, ("server-limit", "")] => None;
    a_negative_limit_says_nothing: 200, [OWN, SEAL, ("server-limit", "-1")] => None;
    a_limit_that_is_no_number_says_nothing: 200, [OWN, SEAL, ("server-limit", "some")] => None;
    an_infinite_limit_says_nothing: 200, [OWN, SEAL, ("server-limit", "inf")] => None;
    the_lowest_of_several_limits_counts: 200, [OWN, SEAL, ("server-limit", "4"), ("server-limit", "2")] => Some(Some(2.0));
    a_valid_limit_counts_beside_an_invalid_one: 200, [OWN, SEAL, ("server-limit", "x"), ("server-limit", "2")] => Some(Some(2.0));
    a_response_of_another_endpoint_says_nothing: 421, [("server-limit", "2")] => None;
    a_response_to_another_request_says_nothing: 200, [("request-id", "r2"), SEAL, ("server-limit", "2")] => None;
}
