//! From the sheet and the inventory to a configuration.

use indexmap::{IndexMap, IndexSet};
use sesamecart_vocabulary::{CustomerId, EndpointId};

use super::cells::Cells;
use super::column::Column;
use super::row::Row;
use super::table::{Table, TableRow};
use crate::check::is_date;
use crate::configuration::{Configuration, Customer, Endpoint, EndpointKind};
use crate::inventory::Inventory;
use crate::problem::{Cell, Fault, Field, Place, Problem, Subject};

/// What became of a sheet.
#[derive(Clone, Debug)]
pub struct Import {
    /// The configuration; it may be published only if there are no problems.
    pub configuration: Configuration,
    /// Everything that is wrong, in the order of the sheet.
    pub problems: Vec<Problem>,
}

/// Reads the planners' sheet and returns the configuration that it asks for.
#[must_use]
pub fn import_sheet(bytes: &[u8], inventory: &Inventory) -> Import {
    let mut problems = Vec::new();
    let table = Table::read(bytes, &mut problems);
    let mut importer = Importer {
        inventory,
        cfg: inventory.configuration(),
        lines: IndexMap::new(),
        customers: IndexMap::new(),
        problems,
        is_partial: false,
    };
    importer.sheet_number(&table);
    for row in &table.rows {
        importer.row(row);
    }
    importer.serve_customers();
    importer.check();
    Import {
        configuration: importer.cfg,
        problems: importer.problems,
    }
}

struct Importer<'a> {
    inventory: &'a Inventory,
    cfg: Configuration,
    /// The line of each name.
    lines: IndexMap<String, u64>,
    /// The customers that each endpoint serves; empty for all.
    customers: IndexMap<EndpointId, IndexSet<CustomerId>>,
    problems: Vec<Problem>,
    /// Whether a row couldn't be read, so that what it gives is missing.
    is_partial: bool,
}

impl Importer<'_> {
    /// Takes the date and number of the sheet from its first row; the others must agree.
    fn sheet_number(&mut self, table: &Table) {
        let Some(first) = table.rows.first() else {
            self.is_partial = true;
            return;
        };
        self.cfg.date = first.text(Column::Date).to_owned();
        if !is_date(&self.cfg.date) {
            self.add(first, Column::Date, Fault::Date);
        }
        match first.text(Column::Sheet).parse() {
            Ok(0) => self.add(first, Column::Sheet, Fault::Zero),
            Ok(sheet) => self.cfg.sheet = sheet,
            Err(error) => {
                let fault = Fault::Form(format!("this is not a whole number: {error}"));
                self.add(first, Column::Sheet, fault);
            }
        }
        for row in &table.rows {
            for column in [Column::Date, Column::Sheet] {
                let text = row.text(column);
                if !text.is_empty() && text != first.text(column) {
                    let fault = Fault::Disagrees(first.text(column).to_owned());
                    self.add(row, column, fault);
                }
            }
        }
    }

    fn row(&mut self, table_row: &TableRow) {
        let mut cells = Cells {
            row: table_row,
            problems: &mut self.problems,
        };
        let Some(row) = Row::read(&mut cells, self.inventory) else {
            self.is_partial = true;
            return;
        };
        if let Some(first) = self.lines.get(row.name.as_str()) {
            let fault = Fault::RepeatedName(*first);
            self.add(table_row, Column::Name, fault);
            return;
        }
        self.lines.insert(row.name.to_string(), table_row.line);
        if let Some(found) = row.group {
            self.cfg.groups.insert(found.id, found.group);
        }
        self.customers.insert(row.name.clone(), row.customers);
        self.cfg.endpoints.insert(row.name, row.endpoint);
    }

    /// Gives each customer the endpoints whose rows name it or name nobody.
    ///
    /// A customer that no row serves gets an empty list, which would mean all endpoints; that is
    /// told as a problem here, before the list can be read in that way.
    fn serve_customers(&mut self) {
        self.check_named_customers();
        if self.customers.values().all(IndexSet::is_empty) {
            for customer in self.cfg.customers.values_mut() {
                customer.endpoints.clear();
            }
            return;
        }
        let ids: Vec<_> = self.cfg.customers.keys().cloned().collect();
        for id in ids {
            let customer = &self.cfg.customers[&id];
            let serves = |endpoint: &&EndpointId| {
                let named = &self.customers[*endpoint];
                let open = named.is_empty() || named.contains(&id);
                open && self.may_use(customer, &self.cfg.endpoints[*endpoint])
            };
            let endpoints: IndexSet<_> = self.customers.keys().filter(serves).cloned().collect();
            let may_use_nothing = customer.models.is_empty() && customer.services.is_empty();
            if endpoints.is_empty() && !may_use_nothing && !self.is_partial {
                let field = Subject::Customer(id.clone()).field("endpoints");
                let problem = Problem::new(field, &id, Fault::CustomerWithoutEndpoint);
                self.problems.push(problem);
            }
            self.cfg.customers[&id].endpoints = endpoints;
        }
    }

    fn check_named_customers(&mut self) {
        let mut problems = Vec::new();
        for (id, customers) in &self.customers {
            let endpoint = &self.cfg.endpoints[id];
            let place = Cell {
                row: self.lines[id.as_str()],
                column: Column::Customers.to_string(),
            };
            for customer in customers {
                let fault = match self.cfg.customers.get(customer) {
                    None => Fault::UnknownCustomer,
                    Some(found) if !self.may_use(found, endpoint) => {
                        Fault::CustomerMayNot(self.served_name(endpoint))
                    }
                    Some(_) => continue,
                };
                problems.push(Problem::new(place.clone(), customer, fault));
            }
        }
        self.problems.extend(problems);
    }

    fn may_use(&self, customer: &Customer, endpoint: &Endpoint) -> bool {
        match &endpoint.kind {
            EndpointKind::Group(group) => {
                let group = self.cfg.groups.get(group);
                group.is_some_and(|group| customer.models.contains(&group.model))
            }
            EndpointKind::Service(service) => customer.services.contains(service),
        }
    }

    fn served_name(&self, endpoint: &Endpoint) -> String {
        match &endpoint.kind {
            EndpointKind::Group(group) => {
                let model = self.cfg.groups.get(group).map(|group| &group.model);
                model.map_or_else(
                    || format!("group {group}"),
                    |model| format!("model {model}"),
                )
            }
            EndpointKind::Service(service) => format!("service {service}"),
        }
    }

    /// Checks the whole configuration and names the cells that its problems come from.
    fn check(&mut self) {
        for mut problem in self.cfg.check() {
            if self.is_known_otherwise(&problem) {
                continue;
            }
            if let Place::Field(field) = &problem.place
                && let Some(cell) = self.cell(field)
            {
                problem.place = Place::Cell(cell);
            }
            if !self.problems.contains(&problem) {
                self.problems.push(problem);
            }
        }
        self.problems.sort_by_key(|problem| match &problem.place {
            Place::Cell(cell) => cell.row,
            Place::Field(_) => u64::MAX,
        });
    }

    /// Returns whether a problem follows from one that was told already.
    fn is_known_otherwise(&self, problem: &Problem) -> bool {
        let Place::Field(field) = &problem.place else {
            return false;
        };
        match &problem.fault {
            Fault::Date | Fault::Zero => field.subject == Subject::Configuration,
            Fault::CustomerWithoutEndpoint => self.is_partial,
            _ => false,
        }
    }

    fn cell(&self, field: &Field) -> Option<Cell> {
        let name = match &field.subject {
            Subject::Group(group) => group.as_str(),
            Subject::Endpoint(endpoint) => endpoint.as_str(),
            _ => return None,
        };
        let column = match field.name {
            "model" | "service" => "serves",
            "group" | "endpoint" => "name",
            name => name,
        };
        Some(Cell {
            row: *self.lines.get(name)?,
            column: column.to_owned(),
        })
    }

    fn add(&mut self, row: &TableRow, column: Column, fault: Fault) {
        let problem = Problem::new(row.cell(column), row.text(column), fault);
        self.problems.push(problem);
    }
}
