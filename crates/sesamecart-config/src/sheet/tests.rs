//! Sheets with spreadsheet habits and sheets with mistakes.

use sesamecart_property::check_property;

use super::import_sheet;
use crate::configuration::{Configuration, EndpointKind};
use crate::inventory::Inventory;
use crate::problem::{Place, Problem};

const DAY: &str = include_str!("../../../../examples/day.csv");
const INVENTORY: &str = include_str!("../../../../examples/inventory.json");

fn inventory() -> Inventory {
    serde_json::from_str(INVENTORY).unwrap()
}

fn imported(sheet: impl AsRef<[u8]>) -> Configuration {
    let import = import_sheet(sheet.as_ref(), &inventory());
    assert!(import.problems.is_empty(), "{:#?}", import.problems);
    import.configuration
}

fn problems(sheet: impl AsRef<[u8]>) -> Vec<String> {
    let import = import_sheet(sheet.as_ref(), &inventory());
    import.problems.iter().map(Problem::to_string).collect()
}

#[test]
fn example_gives_groups_and_services_in_three_domains() {
    let cfg = imported(DAY);
    assert_eq!(cfg.date, "2026-12-03");
    assert_eq!(cfg.groups.len(), 6);
    assert_eq!(cfg.endpoints.len(), 9);
    let processes = cfg
        .endpoints
        .values()
        .filter(|endpoint| endpoint.vm.is_some());
    assert_eq!(processes.count(), 3);
    let fronts = cfg.endpoints.values();
    let fronts = fronts.filter(|endpoint| matches!(endpoint.kind, EndpointKind::Group(_)));
    assert_eq!(fronts.count(), 6);
}

/// Spreadsheets change a file's form on every save. Each form must give the same configuration.
macro_rules! habits {
    ($($name:ident: $change:expr;)*) => {$(
        #[test]
        fn $name() {
            let change: fn(&str) -> Vec<u8> = $change;
            assert_eq!(imported(change(DAY)), imported(DAY));
        }
    )*};
}

habits! {
    byte_order_mark: |day| [b"\xef\xbb\xbf", day.as_bytes()].concat();
    crlf: |day| day.replace('\n', "\r\n").into_bytes();
    semicolons: |day| day.replace(',', ";").into_bytes();
    tabs: |day| day.replace(',', "\t").into_bytes();
    separator_line: |day| format!("sep=;\r\n{}", day.replace(',', ";")).into_bytes();
    quoted_cells: |day| {
        let quoted = day.lines().map(|line| format!("\"{}\"\n", line.replace(',', "\",\"")));
        quoted.collect::<String>().into_bytes()
    };
    blank_rows: |day| day.replace('\n', "\n,,,,\n\n").into_bytes();
    trailing_columns: |day| day.replace('\n', ",,,\n").into_bytes();
    spaced_headers: |day| day.replacen("failure_domain", " Failure Domain ", 1).into_bytes();
    notes_column: |day| {
        let noted = day.replacen("checks_epoch", "checks_epoch,planner's notes", 1);
        noted.replace(",yes\n", ",yes,moved on Tuesday\n").into_bytes()
    };
    dates_only_in_first_row: |day| {
        let (head, rest) = day.split_at(day.find("2026-12-03").unwrap() + 10);
        format!("{head}{}", rest.replace("2026-12-03,1", ",")).into_bytes()
    };
}

/// Each mistake must be told with the row and column where planners find it.
macro_rules! mistakes {
    ($($name:ident: $from:expr, $to:expr => $place:expr, $reason:expr;)*) => {$(
        #[test]
        fn $name() {
            assert!(DAY.contains($from));
            let found = problems(DAY.replacen($from, $to, 1));
            let matches = |text: &&String| text.starts_with($place) && text.contains($reason);
            assert!(found.iter().any(|text| matches(&text)), "{found:#?}");
        }
    )*};
}

mistakes! {
    vm_in_two_groups: "engine-a3 engine-a4", "engine-a1 engine-a4" =>
        "row 3, column vms: \"engine-a1\"", "in group pound-a1 already";
    vm_in_group_and_service: "ledger-a", "engine-a1" =>
        "row 4, column vms: \"engine-a1\"", "in group pound-a1";
    unknown_vm: "engine-a3", "engine-a9" => "row 3, column vms: \"engine-a9\"", "no such VM";
    unknown_failure_domain: "engine-a2,muscat-a", "engine-a2,muscat-d" =>
        "row 2, column failure_domain: \"muscat-d\"", "no such failure domain";
    unknown_fabric_domain: "muscat-a-fabric-1", "muscat-a-fabric-7" =>
        "row 2, column fabric_domain", "no such fabric domain";
    other_fabric_domain: "muscat-a-fabric-1", "muscat-b-fabric-1" =>
        "row 2, column fabric_domain", "engine-a1 lies in fabric domain muscat-a-fabric-1";
    replica_across_fabric_domains: "engine-a1 engine-a2", "engine-a1 engine-b5" =>
        "row 2, column vms", "spans fabric domains";
    too_few_vms: "engine-a1 engine-a2", "engine-a1" =>
        "row 2, column vms", "needs 2 VMs, but the group has 1";
    repeated_vm: "engine-a1 engine-a2", "engine-a1 engine-a1" =>
        "row 2, column vms", "stands twice in this row";
    unknown_model: "pound-a1,assistant", "pound-a1,asistant" =>
        "row 2, column serves: \"asistant\"", "no such model";
    unknown_service: "stock-a,stock", "stock-a,stok" =>
        "row 4, column serves: \"stok\"", "no such service";
    unknown_customer: "40000,,yes", "40000,nobody,yes" =>
        "row 2, column customers: \"nobody\"", "no such customer";
    duplicate_name: "pound-a2", "pound-a1" => "row 3, column name", "first in row 2";
    duplicate_address: "127.0.0.1:9101", "127.0.0.1:9100" =>
        "row 3, column address", "endpoint pound-a1 has the same address";
    local_date: "2026-12-03", "03/12/2026" => "row 2, column date: \"03/12/2026\"", "YYYY-MM-DD";
    rows_of_two_days: "\n2026-12-03,1,service", "\n2026-12-02,1,service" =>
        "row 4, column date", "other rows say";
    host_name: "127.0.0.1:9100", "engine-front" => "row 2, column address", "docs/sheet.md";
    cold_above_warm: ",2,16,", ",20,16," => "row 2, column cold", "above the warm one, 16";
    zero_limit: ",2,16,", ",0,16," => "row 2, column cold", "at least 1";
    unknown_kind: ",group,", ",pool," => "row 2, column kind: \"pool\"", "docs/sheet.md";
    empty_cell: ",pound-a1,", ",," => "row 2, column name", "the cell is empty";
    missing_column: "address", "adress" => "row 1, column address", "column is missing";
    repeated_column: "kv_tokens", "warm" => "row 1, column warm", "stands twice";
    cell_without_header: ",yes\n", ",yes,stray\n" => "row 2, column number 15", "beyond the last header";
    unclear_yes_or_no: ",yes\n", ",perhaps\n" => "row 2, column checks_epoch", "neither yes nor no";
}

#[test]
fn every_mistake_is_told_in_one_run() {
    let sheet = DAY
        .replacen("engine-a3", "engine-a1", 1)
        .replacen("stock-b,stock", "stock-b,stok", 1)
        .replacen("muscat-c", "muscat-d", 1)
        .replacen(",4,32,", ",many,32,", 1);
    let import = import_sheet(sheet.as_bytes(), &inventory());
    let rows = import
        .problems
        .iter()
        .filter_map(|problem| match &problem.place {
            Place::Cell(cell) => Some(cell.row),
            Place::Field(_) => None,
        });
    let rows: Vec<_> = rows.collect();
    assert!(rows.is_sorted());
    for row in [3, 4, 7, 8] {
        assert!(rows.contains(&row), "row {row} in {:#?}", import.problems);
    }
}

/// Planners who reserve every endpoint for others leave a customer with none. Its list of endpoints
/// would then be empty, which means all of them, so the customer would get what it must not have.
#[test]
fn customer_whom_no_row_serves_is_a_problem() {
    let sheet = DAY.replace("40000,,", "40000,sohar-pounds,");
    let sheet = sheet.replace(",4,32,,,", ",4,32,,sohar-pounds,");
    let found = problems(sheet);
    let expected = "customer small-pounds, endpoints";
    assert!(
        found.iter().any(|text| text.starts_with(expected)),
        "{found:#?}"
    );
}

#[test]
fn customers_column_reserves_an_endpoint() {
    let cfg = imported(DAY.replacen("40000,,yes", "40000,harbour-pounds,yes", 1));
    let reserved = |customer: &str| {
        let customer = &cfg.customers[&customer
            .parse::<sesamecart_vocabulary::CustomerId>()
            .unwrap()];
        customer
            .endpoints
            .iter()
            .any(|endpoint| endpoint.as_str() == "pound-a1")
    };
    assert!(reserved("harbour-pounds"));
    assert!(!reserved("small-pounds"));
}

#[test]
fn latin_1_text_is_refused_with_what_to_do() {
    let sheet = [DAY.replacen("pound-a1", "lagu", 1).as_bytes(), b"x,\xf1\n"].concat();
    let found = problems(sheet);
    assert!(
        found
            .iter()
            .any(|text| text.contains("save the sheet as CSV with UTF-8"))
    );
}

#[test]
fn empty_file_is_refused() {
    assert!(!problems("").is_empty());
    assert!(!problems(DAY.lines().next().unwrap()).is_empty());
}

/// Whatever bytes come, the import must end with a verdict and not with a panic.
#[test]
fn any_bytes_are_survived() {
    check_property(bolero::produce::<Vec<u8>>(), |bytes| {
        let inventory = inventory();
        let import = import_sheet(bytes, &inventory);
        assert!(!import.problems.is_empty());
        let glued = [DAY.as_bytes(), bytes.as_slice()].concat();
        let glued = import_sheet(&glued, &inventory);
        assert!(glued.configuration.endpoints.len() <= 10);
    });
}
