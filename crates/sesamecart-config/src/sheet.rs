//! The planners' sheet: one row for each serving group and each process of a plain service.
//!
//! docs/sheet.md describes the columns. Everything that is wrong is told in one run.

mod cells;
mod column;
mod import;
mod row;
mod table;
#[cfg(test)]
mod tests;

pub use import::{Import, import_sheet};
