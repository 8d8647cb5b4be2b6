//! The sheet's text as rows and columns, whatever the spreadsheet did to it.

use csv::{ByteRecord, ReaderBuilder};
use indexmap::IndexMap;

use super::column::Column;
use crate::problem::{Cell, Fault, Problem};

/// The separators that spreadsheets write, by the language of their user.
const SEPARATORS: [u8; 3] = [b',', b';', b'\t'];
/// The mark that some spreadsheets put before UTF-8 text.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// The sheet's rows by column.
#[derive(Debug, Default)]
pub(super) struct Table {
    pub(super) rows: Vec<TableRow>,
}

/// One row that isn't blank.
#[derive(Debug)]
pub(super) struct TableRow {
    /// The line in the file.
    pub(super) line: u64,
    cells: IndexMap<Column, String>,
}

impl TableRow {
    /// Returns a cell's text without blanks around it; empty if there is none.
    pub(super) fn text(&self, column: Column) -> &str {
        self.cells.get(&column).map_or("", |text| text.trim())
    }

    pub(super) fn cell(&self, column: Column) -> Cell {
        Cell {
            row: self.line,
            column: column.to_string(),
        }
    }
}

impl Table {
    /// Reads the sheet's bytes and adds what is wrong with them to `problems`.
    pub(super) fn read(bytes: &[u8], problems: &mut Vec<Problem>) -> Self {
        let bytes = bytes.strip_prefix(BYTE_ORDER_MARK).unwrap_or(bytes);
        let sheet = Preamble::of(bytes);
        let mut reader = ReaderBuilder::new()
            .delimiter(sheet.separator)
            .has_headers(false)
            .flexible(true)
            .from_reader(sheet.body);
        let mut header: Option<Header> = None;
        let mut table = Self::default();
        for record in reader.byte_records() {
            let record = match record {
                Ok(record) => record,
                Err(error) => {
                    let line = error.position().map_or(0, csv::Position::line);
                    let fault = Fault::Unreadable(error.to_string());
                    problems.push(Problem::new(sheet.place(line, "all"), "", fault));
                    break;
                }
            };
            let line = record.position().map_or(0, csv::Position::line) + sheet.skipped_lines;
            let Some(fields) = fields(&record, line, problems) else {
                continue;
            };
            match &header {
                None => header = Some(Header::read(&fields, line, problems)),
                Some(header) => table.rows.push(header.row(&fields, line, problems)),
            }
        }
        if table.rows.is_empty() && problems.is_empty() {
            problems.push(Problem::new(sheet.place(1, "all"), "", Fault::NoRows));
        }
        table
    }
}

/// What stands before the header, and the separator.
struct Preamble<'a> {
    body: &'a [u8],
    separator: u8,
    skipped_lines: u64,
}

impl<'a> Preamble<'a> {
    fn of(bytes: &'a [u8]) -> Self {
        let (first, rest) = match bytes.iter().position(|byte| *byte == b'\n') {
            Some(end) => bytes.split_at(end + 1),
            None => (bytes, &[][..]),
        };
        // Some spreadsheets name the separator in a line of its own.
        if let [b's', b'e', b'p', b'=', separator, ..] = first
            && SEPARATORS.contains(separator)
        {
            return Self {
                body: rest,
                separator: *separator,
                skipped_lines: 1,
            };
        }
        Self {
            body: bytes,
            separator: guess_separator(bytes),
            skipped_lines: 0,
        }
    }

    fn place(&self, line: u64, column: &str) -> Cell {
        Cell {
            row: line + self.skipped_lines,
            column: column.to_owned(),
        }
    }
}

/// Returns the separator that stands most often in the first line with any.
fn guess_separator(bytes: &[u8]) -> u8 {
    let count = |line: &[u8], separator: u8| line.iter().filter(|byte| **byte == separator).count();
    let lines = bytes.split(|byte| *byte == b'\n');
    let mut guesses = lines.filter_map(|line| {
        let named = line.iter().any(u8::is_ascii_alphanumeric);
        let best = SEPARATORS.into_iter().max_by_key(|byte| count(line, *byte));
        best.filter(|_| named)
    });
    guesses.next().unwrap_or(b',')
}

/// Returns a row's texts; none for a blank row.
fn fields(record: &ByteRecord, line: u64, problems: &mut Vec<Problem>) -> Option<Vec<String>> {
    let mut fields = Vec::with_capacity(record.len());
    for (index, field) in record.iter().enumerate() {
        let Ok(text) = std::str::from_utf8(field) else {
            let place = Cell {
                row: line,
                column: format!("number {}", index + 1),
            };
            let value = String::from_utf8_lossy(field);
            problems.push(Problem::new(place, value, Fault::NotText));
            fields.push(String::new());
            continue;
        };
        fields.push(text.replace('\u{a0}', " "));
    }
    fields
        .iter()
        .any(|text| !text.trim().is_empty())
        .then_some(fields)
}

/// Which column stands where.
struct Header {
    columns: Vec<HeaderCell>,
}

/// What a column's header says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HeaderCell {
    /// One of the columns that the import reads.
    Known(Column),
    /// The planners' own column, which is passed over.
    Other,
    /// A column without a header.
    Empty,
}

impl Header {
    fn read(fields: &[String], line: u64, problems: &mut Vec<Problem>) -> Self {
        let mut columns = Vec::new();
        for text in fields {
            let cell = match Column::of_header(text) {
                Some(column) => HeaderCell::Known(column),
                None if text.trim().is_empty() => HeaderCell::Empty,
                None => HeaderCell::Other,
            };
            if matches!(cell, HeaderCell::Known(_)) && columns.contains(&cell) {
                let place = Cell {
                    row: line,
                    column: text.trim().to_owned(),
                };
                problems.push(Problem::new(place, text, Fault::RepeatedColumn));
            }
            columns.push(cell);
        }
        for column in Column::ALL {
            let found = columns.contains(&HeaderCell::Known(column));
            if column.is_required() && !found {
                let place = Cell {
                    row: line,
                    column: column.to_string(),
                };
                problems.push(Problem::new(place, "", Fault::MissingColumn));
            }
        }
        Self { columns }
    }

    fn row(&self, fields: &[String], line: u64, problems: &mut Vec<Problem>) -> TableRow {
        let mut cells = IndexMap::new();
        for (index, text) in fields.iter().enumerate() {
            match self.columns.get(index).copied() {
                Some(HeaderCell::Known(column)) => {
                    cells.entry(column).or_insert_with(|| text.clone());
                }
                Some(HeaderCell::Other) => {}
                None | Some(HeaderCell::Empty) if text.trim().is_empty() => {}
                None | Some(HeaderCell::Empty) => {
                    let place = Cell {
                        row: line,
                        column: format!("number {}", index + 1),
                    };
                    problems.push(Problem::new(place, text.trim(), Fault::NoHeader));
                }
            }
        }
        TableRow { line, cells }
    }
}
