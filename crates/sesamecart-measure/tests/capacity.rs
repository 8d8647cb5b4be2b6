//! docs/CAPACITY.md says what the committed measurements give, and nothing else.

use std::path::Path;

use sesamecart_measure::capacity::{Measurements, tables_of_page};

#[test]
fn page_holds_the_tables_that_the_measurements_give() {
    let root = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."));
    let page = std::fs::read_to_string(root.join("docs/CAPACITY.md")).expect("read the page");
    let measurements = Measurements::read(root).expect("read the measurements");
    let tables = measurements.tables().expect("make the tables");
    assert_eq!(
        tables_of_page(&page).expect("find the tables"),
        tables.trim()
    );
}
