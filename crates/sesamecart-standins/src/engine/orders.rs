//! The orders that an engine takes, with or without a check of the fencing number.

use std::sync::Mutex;

use serde_json::Value;
use sesamecart_vocabulary::Epoch;

/// An order that an engine has carried out.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedOrder {
    /// The fencing number that it came with.
    pub epoch: Epoch,
    /// The newest fencing number seen before it; an order below that came from a past owner.
    pub newest: Epoch,
    /// The order's body.
    pub order: Value,
}

/// The orders carried out so far.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    applied: Mutex<Vec<AppliedOrder>>,
}

/// An order came with an old fencing number.
pub(crate) struct StaleOrder {
    pub(crate) newest: Epoch,
}

impl Orders {
    pub(crate) fn applied(&self) -> Vec<AppliedOrder> {
        self.applied.lock().unwrap().clone()
    }

    /// Notes an order, unless the engine checks fencing numbers and this one is old.
    pub(crate) fn apply(&self, order: &Value, checks_epoch: bool) -> Result<(), StaleOrder> {
        let epoch = Epoch(order["epoch"].as_u64().unwrap_or(0));
        let mut applied = self.applied.lock().unwrap();
        let seen = applied.iter().map(|order| order.epoch).max();
        let newest = seen.unwrap_or_default();
        if checks_epoch && epoch < newest {
            return Err(StaleOrder { newest });
        }
        applied.push(AppliedOrder {
            epoch,
            newest,
            order: order.clone(),
        });
        Ok(())
    }
}
