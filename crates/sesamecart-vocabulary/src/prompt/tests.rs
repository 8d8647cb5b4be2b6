//! Tests of the IDs of parts of prompts.

use super::{ParsePromptPartError, PromptPartId};

#[test]
fn an_id_is_parsed_from_its_text() {
    let id: PromptPartId = "5c1e07a2".parse().expect("a valid ID");
    assert_eq!(id.to_string(), "5c1e07a2");
    assert_eq!("5C1E07A2".parse(), Ok(id));
    assert_eq!("005c1e07a2".parse(), Ok(id));
    assert!("f".repeat(32).parse::<PromptPartId>().is_ok());
}

macro_rules! invalid_cases {
    ($($name:ident: $text:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!($text.parse::<PromptPartId>(), Err(ParsePromptPartError));
            }
        )*
    };
}

invalid_cases! {
    an_empty_id_is_invalid: "";
    an_id_with_a_sign_is_invalid: "+5c";
    an_id_with_other_letters_is_invalid: "xyz";
    a_very_long_id_is_invalid: "f".repeat(33);
}
