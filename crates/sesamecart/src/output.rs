//! Tables for people and JSON for programs.

use serde::Serialize;

use crate::arguments::Output;

/// A table of texts.
#[derive(Debug, Default)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Begins with the headers.
    pub(crate) fn new(headers: &[&str]) -> Self {
        Self {
            rows: vec![headers.iter().map(|header| (*header).to_owned()).collect()],
        }
    }

    pub(crate) fn row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    /// Writes the columns under each other.
    pub(crate) fn print(&self) {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<_> = (0..columns).map(width).collect();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let line: Vec<_> = cells
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            println!("{}", line.join("  ").trim_end());
        }
    }
}

/// Prints a reply as JSON, or by `table`.
pub(crate) fn print<T: Serialize>(output: Output, reply: &T, table: impl FnOnce(&T)) {
    match output {
        Output::Table => table(reply),
        Output::Json => match serde_json::to_string_pretty(reply) {
            Ok(text) => println!("{text}"),
            Err(error) => eprintln!("sesamecart: the reply can't be printed: {error}"),
        },
    }
}

/// Joins names, or says that there are none.
pub(crate) fn list<T: ToString>(values: impl IntoIterator<Item = T>) -> String {
    let values: Vec<_> = values.into_iter().map(|value| value.to_string()).collect();
    if values.is_empty() {
        return "-".to_owned();
    }
    values.join(" ")
}

/// Writes a value, or that there is none.
pub(crate) fn or_dash(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

/// Writes a time of the wall clock as UTC.
pub(crate) fn utc(at_ms: u64) -> String {
    const SECONDS_A_DAY: u64 = 86_400;
    let seconds = at_ms / 1_000;
    let of_day = seconds % SECONDS_A_DAY;
    let (hour, minute, second) = (of_day / 3_600, of_day / 60 % 60, of_day % 60);
    format!(
        "{}T{hour:02}:{minute:02}:{second:02}Z",
        date(seconds / SECONDS_A_DAY)
    )
}

/// Returns the date of a day since 1970-01-01.
///
/// It counts in years that begin in March, so that the leap day is the last of its year.
fn date(days: u64) -> String {
    let days = days + 719_468;
    let era = days / 146_097;
    let day_of_era = days % 146_097;
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 {
        month_from_march + 3
    } else {
        month_from_march - 9
    };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    format!("{year:04}-{month:02}-{day:02}")
}

#[cfg(test)]
mod tests;
