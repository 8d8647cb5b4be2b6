//! Tests of the fold: verdicts, log gaps, outages, and invariants for arbitrary sequences of records.

mod any_order;
mod fixtures;
mod outage;
mod reader;
mod verdicts;
