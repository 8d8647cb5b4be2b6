//! A node that competes for control, for the tests of several modules.

use std::sync::Arc;
use std::time::Duration;

use sesamecart_edges::HttpClient;
use sesamecart_platform::Store;
use sesamecart_platform_standins::Store as StoreStandIn;
use sesamecart_runtime::Worker;

use crate::controller::lease::Lease;
use crate::state::EntryState;
use crate::store_observer::StoreCalls;
use crate::testkit::new_state;

/// A node that reads a store and competes for control, on a thread of its own.
pub(super) struct Competitor {
    pub(super) state: Arc<EntryState>,
    pub(super) client: HttpClient,
    pub(super) lease: Arc<Lease>,
    _worker: Worker,
}

impl Competitor {
    pub(super) fn start(store: &StoreStandIn) -> Self {
        let state = Arc::new(new_state(true));
        state.set_upstream(None);
        let worker = Worker::start("lease").expect("a thread starts");
        let client = HttpClient::new(worker.tasks().clone(), Duration::from_millis(250));
        let calls = StoreCalls::new(Arc::clone(&state));
        let limit = Duration::from_millis(900);
        let store = Store::new(client.clone(), store.address(), limit, calls);
        let lease = Arc::new(Lease::new(Arc::clone(&state), store));
        worker.tasks().spawn(Arc::clone(&lease).run());
        Self {
            state,
            client,
            lease,
            _worker: worker,
        }
    }

    /// Returns whether the node has control.
    pub(super) fn is_holder(&self) -> bool {
        self.lease.fence().is_some()
    }
}
