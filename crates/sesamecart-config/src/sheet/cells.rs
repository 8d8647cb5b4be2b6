//! Reading single cells, with a problem for each that can't be read.

use std::fmt::Display;
use std::str::FromStr;

use indexmap::IndexSet;

use super::column::Column;
use super::table::TableRow;
use crate::problem::{Fault, Problem};

/// Reads the cells of one row.
pub(super) struct Cells<'a> {
    pub(super) row: &'a TableRow,
    pub(super) problems: &'a mut Vec<Problem>,
}

impl Cells<'_> {
    pub(super) fn add(&mut self, column: Column, value: impl ToString, fault: Fault) {
        self.problems
            .push(Problem::new(self.row.cell(column), value, fault));
    }

    /// Reads a cell that must be filled.
    pub(super) fn required<T: FromStr<Err: Display>>(&mut self, column: Column) -> Option<T> {
        if self.row.text(column).is_empty() {
            self.add(column, "", Fault::Empty);
            return None;
        }
        self.parse(column, self.row.text(column).to_owned())
    }

    /// Reads a cell that may be empty.
    pub(super) fn optional<T: FromStr<Err: Display> + Default>(
        &mut self,
        column: Column,
    ) -> Option<T> {
        if self.row.text(column).is_empty() {
            return Some(T::default());
        }
        self.parse(column, self.row.text(column).to_owned())
    }

    /// Reads several names, apart by blanks, commas, semicolons or upright strokes.
    pub(super) fn names<T>(&mut self, column: Column) -> IndexSet<T>
    where
        T: FromStr<Err: Display> + Eq + std::hash::Hash,
    {
        let text = self.row.text(column).to_owned();
        let mut names = IndexSet::new();
        for word in text.split([' ', ',', ';', '|', '\n', '\r']) {
            if word.is_empty() {
                continue;
            }
            let Some(name) = self.parse(column, word.to_owned()) else {
                continue;
            };
            if !names.insert(name) && column == Column::Vms {
                self.add(column, word, Fault::RepeatedVm);
            }
        }
        names
    }

    pub(super) fn yes(&mut self, column: Column) -> bool {
        let text = self.row.text(column).to_lowercase();
        match text.as_str() {
            "yes" | "y" | "true" | "1" => true,
            "" | "no" | "n" | "false" | "0" => false,
            _ => {
                let fault = Fault::Form("this is neither yes nor no".to_owned());
                self.add(column, text, fault);
                false
            }
        }
    }

    fn parse<T: FromStr<Err: Display>>(&mut self, column: Column, text: String) -> Option<T> {
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.add(column, text, Fault::Form(error.to_string()));
                None
            }
        }
    }
}
