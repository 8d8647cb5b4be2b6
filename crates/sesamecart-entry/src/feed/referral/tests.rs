use super::{referral_of, referral_status};

/// Guards against a referral that gets lost, or that is read from a status without one.
#[test]
fn a_referral_is_read_as_it_was_written() {
    for referral in [None, Some(([10, 0, 0, 7], 7_000).into())] {
        assert_eq!(referral_of(&referral_status(referral)), referral);
    }
}
