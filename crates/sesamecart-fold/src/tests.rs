//! Tests of the fold: verdicts, gaps, and what any order of records must keep.

mod any_order;
mod kit;
mod outage;
mod reader;
mod verdicts;
