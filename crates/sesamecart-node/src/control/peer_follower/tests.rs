//! Whose state a node takes that starts while the log is out.

use sesamecart_vocabulary::{Offset, Revision};

use super::newest_of_majority;
use crate::control::peers::{Peer, PeerStanding, PeerView};

/// Makes one view for each next offset; none stands for a node that doesn't answer.
fn views(offsets: &[Option<u64>]) -> Vec<PeerView> {
    let views = offsets.iter().enumerate().map(|(index, offset)| PeerView {
        peer: Peer {
            node: format!("n{index}").parse().unwrap(),
            address: ([127, 0, 0, 1], 1).into(),
            failure_domain: "muscat-a".parse().unwrap(),
        },
        standing: offset.map(|offset| PeerStanding {
            revision: Revision(offset / 10),
            next_offset: Offset(offset),
        }),
    });
    views.collect()
}

/// A node starts while the log is out and reaches only some others, which may lag. Taking the state
/// of a minority could put an old configuration back in force for its callers.
macro_rules! starts {
    ($($name:ident: $offsets:expr => $newest:expr;)*) => {$(
        #[test]
        fn $name() {
            let views = views(&$offsets);
            let newest = newest_of_majority(&views).map(|peer| peer.node.as_str());
            assert_eq!(newest, $newest);
        }
    )*};
}

starts! {
    newest_of_all: [Some(20), Some(35), Some(31)] => Some("n1");
    majority_with_one_silent: [Some(20), None, Some(31), Some(9)] => Some("n2");
    half_is_no_majority: [Some(20), None, Some(31)] => None;
    one_of_three: [Some(20), None] => None;
    nodes_without_state_do_not_count: [Some(20), Some(0), Some(0), Some(0)] => None;
    alone: [] => None;
}
