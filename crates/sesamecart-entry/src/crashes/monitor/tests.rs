//! Tests of which interrupted runs are evidence against a request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexSet;
use sesamecart_edges::HttpClient;
use sesamecart_fleet::{
    Directory, Endpoint, EndpointCrash, EndpointState, Incarnation, RequestOrigin, Suspects,
    Suspicion,
};
use sesamecart_platform::Store as StoreClient;
use sesamecart_platform_standins::{Engine, EngineKind, EngineSetup, Store, USUAL_SLOTS};
use sesamecart_runtime::Worker;
use sesamecart_vocabulary::{Fingerprint, RequestIdentity};

use super::{Checks, CrashMonitor, NOT_CRASHED_TTL};
use crate::clock;
use crate::crashes::{InterruptedRun, SendContext};
use crate::state::EntryState;
use crate::store_observer::StoreCalls;
use crate::testkit::new_state;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The incarnation that the stand-in endpoints report.
const INCARNATION: Incarnation = Incarnation(1_700_000_000_000);

/// A node's monitor, a service with running endpoints, and an address at which nothing listens.
struct Setup {
    state: Arc<EntryState>,
    monitor: CrashMonitor,
    engines: Vec<Engine>,
    stopped: SocketAddr,
    _store: Store,
    _worker: Worker,
}

impl Setup {
    fn new() -> Self {
        let store = Store::start().expect("the store listens");
        let engines = (0..6).map(|index| {
            let setup = EngineSetup {
                id: format!("e{index}"),
                service: "app".to_owned(),
                zone: "a".to_owned(),
                kind: EngineKind::Plain,
                events: 1,
                slots: USUAL_SLOTS,
            };
            Engine::start(&store, setup).expect("the endpoint listens")
        });
        let engines: Vec<Engine> = engines.collect();
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let stopped = listener.local_addr().expect("the listener has an address");
        drop(listener);
        let state = Arc::new(new_state(false));
        let worker = Worker::start("monitor").expect("a thread starts");
        let client = HttpClient::new(worker.tasks().clone(), CONNECT_TIMEOUT);
        let calls = StoreCalls::new(Arc::clone(&state));
        let store_client =
            StoreClient::new(client.clone(), store.address(), CONNECT_TIMEOUT, calls);
        let tasks = worker.tasks().clone();
        let monitor = CrashMonitor::new(Arc::clone(&state), store_client, client, tasks);
        Self {
            state,
            monitor,
            engines,
            stopped,
            _store: store,
            _worker: worker,
        }
    }

    /// Lists endpoints, of which the first is the one whose run is interrupted.
    fn list(&self, endpoints: &[Endpoint]) {
        let mut directory = Directory::default();
        for endpoint in endpoints {
            directory.put(clock::now(), endpoint.clone());
        }
        self.state.directory.store(Arc::new(directory));
    }

    /// Lists four endpoints that have stopped and two that run, so that the node's links aren't lost. Returns one of
    /// the four.
    fn list_lost_with_others(&self) -> Endpoint {
        let stopped = (0..4).map(|index| self.stopped(index));
        let running = (0..2).map(|index| self.running(index));
        let listed: Vec<Endpoint> = stopped.chain(running).collect();
        self.list(&listed);
        listed[0].clone()
    }

    /// Returns the number of crashes that are attributed to a request after its run at the endpoint was
    /// interrupted.
    fn crashes_after_run_at(&self, endpoint: &Endpoint, crashes_before: u32) -> u32 {
        let request = request();
        let suspects = Suspects {
            request,
            parts: Vec::new(),
            customer: None,
        };
        let suspicion = Suspicion {
            crashes: crashes_before,
            clearances: 0,
        };
        let suspicions = [(request, suspicion)].into_iter().collect();
        let (checked, _closed) = async_channel::bounded(1);
        let run = InterruptedRun {
            crash: EndpointCrash::of(endpoint),
            context: SendContext::new(&suspects, suspicions, Vec::new()),
            suspects: Arc::new(suspects),
            ran: Duration::ZERO,
            origin: RequestOrigin::default(),
            address: endpoint.address,
            has_failed: Arc::default(),
            checked,
        };
        async_io::block_on(self.monitor.check_run(run, &async_lock::OnceCell::new()));
        self.state.crashes.tracker().suspicion(&request).crashes
    }

    fn running(&self, index: usize) -> Endpoint {
        let address = self.engines[index].address();
        endpoint(&format!("e{index}"), address)
    }

    fn stopped(&self, index: usize) -> Endpoint {
        endpoint(&format!("s{index}"), self.stopped)
    }
}

fn request() -> Fingerprint {
    Fingerprint::of(&RequestIdentity {
        customer: None,
        host: "h",
        method: "GET",
        target: "/",
        body: b"",
    })
}

fn endpoint(id: &str, address: SocketAddr) -> Endpoint {
    Endpoint {
        id: id.parse().expect("a valid endpoint name"),
        address,
        service: "app".parse().expect("a valid service name"),
        failure_domain: "a".parse().expect("a valid failure domain name"),
        slots: 8,
        state: EndpointState::Ready,
        cold_for: Duration::ZERO,
        incarnation: Some(INCARNATION),
        fabric_domain: None,
        models: Vec::new(),
        staged: Vec::new(),
        group: None,
    }
}

macro_rules! run_cases {
    ($($(#[doc = $doc:literal])* $name:ident: $endpoint:expr => $crashes:literal;)*) => {
        $(
            $(#[doc = $doc])*
            #[test]
            fn $name() {
                let setup = Setup::new();
                let endpoint: fn(&Setup) -> Endpoint = $endpoint;
                let endpoint = endpoint(&setup);
                setup.list(std::slice::from_ref(&endpoint));
                assert_eq!(setup.crashes_after_run_at(&endpoint, 0), $crashes);
            }
        )*
    };
}

run_cases! {
    an_endpoint_at_which_nothing_listens_has_crashed: |setup| setup.stopped(0) => 1;
    an_endpoint_with_a_new_incarnation_has_crashed: |setup| Endpoint {
        incarnation: Some(Incarnation(1)),
        ..setup.running(0)
    } => 1;
    /// Guards against blaming a request for a connection that was reset.
    an_endpoint_that_still_runs_has_not_crashed: |setup| setup.running(0) => 0;
    /// Guards against blaming a request for a node's own links.
    an_endpoint_that_does_not_answer_has_not_crashed: |setup| {
        setup.engines[0].set_unresponsive(true);
        setup.running(0)
    } => 0;
    /// Guards against blaming a request for the planned end of its endpoint.
    an_endpoint_that_was_draining_has_not_crashed: |setup| Endpoint {
        state: EndpointState::Draining,
        ..setup.stopped(0)
    } => 0;
}

/// Guards against overlooking a crash because the endpoint was still running when a connection to it was
/// reset a moment before.
#[test]
fn an_endpoint_that_was_running_is_checked_again() {
    let setup = Setup::new();
    let (running, crashed) = (setup.running(0), setup.stopped(0));
    let mut checks = Checks::default();
    for (endpoint, has_crashed) in [(&running, false), (&crashed, true)] {
        let check = checks.of(&EndpointCrash::of(endpoint));
        let result = async_io::block_on(check.get_or_init(|| async { has_crashed }));
        assert_eq!(*result, has_crashed);
    }
    std::thread::sleep(NOT_CRASHED_TTL);
    assert_eq!(checks.of(&EndpointCrash::of(&running)).get(), None);
    assert_eq!(checks.of(&EndpointCrash::of(&crashed)).get(), Some(&true));
}

/// Guards against blaming requests in a failure domain that operators take out of service.
#[test]
fn an_endpoint_of_an_evacuated_failure_domain_has_not_crashed() {
    let setup = Setup::new();
    let endpoint = setup.stopped(0);
    setup.list(std::slice::from_ref(&endpoint));
    setup.state.directory.rcu(|directory| {
        let mut directory = Directory::clone(directory);
        directory.set_evacuated(IndexSet::from([endpoint.failure_domain.clone()]));
        directory
    });
    assert_eq!(setup.crashes_after_run_at(&endpoint, 0), 0);
}

/// Guards against blaming a request that was unlucky before for the loss of a failure domain.
#[test]
fn a_crash_among_others_nearby_is_not_the_last_one_before_a_block() {
    let setup = Setup::new();
    let lost = setup.list_lost_with_others();
    assert_eq!(setup.crashes_after_run_at(&lost, 2), 0);
}

/// Guards against a suspected request that may run only at an endpoint that was lost, and is neither run nor blocked.
#[test]
fn an_endpoint_that_was_lost_with_others_is_known_to_have_crashed() {
    let setup = Setup::new();
    let lost = setup.list_lost_with_others();
    setup.crashes_after_run_at(&lost, 2);
    let tracker = setup.state.crashes.tracker();
    assert!(tracker.has_crashed(&EndpointCrash::of(&lost)));
}

#[test]
fn a_crash_among_running_endpoints_may_be_the_last_one_before_a_block() {
    let setup = Setup::new();
    let mut listed = vec![setup.stopped(0)];
    listed.extend((0..6).map(|index| setup.running(index)));
    setup.list(&listed);
    assert_eq!(setup.crashes_after_run_at(&listed[0], 2), 3);
}
