//! Which other nodes there are.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexSet;
use sesamecart_platform::{Expected, Record, Store, StoreError, Topic};
use sesamecart_runtime::sleep;
use sesamecart_vocabulary::NodeId;

use super::{Dependency, REST};
use crate::beliefs::Beliefs;

/// How often the list of nodes is read.
const NODES_EVERY: Duration = Duration::from_secs(10);

/// Tells the other nodes of this one, and counts them.
///
/// Bounds that hold for all nodes together are kept by shares, for which a node has to know how many
/// there are. A node that was killed stays in the list, which makes the shares smaller, never larger.
pub(crate) async fn follow_nodes(beliefs: Arc<Beliefs>, store: Store) {
    let own = Record {
        key: Some(beliefs.settings.node.to_string()),
        value: Some(beliefs.settings.failure_domain.to_string().into_bytes()),
    };
    let mut told = false;
    let mut dependency = Dependency::new("store, nodes");
    loop {
        if !told {
            let appended = store.append(Topic::Nodes, &own, Expected::Anything).await;
            told = appended.is_ok();
            if let Err(error) = appended {
                dependency.failed(&beliefs, &error);
            }
        }
        match read_nodes(&store).await {
            Ok(nodes) => {
                let _was_away = dependency.answered(&beliefs);
                let mut nodes: IndexSet<NodeId> = nodes.into_iter().collect();
                nodes.insert(beliefs.settings.node.clone());
                beliefs.nodes.store(Arc::new(nodes.into_iter().collect()));
            }
            Err(error) => dependency.failed(&beliefs, &error),
        }
        let rest = if told { NODES_EVERY } else { REST };
        sleep(rest).await;
    }
}

async fn read_nodes(store: &Store) -> Result<Vec<NodeId>, StoreError> {
    let mut nodes = Vec::new();
    let mut after = None;
    loop {
        let page = store.newest(Topic::Nodes, after.as_deref()).await?;
        let names = page.records.iter().filter_map(|record| record.key.as_ref());
        nodes.extend(names.filter_map(|name| name.parse().ok()));
        match page.next {
            Some(next) => after = Some(next),
            None => return Ok(nodes),
        }
    }
}
