//! Actions under keys, and without, while services, the log and nodes fail.

use sesamecart_runtime::Signal;
use sesamecart_standins::{LogOutage, PlainServiceFaults, receipt_of};

use crate::setup::{Deployment, wait_until};

/// Two callers, or one that lost its answer, send the same booking through two nodes. The user must
/// find one booking and get the same answer twice.
#[test]
fn same_key_through_two_nodes_runs_once() {
    let deployment = Deployment::start(false);
    let first = deployment.transfer(0, "t-1", Some("k-1"));
    let second = deployment.transfer(1, "t-1", Some("k-1"));
    assert_eq!(
        (first.outcome(), second.outcome()),
        ("answered", "answered"),
        "{first:?}"
    );
    assert_eq!(first.body, second.body);
    assert!(first.body.contains(&receipt_of("t-1")));
    assert_eq!(first.header("idempotency-replayed"), None);
    assert_eq!(second.header("idempotency-replayed"), Some("true"));
    assert_eq!(deployment.ledger.runs_of("t-1"), 1);
}

/// A program uses one key for two bookings. The second must be refused, as the user would otherwise
/// take the first's answer for it.
#[test]
fn same_key_with_another_body_is_refused() {
    let deployment = Deployment::start(false);
    deployment.transfer(0, "t-1", Some("k-1"));
    let second = deployment.transfer(1, "t-2", Some("k-1"));
    assert_eq!(
        (second.status.as_str(), second.outcome()),
        ("422", "not-run")
    );
    assert_eq!(second.code(), "idempotency_key_mismatch");
    assert_eq!(deployment.ledger.runs_of("t-2"), 0);
}

/// An impatient program sends the same booking six times at once. One runs, and all get its answer.
#[test]
fn concurrent_duplicates_wait_for_the_first() {
    let deployment = Deployment::start(false);
    deployment.set_service_faults(PlainServiceFaults {
        delay_ms: 60,
        ..PlainServiceFaults::default()
    });
    let deployment = &deployment;
    std::thread::scope(|scope| {
        let calls: Vec<_> = (0..6)
            .map(|call| scope.spawn(move || deployment.transfer(call % 3, "t-1", Some("k-1"))))
            .collect();
        for call in calls {
            let answer = call.join().expect("a call");
            assert_eq!(answer.outcome(), "answered", "{answer:?}");
            assert!(answer.body.contains("\"run\":1"), "{answer:?}");
        }
    });
    assert_eq!(deployment.ledger.runs_of("t-1"), 1);
}

fn lost_answers() -> PlainServiceFaults {
    PlainServiceFaults {
        cut_after_running: 1.0,
        ..PlainServiceFaults::default()
    }
}

/// The booking runs, and the connection breaks before its answer. Nobody can tell the user whether it
/// ran, and sending it again could run it twice.
#[test]
fn lost_answer_is_unknown_and_not_run_again() {
    let deployment = Deployment::start(false);
    deployment.set_service_faults(lost_answers());
    let first = deployment.transfer(0, "t-1", Some("k-1"));
    assert_eq!(
        (first.outcome(), first.code().as_str()),
        ("unknown", "no_answer")
    );
    deployment.set_service_faults(PlainServiceFaults::default());
    let second = deployment.transfer(1, "t-1", Some("k-1"));
    assert_eq!(second.code(), "idempotency_key_unknown");
    assert!(second.header("retry-after").is_some());
    assert_eq!(deployment.ledger.runs_of("t-1"), 1);
}

/// The same, with a service that can be asked: the user gets the answer at once.
#[test]
fn lost_answer_is_asked_for() {
    let deployment = Deployment::start(true);
    deployment.set_service_faults(lost_answers());
    let answer = deployment.transfer(0, "t-1", Some("k-1"));
    assert_eq!(answer.outcome(), "answered", "{answer:?}");
    assert!(answer.body.contains(&receipt_of("t-1")));
    assert_eq!(deployment.ledger.runs_of("t-1"), 1);
}

/// The connection breaks before the service runs the booking. The service promises not to run it any
/// more, so the user is told that it wasn't, and can book again under the same key.
#[test]
fn try_that_is_settled_as_not_run_can_be_made_again() {
    let deployment = Deployment::start(true);
    deployment.set_service_faults(PlainServiceFaults {
        cut_before_running: 1.0,
        ..PlainServiceFaults::default()
    });
    let first = deployment.transfer(0, "t-1", Some("k-1"));
    assert_eq!(first.outcome(), "not-run", "{first:?}");
    assert_eq!(deployment.ledger.runs_of("t-1"), 0);
    deployment.set_service_faults(PlainServiceFaults::default());
    let second = deployment.transfer(1, "t-1", Some("k-1"));
    assert_eq!(second.outcome(), "answered", "{second:?}");
    assert_eq!(deployment.ledger.runs_of("t-1"), 1);
}

/// The log is out while users book. Bookings go on, since the owner's voters keep the intents, and a
/// booking repeated through another node runs once; the log gets them when it is back.
macro_rules! outages {
    ($($name:ident: $outage:ident;)*) => {$(
        #[test]
        fn $name() {
            let deployment = Deployment::start(false);
            deployment.set_log_outage(LogOutage::$outage);
            let first = deployment.transfer(0, "t-1", Some("k-1"));
            assert_eq!(first.outcome(), "answered", "{first:?}");
            let second = deployment.transfer(1, "t-1", Some("k-1"));
            assert_eq!(second.header("idempotency-replayed"), Some("true"), "{second:?}");
            deployment.set_log_outage(LogOutage::None);
            wait_until("the booking's end in the log", || {
                let records = deployment.log.records();
                let texts = records.iter().map(|data| String::from_utf8_lossy(data).into_owned());
                texts.filter(|text| text.contains("\"k-1\"")).any(|text| text.contains("answered"))
            });
            assert_eq!(deployment.ledger.runs_of("t-1"), 1);
        }
    )*};
}

outages! {
    booking_goes_on_while_the_log_refuses: Refusing;
    booking_goes_on_while_the_log_cuts_connections: Cutting;
    booking_goes_on_while_the_log_is_silent: Silent;
}

/// An owner of keys dies after it has answered. The next owner knows from the log what ran, and gives
/// the first answers again.
#[test]
fn next_owner_gives_the_first_answers() {
    let mut deployment = Deployment::start(false);
    let keys: Vec<_> = (0..12).map(|index| format!("k-{index}")).collect();
    for key in &keys {
        assert_eq!(deployment.transfer(1, key, Some(key)).outcome(), "answered");
    }
    wait_until("all ends in the log", || {
        let records = deployment.log.records();
        let text: String = records
            .iter()
            .map(|data| String::from_utf8_lossy(data).into_owned())
            .collect();
        text.matches("\"answered\"").count() >= keys.len()
    });
    deployment.kill(0);
    for key in &keys {
        wait_until("the first answer", || {
            deployment.transfer(1, key, Some(key)).outcome() == "answered"
        });
        assert_eq!(deployment.ledger.runs_of(key), 1);
    }
}

/// An owner dies while the log is out; only its voters know what it let through. The next owner must
/// hear of it from them, or bookings that are repeated would run twice.
#[test]
fn next_owner_hears_of_an_outage_from_the_voters() {
    let mut deployment = Deployment::start(true);
    deployment.set_log_outage(LogOutage::Refusing);
    let keys: Vec<_> = (0..12).map(|index| format!("k-{index}")).collect();
    let booked = keys
        .iter()
        .filter(|key| deployment.transfer(1, key, Some(key)).outcome() == "answered")
        .count();
    assert!(booked > 0, "nothing was booked in the outage");
    deployment.kill(0);
    deployment.set_log_outage(LogOutage::None);
    for key in &keys {
        wait_until("an answer", || {
            deployment.transfer(2, key, Some(key)).outcome() == "answered"
        });
        assert_eq!(deployment.ledger.runs_of(key), 1);
    }
}

/// A caller loses its connection right after it has booked. The booking goes on, and the caller gets
/// its answer when it asks again.
#[test]
fn booking_goes_on_when_its_caller_leaves() {
    let deployment = Deployment::start(false);
    deployment.set_service_faults(PlainServiceFaults {
        delay_ms: 150,
        ..PlainServiceFaults::default()
    });
    let body = r#"{"transfer":"t-1"}"#;
    let key = "idempotency-key: k-1\r\n";
    let stream = deployment.send(0, "POST", "/services/stock/transfers", key, body);
    let running = || {
        deployment
            .services
            .iter()
            .any(|service| service.running() > 0)
    };
    wait_until("the booking at the service", running);
    drop(stream);
    let answer = deployment.transfer(1, "t-1", Some("k-1"));
    assert_eq!(
        answer.header("idempotency-replayed"),
        Some("true"),
        "{answer:?}"
    );
    assert_eq!(deployment.ledger.runs_of("t-1"), 1);
}

/// The service closes connections that were used before just as the next request is written. A
/// look-up may be sent again; a booking on such a connection would be unknown, so it never is.
#[test]
fn booking_never_goes_out_on_a_used_connection() {
    let deployment = Deployment::start(false);
    for _ in 0..4 {
        let found = deployment.call(0, "GET", "/services/stock/orders/t-1", "", "");
        assert_eq!(found.status, "200");
    }
    deployment.set_service_faults(PlainServiceFaults {
        cut_on_reuse: 1.0,
        ..PlainServiceFaults::default()
    });
    for (transfer, key) in [("t-1", None), ("t-2", Some("k-2"))] {
        let answer = deployment.transfer(0, transfer, key);
        assert_eq!(answer.outcome(), "answered", "{answer:?}");
        assert_eq!(deployment.ledger.runs_of(transfer), 1);
    }
}

/// A booking without a key loses its answer. It must not be sent again, and the user is told that
/// nobody knows.
#[test]
fn booking_without_a_key_is_never_sent_twice() {
    let deployment = Deployment::start(true);
    deployment.set_service_faults(lost_answers());
    let answer = deployment.transfer(0, "t-1", None);
    assert_eq!(answer.outcome(), "unknown", "{answer:?}");
    assert_eq!(deployment.ledger.runs_of("t-1"), 1);
}

/// One process of the service is gone. Nothing reached it, so the booking goes to the other.
#[test]
fn booking_that_was_not_sent_goes_elsewhere() {
    let deployment = Deployment::start(false);
    deployment.services[0].crash();
    for index in 0..6 {
        let transfer = format!("t-{index}");
        let answer = deployment.transfer(0, &transfer, Some(&transfer));
        assert_eq!(answer.outcome(), "answered", "{answer:?}");
        assert_eq!(deployment.ledger.runs_of(&transfer), 1);
    }
}

/// A node is told to leave while a booking runs. The booking ends, its end is in the log, and the
/// node gives its shards up, so that the next owners need not wait for it.
#[test]
fn leaving_node_cuts_no_booking_off() {
    let mut deployment = Deployment::start(false);
    deployment.set_service_faults(PlainServiceFaults {
        delay_ms: 150,
        ..PlainServiceFaults::default()
    });
    let leaving = deployment.nodes[0].take().expect("the node runs");
    let address = leaving.callers();
    let deployment = &deployment;
    std::thread::scope(|scope| {
        let call = scope.spawn(move || {
            use std::io::{Read as _, Write as _};
            let body = r#"{"transfer":"t-1"}"#;
            let mut stream = std::net::TcpStream::connect(address).expect("connect");
            let request = format!(
                "POST /services/stock/transfers HTTP/1.1\r\nhost: node\r\n\
                 authorization: Bearer {}\r\nidempotency-key: k-1\r\nconnection: close\r\n\
                 content-length: {}\r\n\r\n{body}",
                crate::setup::KEY,
                body.len()
            );
            stream.write_all(request.as_bytes()).expect("write");
            let mut answer = String::new();
            let _read = stream.read_to_string(&mut answer);
            answer
        });
        let running = || {
            deployment
                .services
                .iter()
                .any(|service| service.running() > 0)
        };
        wait_until("the booking at the service", running);
        let (_never, hurry) = Signal::new();
        assert_eq!(async_io::block_on(leaving.leave(&hurry)), 0);
        let answer = call.join().expect("a call");
        assert!(answer.contains(&receipt_of("t-1")), "{answer}");
    });
    let again = deployment.transfer(1, "t-1", Some("k-1"));
    assert_eq!(
        again.header("idempotency-replayed"),
        Some("true"),
        "{again:?}"
    );
    assert_eq!(deployment.ledger.runs_of("t-1"), 1);
}
