//! Times as people read them.

use super::utc;

macro_rules! times {
    ($($name:ident: $at_ms:expr => $text:literal;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(utc($at_ms), $text);
        }
    )*};
}

times! {
    begin_of_time: 0 => "1970-01-01T00:00:00Z";
    leap_day: 951_782_400_000 => "2000-02-29T00:00:00Z";
    day_after_leap_day: 1_709_251_199_999 => "2024-02-29T23:59:59Z";
    end_of_a_year: 1_798_761_599_000 => "2026-12-31T23:59:59Z";
    no_leap_day_in_2100: 4_107_542_400_000 => "2100-03-01T00:00:00Z";
}
