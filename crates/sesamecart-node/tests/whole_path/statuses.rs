//! Answers whose status isn't one.

use std::cell::RefCell;
use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::setup::{Answer, Deployment, wait_until};

const BODY: &str = r#"{"receipt":"false"}"#;

/// How long a connection may stay without a request.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Takes the place of a stand-in and answers each request with a status line of the test.
struct RawServer {
    address: SocketAddr,
    /// The requests that were answered, as far as the first read has them.
    requests: Arc<Mutex<Vec<String>>>,
    is_over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl RawServer {
    fn start(address: SocketAddr, status: &'static str) -> Self {
        let bound = RefCell::new(None);
        wait_until("a free address", || {
            *bound.borrow_mut() = TcpListener::bind(address).ok();
            bound.borrow().is_some()
        });
        let listener = bound.into_inner().expect("it is bound");
        let requests = Arc::<Mutex<Vec<String>>>::default();
        let is_over = Arc::<AtomicBool>::default();
        let (answered, over) = (Arc::clone(&requests), Arc::clone(&is_over));
        let thread = std::thread::spawn(move || {
            for stream in listener.incoming() {
                if over.load(Ordering::Relaxed) {
                    return;
                }
                let mut stream = stream.expect("a connection");
                let limited = stream.set_read_timeout(Some(READ_TIMEOUT));
                limited.expect("the time isn't zero");
                let mut request = [0; 4_096];
                // A check of the path closes its connection without a request.
                let read = stream.read(&mut request).unwrap_or(0);
                if read > 0 {
                    let request = String::from_utf8_lossy(&request[..read]).into_owned();
                    answered.lock().expect("no thread panics").push(request);
                    let length = BODY.len();
                    let head = format!("HTTP/1.1 {status} Odd\r\ncontent-length: {length}");
                    let _written = write!(stream, "{head}\r\n\r\n{BODY}");
                }
            }
        });
        Self {
            address,
            requests,
            is_over,
            thread: Some(thread),
        }
    }
}

impl Drop for RawServer {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        // The listener's thread waits for a connection.
        let _connected = TcpStream::connect(self.address);
        if let Some(thread) = self.thread.take() {
            thread.join().expect("it ends");
        }
    }
}

fn check_error(answer: &Answer) {
    assert!(answer.status.starts_with('5'), "{answer:?}");
    assert!(!answer.body.contains("receipt"), "{answer:?}");
    assert_ne!(answer.outcome(), "answered", "{answer:?}");
}

/// Books a transfer at services that answer with an invalid status, and once more at another node. Checks that no caller
/// gets it as an answer, and that no transfer is sent twice.
fn check_transfer(status: &'static str, key: Option<&str>) {
    let deployment = Deployment::start(false);
    let servers: Vec<RawServer> = deployment
        .services
        .iter()
        .map(|service| {
            service.crash();
            RawServer::start(service.address(), status)
        })
        .collect();
    // Nodes ask each endpoint for its load as well.
    let requests = || -> Vec<String> {
        let lists = servers.iter().map(|server| server.requests.lock());
        let all = lists.flat_map(|list| list.expect("no thread panics").clone());
        all.filter(|request| request.starts_with("POST /transfers "))
            .collect()
    };
    check_error(&deployment.transfer(0, "t-1", key));
    assert_eq!(requests().len(), 1, "{:?}", requests());
    check_error(&deployment.transfer(1, "t-1", key));
    let expected = if key.is_some() { 1 } else { 2 };
    assert_eq!(requests().len(), expected, "{:?}", requests());
}

/// Asks engines for a completion that answer with an invalid status. Checks that the caller doesn't get it as an answer.
fn check_completion(status: &'static str, is_stream: bool) {
    let deployment = Deployment::start(false);
    let servers = deployment.engines.iter().map(|engine| {
        engine.crash();
        RawServer::start(engine.address(), status)
    });
    let _servers: Vec<RawServer> = servers.collect();
    let body =
        format!(r#"{{"model":"assistant","max_tokens":4,"prompt":"p","stream":{is_stream}}}"#);
    check_error(&deployment.call(2, "POST", "/v1/completions", "", &body));
}

macro_rules! status_cases {
    ($($name:ident: $check:ident($status:literal, $argument:expr);)*) => {
        $(
            /// Guards against passing on a status that isn't one as an answer, or keeping it under a key.
            #[test]
            fn $name() {
                $check($status, $argument);
            }
        )*
    };
}

status_cases! {
    a_transfer_answered_with_000_is_an_error: check_transfer("000", None);
    a_transfer_under_a_key_answered_with_000_is_an_error: check_transfer("000", Some("k-1"));
    a_transfer_under_a_key_answered_with_1000_is_an_error: check_transfer("1000", Some("k-1"));
    a_transfer_under_a_key_answered_with_letters_is_an_error: check_transfer("abc", Some("k-1"));
    a_completion_answered_with_000_is_an_error: check_completion("000", false);
    a_stream_answered_with_000_is_an_error: check_completion("000", true);
}
