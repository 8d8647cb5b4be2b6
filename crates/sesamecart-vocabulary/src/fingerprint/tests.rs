//! Tests of which requests have the same fingerprint.

use super::{Fingerprint, ParseFingerprintError, RequestIdentity};

const REQUEST: RequestIdentity<'_> = RequestIdentity {
    customer: Some("customer-1"),
    host: "shop.example",
    method: "POST",
    target: "/chat/1?a=b",
    body: b"asked",
};

macro_rules! distinct_cases {
    ($($name:ident: $identity:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let other = Fingerprint::of(&$identity);
                assert_ne!(other, Fingerprint::of(&REQUEST));
            }
        )*
    };
}

distinct_cases! {
    another_customer_sends_another_request: RequestIdentity { customer: Some("customer-2"), ..REQUEST };
    a_caller_without_a_key_sends_another_request: RequestIdentity { customer: None, ..REQUEST };
    another_host_makes_another_request: RequestIdentity { host: "other.example", ..REQUEST };
    another_method_makes_another_request: RequestIdentity { method: "PUT", ..REQUEST };
    another_query_makes_another_request: RequestIdentity { target: "/chat/1?a=c", ..REQUEST };
    another_body_makes_another_request: RequestIdentity { body: b"asked again", ..REQUEST };
    a_byte_moved_from_the_path_to_the_body_makes_another_request: RequestIdentity {
        target: "/chat/1?a=", body: b"basked", ..REQUEST
    };
    an_empty_customer_is_not_a_missing_one: RequestIdentity { customer: Some(""), ..REQUEST };
}

#[test]
fn the_same_request_has_the_same_fingerprint() {
    let again = RequestIdentity { ..REQUEST };
    assert_eq!(Fingerprint::of(&again), Fingerprint::of(&REQUEST));
}

#[test]
fn a_fingerprint_is_parsed_from_its_text() {
    let fingerprint = Fingerprint::of(&REQUEST);
    assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
    for invalid in [
        "",
        "12",
        "+2345678901234567890123456789012",
        "xy345678901234567890123456789012",
    ] {
        let parsed: Result<Fingerprint, _> = invalid.parse();
        assert_eq!(parsed, Err(ParseFingerprintError));
    }
}

#[test]
fn each_part_of_a_prompt_has_a_fingerprint() {
    let of = |text: &str| Fingerprint::of_prompt_part(text.parse().expect("a valid ID"));
    assert_eq!(of("a1"), of("A1"));
    assert_ne!(of("a1"), of("a2"));
}
