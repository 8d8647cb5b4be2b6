//! Tests what is reported to dispatchers, and when.

use std::time::Duration;

use sesamecart_fleet::{AttemptEnd, PoolPart, Ticket, TokenCounts};
use sesamecart_vocabulary::{NodeId, Timestamp};

use super::{Attempt, Outbox, REPORT_INTERVAL, Report};

const START: Timestamp = Timestamp(1_000_000);

/// A time long before the next report is due without changes.
const SOON: Duration = Duration::from_millis(20);

fn part() -> PoolPart {
    PoolPart {
        service: "llm".parse().expect("a valid service"),
        model: "m".parse().expect("a valid model"),
        part: 0,
    }
}

fn attempt() -> Attempt {
    Attempt {
        service: part().service,
        model: part().model,
        endpoint: "e1".parse().expect("a valid endpoint"),
        tokens: TokenCounts {
            prompt: 100.0,
            answer: 10.0,
        },
    }
}

fn node(name: &str) -> NodeId {
    name.parse().expect("a valid node")
}

/// An outbox with one attempt, which was sent at `START`.
struct Fixture {
    outbox: Outbox,
    ticket: Ticket,
}

impl Fixture {
    fn new() -> Self {
        let mut outbox = Outbox::default();
        let ticket = outbox.new_ticket();
        outbox.record_sent(START, ticket, attempt());
        Self { outbox, ticket }
    }

    fn take(&mut self, now: Timestamp, dispatcher: &str) -> Option<Report> {
        let (own, dispatcher) = (node("n1"), node(dispatcher));
        self.outbox.take_report(now, &own, &part(), 1, &dispatcher)
    }
}

fn tickets(report: &Report) -> Vec<Ticket> {
    report.held.iter().map(|held| held.key.ticket).collect()
}

#[test]
fn the_first_report_to_a_dispatcher_is_complete() {
    let mut fixture = Fixture::new();
    let report = fixture.take(START + SOON, "d1").expect("a report is due");
    assert!(report.is_complete);
    assert_eq!(tickets(&report), [fixture.ticket]);
    assert_eq!(report.held[0].age, SOON);
    assert_eq!(fixture.take(START + SOON, "d1"), None);
}

#[test]
fn later_reports_name_changes_only() {
    let mut fixture = Fixture::new();
    let _first = fixture.take(START, "d1");
    let second = fixture.outbox.new_ticket();
    fixture.outbox.record_sent(START + SOON, second, attempt());
    let report = fixture.take(START + SOON, "d1").expect("a report is due");
    assert!(!report.is_complete);
    assert_eq!(tickets(&report), [second]);
}

#[test]
fn a_start_is_reported_with_its_time() {
    let mut fixture = Fixture::new();
    let _first = fixture.take(START, "d1");
    fixture.outbox.record_started(START + SOON, fixture.ticket);
    let report = fixture.take(START + SOON, "d1").expect("a report is due");
    assert_eq!(report.held[0].started_after, Some(SOON));
}

/// Dispatchers learn from starts, so that of a short response must not be lost.
#[test]
fn a_start_is_reported_although_the_attempt_has_ended() {
    let mut fixture = Fixture::new();
    let _first = fixture.take(START, "d1");
    fixture.outbox.record_started(START + SOON, fixture.ticket);
    fixture
        .outbox
        .record_ended(fixture.ticket, 1, AttemptEnd::Finished);
    let report = fixture.take(START + SOON, "d1").expect("a report is due");
    assert_eq!(tickets(&report), [fixture.ticket]);
    assert_eq!(report.ended, [fixture.ticket]);
    assert!(fixture.outbox.is_empty());
}

/// A connection that is refused ends an attempt before it was reported. Dispatchers must learn of it, or they assign
/// more requests to an endpoint that is gone.
#[test]
fn an_attempt_that_fails_at_once_is_reported_although_it_has_ended() {
    let mut fixture = Fixture::new();
    fixture
        .outbox
        .record_ended(fixture.ticket, 1, AttemptEnd::Finished);
    let report = fixture.take(START + SOON, "d1").expect("a report is due");
    assert_eq!(tickets(&report), [fixture.ticket]);
    assert_eq!(report.held[0].started_after, None);
    assert_eq!(report.ended, [fixture.ticket]);
}

/// Guards against an endpoint that counts as failing because callers leave before its first event.
#[test]
fn an_attempt_whose_caller_has_left_is_reported_as_abandoned() {
    let mut fixture = Fixture::new();
    let _first = fixture.take(START, "d1");
    fixture
        .outbox
        .record_ended(fixture.ticket, 1, AttemptEnd::Abandoned);
    let report = fixture.take(START + SOON, "d1").expect("a report is due");
    assert_eq!(report.abandoned, [fixture.ticket]);
    assert!(report.ended.is_empty());
}

#[test]
fn an_end_is_reported_once() {
    let mut fixture = Fixture::new();
    let _first = fixture.take(START, "d1");
    fixture
        .outbox
        .record_ended(fixture.ticket, 1, AttemptEnd::Finished);
    let report = fixture.take(START + SOON, "d1").expect("a report is due");
    assert_eq!((report.held.len(), report.ended), (0, vec![fixture.ticket]));
    assert_eq!(fixture.take(START + REPORT_INTERVAL * 2, "d1"), None);
}

/// A dispatcher that hears nothing of a node believes that it is gone.
#[test]
fn a_node_with_requests_reports_even_if_nothing_changes() {
    let mut fixture = Fixture::new();
    let _first = fixture.take(START, "d1");
    assert_eq!(fixture.take(START + SOON, "d1"), None);
    let report = fixture.take(START + REPORT_INTERVAL, "d1");
    assert_eq!(report, Some(Report::default()));
}

macro_rules! complete_again {
    ($($name:ident: $change:expr, $dispatcher:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut fixture = Fixture::new();
                let _first = fixture.take(START, "d1");
                let change: fn(&mut Fixture) = $change;
                change(&mut fixture);
                let report = fixture.take(START + SOON, $dispatcher).expect("a report is due");
                assert!(report.is_complete);
                assert_eq!(tickets(&report), [fixture.ticket]);
            }
        )*
    };
}

complete_again! {
    another_dispatcher_gets_everything: |_| {}, "d2";
    everything_is_reported_after_a_failed_report:
        |fixture| fixture.outbox.mark_failed(&part()), "d1";
}

/// With another number of parts, other heads belong to each part.
#[test]
fn everything_is_reported_after_the_number_of_parts_changed() {
    let mut fixture = Fixture::new();
    let _first = fixture.take(START, "d1");
    let reports = (0..2).filter_map(|index| {
        let part = PoolPart {
            part: index,
            ..part()
        };
        let (own, dispatcher) = (node("n1"), node("d1"));
        fixture
            .outbox
            .take_report(START + SOON, &own, &part, 2, &dispatcher)
    });
    let reports: Vec<Report> = reports.collect();
    assert_eq!(reports.len(), 1, "the endpoint is in one part: {reports:?}");
    assert!(reports[0].is_complete);
}

#[test]
fn an_unused_ticket_is_reported_as_ended() {
    let mut fixture = Fixture::new();
    let _first = fixture.take(START, "d1");
    let unused = fixture.outbox.new_ticket();
    fixture.outbox.record_unused(part(), unused);
    let report = fixture.take(START + SOON, "d1").expect("a report is due");
    assert_eq!(report.ended, [unused]);
}

/// Guards against reports that pile up for a pool that is no longer dispatched.
#[test]
fn nothing_is_kept_for_parts_without_dispatcher() {
    let mut outbox = Outbox::default();
    let ticket = outbox.new_ticket();
    outbox.record_unused(part(), ticket);
    outbox.retain_parts(|_| false);
    assert!(outbox.is_empty());
}
