//! What the members' answers say of a group.

use super::{Finding, MemberProbe, Verdict, judge};
use crate::endpoint::GroupState;

const OPEN: MemberProbe = MemberProbe::Member(GroupState::Open);
const READY: MemberProbe = MemberProbe::Member(GroupState::Ready);
const BROKEN: MemberProbe = MemberProbe::Member(GroupState::Broken);

macro_rules! judges {
    ($($name:ident: $head:expr, $others:expr => $verdict:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let finding = Finding { head: $head, others: $others.to_vec() };
                assert_eq!(judge(&finding), $verdict);
            }
        )*
    };
}

judges! {
    a_whole_group_is_sound: OPEN, [READY, READY] => Verdict::Sound;
    a_group_of_one_is_sound: OPEN, [] => Verdict::Sound;
    a_silent_member_loses_the_group: OPEN, [READY, MemberProbe::Silent] => Verdict::Lost;
    a_member_elsewhere_loses_the_group: OPEN, [MemberProbe::Elsewhere] => Verdict::Lost;
    a_broken_member_loses_the_group: OPEN, [BROKEN] => Verdict::Lost;
    a_broken_head_loses_the_group: BROKEN, [READY] => Verdict::Lost;
    a_head_elsewhere_loses_the_group: MemberProbe::Elsewhere, [READY] => Verdict::Lost;
}

/// An engine that leaves without a word stops listening while it still works on what it has. Its
/// members seemed free and were joined to another group while the old one served: a caller's stream
/// could have come from two groups' engines.
#[test]
fn a_head_that_cannot_be_reached_has_not_ended() {
    let finding = Finding {
        head: MemberProbe::Silent,
        others: vec![READY, READY],
    };
    assert_eq!(judge(&finding), Verdict::HeadSilent);
}
