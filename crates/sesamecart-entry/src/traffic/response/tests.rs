//! Tests that the idle connections of all nodes leave room for requests.

use super::{IDLE_CONNECTIONS_DIVISOR, max_idle_connections};

macro_rules! idle_connections {
    ($($name:ident: $nodes:literal nodes;)*) => {
        $(
            #[test]
            fn $name() {
                for max_connections in [0, 1, 52, 100, 464, 722] {
                    let each = max_idle_connections(max_connections, $nodes);
                    let all = each * $nodes;
                    assert!(all <= max_connections / IDLE_CONNECTIONS_DIVISOR, "{all} of {max_connections}");
                }
            }
        )*
    };
}

idle_connections! {
    idle_connections_of_one_node: 1 nodes;
    idle_connections_of_seven_nodes: 7 nodes;
    idle_connections_of_62_nodes: 62 nodes;
    idle_connections_of_380_nodes: 380 nodes;
}
