//! The stand-ins speak the protocol of docs/design/platform.md and misbehave when told to.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::{Value, json};
use sesamecart_standins::{
    Engine, EngineConfig, EngineFaults, FaultPlan, Ledger, ListedVm, LogConfig, LogFaults,
    LogOutage, LogService, PlainService, PlainServiceConfig, PlainServiceFaults, VmList, VmRole,
    VmState, WeightStore, WeightStoreConfig, answer_text, answer_token, receipt_of,
};
use sesamecart_vocabulary::Bytes;

/// Sends one request on a connection of its own and returns all that comes back.
fn call(address: SocketAddr, method: &str, path: &str, headers: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n{headers}\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(body.as_bytes()).unwrap();
    let mut answer = Vec::new();
    // A cut connection ends the answer early, which the tests look at.
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn json_of(answer: &str) -> Value {
    let (_, body) = answer.split_once("\r\n\r\n").unwrap();
    serde_json::from_str(body).unwrap()
}

fn transfer(service: &PlainService, id: &str) -> String {
    let body = json!({ "transfer": id }).to_string();
    call(
        service.address(),
        "POST",
        "/transfers",
        "x-sesamecart-attempt: a-1\r\n",
        &body,
    )
}

fn faulty_service(faults: PlainServiceFaults) -> PlainService {
    let faults = FaultPlan::steady(7, faults);
    let ledger = Ledger::default();
    PlainService::start(PlainServiceConfig { faults, ledger }).unwrap()
}

#[test]
fn log_gives_back_what_was_appended() {
    let log = LogService::start(LogConfig::default()).unwrap();
    assert!(call(log.address(), "POST", "/append", "", "first").contains("{\"offset\":0}"));
    assert!(call(log.address(), "POST", "/append", "", "second").contains("{\"offset\":1}"));
    let page = json_of(&call(
        log.address(),
        "GET",
        "/records?from=1&limit=5",
        "",
        "",
    ));
    assert_eq!(page["next"], 2);
    assert_eq!(page["records"][0]["data"], "c2Vjb25k");
}

/// The log applies an append and its answer is lost on the way; whoever appended can't tell it from
/// one that failed, but finds the record when reading.
#[test]
fn log_keeps_a_record_whose_answer_was_lost() {
    let log = LogService::start(LogConfig::default()).unwrap();
    log.set_faults(LogFaults {
        lost_answers: 1.0,
        ..LogFaults::default()
    });
    assert_eq!(call(log.address(), "POST", "/append", "", "kept"), "");
    log.set_faults(LogFaults::default());
    assert_eq!(
        json_of(&call(log.address(), "GET", "/records?from=0", "", ""))["next"],
        1
    );
}

/// The log is out for a while and refuses everything; nothing is appended meanwhile.
#[test]
fn log_refuses_while_out() {
    let log = LogService::start(LogConfig::default()).unwrap();
    log.set_faults(LogFaults {
        outage: LogOutage::Refusing,
        ..LogFaults::default()
    });
    assert!(call(log.address(), "POST", "/append", "", "x").starts_with("HTTP/1.1 503"));
    assert_eq!(log.counts().appends, 0);
}

#[test]
fn service_counts_runs_and_gives_a_receipt() {
    let service = PlainService::start(PlainServiceConfig::default()).unwrap();
    let answer = transfer(&service, "t-1");
    assert!(answer.contains("x-sesamecart-attempt: a-1"), "{answer}");
    assert_eq!(json_of(&answer)["receipt"], receipt_of("t-1"));
    transfer(&service, "t-1");
    assert_eq!(service.runs()["t-1"], 2);
}

/// An answer is lost after the transfer ran. Whoever asks for the try gets the first answer, and a
/// try that never came is refused from then on.
#[test]
fn service_settles_tries() {
    let service = PlainService::start(PlainServiceConfig::default()).unwrap();
    let send = |path: &str, action: &str, body: &str| {
        let header = format!("x-sesamecart-action: {action}\r\n");
        call(service.address(), "POST", path, &header, body)
    };
    send("/transfers", "a-1", r#"{"transfer":"t-1"}"#);
    let settled = json_of(&send("/sesamecart/settle", "a-1", ""));
    assert_eq!(settled["state"], "run");
    let settled = json_of(&send("/sesamecart/settle", "a-2", ""));
    assert_eq!(settled["state"], "not_run");
    let late = send("/transfers", "a-2", r#"{"transfer":"t-2"}"#);
    assert!(late.contains("x-sesamecart-not-run: 1"), "{late}");
    assert!(!service.runs().contains_key("t-2"));
}

macro_rules! cut {
    ($($name:ident: $field:ident runs $runs:expr;)*) => {$(
        #[test]
        fn $name() {
            let service = faulty_service(PlainServiceFaults {
                $field: 1.0,
                ..PlainServiceFaults::default()
            });
            let answer = transfer(&service, "t-1");
            assert!(!answer.contains(&receipt_of("t-1")) || stringify!($field) == "cut_in_answer");
            assert_eq!(service.runs().get("t-1").copied().unwrap_or(0), $runs);
        }
    )*};
}

cut! {
    cut_before_reading_does_not_run: cut_before_reading runs 0;
    cut_before_running_does_not_run: cut_before_running runs 0;
    cut_after_running_has_run: cut_after_running runs 1;
    cut_in_answer_has_run: cut_in_answer runs 1;
    refusal_does_not_run: refused runs 0;
}

const CHAT: &str =
    r#"{"model":"m","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"hello"}]}"#;

fn chat(engine: &Engine, headers: &str) -> String {
    call(
        engine.address(),
        "POST",
        "/v1/chat/completions",
        headers,
        CHAT,
    )
}

#[test]
fn engine_streams_one_token_an_event() {
    let engine = Engine::start(EngineConfig::default()).unwrap();
    let answer = chat(&engine, "x-sesamecart-attempt: a-9\r\n");
    assert_eq!(answer.matches("data: {").count(), 3);
    assert_eq!(answer.matches("\"id\":\"a-9\"").count(), 3);
    assert!(answer.contains("data: [DONE]"));
    let text = answer_text("hello", 3);
    assert_eq!(
        text,
        (0..3)
            .map(|index| answer_token("hello", index))
            .collect::<String>()
    );
    assert!(answer.contains(&answer_token("hello", 2)));
}

#[test]
fn engine_resumes_at_a_token() {
    let engine = Engine::start(EngineConfig::default()).unwrap();
    let answer = chat(&engine, "x-sesamecart-resume-at: 2\r\n");
    assert_eq!(answer.matches("data: {").count(), 1);
    assert!(answer.contains(&answer_token("hello", 2)));
    assert!(answer.contains("x-sesamecart-resume-at: 2"));
}

/// An engine's connection breaks in the middle of a stream; the caller would see the answer stop
/// without an end.
#[test]
fn engine_breaks_a_stream() {
    let engine = Engine::start(EngineConfig::default()).unwrap();
    engine.set_faults(EngineFaults {
        broken: 1.0,
        ..EngineFaults::default()
    });
    assert!(!chat(&engine, "").contains("[DONE]"));
    assert_eq!(engine.counts().answered, 0);
}

#[test]
fn engine_checks_fencing_numbers_when_told_to() {
    for checks_epoch in [true, false] {
        let engine = Engine::start(EngineConfig {
            checks_epoch,
            ..EngineConfig::default()
        })
        .unwrap();
        let order = |epoch: u32| {
            let body = json!({ "order": "load_model", "epoch": epoch, "generation": epoch });
            call(engine.address(), "POST", "/orders", "", &body.to_string())
        };
        assert!(order(5).starts_with("HTTP/1.1 200"));
        assert_eq!(order(4).starts_with("HTTP/1.1 409"), checks_epoch);
        assert_eq!(engine.orders().len(), if checks_epoch { 1 } else { 2 });
    }
}

#[test]
fn crashed_engine_refuses_connections_until_revived() {
    let engine = Engine::start(EngineConfig::default()).unwrap();
    engine.crash();
    while TcpStream::connect(engine.address()).is_ok() {}
    engine.revive();
    assert_eq!(engine.incarnation().0, 2);
    assert!(chat(&engine, "").contains("[DONE]"));
}

/// A VM leaves and the list goes on showing it for its lag.
#[test]
fn vm_list_lags() {
    let vm = ListedVm {
        vm: "vm-1".parse().unwrap(),
        address: "127.0.0.1:7001".parse().unwrap(),
        failure_domain: "muscat-a".parse().unwrap(),
        role: VmRole::Entry,
        state: VmState::Live,
    };
    let list = VmList::start(vec![vm], Duration::from_secs(3_600)).unwrap();
    list.set(Vec::new());
    assert!(call(list.address(), "GET", "/vms", "", "").contains("\"vm\":\"vm-1\""));
    list.set_lag(Duration::ZERO);
    assert!(call(list.address(), "GET", "/vms", "", "").contains("{\"vms\":[]}"));
}

#[test]
fn weight_store_limits_loads() {
    let config = WeightStoreConfig {
        bytes: Bytes(1_000_000),
        bytes_per_second: Bytes(1),
        loads_at_once: 1,
    };
    let store = WeightStore::start(config).unwrap();
    assert!(call(store.address(), "GET", "/weights/m/1", "", "").contains("done_after_ms"));
    assert!(call(store.address(), "GET", "/weights/m/2", "", "").starts_with("HTTP/1.1 429"));
    assert_eq!(store.loads(), 1);
}
